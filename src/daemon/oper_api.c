#include "oper_api.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "../transport/peer_auth.h"
#include "conf_sync.h"
#include "gather.h"
#include "oper_json.h"
#include "task_view.h"

#define BODY_MAX (2 << 20)
#define HEADERS_MAX (16 << 10)
#define TIMEOUT_S 70
/** Nonces kept; a new one replaces the oldest. */
#define NONCES_MAX 256
#define NONCE_TTL_MS 30000
#define DAY_MS 86400000LL

struct nonce {
	char text[33];
	int64_t issued_ms; /**< 0: used, or never issued */
};

struct oper {
	struct node *node;
	struct evhttp *http;
	struct nonce nonces[NONCES_MAX];
	unsigned next_nonce;
};

static void
answer(struct evhttp_request *req, int status, json_t *j)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(j, JSON_INDENT(1) | JSON_SORT_KEYS);

	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evbuffer_add(out, text, strlen(text));
	evbuffer_add(out, "\n", 1);
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(j);
}

static void
answer_error(struct evhttp_request *req, int status, const char *text,
    const char *advice)
{
	answer(req, status,
	    json_pack("{s:s,s:s}", "error", text, "advice", advice));
}

/* ---- authentication ---- */

static void
issue_nonce(struct oper *o, struct evhttp_request *req)
{
	struct nonce *n = &o->nonces[o->next_nonce++ % NONCES_MAX];
	uint64_t rnd[2];

	evutil_secure_rng_get_bytes(rnd, sizeof(rnd));
	snprintf(n->text, sizeof(n->text), "%016" PRIx64 "%016" PRIx64, rnd[0],
	    rnd[1]);
	n->issued_ms = clock_boot_ms();
	answer(req, 200, json_pack("{s:s}", "nonce", n->text));
}

/* Checks a nonce and invalidates it: each is good for one request. */
static bool
use_nonce(struct oper *o, const char *text)
{
	int64_t now = clock_boot_ms();
	int i;

	for (i = 0; i < NONCES_MAX; i++)
		if (o->nonces[i].issued_ms > 0 &&
		    strcmp(o->nonces[i].text, text) == 0) {
			bool fresh =
			    now - o->nonces[i].issued_ms < NONCE_TTL_MS;

			o->nonces[i].issued_ms = 0;
			return fresh;
		}
	return false;
}

static const char *
method_name(struct evhttp_request *req)
{
	return evhttp_request_get_command(req) == EVHTTP_REQ_POST ? "POST"
								  : "GET";
}

static bool
authorized(struct oper *o, struct evhttp_request *req)
{
	const char *h = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "X-Celerycart-Auth");
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char nonce[33], want[AUTH_TEXT_LEN];
	const char *sep = h != NULL ? strchr(h, ':') : NULL;
	size_t len = evbuffer_get_length(in);

	if (sep == NULL || sep - h != (ptrdiff_t)sizeof(nonce) - 1)
		return false;
	memcpy(nonce, h, sizeof(nonce) - 1);
	nonce[sizeof(nonce) - 1] = '\0';
	operator_auth_text(o->node->settings->key, nonce, method_name(req),
	    evhttp_request_get_uri(req), len ? evbuffer_pullup(in, -1) : NULL,
	    len, want);
	return operator_auth_equal(want, sep + 1) && use_nonce(o, nonce);
}

/* ---- configuration ---- */

struct apply_call {
	struct evhttp_request *req;
	struct node *node;
};

static void
applied(int err, uint64_t version, void *arg)
{
	struct apply_call *c = arg;

	if (err == CC_OK)
		answer(c->req, 200,
		    json_pack("{s:I}", "version", (json_int_t)version));
	else if (err == CC_ECONFLICT)
		answer(c->req, 409,
		    json_pack("{s:s,s:s,s:I,s:s,s:s}", "error",
			"another version was applied meanwhile", "advice",
			"look at the difference, then apply again", "version",
			(json_int_t)c->node->conf.version, "who",
			c->node->conf.who, "text",
			c->node->conf.text != NULL ? c->node->conf.text : ""));
	else
		answer_error(c->req, 503,
		    "the table did not answer; it is not known whether the "
		    "configuration was applied",
		    "run 'config status' in a moment");
	free(c);
}

static json_t *
findings_json(const struct findings *fs)
{
	json_t *a = json_array();
	const struct finding *f;

	TAILQ_FOREACH (f, &fs->list, link)
		json_array_append_new(a,
		    json_pack("{s:i,s:i,s:s,s:s}", "line", f->line, "column",
			f->column, "field", f->field, "text", f->text));
	return a;
}

static void
post_config(struct oper *o, struct evhttp_request *req)
{
	struct node *n = o->node;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_error_t je;
	json_t *j =
	    json_loadb(len ? (char *)evbuffer_pullup(in, -1) : "", len, 0, &je);
	const char *text = json_string_value(json_object_get(j, "text"));
	const char *who = json_string_value(json_object_get(j, "who"));
	json_int_t seen = json_integer_value(json_object_get(j, "seen"));
	struct findings fs;
	struct classes classes;
	struct apply_call *c;

	if (text == NULL || !json_is_integer(json_object_get(j, "seen"))) {
		answer_error(req, 400, "the body needs text and seen",
		    "use celerycartctl config apply");
		json_decref(j);
		return;
	}
	findings_init(&fs, "config");
	classes_parse(&classes, text, strlen(text), &fs);
	classes_done(&classes);
	if (fs.count > 0) {
		answer(req, 400,
		    json_pack("{s:s,s:o}", "error",
			"the configuration has findings", "findings",
			findings_json(&fs)));
	} else if ((uint64_t)seen < n->conf.version) {
		c = xcalloc(1, sizeof(*c));
		c->req = req;
		c->node = n;
		applied(CC_ECONFLICT, n->conf.version, c);
	} else {
		c = xcalloc(1, sizeof(*c));
		c->req = req;
		c->node = n;
		conf_sync_apply(n->conf_sync, (uint64_t)seen, text,
		    who != NULL && *who != '\0' ? who : "operator", applied, c);
	}
	findings_done(&fs);
	json_decref(j);
}

static void
handle_config(struct oper *o, struct evhttp_request *req)
{
	const struct conf *c = &o->node->conf;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
		post_config(o, req);
		return;
	}
	answer(req, 200,
	    json_pack("{s:I,s:s,s:s,s:I}", "version", (json_int_t)c->version,
		"who", c->who, "text", c->text != NULL ? c->text : "",
		"applied_ms", (json_int_t)c->applied_wall_ms));
}

static void
history_read(int err, const struct table_item *items, size_t n, void *arg)
{
	struct evhttp_request *req = arg;
	json_t *a;
	size_t i;

	if (err != CC_OK) {
		answer_error(req, 503, "the table did not answer",
		    "try again in a moment");
		return;
	}
	a = json_array();
	for (i = 0; i < n; i++)
		json_array_append_new(a,
		    json_pack("{s:I,s:s,s:I,s:I}", "version",
			(json_int_t)table_item_num(&items[i], "version"), "who",
			table_item_text(&items[i], "who"), "applied_ms",
			(json_int_t)table_item_num(&items[i], "wall_ms"),
			"bytes",
			(json_int_t)table_item_num(&items[i], "bytes")));
	answer(req, 200, json_pack("{s:o}", "history", a));
}

static void
get_history(struct oper *o, struct evhttp_request *req)
{
	conf_sync_history(o->node->conf_sync, history_read, req);
}

/* ---- reads ---- */

static void
get_status(struct oper *o, struct evhttp_request *req)
{
	answer(req, 200, oper_json_status(o->node));
}

static void
get_hosts(struct oper *o, struct evhttp_request *req)
{
	answer(req, 200, oper_json_hosts(o->node));
}

static void
get_classes(struct oper *o, struct evhttp_request *req)
{
	answer(req, 200, oper_json_classes(o->node));
}

static void
get_workers(struct oper *o, struct evhttp_request *req)
{
	answer(req, 200, oper_json_workers(o->node));
}

static void
get_runners(struct oper *o, struct evhttp_request *req)
{
	answer(req, 200, oper_json_runners(o->node));
}

static void
get_metrics(struct oper *o, struct evhttp_request *req)
{
	struct evbuffer *out = evbuffer_new();
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	if (f != NULL) {
		stats_print(o->node, f);
		fclose(f);
		evbuffer_add(out, text, len);
	}
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	free(text);
}

static const char *
param(const struct evkeyvalq *q, const char *name)
{
	const char *s = evhttp_find_header(q, name);

	return s != NULL ? s : "";
}

static void
gathered(json_t *result, void *arg)
{
	answer(arg, 200, result);
}

static void
get_tasks(struct oper *o, struct evhttp_request *req)
{
	struct evkeyvalq q;

	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req))
		? evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req))
		: "",
	    &q);
	gather_tasks(
	    o->node, param(&q, "class"), param(&q, "state"), gathered, req);
	evhttp_clear_headers(&q);
}

static void
get_cost(struct oper *o, struct evhttp_request *req)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq q;
	int64_t to = clock_wall_ms() / DAY_MS, from = 0;

	evhttp_parse_query_str(query != NULL ? query : "", &q);
	if (*param(&q, "from") != '\0')
		from = strtoll(param(&q, "from"), NULL, 10);
	if (*param(&q, "to") != '\0')
		to = strtoll(param(&q, "to"), NULL, 10);
	gather_costs(o->node, from, to, gathered, req);
	evhttp_clear_headers(&q);
}

static void
post_drain(struct oper *o, struct evhttp_request *req)
{
	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
		answer_error(
		    req, 405, "allowed is POST", "use celerycartctl drain");
		return;
	}
	answer(
	    req, 200, json_pack("{s:s}", "draining", o->node->settings->host));
	node_leave(o->node);
}

static const struct {
	const char *path;
	void (*fn)(struct oper *o, struct evhttp_request *req);
} routes[] = {
    {"/v1/status", get_status},
    {"/v1/hosts", get_hosts},
    {"/v1/classes", get_classes},
    {"/v1/workers", get_workers},
    {"/v1/runners", get_runners},
    {"/v1/tasks", get_tasks},
    {"/v1/cost", get_cost},
    {"/v1/config", handle_config},
    {"/v1/config/history", get_history},
    {"/v1/drain", post_drain},
    {"/metrics", get_metrics},
};

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct oper *o = arg;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	size_t i;

	if (strcmp(path, "/healthz") == 0) {
		answer(req, 200, json_pack("{s:b}", "alive", 1));
		return;
	}
	if (strcmp(path, "/v1/challenge") == 0) {
		issue_nonce(o, req);
		return;
	}
	if (!authorized(o, req)) {
		kvlog(KVLOG_WARN, "operator_refused", "path=%.64s", path);
		answer_error(req, 401, "the key is missing or wrong",
		    "give the shared key of the settings with --key-file");
		return;
	}
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (strcmp(routes[i].path, path) == 0) {
			routes[i].fn(o, req);
			return;
		}
	answer_error(req, 404, "there is no such path",
	    "the program and the daemon may differ in version");
}

struct oper *
oper_new(struct node *n)
{
	struct oper *o = xcalloc(1, sizeof(*o));

	o->node = n;
	o->http = evhttp_new(n->base);
	evhttp_set_max_body_size(o->http, BODY_MAX);
	evhttp_set_max_headers_size(o->http, HEADERS_MAX);
	evhttp_set_timeout(o->http, TIMEOUT_S);
	evhttp_set_allowed_methods(o->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_gencb(o->http, on_request, o);
	if (evhttp_bind_socket(o->http, n->settings->addr,
		(uint16_t)n->settings->operator_port) != 0) {
		evhttp_free(o->http);
		free(o);
		return NULL;
	}
	return o;
}

void
oper_delete(struct oper *o)
{
	evhttp_free(o->http);
	free(o);
}
