#include "http_server.h"

#include <arpa/inet.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"

#define BACKLOG 512
#define READ_TIMEOUT_S 10
#define WRITE_TIMEOUT_S 30
/** Time in which a complete request must arrive. */
#define REQUEST_TIMEOUT_MS 10000
/** Larger headers are refused with status 431. */
#define HEADERS_MAX_BYTES (16 << 10)
/** Larger headers close the connection without an answer. */
#define HEADERS_HARD_MAX_BYTES (256 << 10)
#define STATUS_HEADERS_TOO_LARGE 431
#define CONNECTIONS_MAX 4096
#define CONNECTIONS_PER_IP_MAX 1024
#define TICK_MS 500

struct caller_conn {
	TAILQ_ENTRY(caller_conn) link;
	struct http_server *server;
	evhtp_connection_t *conn;
	struct in6_addr ip;
	int64_t idle_since_ms; /**< accepted, or last answered */
	size_t header_bytes;
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
	int nconns;
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

static int
count_conns_from(const struct http_server *f, const struct in6_addr *ip)
{
	const struct caller_conn *c;
	int n = 0;

	TAILQ_FOREACH (c, &f->conns, link)
		n += memcmp(&c->ip, ip, sizeof(*ip)) == 0;
	return n;
}

static evhtp_res
conn_fini(evhtp_connection_t *conn, void *arg)
{
	struct caller_conn *c = arg;

	(void)conn;
	TAILQ_REMOVE(&c->server->conns, c, link);
	c->server->nconns--;
	free(c);
	return EVHTP_RES_OK;
}

/*
 * When a request target arrives in parts, the parser of libevhtp loses its
 * position and adds a character to the target. So the parser is called only
 * once the whole head has arrived.
 */
static void
on_readable(struct bufferevent *bev, void *arg)
{
	struct caller_conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);

	if (!c->in_body && end.pos < 0 &&
	    evbuffer_get_length(in) <= HEADERS_HARD_MAX_BYTES)
		return;
	c->evhtp.read(bev, c->evhtp.arg);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
	struct caller_conn *c = arg;

	c->evhtp.write(bev, c->evhtp.arg);
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
	return c->header_bytes > HEADERS_HARD_MAX_BYTES ? EVHTP_RES_BADREQ
							: EVHTP_RES_OK;
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
on_accept(evhtp_connection_t *conn, void *arg)
{
	struct http_server *f = arg;
	struct in6_addr ip = ip_of(conn->saddr);
	struct caller_conn *c;

	if (f->nconns >= CONNECTIONS_MAX ||
	    count_conns_from(f, &ip) >= CONNECTIONS_PER_IP_MAX) {
		kvlog(KVLOG_WARN, "connection_refused", "open=%d", f->nconns);
		return EVHTP_RES_ERROR;
	}
	c = xcalloc(1, sizeof(*c));
	c->server = f;
	c->conn = conn;
	c->ip = ip;
	c->idle_since_ms = clock_boot_ms();
	TAILQ_INSERT_TAIL(&f->conns, c, link);
	f->nconns++;
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_connection_fini, (evhtp_hook)conn_fini, c);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_header, (evhtp_hook)on_header, c);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_headers, (evhtp_hook)on_headers, c);
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

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct http_server *f = arg;
	struct server_request *r;
	struct caller_conn *c = conn_of(f, evhtp_request_get_connection(req));

	if (c != NULL && c->refused)
		return;
	r = xcalloc(1, sizeof(*r));
	r->server = f;
	r->req = req;
	r->conn = c;
	r->len = evbuffer_get_length(req->buffer_in);
	r->body = xmalloc(r->len + 1);
	evbuffer_copyout(req->buffer_in, r->body, r->len);
	r->body[r->len] = '\0';
	r->path = xstrdup(req->uri->path->full);
	f->open++;
	if (r->conn != NULL) {
		r->conn->open++;
		r->conn->in_body = false;
		r->conn->header_bytes = 0;
	}
	evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)request_fini, r);
	r->in_handler = true;
	f->fn(r, f->arg);
	if (r->answered) {
		request_free(r);
		return;
	}
	r->in_handler = false;
	evhtp_request_pause(req);
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
		next = TAILQ_NEXT(c, link);
		if (c->open == 0 &&
		    (f->leaving || now - c->idle_since_ms > REQUEST_TIMEOUT_MS))
			evhtp_connection_free(c->conn);
	}
}

struct http_server *
http_server_new(
    struct event_base *base, const struct settings *s, server_fn fn, void *arg)
{
	struct http_server *f = xcalloc(1, sizeof(*f));
	struct timeval rt = {READ_TIMEOUT_S, 0}, wt = {WRITE_TIMEOUT_S, 0};
	struct timeval tv = {0, TICK_MS * 1000};
	char addr[64];

	f->base = base;
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
			r->conn->idle_since_ms = clock_boot_ms();
		}
		evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
		evhtp_send_reply(req, (evhtp_res)status);
		if (!in_handler)
			evhtp_request_resume(req);
	}
	if (!in_handler)
		request_free(r);
}
