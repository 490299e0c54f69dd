/*
 * Clients: they hand submissions in, at any host, again after no answer, a
 * broken channel, a 502 or a 504, and after the time of a 429 or 503.
 */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 3000
#define TRIES_MAX 30
#define READY_MS 100

struct sub *subs;

struct call {
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char id[20]; /**< of the submission; empty: a readiness check */
	int host;
	bool polls;
};

static bool ready[HOSTS_MAX + 1], asking[HOSTS_MAX + 1];
static int64_t ready_ms;

static void
host_addr(char *buf, size_t len, int host)
{
	snprintf(buf, len, "127.0.0.%d", 10 + host);
}

static void
on_free(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

/* The connection is freed from the event loop. */
static void
call_free(struct call *c)
{
	struct timeval tv = {0, 0};

	event_base_once(base, -1, EV_TIMEOUT, on_free, c->conn, &tv);
	free(c);
}

static void
on_poll(struct sub *s, int status, struct evhttp_request *req, int host)
{
	struct evbuffer *in =
	    req != NULL ? evhttp_request_get_input_buffer(req) : NULL;
	size_t len = in != NULL ? evbuffer_get_length(in) : 0;
	json_t *j = len > 0
	    ? json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL)
	    : NULL;
	const char *state = json_string_value(json_object_get(j, "state"));

	s->polling = false;
	s->poll_status = status;
	if (status == 200 && state != NULL) {
		if (strcmp(s->shown, state) != 0)
			record("shown id=%s state=%s by=e%d", s->id, state,
			    host);
		snprintf(s->shown, sizeof(s->shown), "%s", state);
		s->shown_ms = now_ms();
	} else if (status != 503 && status != 0) {
		record("shown id=%s status=%d by=e%d", s->id, status, host);
	}
	json_decref(j);
}

static void
on_submitted(struct sub *s, int status, struct evhttp_request *req, int host)
{
	const char *later = req != NULL
	    ? evhttp_find_header(
		  evhttp_request_get_input_headers(req), "Retry-After")
	    : NULL;

	s->in_flight = false;
	record("answer id=%s status=%d by=e%d", s->id, status, host);
	if (status / 100 == 2) {
		s->state = CLIENT_ACCEPTED;
		s->accepted_ms = now_ms();
	} else if (status == 429 || status == 503) {
		s->state = CLIENT_REJECTED;
		s->next_ms =
		    now_ms() + (later != NULL ? atoi(later) : 1) * 1000;
	} else if (status == 0 || status == 502 || status == 504) {
		s->state = CLIENT_UNKNOWN;
		s->next_ms = now_ms() + 200;
	} else {
		s->state = CLIENT_REJECTED;
		s->tries = TRIES_MAX;
	}
}

static void
on_done(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	int status = req != NULL ? evhttp_request_get_response_code(req) : 0;
	struct sub *s;

	if (c->id[0] == '\0') {
		ready[c->host] = status == 200;
		asking[c->host] = false;
	} else {
		HASH_FIND_STR(subs, c->id, s);
		if (c->polls)
			on_poll(s, status, req, c->host);
		else
			on_submitted(s, status, req, c->host);
	}
	call_free(c);
}

static void
send_call(int host, int port, const char *id, bool polls,
    enum evhttp_cmd_type method, const char *path, const char *body)
{
	struct call *c = calloc(1, sizeof(*c));
	struct timeval tv = {DEADLINE_MS / 1000, 0};
	struct evkeyvalq *h;
	char addr[24];

	host_addr(addr, sizeof(addr), host);
	c->host = host;
	c->polls = polls;
	snprintf(c->id, sizeof(c->id), "%s", id);
	c->conn = evhttp_connection_base_new(base, NULL, addr, (uint16_t)port);
	evhttp_connection_set_timeout_tv(c->conn, &tv);
	c->req = evhttp_request_new(on_done, c);
	h = evhttp_request_get_output_headers(c->req);
	evhttp_add_header(h, "Host", "cell.example");
	evhttp_add_header(h, "X-Celerycart-Deadline-Ms", "3000");
	if (body != NULL) {
		evhttp_add_header(h, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(c->req), body,
		    strlen(body));
	}
	evhttp_make_request(c->conn, c->req, method, path);
}

struct sub *
sub_add(const char *id, const char *prefix, json_t *body)
{
	struct sub *s = calloc(1, sizeof(*s));

	snprintf(s->id, sizeof(s->id), "%s", id);
	s->prefix = prefix;
	s->body = json_dumps(body, JSON_COMPACT);
	s->first_ms = now_ms();
	json_decref(body);
	HASH_ADD_STR(subs, id, s);
	return s;
}

static int
pick_host(const struct sub *s, int nth)
{
	return 1 + (int)((hash_text(s->id) + (uint32_t)nth) %
		       (uint32_t)opt.hosts);
}

static void
sub_send(struct sub *s)
{
	int host = pick_host(s, s->tries++);
	char path[80];

	snprintf(path, sizeof(path), "%s%s", s->prefix, s->id);
	s->in_flight = true;
	s->state = CLIENT_SENT;
	record("submit id=%s to=e%d", s->id, host);
	send_call(
	    host, opt.port + 1, s->id, false, EVHTTP_REQ_POST, path, s->body);
}

void
sub_poll(struct sub *s, int host)
{
	char path[80];

	if (s->polling)
		return;
	s->polling = true;
	s->poll_ms = now_ms();
	snprintf(path, sizeof(path), "%s%s", s->prefix, s->id);
	send_call(host, opt.port + 1, s->id, true, EVHTTP_REQ_GET, path, NULL);
}

static void
ask_ready(void)
{
	int i;

	if (now_ms() - ready_ms < READY_MS)
		return;
	ready_ms = now_ms();
	for (i = 1; i <= opt.hosts; i++) {
		if (asking[i])
			continue;
		asking[i] = true;
		send_call(i, opt.port + 2, "", false, EVHTTP_REQ_GET,
		    "/v1/readiness", NULL);
	}
}

bool
hosts_ready(void)
{
	int i;

	for (i = 1; i <= opt.hosts; i++)
		if (!ready[i])
			return false;
	return true;
}

void
clients_tick(void)
{
	struct sub *s;

	ask_ready();
	for (s = subs; s != NULL; s = s->hh.next) {
		if (!s->in_flight && s->state != CLIENT_ACCEPTED &&
		    s->tries < TRIES_MAX && now_ms() >= s->next_ms)
			sub_send(s);
		if (s->state == CLIENT_ACCEPTED && !s->polling &&
		    strcmp(s->shown, "completed") != 0 &&
		    strcmp(s->shown, "failed") != 0 &&
		    now_ms() - s->poll_ms > 500)
			sub_poll(s, pick_host(s, (int)(now_ms() / 500)));
	}
}
