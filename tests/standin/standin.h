/**
 * @file Stand-in for the platform, the workers and the runners.
 *
 * The workers give no protection against duplicates: they start every task
 * that they are given, the same key twice if asked, and only honour lease
 * terms. Every start and stop is recorded with its time; the checker verifies
 * the invariants from this record.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>

struct options {
	const char *addr;
	int port; /**< of the platform; the control port is the next one */
	int workers;
	int runners;
	int worker_port; /**< of the first worker */
	int runner_port;
	int cpus;
	int memory_mb;
	int accelerators; /**< per worker, on every fourth worker */
	int rack_size;	  /**< hosts in a rack */
	bool serve_platform;
	bool serve_hosts;
	const char *service;
};

/** Active faults, set through the control port; 0: off. */
struct faults {
	int table_down;
	int table_slow_ms;
	int table_lose_pct; /**< applied, but not answered */
	int table_refuse_pct;
	int hostlist_stale;
	int hostlist_empty;
	int runner_slow_ms;
	int runner_lose_pct;
	char cut[8][48];       /**< addresses whose requests are dropped */
	char table_cut[8][48]; /**< dropped by the platform only */
};

extern struct options opt;
extern struct faults faults;
extern struct event_base *base;

void record_open(const char *path);
/** Adds the time to an event and writes it to the record. Frees @p event. */
void record(json_t *event);
int64_t now_us(void);
/** @return true with a probability of @p pct percent. */
bool chance(int pct);

/** Whether the request comes from an address in @p list. */
bool is_cut(struct evhttp_request *req, char list[8][48]);
void reply_json(struct evhttp_request *req, int status, json_t *j);
json_t *body_json(struct evhttp_request *req);
/** Closes the connection without an answer. */
void drop(struct evhttp_request *req);

/** A server that can stop answering on connections open at that time. */
struct server {
	struct evhttp *http;
	const char *name;
	bool dead;	 /**< drops every request */
	bool silent_old; /**< unused */
	TAILQ_HEAD(seen_conn_list, seen_conn) conns;
};
struct seen_conn {
	TAILQ_ENTRY(seen_conn) link;
	struct evhttp_connection *conn;
	struct server *server;
	bool silent;
};
void server_init(struct server *s, const char *name, int port,
    void (*fn)(struct evhttp_request *, void *), void *arg);
/** Tracks the request's connection; @return false on a silenced one. */
bool server_should_answer(struct server *s, struct evhttp_request *req);
/** Requests on the connections open now get no answer from now on. */
void server_silence(struct server *s);

void platform_start(void);
void table_request(struct evhttp_request *req);
void workers_start(void);
void runners_start(void);
/** Applies a control command to a worker. @return whether both are known. */
bool worker_control(const char *verb, const char *name);
/** Applies a control command to a runner. @return whether both are known. */
bool runner_control(const char *verb, const char *name);
/** Sets the state of a host in the host list: "leaving" or "gone". */
void host_set_state(const char *name, const char *state);

#endif
