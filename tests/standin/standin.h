/**
 * @file Stand-in for the platform, the workers and the runners.
 *
 * Workers are of the least helpful kind: they start whatever they are given,
 * the same key twice if asked, and only honour lease terms. Every start and
 * stop goes into a record with its time, from which the checker judges.
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
	int port; /**< platform; control is the next one */
	int workers;
	int runners;
	int worker_port; /**< of the first worker */
	int runner_port;
	int cpus;
	int memory_mb;
	int accelerators; /**< of every fourth worker */
	int rack_size;
	bool serve_platform;
	bool serve_hosts;
	const char *service;
};

/** Faults, switched through the control port. */
struct faults {
	int table_down;
	int table_slow_ms;
	int table_lose_pct; /**< answers lost after the write */
	int table_refuse_pct;
	int hostlist_stale;
	int hostlist_empty;
	int runner_slow_ms;
	int runner_lose_pct;
	char cut[8][48];       /**< addresses that nobody here answers */
	char table_cut[8][48]; /**< and these not the platform */
};

extern struct options opt;
extern struct faults faults;
extern struct event_base *base;

void record_open(const char *path);
/** Writes one event, given as jansson's pack format, with its time. */
void record(json_t *event);
int64_t now_us(void);
bool lucky(int pct);

/** Whether the request comes from an address that is cut off. */
bool is_cut(struct evhttp_request *req, char list[8][48]);
void reply_json(struct evhttp_request *req, int status, json_t *j);
json_t *body_json(struct evhttp_request *req);
/** Drops the connection without an answer. */
void drop(struct evhttp_request *req);

/** A server that can lose track of its open connections. */
struct server {
	struct evhttp *http;
	const char *name;
	bool dead;	 /**< refuses everything */
	bool silent_old; /**< connections seen so far get no answer */
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
/** Notes the connection; @return whether the request is to be answered. */
bool server_hears(struct server *s, struct evhttp_request *req);
void server_silence(struct server *s);

void platform_start(void);
void table_request(struct evhttp_request *req);
void workers_start(void);
void runners_start(void);
/** Handles one control word for a worker or runner. @return whether known. */
bool worker_control(const char *verb, const char *name);
bool runner_control(const char *verb, const char *name);
void hosts_mark(const char *name, const char *state);

#endif
