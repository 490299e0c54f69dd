/**
 * @file Routes callers' requests to runners.
 *
 * Any host may receive a request. When the class is not repeatable, the host
 * first claims the request's id at its home, so that a repeated id does
 * not run twice. It then picks the host whose runner slots the request will
 * use, and that host sends the request to one of its runners. A runner's answer
 * that is lost leads to another attempt only for repeatable classes, within the
 * retry budget.
 */
#ifndef ROUTER_H
#define ROUTER_H

#include "node.h"

/** Outcome of a request; valid during the callback only. */
struct route_answer {
	enum outcome outcome;
	const char *reason;
	int status; /**< HTTP status of the runner's answer */
	const uint8_t *body;
	size_t len;
	const char *content_type;
	int64_t wait_ms; /**< until it was sent to a runner or given up */
};

typedef void (*route_fn)(const struct route_answer *a, void *arg);

/** A caller's request as it was received. */
struct route_request {
	const struct class_conf *cls;
	const char *id;
	const char *team;
	const void *body;
	size_t len;
	const char *content_type;
	bool has_key; /**< the id is the caller's idempotency key */
};

struct router *router_new(struct node *n);
void router_delete(struct router *r);
/** Updates the runners from the host list, and which of them this host owns. */
void router_hosts_changed(struct router *r);
/** Routes a request until it is settled, then calls @p fn once. */
void router_submit(
    struct router *r, const struct route_request *rq, route_fn fn, void *arg);
/** Serves a request that another host received. */
void router_serve(
    struct node *n, const struct peer_request *rq, const Cc__Route *m);
/** Adds the free runner slots and the queue length to a heartbeat. */
void router_fill_beat(struct router *r, Cc__Beat *b);
struct node *router_node(const struct router *r);
/** Number of requests that wait for a slot of this host or occupy one. */
int router_open_requests(const struct router *r);
/** Number of requests that wait for a slot of this host. */
int router_waiting(const struct router *r);
struct route;
/** The runners and the queue of this host. */
const struct route *router_state(const struct router *r);

#endif
