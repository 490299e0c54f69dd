/**
 * @file Calls to the platform, workers and runners, over evhttp.
 *
 * One call has one connection, so an answer can't belong to another call. An
 * idle connection is used again only when it was heard from a moment ago; a
 * call that must run at most once always gets a connection of its own.
 */
#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_pool;
struct http_call;

struct http_answer {
	/**
	 * CC_OK when the whole answer came, whatever its status; CC_ENOTSENT
	 * when certainly no byte was sent; CC_ETIMEOUT or CC_ECONN when bytes
	 * were sent and no whole answer came.
	 */
	int err;
	int status;
	const uint8_t *body;
	size_t len;
	struct evkeyvalq *headers; /**< NULL without an answer */
};

typedef void (*http_fn)(const struct http_answer *a, void *arg);

struct http_header {
	const char *name;
	const char *value;
};

struct http_request {
	const char *addr;
	uint16_t port;
	enum evhttp_cmd_type method;
	const char *path;
	const void *body;
	size_t len;
	const char *content_type;
	struct http_header headers[6]; /**< up to the first without a name */
	int64_t timeout_ms;
	bool fresh; /**< on a new connection only */
	http_fn fn;
	void *arg;
};

/** Calls leave from the address @p from, the host's own; empty: any. */
struct http_pool *http_pool_new(struct event_base *base, const char *from);
void http_pool_delete(struct http_pool *p);
/** Starts a call; @p fn is called once, never from inside this function. */
struct http_call *http_call(struct http_pool *p, const struct http_request *r);
/** Whether a call to this address would go out on a used connection. */
bool http_pool_has_idle(struct http_pool *p, const char *addr, uint16_t port);
/** Ends a call without an answer; fn is not called. */
void http_cancel(struct http_call *c);
/** Bytes sent and received over all calls, headers included. */
void http_pool_traffic(
    const struct http_pool *p, uint64_t *sent, uint64_t *received);

#endif
