/** @file Queue of requests for the runner slots that this host owns. */
#ifndef ROUTER_DISPATCH_H
#define ROUTER_DISPATCH_H

#include "router.h"

/** A request to be queued; router_dispatch() copies what it points to. */
struct dispatch_request {
	const char *class_name;
	const char *id;
	const void *body;
	size_t len;
	const char *content_type;
	int64_t budget_ms; /**< remaining wait; 0: the class's longest wait */
	bool at_most_once;
};

/**
 * Queues a request for the runner slots that this host owns.
 * @return CC_OK, then @p fn is called once; CC_EUNAVAIL without a usable
 *     runner; CC_EBUSY when the projected wait exceeds the class's longest
 *     wait; CC_ENOENT for an unknown class. After an error nothing was sent.
 */
int router_dispatch(
    struct router *r, const struct dispatch_request *q, route_fn fn, void *arg);

#endif
