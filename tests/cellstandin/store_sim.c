/* Simulated store: versioned rows, conditional transactions and watches. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

#define ANSWER_MS 4
#define SLOW_MS 250
#define LATE_MS 60
#define RATE_TICK_MS 20
#define LOST_EVERY 4 /* with FAULT_LOST, one in this many writes */

struct cell_row {
	TAILQ_ENTRY(cell_row) link;
	char table[64];
	char part[64];
	char key[201];
	char *value; /**< base64; NULL when it was removed */
	uint64_t version;
};

struct watcher {
	TAILQ_ENTRY(watcher) link;
	struct store_view *view;
	struct evhttp_request *req;
	char table[64];
	uint64_t after; /**< only later versions are reported */
	struct event *timer;
};

/** The store as the callers of one zone see it. */
struct store_view {
	struct store_sim *sim;
	int index;
	struct evhttp *http;
	enum fault_mode mode;
	struct held_list held;
	struct bufferevent_rate_limit_group *link; /**< NULL: no limit */
};

struct store_sim {
	struct event_base *base;
	struct store_zones zones;
	struct store_view views[VIEWS];
	TAILQ_HEAD(row_list, cell_row) rows;
	TAILQ_HEAD(watcher_list, watcher) watchers;
	uint64_t version;
	uint64_t floor; /**< oldest version that a watch may start from */
	enum fault_mode mode;
	int writes; /**< transactions applied while in FAULT_LOST */
};

/** An answer that is sent after a delay. */
struct delayed_answer {
	struct evhttp_request *req; /**< NULL: the connection was closed */
	int status;
	json_t *body;
};

const char *
view_addr(int view)
{
	static const char *const addrs[VIEWS] = {
	    "127.0.0.1", "127.0.0.201", "127.0.0.202", "127.0.0.203"};

	return addrs[view];
}

static void
send_delayed(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_answer *l = arg;

	(void)fd;
	(void)what;
	if (l->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(l->req), NULL, NULL);
		reply_json(l->req, l->status, l->body);
	} else {
		json_decref(l->body);
	}
	free(l);
}

static void
on_delayed_closed(struct evhttp_connection *c, void *arg)
{
	struct delayed_answer *l = arg;

	(void)c;
	l->req = NULL;
}

static void
reply_after(struct store_sim *s, struct evhttp_request *req, int status,
    json_t *body, int ms)
{
	struct delayed_answer *l = xcalloc(1, sizeof(*l));
	struct timeval tv = {0, ms * 1000};

	json_object_set_new(
	    body, "row_version", json_integer((json_int_t)s->version));
	json_object_set_new(body, "now_ms", json_integer(now_ms()));
	l->req = req;
	l->status = status;
	l->body = body;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_delayed_closed, l);
	event_base_once(s->base, -1, EV_TIMEOUT, send_delayed, l, &tv);
}

static void
reply(struct store_sim *s, struct evhttp_request *req, int status, json_t *body)
{
	reply_after(
	    s, req, status, body, s->mode == FAULT_SLOW ? SLOW_MS : ANSWER_MS);
}

struct bufferevent_rate_limit_group *
rate_limit_set(struct event_base *base, struct bufferevent_rate_limit_group *g,
    int bytes_per_s)
{
	size_t each = (size_t)bytes_per_s * RATE_TICK_MS / 1000;
	struct timeval tick = {0, RATE_TICK_MS * 1000};
	struct ev_token_bucket_cfg *c = ev_token_bucket_cfg_new(
	    EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, each, each, &tick);

	if (g == NULL)
		g = bufferevent_rate_limit_group_new(base, c);
	else
		bufferevent_rate_limit_group_set_cfg(g, c);
	ev_token_bucket_cfg_free(c);
	return g;
}

/* All answers to the callers of a view share its link. */
static void
use_link(const struct store_view *v, struct evhttp_request *req)
{
	if (v->link != NULL)
		bufferevent_add_to_rate_limit_group(
		    evhttp_connection_get_bufferevent(
			evhttp_request_get_connection(req)),
		    v->link);
}

/* Applies the active fault; @return whether the call must not be served, or not
 * now, and then by @p fn. */
static bool
apply_fault(struct store_view *v, struct evhttp_request *req, held_fn fn)
{
	use_link(v, req);
	switch (v->mode != FAULT_NONE ? v->mode : v->sim->mode) {
	case FAULT_BUSY:
		reply_json(req, 503, json_object());
		return true;
	case FAULT_RESET:
		reply_reset(req);
		return true;
	case FAULT_SILENT:
	case FAULT_UNANSWERED:
		return true;
	case FAULT_HELD:
	case FAULT_HELD_ALL:
		if (v->sim->zones.hold != NULL)
			v->sim->zones.hold(&v->held, req, fn, NULL, v);
		return true;
	default:
		return false;
	}
}

static struct cell_row *
find_row(
    struct store_sim *s, const char *table, const char *part, const char *key)
{
	struct cell_row *r;

	TAILQ_FOREACH (r, &s->rows, link)
		if (strcmp(r->key, key) == 0 && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0)
			return r;
	return NULL;
}

/* Replaces the addresses of other views in a row, which have the same length.
 */
static void
replace_views(const struct store_view *v, char *plain, size_t len)
{
	const char *own = view_addr(v->index);
	char *at;
	int i;

	for (i = 1; i < VIEWS; i++)
		while (i != v->index &&
		    (at = memmem(plain, len, view_addr(i), strlen(own))) !=
			NULL)
			memcpy(at, own, strlen(own));
}

/* The entry of a runner names the address of the first view. */
static size_t
replace_first(const struct store_view *v, char *plain, size_t len)
{
	const char *first = view_addr(0), *own = view_addr(v->index);
	char *at = memmem(plain, len, first, strlen(first));
	size_t rest;

	if (at == NULL)
		return len;
	rest = len - (size_t)(at - plain) - strlen(first);
	memmove(at + strlen(own), at + strlen(first), rest);
	memcpy(at, own, strlen(own));
	return len + strlen(own) - strlen(first);
}

/* The row's value, with the address at which the view's callers reach runners.
 */
static json_t *
value_json(const struct store_view *v, const struct cell_row *r)
{
	size_t len = strlen(r->value), pad;
	char *plain, *coded;
	json_t *j;

	if (v->index == 0)
		return json_string(r->value);
	pad = len > 0
	    ? (size_t)(r->value[len - 1] == '=') + (r->value[len - 2] == '=')
	    : 0;
	plain = xcalloc(1, len + 64);
	len = (size_t)EVP_DecodeBlock((unsigned char *)plain,
		  (const unsigned char *)r->value, (int)len) -
	    pad;
	replace_views(v, plain, len);
	if (strcmp(r->table, "servers") != 0 && v->sim->zones.map_row != NULL)
		v->sim->zones.map_row(
		    v->sim->zones.nhosts, v->index, plain, len);
	if (strcmp(r->table, "servers") == 0)
		len = replace_first(v, plain, len);
	coded = xmalloc(4 * ((len + 2) / 3) + 1);
	EVP_EncodeBlock(
	    (unsigned char *)coded, (unsigned char *)plain, (int)len);
	j = json_string(coded);
	free(coded);
	free(plain);
	return j;
}

static json_t *
row_json(const struct store_view *v, const struct cell_row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "row_version", (json_int_t)r->version);

	if (r->value != NULL)
		json_object_set_new(j, "value", value_json(v, r));
	else
		json_object_set_new(j, "deleted", json_true());
	return j;
}

static void
set_row(struct store_sim *s, const char *table, const char *part,
    const char *key, const char *value)
{
	struct cell_row *r = find_row(s, table, part, key);

	if (r == NULL) {
		r = xcalloc(1, sizeof(*r));
		str_copy(r->table, table, sizeof(r->table));
		str_copy(r->part, part, sizeof(r->part));
		str_copy(r->key, key, sizeof(r->key));
	} else {
		TAILQ_REMOVE(&s->rows, r, link);
	}
	free(r->value);
	r->value = value != NULL ? xstrdup(value) : NULL;
	r->version = s->version;
	/* The list stays ordered by version. */
	TAILQ_INSERT_TAIL(&s->rows, r, link);
}

static json_t *
changes(const struct store_view *v, const char *table, uint64_t after)
{
	json_t *list = json_array();
	const struct cell_row *r, *first = NULL;

	/* The list is ordered by version. */
	TAILQ_FOREACH_REVERSE(r, &v->sim->rows, row_list, link)
	{
		if (r->version <= after)
			break;
		first = r;
	}
	for (r = first; r != NULL; r = TAILQ_NEXT(r, link))
		if (strcmp(r->table, table) == 0)
			json_array_append_new(list, row_json(v, r));
	return list;
}

static void
watcher_free(struct watcher *w)
{
	TAILQ_REMOVE(&w->view->sim->watchers, w, link);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(w->req), NULL, NULL);
	event_free(w->timer);
	free(w);
}

static void
answer_watcher(struct watcher *w)
{
	struct store_sim *s = w->view->sim;
	struct evhttp_request *req = w->req;
	bool silent = w->view->mode == FAULT_SILENT ||
	    w->view->mode == FAULT_HELD || w->view->mode == FAULT_HELD_ALL ||
	    w->view->mode == FAULT_UNANSWERED;
	json_t *rows = changes(w->view, w->table, w->after);

	watcher_free(w);
	if (silent) {
		json_decref(rows);
		return;
	}
	reply(s, req, 200, json_pack("{s:o}", "rows", rows));
}

static void
notify_watchers(struct store_sim *s)
{
	struct watcher *w, *next;

	for (w = TAILQ_FIRST(&s->watchers); w != NULL; w = next) {
		json_t *rows = changes(w->view, w->table, w->after);

		next = TAILQ_NEXT(w, link);
		if (json_array_size(rows) > 0)
			answer_watcher(w);
		json_decref(rows);
	}
}

static void
on_watch_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	answer_watcher(arg);
}

static void
on_watch_closed(struct evhttp_connection *c, void *arg)
{
	struct watcher *w = arg;

	(void)c;
	TAILQ_REMOVE(&w->view->sim->watchers, w, link);
	event_free(w->timer);
	free(w);
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static bool
conditions_hold(const struct store_view *v, const json_t *list, json_t *rows)
{
	bool hold = true;
	size_t i;
	json_t *c;

	json_array_foreach(list, i, c)
	{
		struct cell_row *r = find_row(v->sim, text_of(c, "table"),
		    text_of(c, "part"), text_of(c, "key"));
		uint64_t version =
		    r != NULL && r->value != NULL ? r->version : 0;

		if (version !=
		    (uint64_t)json_integer_value(
			json_object_get(c, "row_version")))
			hold = false;
		if (r != NULL && r->value != NULL)
			json_array_append_new(rows, row_json(v, r));
	}
	return hold;
}

static void
apply(struct store_sim *s, const json_t *body)
{
	size_t i;
	json_t *w;

	s->version++;
	json_array_foreach(json_object_get(body, "writes"), i, w)
	    set_row(s, text_of(w, "table"), text_of(w, "part"),
		text_of(w, "key"), text_of(w, "value"));
	json_array_foreach(json_object_get(body, "remove"), i, w) set_row(s,
	    text_of(w, "table"), text_of(w, "part"), text_of(w, "key"), NULL);
	notify_watchers(s);
}

static void
on_txn(struct evhttp_request *req, void *arg)
{
	struct store_view *v = arg;
	struct store_sim *s = v->sim;
	json_t *body, *rows;

	if (apply_fault(v, req, on_txn))
		return;
	body = request_json(req);
	rows = json_array();
	if (conditions_hold(v, json_object_get(body, "expected_rev"), rows)) {
		json_decref(rows);
		apply(s, body);
		if (s->mode == FAULT_LOST && s->writes++ % LOST_EVERY == 0)
			reply_reset(req);
		else if (s->mode == FAULT_LATE)
			reply_after(s, req, 200, json_object(), LATE_MS);
		else
			reply(s, req, 200, json_object());
	} else {
		reply(s, req, 412, json_pack("{s:o}", "rows", rows));
	}
	json_decref(body);
}

static int
by_key(const void *a, const void *b)
{
	return strcmp((*(struct cell_row *const *)a)->key,
	    (*(struct cell_row *const *)b)->key);
}

static json_t *
read_page(const struct store_view *v, const char *table, const char *part,
    const char *from, size_t limit, bool *more)
{
	struct cell_row *r, **list;
	json_t *out = json_array();
	size_t n = 0, i;

	TAILQ_FOREACH (r, &v->sim->rows, link)
		n++;
	list = xcalloc(n + 1, sizeof(*list));
	n = 0;
	TAILQ_FOREACH (r, &v->sim->rows, link)
		if (r->value != NULL && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0)
			list[n++] = r;
	qsort(list, n, sizeof(*list), by_key);
	for (i = 0; i < n && i < limit; i++)
		json_array_append_new(out, row_json(v, list[i]));
	*more = n > limit;
	free(list);
	return out;
}

static void
on_get(struct evhttp_request *req, void *arg)
{
	struct store_view *v = arg;
	struct store_sim *s = v->sim;
	struct evkeyvalq q;
	const char *part, *from, *limit;
	json_t *rows;
	bool more;

	if (apply_fault(v, req, on_get))
		return;
	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	part = query_get(&q, "part");
	from = query_get(&q, "from");
	limit = query_get(&q, "limit");
	rows = read_page(v, query_get(&q, "table"), part != NULL ? part : "",
	    from != NULL ? from : "", limit != NULL ? (size_t)atoi(limit) : 500,
	    &more);
	evhttp_clear_headers(&q);
	reply(s, req, 200,
	    json_pack("{s:o,s:b}", "rows", rows, "has_more", more));
}

static void
on_feed(struct evhttp_request *req, void *arg)
{
	struct store_view *v = arg;
	struct store_sim *s = v->sim;
	struct evkeyvalq q;
	struct watcher *w;
	struct timeval tv;
	int wait;

	if (apply_fault(v, req, on_feed))
		return;
	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	w = xcalloc(1, sizeof(*w));
	w->view = v;
	w->req = req;
	w->after = strtoull(query_get(&q, "after"), NULL, 10);
	str_copy(w->table, query_get(&q, "table"), sizeof(w->table));
	wait = atoi(query_get(&q, "wait_ms"));
	evhttp_clear_headers(&q);
	if (w->after < s->floor) {
		free(w);
		reply(s, req, 410, json_object());
		return;
	}
	w->timer = evtimer_new(s->base, on_watch_end, w);
	tv = (struct timeval){wait / 1000, (wait % 1000) * 1000};
	evtimer_add(w->timer, &tv);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_watch_closed, w);
	TAILQ_INSERT_TAIL(&s->watchers, w, link);
	notify_watchers(s);
}

static bool
serve_view(struct store_sim *s, int index, uint16_t port)
{
	struct store_view *v = &s->views[index];

	v->sim = s;
	v->index = index;
	TAILQ_INIT(&v->held);
	v->http = evhttp_new(s->base);
	evhttp_set_cb(v->http, "/v1/rows-tx", on_txn, v);
	evhttp_set_cb(v->http, "/v1/rows-get", on_get, v);
	evhttp_set_cb(v->http, "/v1/rows-feed", on_feed, v);
	return evhttp_bind_socket(v->http, view_addr(index), port) == 0;
}

struct store_sim *
store_sim_new(struct event_base *base, uint16_t port)
{
	struct store_sim *s = xcalloc(1, sizeof(*s));
	int i;

	s->base = base;
	s->version = 1;
	TAILQ_INIT(&s->rows);
	TAILQ_INIT(&s->watchers);
	for (i = 0; i < VIEWS; i++)
		if (!serve_view(s, i, port))
			return NULL;
	return s;
}

void
store_sim_fault(struct store_sim *s, enum fault_mode mode)
{
	s->mode = mode;
}

void
store_sim_view_fault(struct store_sim *s, int view, enum fault_mode mode)
{
	struct store_view *v = &s->views[view];

	v->mode = mode;
	if (mode == FAULT_NONE && s->zones.serve_held != NULL)
		s->zones.serve_held(&v->held);
}

void
store_sim_view_rate(struct store_sim *s, int view, int bytes_per_s)
{
	struct store_view *v = &s->views[view];

	v->link = rate_limit_set(s->base, v->link, bytes_per_s);
}

void
store_sim_set_zones(struct store_sim *s, const struct store_zones *z)
{
	s->zones = *z;
}

void
store_sim_compact(struct store_sim *s)
{
	s->floor = ++s->version;
}

void
store_sim_put(
    struct store_sim *s, const char *table, const char *key, json_t *value)
{
	char *plain = json_dumps(value, JSON_COMPACT);
	size_t len = strlen(plain);
	char *coded = xmalloc(4 * ((len + 2) / 3) + 1);

	EVP_EncodeBlock(
	    (unsigned char *)coded, (unsigned char *)plain, (int)len);
	s->version++;
	set_row(s, table, "", key, coded);
	notify_watchers(s);
	free(plain);
	free(coded);
	json_decref(value);
}

void
store_sim_remove(struct store_sim *s, const char *table, const char *key)
{
	s->version++;
	set_row(s, table, "", key, NULL);
	notify_watchers(s);
}
