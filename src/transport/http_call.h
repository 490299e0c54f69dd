/**
 * @file HTTP client for calls to the platform, workers and runners, over
 * evhttp.
 *
 * A connection carries one call at a time, so an answer can't be taken for that
 * of another call. An idle connection is reused only within seconds of its last
 * answer. A call that must run at most once always gets a new connection.
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

/** Bytes that an answer brings in each stall_ms at least. */
#define HTTP_PROGRESS_BYTES 4096

struct http_answer {
	/**
	 * CC_OK when the whole answer arrived, whatever its status;
	 * CC_ENOTSENT when no byte of the request was sent; CC_ETIMEOUT or
	 * CC_ECONN when bytes were sent and no whole answer arrived.
	 */
	int err;
	int status;
	const uint8_t *body;
	size_t len;
	struct evkeyvalq *headers; /**< NULL without an answer */
	bool more; /**< it timed out, and a late answer may follow */
	/** Bytes that arrived, headers included, also of an answer that
	 * isn't whole. */
	uint64_t received;
};

typedef void (*http_fn)(const struct http_answer *a, void *arg);
/** @param endpoint "ADDRESS:PORT" */
typedef void (*http_closed_fn)(const char *endpoint, void *arg);

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
	/**
	 * For an answer whose size the other end decides. Once it begins to
	 * arrive, the call ends when fewer than HTTP_PROGRESS_BYTES arrive in
	 * this time, however long the whole answer takes; until then
	 * timeout_ms holds. 0: timeout_ms is the bound of the whole answer.
	 */
	int64_t stall_ms;
	/**
	 * Time after the time-out for which an answer is still waited for; 0:
	 * the time-out ends the call.
	 */
	int64_t late_ms;
	bool fresh; /**< use a new connection, not an idle one */
	/** Use only an idle connection to this incarnation of the process,
	 * else fail with CC_ENOTSENT; 0: any connection. */
	int64_t incarnation;
	http_fn fn;
	void *arg;
};

/** @p from is the local address that calls are sent from; empty: any. */
struct http_pool *http_pool_new(struct event_base *base, const char *from);
void http_pool_delete(struct http_pool *p);
/**
 * Starts a call; @p fn is called once, never from inside this function. With a
 * late_ms it is called twice when the call times out: at the time-out, with
 * `more` set, and at the late answer or the end of the call.
 */
struct http_call *http_call(struct http_pool *p, const struct http_request *r);
/** Calls @p fn when the other end closes a connection that was established,
 * whether a call is under way on it or not; NULL: no more. */
void http_pool_on_closed(struct http_pool *p, http_closed_fn fn, void *arg);
/** Whether a call to this address would reuse an idle connection. */
bool http_pool_has_idle(struct http_pool *p, const char *addr, uint16_t port);
/** Whether an idle connection leads to this incarnation of the process. */
bool http_pool_reaches(
    struct http_pool *p, const char *addr, uint16_t port, int64_t incarnation);
/**
 * Notes which incarnation of the process has answered. A connection ends with
 * the process, so later calls on this one reach that incarnation or none. Only
 * from within the fn of a call that was answered.
 */
void http_pool_note_incarnation(struct http_pool *p, int64_t incarnation);
/** Bytes of the answer that have arrived, headers included. */
uint64_t http_call_received(const struct http_call *c);
/** Cancels a call; its fn is not called. */
void http_cancel(struct http_call *c);
/** Bytes sent and received over all calls, headers included. */
void http_pool_traffic(
    const struct http_pool *p, uint64_t *sent, uint64_t *received);

#endif
