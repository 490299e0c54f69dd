/* The platform's store: versioned rows, conditional transactions, feeds. */
#include "sim.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MS 4
#define ROW_BYTES 65536
#define ENTRIES_MAX 100
#define TX_BYTES 1000000
#define PAGE_ROWS 500

struct row {
	UT_hash_handle hh;
	char name[700]; /**< table, part and key, apart by a byte of 1 */
	char table[210], part[210], key[210];
	char *value; /**< base64; NULL: removed */
	int64_t version;
	TAILQ_ENTRY(row) link; /**< by version */
};

struct watch {
	TAILQ_ENTRY(watch) link;
	struct evhttp_request *req;
	char table[210];
	int64_t after, until_ms;
};

static struct row *rows;
static TAILQ_HEAD(version_list, row) by_version = TAILQ_HEAD_INITIALIZER(by_version);
static TAILQ_HEAD(, watch) watches = TAILQ_HEAD_INITIALIZER(watches);
static int64_t version = 1;

static json_t *
with_version(json_t *body)
{
	json_object_set_new(body, "row_version", json_integer(version));
	json_object_set_new(body, "now_ms", json_integer(now_ms()));
	return body;
}

static struct row *
row_get(const char *table, const char *part, const char *key, bool create)
{
	char name[700];
	struct row *r;

	snprintf(name, sizeof(name), "%s\x01%s\x01%s", table, part, key);
	HASH_FIND_STR(rows, name, r);
	if (r != NULL || !create)
		return r;
	r = calloc(1, sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->table, sizeof(r->table), "%s", table);
	snprintf(r->part, sizeof(r->part), "%s", part);
	snprintf(r->key, sizeof(r->key), "%s", key);
	HASH_ADD_STR(rows, name, r);
	TAILQ_INSERT_TAIL(&by_version, r, link);
	return r;
}

static void
row_set(const char *table, const char *part, const char *key, const char *value)
{
	struct row *r = row_get(table, part, key, true);

	free(r->value);
	r->value = value != NULL ? strdup(value) : NULL;
	r->version = version;
	TAILQ_REMOVE(&by_version, r, link);
	TAILQ_INSERT_TAIL(&by_version, r, link);
}

static json_t *
row_json(const struct row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "row_version", (json_int_t)r->version);

	if (r->value != NULL)
		json_object_set_new(j, "value", json_string(r->value));
	else
		json_object_set_new(j, "deleted", json_true());
	return j;
}

static json_t *
changes(const char *table, int64_t after)
{
	json_t *list = json_array();
	struct row *r, *first = NULL;

	TAILQ_FOREACH_REVERSE(r, &by_version, version_list, link)
	{
		if (r->version <= after)
			break;
		first = r;
	}
	for (r = first; r != NULL; r = TAILQ_NEXT(r, link))
		if (strcmp(r->table, table) == 0)
			json_array_append_new(list, row_json(r));
	return list;
}

static void
watch_free(struct watch *w)
{
	TAILQ_REMOVE(&watches, w, link);
	free(w);
}

static void
watch_answer(struct watch *w, json_t *list)
{
	struct evhttp_request *req = w->req;

	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	watch_free(w);
	reply(req, 200, with_version(json_pack("{s:o}", "rows", list)),
	    ANSWER_MS);
}

static void
notify(void)
{
	struct watch *w, *next;
	json_t *list;

	for (w = TAILQ_FIRST(&watches); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		list = changes(w->table, w->after);
		if (json_array_size(list) > 0 || now_ms() >= w->until_ms)
			watch_answer(w, list);
		else
			json_decref(list);
	}
}

static void
on_watch_tick(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	notify();
}

static void
on_watch_close(struct evhttp_connection *c, void *arg)
{
	(void)c;
	watch_free(arg);
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static bool
conditions_hold(const json_t *list, json_t *found)
{
	bool hold = true;
	size_t i;
	json_t *c;

	json_array_foreach(list, i, c)
	{
		struct row *r = row_get(
		    text_of(c, "table"), text_of(c, "part"), text_of(c, "key"),
		    false);
		int64_t have = r != NULL && r->value != NULL ? r->version : 0;

		if (have !=
		    json_integer_value(json_object_get(c, "row_version")))
			hold = false;
		if (have != 0)
			json_array_append_new(found, row_json(r));
	}
	return hold;
}

static bool
tx_valid(const json_t *body, size_t len)
{
	const json_t *writes = json_object_get(body, "writes");
	size_t n = json_array_size(writes) +
	    json_array_size(json_object_get(body, "remove")) +
	    json_array_size(json_object_get(body, "expected_rev"));
	size_t i;
	json_t *w;

	json_array_foreach(writes, i, w) if (strlen(text_of(w, "value")) >
	    (size_t)ROW_BYTES / 3 * 4 + 4) return false;
	return n <= ENTRIES_MAX && len <= TX_BYTES;
}

static void
on_tx(struct evhttp_request *req, void *arg)
{
	size_t len =
	    evbuffer_get_length(evhttp_request_get_input_buffer(req));
	json_t *body = request_json(req), *found = json_array(), *w;
	size_t i;

	(void)arg;
	if (!tx_valid(body, len)) {
		record("store refuses a transaction of %zu bytes", len);
		reply(req, 400, json_object(), ANSWER_MS);
		json_decref(found);
	} else if (!conditions_hold(
		       json_object_get(body, "expected_rev"), found)) {
		reply(req, 412,
		    with_version(json_pack("{s:o}", "rows", found)), ANSWER_MS);
	} else {
		json_decref(found);
		version++;
		json_array_foreach(json_object_get(body, "writes"), i, w)
		    row_set(text_of(w, "table"), text_of(w, "part"),
			text_of(w, "key"), text_of(w, "value"));
		json_array_foreach(json_object_get(body, "remove"), i, w)
		    row_set(text_of(w, "table"), text_of(w, "part"),
			text_of(w, "key"), NULL);
		reply(req, 200, with_version(json_object()), ANSWER_MS);
		notify();
	}
	json_decref(body);
}

static int
by_key(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
	    (*(struct row *const *)b)->key);
}

static const char *
param(struct evkeyvalq *q, const char *name, const char *def)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? v : def;
}

static void
on_get(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq q;
	struct row *r, **list = calloc(HASH_COUNT(rows) + 1, sizeof(*list));
	const char *table, *part, *from, *to;
	json_t *out = json_array();
	size_t n = 0, i, limit, bytes = 0;

	(void)arg;
	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	table = param(&q, "table", "");
	part = param(&q, "part", "");
	from = param(&q, "from", "");
	to = param(&q, "to", "");
	limit = (size_t)atoi(param(&q, "limit", "500"));
	limit = limit > PAGE_ROWS ? PAGE_ROWS : limit;
	for (r = rows; r != NULL; r = r->hh.next)
		if (r->value != NULL && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0 &&
		    (*to == '\0' || strcmp(r->key, to) < 0))
			list[n++] = r;
	qsort(list, n, sizeof(*list), by_key);
	for (i = 0; i < n && i < limit; i++) {
		bytes += strlen(list[i]->value) + 200;
		if (i > 0 && bytes > TX_BYTES)
			break;
		json_array_append_new(out, row_json(list[i]));
	}
	reply(req, 200,
	    with_version(
		json_pack("{s:o,s:b}", "rows", out, "has_more", i < n)),
	    ANSWER_MS);
	free(list);
	evhttp_clear_headers(&q);
}

static void
on_feed(struct evhttp_request *req, void *arg)
{
	struct watch *w = calloc(1, sizeof(*w));
	struct evkeyvalq q;

	(void)arg;
	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	w->req = req;
	snprintf(w->table, sizeof(w->table), "%s", param(&q, "table", ""));
	w->after = atoll(param(&q, "after", "0"));
	w->until_ms = now_ms() + atoll(param(&q, "wait_ms", "0"));
	evhttp_clear_headers(&q);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_watch_close, w);
	TAILQ_INSERT_TAIL(&watches, w, link);
	notify();
}

void
store_put(const char *table, const char *part, const char *key, json_t *value)
{
	char *plain = json_dumps(value, JSON_COMPACT);
	size_t len = strlen(plain);
	char *coded = malloc(4 * ((len + 2) / 3) + 1);

	EVP_EncodeBlock(
	    (unsigned char *)coded, (unsigned char *)plain, (int)len);
	version++;
	row_set(table, part, key, coded);
	notify();
	free(plain);
	free(coded);
	json_decref(value);
}

void
store_remove(const char *table, const char *part, const char *key)
{
	version++;
	row_set(table, part, key, NULL);
	notify();
}

int
store_leader(void)
{
	struct row *r;
	unsigned char plain[512] = {0};
	char name[8];
	int i;

	for (r = rows; r != NULL; r = r->hh.next)
		if (strcmp(r->key, "leader") == 0 && r->value != NULL &&
		    strlen(r->value) < 600)
			break;
	if (r == NULL)
		return 0;
	EVP_DecodeBlock(plain, (unsigned char *)r->value, (int)strlen(r->value));
	for (i = 1; i <= HOSTS_MAX; i++) {
		snprintf(name, sizeof(name), "\x02" "e%d", i);
		if (memmem(plain, sizeof(plain), name, strlen(name)) != NULL)
			return i;
	}
	return 0;
}

bool
store_init(void)
{
	struct evhttp *http = evhttp_new(base);
	struct timeval tv = {0, 20000};

	evhttp_set_max_body_size(http, 8 << 20);
	evhttp_set_cb(http, "/v1/rows-tx", on_tx, NULL);
	evhttp_set_cb(http, "/v1/rows-get", on_get, NULL);
	evhttp_set_cb(http, "/v1/rows-feed", on_feed, NULL);
	event_add(event_new(base, -1, EV_PERSIST, on_watch_tick, NULL), &tv);
	return listen_on(http, opt.port);
}
