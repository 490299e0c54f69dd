#include "http_server.h"

#include <arpa/inet.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"

#define BACKLOG 512
/** Longer than the idle timeout, so that the tick closes idle connections
 * first. */
#define READ_TIMEOUT_S 20
#define WRITE_TIMEOUT_S 30
/** Time in which a complete request must arrive. */
#define REQUEST_TIMEOUT_MS 10000
/** Time in which a caller must read its responses. */
#define RESPONSE_TIMEOUT_MS 30000
/** A response that is younger counts as on its way: its connection isn't closed
 * to make room. */
#define RESPONSE_GRACE_MS 1000
/** Callers may be idle for 15 s; the tick adds up to 0.5 s. */
#define IDLE_TIMEOUT_MS 16000
/** Larger headers are refused with status 431. */
#define HEADERS_MAX_BYTES (16 << 10)
/** Larger headers close the connection without an answer. */
#define HEADERS_HARD_MAX_BYTES (64 << 10)
/** As many as HEADERS_MAX_BYTES can hold; more close the connection. */
#define HEADERS_MAX_COUNT (HEADERS_MAX_BYTES / 4)
/** Allocations of libevhtp for a header, beside its text. */
#define HEADER_BYTES 160
/** Allocations for a connection and its request, beside buffers; the parser of
 * libevhtp has one of 8 KB. */
#define CONNECTION_BYTES (12 << 10)
#define BODY_FIRST_BYTES 4096
/** Limits of a server that has no budget given. */
#define MEMORY_MAX_BYTES (64 << 20)
#define STATUS_HEADERS_TOO_LARGE 431
#define CONNECTIONS_MAX 4096
#define CONNECTIONS_PER_IP_MAX 1024
#define TICK_MS 500

struct caller_conn {
	struct client client; /**< first: cast from it */
	TAILQ_ENTRY(caller_conn) link;
	struct http_server *server;
	evhtp_connection_t *conn;
	size_t searched; /**< input that doesn't hold the end of a head */
	size_t parsed;	 /**< bytes of the input that the request takes, without
			    the framing of chunks */
	size_t header_bytes;
	int nheaders;
	uint8_t *body; /**< of the request that arrives */
	size_t body_len;
	size_t body_size;     /**< allocated */
	size_t request_bytes; /**< held by the request that waits */
	int64_t unread_since_ms;
	bool stopped; /**< not read, as memory is short */
	bool in_body; /**< the head of a request is parsed, its body isn't */
	bool refused; /**< answered before its body arrived; to be closed */
	int open;     /**< requests that are not answered yet */
	struct {
		bufferevent_data_cb read;
		bufferevent_data_cb write;
		bufferevent_event_cb event;
		void *arg;
	} evhtp; /**< callbacks of libevhtp, which those of this file call */
};

struct http_server {
	struct event_base *base;
	evhtp_t *htp;
	struct event *tick;
	TAILQ_HEAD(caller_conn_list, caller_conn) conns;
	struct caller_budget *budget;
	enum client_port port;
	struct caller_budget default_budget; /**< where none is given */
	struct caller_conn *current;	     /**< whose event is handled */
	int64_t refusal_logged_ms;
	int open;
	bool leaving;
	int64_t body_max;
	server_fn fn;
	void *arg;
};

struct server_request {
	struct http_server *server;
	evhtp_request_t *req; /**< NULL once the caller has disconnected */
	struct caller_conn *conn;
	uint8_t *body;
	size_t len;
	char *path;
	bool in_handler;
	bool answered;
};

static struct in6_addr
ip_of(const struct sockaddr *sa)
{
	struct in6_addr ip;

	memset(&ip, 0, sizeof(ip));
	if (sa != NULL && sa->sa_family == AF_INET6)
		ip = ((const struct sockaddr_in6 *)sa)->sin6_addr;
	else if (sa != NULL && sa->sa_family == AF_INET)
		memcpy(&ip.s6_addr[12],
		    &((const struct sockaddr_in *)sa)->sin_addr, 4);
	return ip;
}

static evhtp_res
conn_fini(evhtp_connection_t *conn, void *arg)
{
	struct caller_conn *c = arg;

	(void)conn;
	TAILQ_REMOVE(&c->server->conns, c, link);
	caller_budget_remove(c->server->budget, &c->client);
	if (c->server->current == c)
		c->server->current = NULL;
	free(c->body);
	free(c);
	return EVHTP_RES_OK;
}

static void
close_client(struct client *client)
{
	struct caller_conn *c = (struct caller_conn *)client;

	evhtp_connection_free(c->conn);
}

static size_t
input_bytes(const struct caller_conn *c)
{
	return evbuffer_get_length(
	    bufferevent_get_input(evhtp_connection_get_bev(c->conn)));
}

static size_t
output_bytes(const struct caller_conn *c)
{
	return evbuffer_get_length(
	    bufferevent_get_output(evhtp_connection_get_bev(c->conn)));
}

/* Bytes that have arrived and that this process hasn't read yet. */
static int
unread_bytes(const struct caller_conn *c)
{
	evutil_socket_t fd =
	    bufferevent_getfd(evhtp_connection_get_bev(c->conn));
	int n = 0;

	return fd >= 0 && ioctl(fd, FIONREAD, &n) == 0 ? n : 0;
}

/* Whether no part of a request or of a response is under way, so that closing
 * the connection cuts off neither. */
static bool
is_quiet(const struct caller_conn *c)
{
	return c->open == 0 && !c->in_body && input_bytes(c) == 0 &&
	    output_bytes(c) == 0 && unread_bytes(c) == 0;
}

/*
 * Charges the connection for what it holds, and notes since when a request is
 * unfinished or a response unread.
 */
static void
charge(struct caller_conn *c)
{
	int64_t now = clock_boot_ms();
	size_t in = input_bytes(c), out = output_bytes(c);
	bool unfinished = c->in_body || in > 0;

	caller_budget_charge_buffers(c->server->budget, &c->client, in + out,
	    CONNECTION_BYTES + c->body_size + c->header_bytes +
		(size_t)c->nheaders * HEADER_BYTES + c->request_bytes);
	if (out == 0)
		c->unread_since_ms = 0;
	else if (c->unread_since_ms == 0)
		c->unread_since_ms = now;
	c->client.answering = c->open > 0 ||
	    (out > 0 && now - c->unread_since_ms < RESPONSE_GRACE_MS);
	if (!unfinished && out == 0)
		c->client.since_ms = 0;
	else
		caller_budget_set_busy(&c->client, now);
}

/* Accounts for a connection after an event of it, and makes room. */
static void
settle(struct http_server *f, struct caller_conn *c)
{
	if (f->current != c)
		return;
	f->current = NULL;
	charge(c);
	if (caller_budget_relieve(f->budget, &c->client, clock_boot_ms()) ||
	    c->stopped || c->open > 0)
		return;
	c->stopped = true;
	bufferevent_disable(evhtp_connection_get_bev(c->conn), EV_READ);
}

static void
forget_body(struct caller_conn *c)
{
	c->body = NULL;
	c->body_len = 0;
	c->body_size = 0;
}

/* Whether the head of a request has arrived whole, or is too large. What was
 * searched before isn't searched again. */
static bool
has_head(struct caller_conn *c, struct evbuffer *in)
{
	size_t len = evbuffer_get_length(in);
	struct evbuffer_ptr from, end;

	c->parsed = 0;
	if (c->in_body || len > HEADERS_HARD_MAX_BYTES)
		return true;
	if (c->searched + 4 > len)
		c->searched = 0;
	if (len < 4)
		return false;
	evbuffer_ptr_set(in, &from, c->searched, EVBUFFER_PTR_SET);
	end = evbuffer_search(in, "\r\n\r\n", 4, &from);
	if (end.pos >= 0) {
		c->parsed = (size_t)end.pos + 4;
		return true;
	}
	c->searched = len - 3;
	return false;
}

/*
 * When a request target arrives in parts, the parser of libevhtp loses its
 * position and adds a character to the target. So the parser is called only
 * once the whole head has arrived.
 */
static void
parse(struct caller_conn *c, struct bufferevent *bev)
{
	if (!has_head(c, bufferevent_get_input(bev)))
		return;
	c->searched = 0;
	c->evhtp.read(bev, c->evhtp.arg);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	struct caller_conn *c = arg;
	struct http_server *f = c->server;

	f->current = c;
	parse(c, bev);
	settle(f, c);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
	struct caller_conn *c = arg;
	struct http_server *f = c->server;

	f->current = c;
	c->unread_since_ms = 0;
	/* While a body is awaited, what was written is "100 Continue". */
	if (!c->in_body)
		caller_budget_set_idle(&c->client, clock_boot_ms());
	/* Left to itself, libevhtp would parse what has arrived of the next
	 * request here, whether its head is whole or not. */
	if (c->conn->flags & EVHTP_CONN_FLAG_WAITING) {
		c->conn->flags &= (uint16_t)~EVHTP_CONN_FLAG_WAITING;
		bufferevent_enable(bev, EV_READ);
	}
	c->evhtp.write(bev, c->evhtp.arg);
	if (f->current == c && c->open == 0 && !c->refused &&
	    evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		parse(c, bev);
	/* The response has said that the connection closes. */
	if (f->leaving && f->current == c && is_quiet(c))
		evhtp_connection_free(c->conn);
	settle(f, c);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct caller_conn *c = arg;

	c->evhtp.event(bev, what, c->evhtp.arg);
}

/* Puts the callbacks of this file before those of libevhtp. */
static void
wrap_callbacks(struct caller_conn *c)
{
	struct bufferevent *bev = evhtp_connection_get_bev(c->conn);

	bufferevent_getcb(bev, &c->evhtp.read, &c->evhtp.write, &c->evhtp.event,
	    &c->evhtp.arg);
	bufferevent_setcb(bev, on_readable, on_written, on_event, c);
}

static evhtp_res
on_header(evhtp_request_t *req, evhtp_header_t *hdr, void *arg)
{
	struct caller_conn *c = arg;

	(void)req;
	c->header_bytes += hdr->klen + hdr->vlen;
	c->nheaders++;
	return c->header_bytes > HEADERS_HARD_MAX_BYTES ||
		c->nheaders > HEADERS_MAX_COUNT
	    ? EVHTP_RES_BADREQ
	    : EVHTP_RES_OK;
}

/*
 * Moves a part of a body into one block of memory. libevhtp would keep a buffer
 * element of at least 1 KB for each part, of which a chunked body can have one
 * for each byte.
 */
static evhtp_res
on_body_part(evhtp_request_t *req, struct evbuffer *part, void *arg)
{
	struct caller_conn *c = arg;
	size_t n = evbuffer_get_length(part), max;

	(void)req;
	if (c->refused) {
		evbuffer_drain(part, n);
		return EVHTP_RES_OK;
	}
	max = (size_t)c->server->body_max;
	if (n > max || c->body_len > max - n)
		return EVHTP_RES_DATA_TOO_LONG;
	if (c->body_len + n + 1 > c->body_size) {
		size_t size = c->body_size + c->body_size / 2;

		if (size < BODY_FIRST_BYTES)
			size = BODY_FIRST_BYTES;
		if (size < c->body_len + n + 1)
			size = c->body_len + n + 1;
		if (size > max + 1)
			size = max + 1;
		c->body = xrealloc(c->body, size);
		c->body_size = size;
	}
	evbuffer_remove(part, c->body + c->body_len, n);
	c->body_len += n;
	c->parsed += n;
	return EVHTP_RES_OK;
}

/*
 * Refuses headers that are too large, and a Content-Length that is, without
 * waiting for the body.
 */
static evhtp_res
on_headers(evhtp_request_t *req, evhtp_headers_t *headers, void *arg)
{
	struct caller_conn *c = arg;
	const char *text = evhtp_header_find(headers, "Content-Length");
	int status = 0;

	c->in_body = true;
	if (c->header_bytes > HEADERS_MAX_BYTES)
		status = STATUS_HEADERS_TOO_LARGE;
	else if (text != NULL &&
	    strtoull(text, NULL, 10) > (uint64_t)c->server->body_max)
		status = EVHTP_RES_ENTOOLARGE;
	if (status == 0)
		return EVHTP_RES_OK;
	kvlog(KVLOG_INFO, "request_too_large", "status=%d header_bytes=%zu",
	    status, c->header_bytes);
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new("Connection", "close", 0, 0));
	evhtp_request_set_keepalive(req, 0);
	evhtp_send_reply(req, (evhtp_res)status);
	c->refused = true;
	return EVHTP_RES_OK;
}

static evhtp_res
refuse_connection(struct http_server *f)
{
	int64_t now = clock_boot_ms();

	if (now - f->refusal_logged_ms >= TICK_MS) {
		f->refusal_logged_ms = now;
		kvlog(KVLOG_WARN, "connection_refused", "open=%d",
		    f->budget->nconns[f->port]);
	}
	return EVHTP_RES_ERROR;
}

static evhtp_res
on_accept(evhtp_connection_t *conn, void *arg)
{
	struct http_server *f = arg;
	struct in6_addr ip = ip_of(conn->saddr);
	struct caller_conn *c;

	if (caller_budget_conns_from(f->budget, &ip, f->port) >=
	    CONNECTIONS_PER_IP_MAX)
		return refuse_connection(f);
	c = xcalloc(1, sizeof(*c));
	c->server = f;
	c->conn = conn;
	c->client.ip = ip;
	c->client.port = f->port;
	c->client.close = close_client;
	if (!caller_budget_add(f->budget, &c->client, clock_boot_ms())) {
		free(c);
		return refuse_connection(f);
	}
	caller_budget_charge(f->budget, &c->client, CONNECTION_BYTES);
	TAILQ_INSERT_TAIL(&f->conns, c, link);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_connection_fini, (evhtp_hook)conn_fini, c);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_header, (evhtp_hook)on_header, c);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_headers, (evhtp_hook)on_headers, c);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_read, (evhtp_hook)on_body_part, c);
	wrap_callbacks(c);
	return EVHTP_RES_OK;
}

static struct caller_conn *
conn_of(struct http_server *f, const evhtp_connection_t *conn)
{
	struct caller_conn *c;

	TAILQ_FOREACH (c, &f->conns, link)
		if (c->conn == conn)
			return c;
	return NULL;
}

static void
request_free(struct server_request *r)
{
	r->server->open--;
	free(r->body);
	free(r->path);
	free(r);
}

/* The caller disconnected before the answer. */
static evhtp_res
request_fini(evhtp_request_t *req, void *arg)
{
	struct server_request *r = arg;

	(void)req;
	r->req = NULL;
	r->conn = NULL;
	return EVHTP_RES_OK;
}

/* Gives the body that has arrived to the request. */
static void
take_body(struct server_request *r, struct caller_conn *c)
{
	r->len = c->body_len;
	r->body = c->body != NULL ? c->body : xmalloc(1);
	r->body[r->len] = '\0';
	c->request_bytes =
	    c->body_size + c->header_bytes + (size_t)c->nheaders * HEADER_BYTES;
	forget_body(c);
	c->in_body = false;
	c->header_bytes = 0;
	c->nheaders = 0;
}

/* Refuses a request that hasn't been passed to the handler. */
static void
refuse_request(struct caller_conn *c, evhtp_request_t *req)
{
	c->server->budget->refused++;
	c->refused = true;
	free(c->body);
	forget_body(c);
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new("Retry-After", "1", 0, 0));
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new("Connection", "close", 0, 0));
	evhtp_request_set_keepalive(req, 0);
	evhtp_send_reply(req, EVHTP_RES_SERVUNAVAIL);
}

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct http_server *f = arg;
	struct server_request *r;
	struct caller_conn *c = conn_of(f, evhtp_request_get_connection(req));
	bool alone;

	if (c == NULL || c->refused)
		return;
	charge(c);
	if (!caller_budget_relieve(f->budget, &c->client, clock_boot_ms())) {
		refuse_request(c, req);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->server = f;
	r->req = req;
	r->conn = c;
	alone = c->parsed == input_bytes(c);
	take_body(r, c);
	r->path = xstrdup(req->uri->path->full);
	f->open++;
	c->open++;
	evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)request_fini, r);
	r->in_handler = true;
	f->fn(r, f->arg);
	if (r->answered) {
		request_free(r);
		/* libevhtp parses one request for each event of the socket.
		 * With more input, the next one is parsed when the response is
		 * written, so that at most one is unread. */
		if (!alone) {
			evhtp_request_pause(req);
			evhtp_request_resume(req);
		}
		return;
	}
	r->in_handler = false;
	charge(c);
	evhtp_request_pause(req);
}

/* Why a connection without a request that waits is closed; CLIENT_ENDS: it
 * isn't. A request that the server stopped reading is late for lack of memory,
 * not because its sender is slow. */
static enum client_end
overdue(const struct caller_conn *c, int64_t now)
{
	enum client_end late =
	    c->stopped ? CLIENT_END_MEMORY : CLIENT_END_SLOW_SENDER;

	if (c->unread_since_ms != 0)
		return now - c->unread_since_ms > RESPONSE_TIMEOUT_MS
		    ? CLIENT_END_SLOW_READER
		    : CLIENT_ENDS;
	if (c->client.since_ms != 0)
		return now - c->client.since_ms > REQUEST_TIMEOUT_MS
		    ? late
		    : CLIENT_ENDS;
	return now - c->client.idle_since_ms > IDLE_TIMEOUT_MS ? CLIENT_END_IDLE
							       : CLIENT_ENDS;
}

static void
resume_stopped(struct http_server *f)
{
	struct caller_conn *c;

	for (c = TAILQ_FIRST(&f->conns); c != NULL; c = TAILQ_NEXT(c, link)) {
		if (!c->stopped)
			continue;
		c->stopped = false;
		bufferevent_enable(evhtp_connection_get_bev(c->conn), EV_READ);
	}
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *f = arg;
	struct caller_conn *c, *next;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	for (c = TAILQ_FIRST(&f->conns); c != NULL; c = next) {
		enum client_end why;

		next = TAILQ_NEXT(c, link);
		charge(c);
		if (c->open > 0)
			continue;
		why = overdue(c, now);
		if (why != CLIENT_ENDS)
			caller_budget_end(f->budget, &c->client, why, now);
		else if (f->leaving && is_quiet(c))
			evhtp_connection_free(c->conn);
	}
	if (caller_budget_relieve(f->budget, NULL, now))
		resume_stopped(f);
}

struct http_server *
http_server_new(
    struct event_base *base, const struct settings *s, server_fn fn, void *arg)
{
	return http_server_new_limited(base, s, NULL, CLIENT_CALLERS, fn, arg);
}

struct http_server *
http_server_new_limited(struct event_base *base, const struct settings *s,
    struct caller_budget *budget, enum client_port port, server_fn fn,
    void *arg)
{
	struct http_server *f = xcalloc(1, sizeof(*f));
	struct timeval rt = {READ_TIMEOUT_S, 0}, wt = {WRITE_TIMEOUT_S, 0};
	struct timeval tv = {0, TICK_MS * 1000};
	char addr[64];

	f->base = base;
	caller_budget_init(
	    &f->default_budget, MEMORY_MAX_BYTES, CONNECTIONS_MAX, 0);
	f->budget = budget != NULL ? budget : &f->default_budget;
	f->port = port;
	f->body_max = s->body_max;
	f->fn = fn;
	f->arg = arg;
	TAILQ_INIT(&f->conns);
	f->htp = evhtp_new(base, NULL);
	evhtp_set_timeouts(f->htp, &rt, &wt);
	evhtp_set_max_body_size(f->htp, (uint64_t)s->body_max);
	evhtp_set_gencb(f->htp, on_request, f);
	evhtp_set_post_accept_cb(f->htp, on_accept, f);
	snprintf(addr, sizeof(addr), "%s%s",
	    strchr(s->addr, ':') != NULL ? "ipv6:" : "", s->addr);
	if (evhtp_bind_socket(
		f->htp, addr, (uint16_t)s->caller_port, BACKLOG) != 0) {
		evhtp_free(f->htp);
		free(f);
		return NULL;
	}
	f->tick = event_new(base, -1, EV_PERSIST, on_tick, f);
	event_add(f->tick, &tv);
	return f;
}

void
http_server_drain(struct http_server *f)
{
	if (f->leaving)
		return;
	f->leaving = true;
	evhtp_unbind_socket(f->htp);
}

void
http_server_delete(struct http_server *f)
{
	struct caller_conn *c;

	while ((c = TAILQ_FIRST(&f->conns)) != NULL)
		evhtp_connection_free(c->conn);
	if (!f->leaving)
		evhtp_unbind_socket(f->htp);
	event_free(f->tick);
	evhtp_free(f->htp);
	free(f);
}

int
http_server_open_requests(const struct http_server *f)
{
	return f->open;
}

int
http_server_busy_connections(const struct http_server *f)
{
	const struct caller_conn *c;
	int n = 0;

	TAILQ_FOREACH (c, &f->conns, link)
		n += !is_quiet(c);
	return n;
}

enum server_method
server_request_method(const struct server_request *r)
{
	switch (evhtp_request_get_method(r->req)) {
	case htp_method_GET:
		return SERVER_GET;
	case htp_method_POST:
		return SERVER_POST;
	case htp_method_DELETE:
		return SERVER_DELETE;
	default:
		return SERVER_OTHER;
	}
}

const char *
server_request_path(const struct server_request *r)
{
	return r->path;
}

const char *
server_request_param(const struct server_request *r, const char *name)
{
	if (r->req->uri->query == NULL)
		return NULL;
	return evhtp_kv_find(r->req->uri->query, name);
}

const char *
server_request_header(const struct server_request *r, const char *name)
{
	return evhtp_header_find(r->req->headers_in, name);
}

const uint8_t *
server_request_body(const struct server_request *r, size_t *len)
{
	*len = r->len;
	return r->body;
}

static void
add_header(evhtp_request_t *req, const char *name, const char *value)
{
	if (value != NULL && *value != '\0')
		evhtp_headers_add_header(
		    req->headers_out, evhtp_header_new(name, value, 1, 1));
}

void
server_answer(struct server_request *r, int status, const char *content_type,
    const void *body, size_t len, const struct server_header *headers)
{
	evhtp_request_t *req = r->req;
	bool in_handler = r->in_handler;

	r->answered = true;
	if (req != NULL) {
		add_header(req, "Content-Type", content_type);
		for (; headers != NULL && headers->name != NULL; headers++)
			add_header(req, headers->name, headers->value);
		if (r->server->leaving)
			add_header(req, "Connection", "close");
		if (len > 0)
			evbuffer_add(req->buffer_out, body, len);
		if (r->conn != NULL) {
			r->conn->open--;
			r->conn->request_bytes = 0;
			r->conn->client.since_ms = 0;
		}
		evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
		evhtp_send_reply(req, (evhtp_res)status);
		if (r->conn != NULL)
			charge(r->conn);
		if (!in_handler)
			evhtp_request_resume(req);
	}
	if (!in_handler)
		request_free(r);
}
