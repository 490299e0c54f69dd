/**
 * @file The platform's list of workers, runners and entry hosts.
 *
 * The list may be out of date. A list that cannot be read, or that is empty,
 * changes nothing; a host that is missing from it counts as gone only after
 * 3 seconds.
 */
#ifndef HOSTLIST_H
#define HOSTLIST_H

#include "node.h"

enum host_role {
	HOST_WORKER,
	HOST_RUNNER,
	HOST_ENTRY /**< runs a daemon */
};

struct host_row {
	UT_hash_handle hh;
	char name[64];
	enum host_role role;
	char addr[48];
	uint16_t port;
	char rack[64];
	char zone[64];
	char service[64];
	struct size size;
	bool leaving;
	bool seen;		  /**< in the newest list */
	int64_t missing_since_ms; /**< 0: in the newest list */
	int shard;		  /**< index of the shard that a worker is in */
};

struct hostlist;

struct hostlist *hostlist_new(struct node *n);
void hostlist_delete(struct hostlist *l);
/** Whether the list was read at least once. */
bool hostlist_known(const struct hostlist *l);
/** First of the rows of all roles, which are linked by hh.next. */
const struct host_row *hostlist_rows(const struct hostlist *l);
/**
 * Whether an entry host was in the list once and has been missing for more than
 * 3 seconds. The rows of workers and runners are freed by then.
 */
bool hostlist_gone(const struct hostlist *l, const char *name);
/** Sum of the sizes of all workers. */
struct size hostlist_total(const struct hostlist *l);
/**
 * Whether any worker's total capacity is large enough; true until the list is
 * known.
 */
bool hostlist_could_hold(const struct hostlist *l, const struct size *need);

#endif
