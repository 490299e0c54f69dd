/**
 * @file HTTP server for callers, over libevhtp.
 *
 * It enforces limits on sizes, times and connections, and passes each complete
 * request to one handler, which answers it at once or later.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../state/settings.h"
#include "caller_budget.h"

struct http_server;
struct server_request;

enum server_method {
	SERVER_GET,
	SERVER_POST,
	SERVER_DELETE,
	SERVER_OTHER
};

typedef void (*server_fn)(struct server_request *r, void *arg);

/** Listens on the caller port; NULL when it cannot be bound. */
struct http_server *http_server_new(
    struct event_base *base, const struct settings *s, server_fn fn, void *arg);
/** The same within @p budget, which must outlive the server and counts its
 * clients as those of @p port. */
struct http_server *http_server_new_limited(struct event_base *base,
    const struct settings *s, struct caller_budget *budget,
    enum client_port port, server_fn fn, void *arg);
void http_server_delete(struct http_server *f);
/** Drains: accepts no connections, and closes each open one once no part of a
 * request or response is under way on it. */
void http_server_drain(struct http_server *f);
/** Number of requests that are not answered yet. */
int http_server_open_requests(const struct http_server *f);
/** Number of connections on which a part of a request or response is under way,
 * read or not, sent or not. Ending the process would cut it off. */
int http_server_busy_connections(const struct http_server *f);

enum server_method server_request_method(const struct server_request *r);
const char *server_request_path(const struct server_request *r);
/** A parameter of the query string; NULL when it is absent. */
const char *server_request_param(
    const struct server_request *r, const char *name);
/** A request header; NULL when it is absent. */
const char *server_request_header(
    const struct server_request *r, const char *name);
const uint8_t *server_request_body(const struct server_request *r, size_t *len);

struct server_header {
	const char *name;
	const char *value;
};

/** Answers and frees the request; @p headers ends with a NULL name. */
void server_answer(struct server_request *r, int status,
    const char *content_type, const void *body, size_t len,
    const struct server_header *headers);

#endif
