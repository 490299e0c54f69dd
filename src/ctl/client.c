#include "client.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../transport/http_call.h"
#include "../transport/peer_auth.h"

#define REQUEST_TIMEOUT_MS 10000

struct reply {
	struct event_base *base;
	int err;
	int status;
	char *text;
};

void
client_init(struct client *c)
{
	memset(c, 0, sizeof(*c));
	c->base = event_base_new();
}

void
client_done(struct client *c)
{
	event_base_free(c->base);
}

int
client_host_parse(struct client_host *h, const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned char buf[16];
	char *end;
	long port;
	size_t n;

	if (colon == NULL)
		return CC_EINVAL;
	n = (size_t)(colon - text);
	if (n >= 2 && text[0] == '[' && text[n - 1] == ']') {
		text++;
		n -= 2;
	}
	if (n == 0 || n >= sizeof(h->addr))
		return CC_EINVAL;
	memcpy(h->addr, text, n);
	h->addr[n] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > 65535)
		return CC_EINVAL;
	h->port = (uint16_t)port;
	if (inet_pton(AF_INET, h->addr, buf) != 1 &&
	    inet_pton(AF_INET6, h->addr, buf) != 1)
		return CC_EINVAL;
	return CC_OK;
}

static void
on_response(const struct http_answer *a, void *arg)
{
	struct reply *r = arg;

	r->err = a->err;
	r->status = a->status;
	r->text = xcalloc(1, a->len + 1);
	if (a->len > 0)
		memcpy(r->text, a->body, a->len);
	event_base_loopbreak(r->base);
}

/* Sends one request and runs the event loop until it is answered. */
static int
send_request(struct client *c, const struct client_host *h,
    enum evhttp_cmd_type method, const char *path, const char *body,
    const char *auth, char **text)
{
	struct http_pool *pool = http_pool_new(c->base, "");
	struct reply r = {.base = c->base};
	struct http_request rq = {
	    .addr = h->addr,
	    .port = h->port,
	    .method = method,
	    .path = path,
	    .body = body,
	    .len = body != NULL ? strlen(body) : 0,
	    .content_type = body != NULL ? "application/json" : NULL,
	    .timeout_ms = REQUEST_TIMEOUT_MS,
	    .fn = on_response,
	    .arg = &r,
	};

	if (auth != NULL)
		rq.headers[0] = (struct http_header){"X-Celerycart-Auth", auth};
	http_call(pool, &rq);
	event_base_dispatch(c->base);
	http_pool_delete(pool);
	*text = r.text;
	return r.err != CC_OK ? r.err : r.status;
}

static bool
get_nonce(struct client *c, const struct client_host *h, char nonce[64])
{
	char *text;
	json_error_t je;
	json_t *j;
	const char *s;
	int status = send_request(
	    c, h, EVHTTP_REQ_GET, "/v1/challenge", NULL, NULL, &text);

	j = status == 200 ? json_loads(text, 0, &je) : NULL;
	s = json_string_value(json_object_get(j, "nonce"));
	str_copy(nonce, s != NULL ? s : "", 64);
	json_decref(j);
	free(text);
	return nonce[0] != '\0';
}

/* Sends a request with the HMAC that the operator port requires. */
static int
send_authenticated(struct client *c, const struct client_host *h,
    enum evhttp_cmd_type method, const char *path, const char *body,
    char **text)
{
	char nonce[64], mac[AUTH_TEXT_LEN], auth[160];

	*text = NULL;
	if (!get_nonce(c, h, nonce))
		return CC_ECONN;
	operator_auth_text(c->key, nonce,
	    method == EVHTTP_REQ_POST ? "POST" : "GET", path, body,
	    body != NULL ? strlen(body) : 0, mac);
	snprintf(auth, sizeof(auth), "%s:%s", nonce, mac);
	return send_request(c, h, method, path, body, auth, text);
}

/* Parses the response body and frees it. */
static int
parse_reply(int status, char *text, json_t **out)
{
	json_error_t je;

	*out = text != NULL ? json_loads(text, 0, &je) : NULL;
	free(text);
	if (status > 0 && *out == NULL)
		return CC_EPROTO;
	return status;
}

int
client_request_host(struct client *c, const struct client_host *h,
    enum evhttp_cmd_type method, const char *path, json_t *body, json_t **out)
{
	char *text,
	    *sent = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	int status = send_authenticated(c, h, method, path, sent, &text);

	free(sent);
	snprintf(c->last_host, sizeof(c->last_host), "%s:%u", h->addr, h->port);
	return parse_reply(status, text, out);
}

int
client_request(struct client *c, enum evhttp_cmd_type method, const char *path,
    json_t *body, json_t **out)
{
	int i, status = CC_ECONN;

	*out = NULL;
	for (i = 0; i < c->nhosts; i++) {
		status = client_request_host(
		    c, &c->hosts[i], method, path, body, out);
		if (status > 0)
			return status;
		fprintf(stderr, "celerycartctl: %s does not answer (%s)%s\n",
		    c->last_host, cc_strerror(status),
		    i + 1 < c->nhosts ? ", trying the next host" : "");
	}
	fprintf(stderr,
	    "celerycartctl: no host answered; check --host and "
	    "that celerycartd runs there\n");
	return status;
}

int
client_request_caller(struct client *c, enum evhttp_cmd_type method,
    const char *path, json_t *body, json_t **out)
{
	char *text,
	    *sent = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	int status;

	*out = NULL;
	if (!c->has_caller) {
		fprintf(stderr,
		    "celerycartctl: this command needs "
		    "--caller ADDR:PORT, a caller port\n");
		free(sent);
		return CC_EINVAL;
	}
	status = send_request(c, &c->caller, method, path, sent, NULL, &text);
	free(sent);
	if (status < 0)
		fprintf(stderr, "celerycartctl: %s:%u does not answer (%s)\n",
		    c->caller.addr, c->caller.port, cc_strerror(status));
	return parse_reply(status, text, out);
}

char *
client_get_text(struct client *c, const char *path)
{
	char *text;
	int i;

	for (i = 0; i < c->nhosts; i++) {
		if (send_authenticated(c, &c->hosts[i], EVHTTP_REQ_GET, path,
			NULL, &text) == 200)
			return text;
		free(text);
	}
	return NULL;
}
