#include "table.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"

#define TABLE_NAME "celerycart"
#define TARGET_PREFIX "DynamoDB_20120810."
#define CONTENT_TYPE "application/x-amz-json-1.0"
#define NUM_LEN 24

struct table {
	struct http_pool *http;
	struct endpoint ep;
	uint64_t reads;
	uint64_t writes;
};

struct table_tx {
	json_t *ops;  /**< array of all operations */
	json_t *op;   /**< body of the current operation */
	json_t *item; /**< attributes of the last put */
	bool conditional;
	int writes;
};

struct write_call {
	table_write_fn fn;
	void *arg;
};

struct query_call {
	struct table *table;
	table_query_fn fn;
	void *arg;
	char *partition;
	int64_t timeout_ms;
	json_t *items; /**< of all pages read so far */
};

struct table *
table_new(struct http_pool *http, const struct endpoint *ep)
{
	struct table *t = xcalloc(1, sizeof(*t));

	t->http = http;
	t->ep = *ep;
	return t;
}

void
table_delete(struct table *t)
{
	free(t);
}

struct table_tx *
table_tx_new(void)
{
	struct table_tx *tx = xcalloc(1, sizeof(*tx));

	tx->ops = json_array();
	return tx;
}

void
table_tx_delete(struct table_tx *tx)
{
	json_decref(tx->ops);
	free(tx);
}

static json_t *
num_value(uint64_t v)
{
	char s[NUM_LEN];

	snprintf(s, sizeof(s), "%" PRIu64, v);
	return json_pack("{s:s}", "N", s);
}

static json_t *
key_of(const char *p, const char *s)
{
	return json_pack("{s:{s:s},s:{s:s}}", "p", "S", p, "s", "S", s);
}

static void
open_op(struct table_tx *tx, const char *verb, json_t *body)
{
	json_object_set_new(body, "TableName", json_string(TABLE_NAME));
	tx->op = body;
	tx->conditional = false;
	json_array_append_new(tx->ops, json_pack("{s:o}", verb, body));
}

void
table_tx_put(struct table_tx *tx, const char *p, const char *s)
{
	tx->item = key_of(p, s);
	tx->writes++;
	open_op(tx, "Put", json_pack("{s:o}", "Item", tx->item));
}

void
table_tx_check(struct table_tx *tx, const char *p, const char *s)
{
	open_op(tx, "ConditionCheck", json_pack("{s:o}", "Key", key_of(p, s)));
}

void
table_tx_remove(struct table_tx *tx, const char *p, const char *s)
{
	tx->writes++;
	open_op(tx, "Delete", json_pack("{s:o}", "Key", key_of(p, s)));
}

void
table_tx_text(struct table_tx *tx, const char *name, const char *v)
{
	json_object_set_new(tx->item, name, json_pack("{s:s}", "S", v));
}

void
table_tx_num(struct table_tx *tx, const char *name, uint64_t v)
{
	json_object_set_new(tx->item, name, num_value(v));
}

void
table_tx_data(
    struct table_tx *tx, const char *name, const uint8_t *data, size_t len)
{
	char *b64 = xmalloc(4 * ((len + 2) / 3) + 1);

	EVP_EncodeBlock((unsigned char *)b64, data, (int)len);
	json_object_set_new(tx->item, name, json_pack("{s:s}", "B", b64));
	free(b64);
}

static void
add_condition(struct table_tx *tx, const char *text)
{
	const char *old =
	    json_string_value(json_object_get(tx->op, "ConditionExpression"));
	char *both;

	both = old == NULL ? xstrdup(text) : xasprintf("%s AND %s", old, text);
	json_object_set_new(tx->op, "ConditionExpression", json_string(both));
	free(both);
}

void
table_tx_if_num(struct table_tx *tx, const char *name, uint64_t v)
{
	json_t *names, *values;
	char ref[40], val[40], text[96];

	names = json_object_get(tx->op, "ExpressionAttributeNames");
	if (names == NULL) {
		names = json_object();
		json_object_set_new(tx->op, "ExpressionAttributeNames", names);
		json_object_set_new(
		    tx->op, "ExpressionAttributeValues", json_object());
	}
	values = json_object_get(tx->op, "ExpressionAttributeValues");
	snprintf(ref, sizeof(ref), "#%s", name);
	snprintf(val, sizeof(val), ":%s", name);
	json_object_set_new(names, ref, json_string(name));
	json_object_set_new(values, val, num_value(v));
	snprintf(text, sizeof(text), "%s = %s", ref, val);
	add_condition(tx, text);
}

void
table_tx_if_absent(struct table_tx *tx)
{
	add_condition(tx, "attribute_not_exists(p)");
}

static void
send_json(struct table *t, const char *verb, json_t *body, int64_t timeout_ms,
    http_fn fn, void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char target[64];
	struct http_request r = {
	    .addr = t->ep.addr,
	    .port = (uint16_t)t->ep.port,
	    .method = EVHTTP_REQ_POST,
	    .path = "/",
	    .body = text,
	    .len = strlen(text),
	    .content_type = CONTENT_TYPE,
	    .headers = {{"X-Amz-Target", target}},
	    .timeout_ms = timeout_ms,
	    .fn = fn,
	    .arg = arg,
	};

	snprintf(target, sizeof(target), TARGET_PREFIX "%s", verb);
	http_call(t->http, &r);
	free(text);
	json_decref(body);
}

/* The service cancels a transaction of which a condition does not hold. */
static int
write_error(const struct http_answer *a)
{
	json_error_t je;
	json_t *body;
	const char *type;
	int err = CC_EPROTO;

	if (a->err != CC_OK)
		return a->err;
	if (a->status == 200)
		return CC_OK;
	body = json_loadb((const char *)a->body, a->len, 0, &je);
	type = json_string_value(json_object_get(body, "__type"));
	if (type != NULL && strstr(type, "TransactionCanceledException"))
		err = CC_ECONFLICT;
	else if (a->status == 400)
		err = CC_EINVAL;
	json_decref(body);
	return err;
}

static void
write_done(const struct http_answer *a, void *arg)
{
	struct write_call *c = arg;

	c->fn(write_error(a), c->arg);
	free(c);
}

void
table_write(struct table *t, struct table_tx *tx, const char *token,
    int64_t timeout_ms, table_write_fn fn, void *arg)
{
	struct write_call *c = xcalloc(1, sizeof(*c));
	json_t *body = json_pack("{s:O}", "TransactItems", tx->ops);

	if (token != NULL)
		json_object_set_new(
		    body, "ClientRequestToken", json_string(token));
	c->fn = fn;
	c->arg = arg;
	t->writes += (uint64_t)tx->writes;
	send_json(t, "TransactWriteItems", body, timeout_ms, write_done, c);
}

static void query_page(struct query_call *q, json_t *start);

static void
query_finish(struct query_call *q, int err)
{
	size_t i, n = err == CC_OK ? json_array_size(q->items) : 0;
	struct table_item *items = xcalloc(n, sizeof(*items));

	for (i = 0; i < n; i++)
		items[i].attrs = json_array_get(q->items, i);
	q->fn(err, items, n, q->arg);
	free(items);
	json_decref(q->items);
	free(q->partition);
	free(q);
}

static void
query_done(const struct http_answer *a, void *arg)
{
	struct query_call *q = arg;
	json_error_t je;
	json_t *body, *items, *last;

	if (a->err != CC_OK || a->status != 200) {
		query_finish(q, a->err != CC_OK ? a->err : CC_EPROTO);
		return;
	}
	body = json_loadb((const char *)a->body, a->len, 0, &je);
	items = json_object_get(body, "Items");
	if (!json_is_array(items)) {
		json_decref(body);
		query_finish(q, CC_EPROTO);
		return;
	}
	json_array_extend(q->items, items);
	last = json_object_get(body, "LastEvaluatedKey");
	if (last != NULL)
		query_page(q, json_incref(last));
	else
		query_finish(q, CC_OK);
	json_decref(body);
}

static void
query_page(struct query_call *q, json_t *start)
{
	json_t *body = json_pack("{s:s,s:b,s:s,s:{s:{s:s}}}", "TableName",
	    TABLE_NAME, "ConsistentRead", 1, "KeyConditionExpression", "p = :p",
	    "ExpressionAttributeValues", ":p", "S", q->partition);

	if (start != NULL)
		json_object_set_new(body, "ExclusiveStartKey", start);
	q->table->reads++;
	send_json(q->table, "Query", body, q->timeout_ms, query_done, q);
}

void
table_query(struct table *t, const char *p, const char *after,
    int64_t timeout_ms, table_query_fn fn, void *arg)
{
	struct query_call *q = xcalloc(1, sizeof(*q));

	q->table = t;
	q->fn = fn;
	q->arg = arg;
	q->partition = xstrdup(p);
	q->timeout_ms = timeout_ms;
	q->items = json_array();
	query_page(q, *after != '\0' ? key_of(p, after) : NULL);
}

static json_t *
attr(const struct table_item *it, const char *name, const char *type)
{
	return json_object_get(json_object_get(it->attrs, name), type);
}

const char *
table_item_sort(const struct table_item *it)
{
	return table_item_text(it, "s");
}

const char *
table_item_text(const struct table_item *it, const char *name)
{
	const char *s = json_string_value(attr(it, name, "S"));

	return s != NULL ? s : "";
}

uint64_t
table_item_num(const struct table_item *it, const char *name)
{
	const char *s = json_string_value(attr(it, name, "N"));

	return s != NULL ? strtoull(s, NULL, 10) : 0;
}

uint8_t *
table_item_data(const struct table_item *it, const char *name, size_t *len)
{
	const char *s = json_string_value(attr(it, name, "B"));
	size_t n = s != NULL ? strlen(s) : 0;
	uint8_t *out;
	int got;

	*len = 0;
	if (s == NULL || n % 4 != 0)
		return NULL;
	out = xmalloc(n / 4 * 3 + 1);
	got = EVP_DecodeBlock(out, (const unsigned char *)s, (int)n);
	if (got < 0) {
		free(out);
		return NULL;
	}
	if (n > 0 && s[n - 1] == '=')
		got--;
	if (n > 1 && s[n - 2] == '=')
		got--;
	*len = (size_t)got;
	return out;
}

void
table_counts(const struct table *t, uint64_t *reads, uint64_t *writes)
{
	*reads = t->reads;
	*writes = t->writes;
}
