/**
 * @file HTTP calls that are bound to one incarnation of the process at an
 * address.
 *
 * Another process may listen at the address by the time a new connection is
 * accepted. So a bound call goes out only on a connection on which its
 * incarnation has answered. When none is idle, a first call without effects
 * goes out, whose answer shows the incarnation, and then the bound one on the
 * same connection.
 */
#ifndef HTTP_BOUND_H
#define HTTP_BOUND_H

#include "http_call.h"

struct http_bound {
	/** The bound call; its incarnation is set. With @c fresh the first call
	 * goes out on a new connection. */
	struct http_request call;
	/** Path and body of the first call, which has the headers and time-out
	 * of the bound one. */
	const char *first_path;
	const void *first_body;
	size_t first_len;
	/** Incarnation that an answer to the first call shows; 0: none. */
	int64_t (*shown)(const struct http_answer *a, void *arg);
	/** Called in place of the bound call's fn when that isn't sent, with
	 * the answer to the first call. */
	http_fn unsent_fn;
};

/** Starts the calls. One of both fn is called once, never from inside this
 * function, with the arg of the bound call. */
void http_bound_call(struct http_pool *p, const struct http_bound *b);

#endif
