/**
 * @file Memory and connection limits that all clients' connections share.
 *
 * Servers charge what each connection holds. When the limit is exceeded,
 * connections are closed from the address that holds most: first those with an
 * unfinished request or an unread response, the oldest first, then idle ones.
 * The address comes before the age: a younger request from the address that
 * holds most is closed before an older one from another address. A connection
 * with a request that waits for its answer is never closed.
 */
#ifndef CALLER_BUDGET_H
#define CALLER_BUDGET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

enum client_port {
	CLIENT_CALLERS,
	CLIENT_MONITORING, /**< readiness and metrics */
	CLIENT_PORTS
};

enum client_end {
	CLIENT_END_MEMORY,	/**< the memory limit */
	CLIENT_END_CONNECTIONS, /**< the connection limit */
	CLIENT_END_SLOW_SENDER,
	CLIENT_END_SLOW_READER,
	CLIENT_END_IDLE,
	CLIENT_ENDS
};

/** Sums of the connections from one address. */
struct client_address {
	struct in6_addr ip;
	size_t held; /**< bytes */
	int nconns[CLIENT_PORTS];
	int n;
	UT_hash_handle hh;
};

struct client {
	TAILQ_ENTRY(client) link;
	struct client_address *address;
	struct in6_addr ip; /**< set before the client is added */
	enum client_port port;
	size_t held;	  /**< bytes */
	int64_t since_ms; /**< of the unfinished request or unread response; 0:
			     there is none */
	int64_t idle_since_ms;
	bool answering; /**< a request waits for its answer: not closed */
	/** Closes the connection and removes the client from the budget. */
	void (*close)(struct client *c);
};

struct caller_budget {
	TAILQ_HEAD(client_list, client) clients;
	struct client_address *addresses;
	size_t limit; /**< bytes */
	size_t held;
	int conns_max[CLIENT_PORTS];
	int nconns[CLIENT_PORTS];
	uint64_t ends[CLIENT_ENDS];
	uint64_t refused; /**< requests answered with 503 for lack of memory */
	int64_t logged_ms[CLIENT_ENDS];
	uint64_t logged[CLIENT_ENDS]; /**< value of ends when last logged */
};

void caller_budget_init(
    struct caller_budget *b, size_t limit, int callers_max, int monitoring_max);
/** Adds a client of no memory. At the connection limit another one is closed;
 * @return false when none may be. */
bool caller_budget_add(struct caller_budget *b, struct client *c, int64_t now);
/** For a client whose address becomes known after it was added. */
void caller_budget_set_ip(
    struct caller_budget *b, struct client *c, const struct in6_addr *ip);
void caller_budget_remove(struct caller_budget *b, struct client *c);
/** States what @p c holds now. */
void caller_budget_charge(
    struct caller_budget *b, struct client *c, size_t bytes);
/** Charges the length of the client's libevent buffers, and @p other bytes. */
void caller_budget_charge_buffers(
    struct caller_budget *b, struct client *c, size_t buffered, size_t other);
/** Notes that a request is unfinished or a response unread, if it isn't noted
 * already. */
void caller_budget_set_busy(struct client *c, int64_t now);
/** Notes that a response was written out; the next request has its own time. */
void caller_budget_set_idle(struct client *c, int64_t now);
/** @return the number of connections from an address. */
int caller_budget_conns_from(const struct caller_budget *b,
    const struct in6_addr *ip, enum client_port port);
/** Closes clients other than @p spared (NULL: none) until the limit holds.
 * @return false when it can't be reached. */
bool caller_budget_relieve(
    struct caller_budget *b, const struct client *spared, int64_t now);
/** Counts the end, logs it at a bounded rate, and closes the client. */
void caller_budget_end(struct caller_budget *b, struct client *c,
    enum client_end why, int64_t now);
/** Writes the counters as metrics; @return the length. */
size_t caller_budget_metrics(
    const struct caller_budget *b, char *buf, size_t size);

#endif
