/**
 * @file HTTP server for callers ("front" in the names below), over libevhtp.
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

struct front;
struct front_request;

enum front_method {
	FRONT_GET,
	FRONT_POST,
	FRONT_DELETE,
	FRONT_OTHER
};

typedef void (*front_fn)(struct front_request *r, void *arg);

/** Listens on the caller port; NULL when it cannot be bound. */
struct front *front_new(
    struct event_base *base, const struct settings *s, front_fn fn, void *arg);
void front_delete(struct front *f);
/** Drains: accepts no connections, and closes each open one once it is idle. */
void front_drain(struct front *f);
/** Number of requests that are not answered yet. */
int front_open_requests(const struct front *f);

enum front_method front_request_method(const struct front_request *r);
const char *front_request_path(const struct front_request *r);
/** A parameter of the query string; NULL when it is absent. */
const char *front_request_param(
    const struct front_request *r, const char *name);
/** A request header; NULL when it is absent. */
const char *front_request_header(
    const struct front_request *r, const char *name);
const uint8_t *front_request_body(const struct front_request *r, size_t *len);

struct front_header {
	const char *name;
	const char *value;
};

/** Answers and frees the request; @p headers ends with a NULL name. */
void front_answer(struct front_request *r, int status, const char *content_type,
    const void *body, size_t len, const struct front_header *headers);

#endif
