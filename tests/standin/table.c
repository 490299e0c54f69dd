/* The table service: a subset of the DynamoDB JSON protocol. */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

#define PAGE_BYTES (1 << 20)

struct item {
	UT_hash_handle hh;
	char key[192]; /**< partition and sort key: "p\ns" */
	json_t *attrs;
};

static struct item *items;

static const char *
attr_text(const json_t *attrs, const char *name, const char *type)
{
	const char *s = json_string_value(
	    json_object_get(json_object_get(attrs, name), type));

	return s != NULL ? s : "";
}

static struct item *
find_item(const json_t *key)
{
	struct item *it;
	char k[192];

	snprintf(k, sizeof(k), "%s\n%s", attr_text(key, "p", "S"),
	    attr_text(key, "s", "S"));
	HASH_FIND_STR(items, k, it);
	return it;
}

static void
put_item(json_t *attrs)
{
	struct item *it = find_item(attrs);

	if (it == NULL) {
		it = xcalloc(1, sizeof(*it));
		snprintf(it->key, sizeof(it->key), "%s\n%s",
		    attr_text(attrs, "p", "S"), attr_text(attrs, "s", "S"));
		HASH_ADD_STR(items, key, it);
	}
	json_decref(it->attrs);
	it->attrs = json_incref(attrs);
}

static void
delete_item(const json_t *key)
{
	struct item *it = find_item(key);

	if (it == NULL)
		return;
	HASH_DEL(items, it);
	json_decref(it->attrs);
	free(it);
}

/*
 * Supports the terms "attribute_not_exists(p)" and "#a = :a". They are joined
 * with '&', which split_and has put in place of AND.
 */
static bool
condition_holds(const json_t *op, const struct item *it)
{
	const char *text =
	    json_string_value(json_object_get(op, "ConditionExpression"));
	const json_t *values, *want;
	char copy[512], *term, *save, name[64];

	if (text == NULL)
		return true;
	values = json_object_get(op, "ExpressionAttributeValues");
	str_copy(copy, text, sizeof(copy));
	for (term = strtok_r(copy, "&", &save); term != NULL;
	     term = strtok_r(NULL, "&", &save)) {
		if (strstr(term, "attribute_not_exists") != NULL) {
			if (it != NULL)
				return false;
			continue;
		}
		if (it == NULL || sscanf(term, " #%63s = ", name) != 1)
			return false;
		snprintf(copy + sizeof(copy) - 70, 70, ":%s", name);
		want = json_object_get(values, copy + sizeof(copy) - 70);
		if (!json_equal(json_object_get(it->attrs, name), want))
			return false;
	}
	return true;
}

static void
split_and(json_t *op)
{
	const char *text =
	    json_string_value(json_object_get(op, "ConditionExpression"));
	char *copy, *s;

	if (text == NULL)
		return;
	copy = xstrdup(text);
	while ((s = strstr(copy, " AND ")) != NULL)
		memcpy(s, "  &  ", 5);
	json_object_set_new(op, "ConditionExpression", json_string(copy));
	free(copy);
}

static json_t *
op_body(json_t *op, const char **verb)
{
	const char *key;
	json_t *v;

	json_object_foreach(op, key, v)
	{
		*verb = key;
		return v;
	}
	*verb = "";
	return NULL;
}

static json_t *
op_key(const json_t *body, const char *verb)
{
	return json_object_get(body, strcmp(verb, "Put") == 0 ? "Item" : "Key");
}

static bool
transact(json_t *ops)
{
	const char *verb;
	json_t *body;
	size_t i;

	for (i = 0; i < json_array_size(ops); i++) {
		body = op_body(json_array_get(ops, i), &verb);
		split_and(body);
		if (!condition_holds(body, find_item(op_key(body, verb))))
			return false;
	}
	for (i = 0; i < json_array_size(ops); i++) {
		body = op_body(json_array_get(ops, i), &verb);
		if (strcmp(verb, "Put") == 0)
			put_item(op_key(body, verb));
		else if (strcmp(verb, "Delete") == 0)
			delete_item(op_key(body, verb));
	}
	return true;
}

static int
by_key(const void *a, const void *b)
{
	const struct item *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static json_t *
query(const json_t *body)
{
	const char *p = attr_text(
	    json_object_get(body, "ExpressionAttributeValues"), ":p", "S");
	const json_t *start = json_object_get(body, "ExclusiveStartKey");
	struct item **found, *it;
	json_t *out = json_array(), *result;
	size_t n = 0, i, bytes = 0, plen = strlen(p);
	char after[192] = "";

	if (start != NULL)
		snprintf(after, sizeof(after), "%s\n%s", p,
		    attr_text(start, "s", "S"));
	found = xcalloc(HASH_COUNT(items), sizeof(*found));
	for (it = items; it != NULL; it = it->hh.next)
		if (strncmp(it->key, p, plen) == 0 && it->key[plen] == '\n' &&
		    strcmp(it->key, after) > 0)
			found[n++] = it;
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && bytes < PAGE_BYTES; i++) {
		json_array_append(out, found[i]->attrs);
		bytes += 100 + strlen(attr_text(found[i]->attrs, "d", "B"));
	}
	result = json_pack("{s:o,s:i}", "Items", out, "Count", (int)i);
	if (i < n)
		json_object_set_new(result, "LastEvaluatedKey",
		    json_pack("{s:O,s:O}", "p",
			json_object_get(found[i - 1]->attrs, "p"), "s",
			json_object_get(found[i - 1]->attrs, "s")));
	free(found);
	return result;
}

void
table_request(struct evhttp_request *req)
{
	const char *target = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "X-Amz-Target");
	json_t *body;
	bool ok;

	if (chance(faults.table_refuse_pct)) {
		drop(req);
		return;
	}
	body = body_json(req);
	if (target != NULL && strstr(target, ".Query") != NULL) {
		reply_json(req, 200, query(body));
	} else {
		ok = transact(json_object_get(body, "TransactItems"));
		if (chance(faults.table_lose_pct))
			drop(req);
		else if (ok)
			reply_json(req, 200, json_object());
		else
			reply_json(req, 400,
			    json_pack("{s:s}", "__type",
				"com.amazonaws.dynamodb.v20120810#"
				"TransactionCanceledException"));
	}
	json_decref(body);
}
