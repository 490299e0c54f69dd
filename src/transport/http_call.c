#include "http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"

/**
 * Longest time after its last answer that an idle connection is reused. The
 * longer it is idle, the likelier it is to be dead.
 */
#define IDLE_REUSE_MS 4000
#define IDLE_CONNS_MAX 1024
#define ENDPOINT_LEN 56
/** TCP_USER_TIMEOUT: longest time that sent data may stay unacknowledged. */
#define USER_TIMEOUT_MS 4000
#define ANSWER_MAX_BYTES (64 << 20)

TAILQ_HEAD(conn_list, conn);

/** The idle connections to one address and port, last used first. */
struct endpoint {
	UT_hash_handle hh;
	char name[ENDPOINT_LEN];
	struct conn_list idle;
};

struct conn {
	TAILQ_ENTRY(conn) link;		 /**< in the pool's idle list */
	TAILQ_ENTRY(conn) endpoint_link; /**< in its endpoint's idle list */
	struct http_pool *pool;
	struct evhttp_connection *ev;
	char endpoint[ENDPOINT_LEN];
	int64_t last_answer_ms;
	int64_t incarnation; /**< of the process that it leads to; 0: unknown */
	struct http_call *call; /**< the present call; NULL: none */
	/** Bytes of the present call. */
	uint64_t sent;
	uint64_t received;
	/** Value of received when its stall time last began; 0: no answer yet.
	 */
	uint64_t progress_from;
	bool closed; /**< closed by the other end, or to be closed */
};

struct http_call {
	TAILQ_ENTRY(http_call) link;
	struct http_pool *pool;
	struct conn *conn;
	struct evhttp_request *req;
	struct event *timer;
	struct event *fail; /**< reports a failure, from the event loop */
	http_fn fn;
	void *arg;
	int error;
	int64_t late_ms; /**< wait for a late answer after the time-out */
	int64_t stall_ms;
};

struct http_pool {
	struct event_base *base;
	struct conn_list idle; /**< last used first */
	struct endpoint *endpoints;
	TAILQ_HEAD(http_call_list, http_call) calls;
	int nidle;
	char from[48]; /**< local address of calls; empty: any */
	/** Its answer is being handled: evhttp still uses it, so that it isn't
	 * freed. It may take the next call that is for its incarnation. */
	struct conn *answering;
	http_closed_fn closed_fn;
	void *closed_arg;
	uint64_t sent;
	uint64_t received;
};

static void
count_out(struct evbuffer *b, const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *c = arg;

	(void)b;
	c->sent += info->n_deleted;
	c->pool->sent += info->n_deleted;
}

static struct timeval
ms_to_timeval(int64_t ms)
{
	return (struct timeval){ms / 1000, (ms % 1000) * 1000};
}

/* Grants the answer a further stall time if enough of it has arrived. */
static void
note_progress(struct conn *c)
{
	struct timeval tv;

	if (c->call == NULL || c->call->stall_ms == 0 || c->call->req == NULL)
		return;
	if (c->progress_from != 0 &&
	    c->received - c->progress_from < HTTP_PROGRESS_BYTES)
		return;
	c->progress_from = c->received;
	tv = ms_to_timeval(c->call->stall_ms);
	evtimer_add(c->call->timer, &tv);
}

static void
count_in(struct evbuffer *b, const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *c = arg;

	(void)b;
	c->pool->received += info->n_added;
	if (info->n_added == 0)
		return;
	c->received += info->n_added;
	note_progress(c);
}

static void
on_close(struct evhttp_connection *ev, void *arg)
{
	struct conn *c = arg;

	(void)ev;
	c->closed = true;
	if (c->pool->closed_fn != NULL)
		c->pool->closed_fn(c->endpoint, c->pool->closed_arg);
}

static const char *
endpoint_name(char name[ENDPOINT_LEN], const char *addr, uint16_t port)
{
	snprintf(name, ENDPOINT_LEN, "%s:%u", addr, port);
	return name;
}

static struct endpoint *
endpoint_find(const struct http_pool *p, const char *name)
{
	struct endpoint *e;

	HASH_FIND_STR(p->endpoints, name, e);
	return e;
}

static struct conn *
conn_new(struct http_pool *p, const char *addr, uint16_t port)
{
	struct conn *c = xcalloc(1, sizeof(*c));
	struct bufferevent *bev;

	c->pool = p;
	endpoint_name(c->endpoint, addr, port);
	c->ev = evhttp_connection_base_new(p->base, NULL, addr, port);
	if (c->ev == NULL)
		abort();
	evhttp_connection_set_retries(c->ev, 0);
	if (p->from[0] != '\0')
		evhttp_connection_set_local_address(c->ev, p->from);
	evhttp_connection_set_max_body_size(c->ev, ANSWER_MAX_BYTES);
	evhttp_connection_set_closecb(c->ev, on_close, c);
	bev = evhttp_connection_get_bufferevent(c->ev);
	evbuffer_add_cb(bufferevent_get_output(bev), count_out, c);
	evbuffer_add_cb(bufferevent_get_input(bev), count_in, c);
	return c;
}

static void
conn_delete(struct conn *c)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c->ev);

	evbuffer_remove_cb(bufferevent_get_output(bev), count_out, c);
	evbuffer_remove_cb(bufferevent_get_input(bev), count_in, c);
	evhttp_connection_set_closecb(c->ev, NULL, NULL);
	evhttp_connection_free(c->ev);
	free(c);
}

/*
 * Closes with a reset, so that bytes still queued never reach the other end
 * after the call was given up.
 */
static void
conn_abort(struct conn *c)
{
	struct linger lg = {.l_onoff = 1, .l_linger = 0};
	evutil_socket_t fd =
	    bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
	conn_delete(c);
}

static void
idle_remove(struct conn *c)
{
	struct http_pool *p = c->pool;
	struct endpoint *e = endpoint_find(p, c->endpoint);

	TAILQ_REMOVE(&p->idle, c, link);
	TAILQ_REMOVE(&e->idle, c, endpoint_link);
	p->nidle--;
	if (!TAILQ_EMPTY(&e->idle))
		return;
	HASH_DEL(p->endpoints, e);
	free(e);
}

static bool
conn_usable(const struct conn *c, int64_t now)
{
	return !c->closed && now - c->last_answer_ms <= IDLE_REUSE_MS;
}

/* @param incarnation of the process that it must lead to; 0: any */
static struct conn *
find_idle(
    struct http_pool *p, const char *addr, uint16_t port, int64_t incarnation)
{
	char name[ENDPOINT_LEN];
	struct endpoint *e = endpoint_find(p, endpoint_name(name, addr, port));
	int64_t now = clock_boot_ms();
	struct conn *c;

	if (e == NULL)
		return NULL;
	TAILQ_FOREACH (c, &e->idle, endpoint_link)
		if (conn_usable(c, now) &&
		    (incarnation != 0 ? c->incarnation == incarnation
				      : c != p->answering))
			return c;
	return NULL;
}

static struct conn *
conn_take_idle(
    struct http_pool *p, const char *addr, uint16_t port, int64_t incarnation)
{
	struct conn *c = find_idle(p, addr, port, incarnation);

	if (c != NULL)
		idle_remove(c);
	return c;
}

bool
http_pool_has_idle(struct http_pool *p, const char *addr, uint16_t port)
{
	return find_idle(p, addr, port, 0) != NULL;
}

bool
http_pool_reaches(
    struct http_pool *p, const char *addr, uint16_t port, int64_t incarnation)
{
	return incarnation != 0 &&
	    find_idle(p, addr, port, incarnation) != NULL;
}

void
http_pool_note_incarnation(struct http_pool *p, int64_t incarnation)
{
	if (p->answering != NULL)
		p->answering->incarnation = incarnation;
}

void
http_pool_on_closed(struct http_pool *p, http_closed_fn fn, void *arg)
{
	p->closed_fn = fn;
	p->closed_arg = arg;
}

/* Closes the oldest idle connections while they are too old or too many. */
static void
drop_oldest(struct http_pool *p, int64_t now)
{
	struct conn *c;

	while ((c = TAILQ_LAST(&p->idle, conn_list)) != NULL &&
	    c != p->answering &&
	    (p->nidle > IDLE_CONNS_MAX || !conn_usable(c, now))) {
		idle_remove(c);
		conn_delete(c);
	}
}

static void
conn_put_idle(struct http_pool *p, struct conn *c)
{
	struct endpoint *e = endpoint_find(p, c->endpoint);

	if (e == NULL) {
		e = xcalloc(1, sizeof(*e));
		str_copy(e->name, c->endpoint, sizeof(e->name));
		TAILQ_INIT(&e->idle);
		HASH_ADD_STR(p->endpoints, name, e);
	}
	c->last_answer_ms = clock_boot_ms();
	TAILQ_INSERT_HEAD(&p->idle, c, link);
	TAILQ_INSERT_HEAD(&e->idle, c, endpoint_link);
	p->nidle++;
	drop_oldest(p, c->last_answer_ms);
}

struct http_pool *
http_pool_new(struct event_base *base, const char *from)
{
	struct http_pool *p = xcalloc(1, sizeof(*p));

	p->base = base;
	str_copy(p->from, from, sizeof(p->from));
	TAILQ_INIT(&p->idle);
	TAILQ_INIT(&p->calls);
	return p;
}

void
http_pool_delete(struct http_pool *p)
{
	struct conn *c;

	while (!TAILQ_EMPTY(&p->calls))
		http_cancel(TAILQ_FIRST(&p->calls));
	while ((c = TAILQ_FIRST(&p->idle)) != NULL) {
		idle_remove(c);
		conn_delete(c);
	}
	free(p);
}

/* Gives the call's request up. It is evhttp that closes the connection then,
 * not the other end. */
static void
cancel_request(struct http_call *c)
{
	evhttp_connection_set_closecb(c->conn->ev, NULL, NULL);
	evhttp_cancel_request(c->req);
	c->req = NULL;
}

static void
call_free(struct http_call *c)
{
	TAILQ_REMOVE(&c->pool->calls, c, link);
	event_free(c->timer);
	event_free(c->fail);
	free(c);
}

/* Callbacks of evhttp must not free its connection: the event loop does it. */
static void
call_fail_later(struct http_call *c, int error)
{
	c->error = error;
	event_active(c->fail, EV_TIMEOUT, 0);
}

static void
on_fail(evutil_socket_t fd, short what, void *arg)
{
	struct http_call *c = arg;
	struct http_answer a = {
	    .err = c->error, .received = http_call_received(c)};
	http_fn fn = c->fn;
	void *fn_arg = c->arg;

	(void)fd;
	(void)what;
	if (c->conn != NULL && c->conn->sent == 0)
		a.err = CC_ENOTSENT;
	if (c->req != NULL && c->conn != NULL)
		cancel_request(c);
	if (c->conn != NULL)
		conn_abort(c->conn);
	call_free(c);
	fn(&a, fn_arg);
}

/* Reports the time-out and waits on for a late answer. */
static void
wait_for_late_answer(struct http_call *c)
{
	struct http_answer a = {.err = CC_ETIMEOUT, .more = true};
	struct timeval tv = ms_to_timeval(c->late_ms);

	c->late_ms = 0;
	evtimer_add(c->timer, &tv);
	c->fn(&a, c->arg);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct http_call *c = arg;

	(void)fd;
	(void)what;
	if (c->late_ms > 0 && c->req != NULL && c->conn->sent > 0)
		wait_for_late_answer(c);
	else
		call_fail_later(c, CC_ETIMEOUT);
}

static bool
keeps_alive(struct evhttp_request *req)
{
	const char *v = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Connection");

	return v == NULL || strcasecmp(v, "close") != 0;
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	struct http_call *c = arg;
	struct http_answer a = {
	    .err = CC_OK, .received = http_call_received(c)};
	struct evbuffer *in;
	struct conn *conn = c->conn;
	http_fn fn = c->fn;
	void *fn_arg = c->arg;

	c->req = NULL;
	if (req == NULL || evhttp_request_get_response_code(req) == 0) {
		call_fail_later(c, CC_ECONN);
		return;
	}
	event_del(c->timer);
	in = evhttp_request_get_input_buffer(req);
	a.status = evhttp_request_get_response_code(req);
	a.headers = evhttp_request_get_input_headers(req);
	a.len = evbuffer_get_length(in);
	a.body = a.len > 0 ? evbuffer_pullup(in, -1) : (const uint8_t *)"";
	conn->closed = !keeps_alive(req);
	conn->call = NULL;
	conn->pool->answering = conn;
	conn_put_idle(c->pool, conn);
	call_free(c);
	fn(&a, fn_arg);
	conn->pool->answering = NULL;
}

static void
add_headers(const struct http_request *r, struct evhttp_request *req)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char host[64];
	bool named = false;
	size_t i;

	for (i = 0; i < sizeof(r->headers) / sizeof(r->headers[0]); i++)
		named |= r->headers[i].name != NULL &&
		    strcasecmp(r->headers[i].name, "Host") == 0;
	snprintf(host, sizeof(host), "%s:%u", r->addr, r->port);
	if (!named)
		evhttp_add_header(h, "Host", host);
	if (r->content_type != NULL && r->content_type[0] != '\0')
		evhttp_add_header(h, "Content-Type", r->content_type);
	for (i = 0; i < sizeof(r->headers) / sizeof(r->headers[0]); i++) {
		if (r->headers[i].name == NULL)
			break;
		evhttp_add_header(h, r->headers[i].name, r->headers[i].value);
	}
}

static void
set_socket_options(struct conn *c)
{
	evutil_socket_t fd =
	    bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));
	unsigned ms = USER_TIMEOUT_MS;
	int one = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

struct http_call *
http_call(struct http_pool *p, const struct http_request *r)
{
	struct http_call *c = xcalloc(1, sizeof(*c));
	struct timeval tv = ms_to_timeval(r->timeout_ms);

	c->pool = p;
	c->fn = r->fn;
	c->arg = r->arg;
	c->late_ms = r->late_ms;
	c->stall_ms = r->stall_ms;
	c->timer = evtimer_new(p->base, on_timeout, c);
	c->fail = evtimer_new(p->base, on_fail, c);
	TAILQ_INSERT_TAIL(&p->calls, c, link);
	c->conn = r->fresh
	    ? NULL
	    : conn_take_idle(p, r->addr, r->port, r->incarnation);
	if (c->conn == NULL && r->incarnation != 0) {
		call_fail_later(c, CC_ENOTSENT);
		return c;
	}
	if (c->conn == NULL)
		c->conn = conn_new(p, r->addr, r->port);
	c->conn->call = c;
	c->conn->sent = 0;
	c->conn->received = 0;
	c->conn->progress_from = 0;
	c->req = evhttp_request_new(on_answer, c);
	add_headers(r, c->req);
	if (r->len > 0)
		evbuffer_add(
		    evhttp_request_get_output_buffer(c->req), r->body, r->len);
	evtimer_add(c->timer, &tv);
	if (evhttp_make_request(c->conn->ev, c->req, r->method, r->path) != 0) {
		c->req = NULL;
		call_fail_later(c, CC_ENOTSENT);
		return c;
	}
	set_socket_options(c->conn);
	return c;
}

uint64_t
http_call_received(const struct http_call *c)
{
	return c->conn != NULL ? c->conn->received : 0;
}

void
http_cancel(struct http_call *c)
{
	if (c->req != NULL)
		cancel_request(c);
	if (c->conn != NULL)
		conn_abort(c->conn);
	call_free(c);
}

void
http_pool_traffic(const struct http_pool *p, uint64_t *sent, uint64_t *received)
{
	*sent = p->sent;
	*received = p->received;
}
