/**
 * @file Callers' requests on their way to a runner.
 *
 * Any host may receive a request. It claims the key at the request's home when
 * the class is not repeatable, picks the host that owns the slots it will use,
 * and that host sends it to a runner, once or, for repeatable work, within the
 * retry budget.
 */
#ifndef ROUTER_H
#define ROUTER_H

#include "node.h"

/** Settled request; valid during the call only. */
struct route_answer {
	enum outcome outcome;
	const char *reason;
	int status; /**< of the runner's answer */
	const uint8_t *body;
	size_t len;
	const char *content_type;
	int64_t wait_ms;
};

typedef void (*route_fn)(const struct route_answer *a, void *arg);

struct route_request {
	const struct class_conf *cls;
	const char *id;
	const char *team;
	const void *body;
	size_t len;
	const char *content_type;
	bool has_key; /**< the id is the caller's own key */
};

struct router *router_new(struct node *n);
void router_delete(struct router *r);
void router_hosts_changed(struct router *r);
/** Settles the request and answers once. */
void router_submit(
    struct router *r, const struct route_request *rq, route_fn fn, void *arg);
/** Serves a request that another host received. */
void router_serve(
    struct node *n, const struct peer_request *rq, const Cc__Route *m);
void router_fill_beat(struct router *r, Cc__Beat *b);
struct node *router_node(const struct router *r);
/** Requests that are not settled yet. */
int router_open(const struct router *r);
/** Requests that wait for a slot of this host. */
int router_waiting(const struct router *r);
struct route;
const struct route *router_table(const struct router *r);

#endif
