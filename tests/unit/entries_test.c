/**
 * @file Entries of the store that another writer left: what is out of range or
 * doesn't fit is refused whole.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/registry.h"
#include "../../src/base/names.h"
#include "../../src/base/xalloc.h"
#include "../../src/state/store_page.h"
#include "unit.h"

/** Deeper than the JSON library follows. */
#define DEEP 30000
/** Within what the JSON library follows. */
#define SHALLOW 1000
#define LONG_LEN 5000

static bool
decode_key(const char *key, const char *value, struct runner_info *info)
{
	struct row row = {.key = key, .value = value, .len = strlen(value)};

	return registry_decode(&row, info);
}

static bool
decode(const char *value, struct runner_info *info)
{
	return decode_key("i-1", value, info);
}

/* An entry with one field of the runner replaced. */
static bool
decode_with(const char *field, const char *value, struct runner_info *info)
{
	static const char *const fields[][2] = {{"service", "\"s\""},
	    {"address", "\"10.0.0.1:80\""}, {"zone", "\"z\""},
	    {"state", "\"ready\""}, {"labels", "[\"a\",\"r1\"]"},
	    {"remaining_ms", "900"}, {"born", "5"}, {"cold_left_ms", "0"},
	    {"sequence", "4"}, {"cpu", "16000"}, {"mem_mb", "32768"},
	    {"gpu", "0"}};
	const size_t n = sizeof(fields) / sizeof(fields[0]);
	char *text = xstrdup("{"), *next;
	const char *v;
	bool ok;
	size_t i;

	for (i = 0; i < n; i++) {
		v = strcmp(fields[i][0], field) == 0 ? value : fields[i][1];
		next = xasprintf("%s%s%s\"%s\":%s", text, i > 0 ? "," : "",
		    i == n - 3 ? "\"capacity\":{" : "", fields[i][0], v);
		free(text);
		text = next;
	}
	next = xasprintf("%s}}", text);
	ok = decode(next, info);
	free(text);
	free(next);
	return ok;
}

static char *
nested(int depth)
{
	char *text = xmalloc((size_t)depth * 2 + 1);

	memset(text, '[', (size_t)depth);
	memset(text + depth, ']', (size_t)depth);
	text[depth * 2] = '\0';
	return text;
}

/* Guards against LOST: one odd entry among those of the runners must cost that
 * entry alone, and no value may be cut to fit. */
void
test_entries_out_of_range(void)
{
	static const char *const odd[][2] = {{"cpu", "1e300"},
	    {"cpu", "9223372036854775807"}, {"cpu", "0"}, {"cpu", "-1"},
	    {"cpu", "0.5"}, {"cpu", "\"16000\""}, {"cpu", "null"},
	    {"mem_mb", "1e300"}, {"mem_mb", "9223372036854775807"},
	    {"mem_mb", "0"}, {"gpu", "-5"}, {"gpu", "9223372036854775807"},
	    {"remaining_ms", "1e300"}, {"remaining_ms", "-1e300"},
	    {"remaining_ms", "[]"}, {"born", "1e300"}, {"born", "-1"},
	    {"born", "9223372036854775807"}, {"born", "\"5\""},
	    {"cold_left_ms", "1e300"}, {"cold_left_ms", "-1"},
	    {"cpu", "123456789012345678901234567890"}, {"cpu", "1e999"},
	    {"address", "\"10.0.0.1:0\""}, {"address", "\"10.0.0.1:-1\""},
	    {"address", "\"10.0.0.1:65536\""}, {"address", "\"10.0.0.1: 80\""},
	    {"address", "\"10.0.0.1:+80\""}, {"address", "\"10.0.0.1:\""},
	    {"address", "\"10.0.0.1:99999999999999999999\""},
	    {"address", "\"10.0.0.1\""}, {"address", "7"}, {"service", "\"\""},
	    {"service", "{}"}, {"state", "\"odd\""}, {"zone", "5"},
	    {"labels", "{}"}, {"labels", "\"a\""}, {"labels", "[1]"},
	    {"service", "\"a\\u0000b\""},
	    {"labels",
		"[\"a\",\"b\",\"c\",\"d\",\"e\",\"f\",\"g\",\"h\",\"i\"]"}};
	static const char *const good[][2] = {{"cpu", "1"}, {"cpu", "16000.0"},
	    {"cpu", "10000000"}, {"gpu", "10000"}, {"mem_mb", "1073741824"},
	    {"remaining_ms", "0.5"}, {"born", "1796456083673"},
	    {"address", "\"10.0.0.1:65535\""}, {"labels", "[]"}};
	struct runner_info info;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		if (decode_with(odd[i][0], odd[i][1], &info)) {
			printf("taken: %s %s\n", odd[i][0], odd[i][1]);
			CU_FAIL("an odd value was taken");
		}
	for (i = 0; i < sizeof(good) / sizeof(good[0]); i++)
		if (!decode_with(good[i][0], good[i][1], &info)) {
			printf("refused: %s %s\n", good[i][0], good[i][1]);
			CU_FAIL("a value in range was refused");
		}
}

/* Keys that don't fit are refused: cut, two could be alike. */
void
test_entries_long_keys(void)
{
	static const char good[] = "{\"service\":\"s\",\"address\":\"10.0.0.1:"
				   "80\",\"state\":\"ready\","
				   "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
	char key[STORE_KEY_MAX + 1];
	struct runner_info info;

	memset(key, 'k', sizeof(key));
	key[RUNNER_ID_LEN] = '\0';
	CU_ASSERT(!decode_key(key, good, &info));
	key[RUNNER_ID_LEN - 1] = '\0';
	CU_ASSERT(decode_key(key, good, &info));
	CU_ASSERT_STRING_EQUAL(info.id, key);
	CU_ASSERT(!decode_key("", good, &info));
}

/* Guards against LOST: runners of a service with a long name, or with a long
 * label, couldn't be used, and work that needs them was never started. */
void
test_entries_long_texts(void)
{
	char text[LONG_LEN + 3], *labels;
	struct runner_info info, other;

	memset(text, 'x', sizeof(text));
	text[0] = text[LONG_LEN + 1] = '"';
	text[LONG_LEN + 2] = '\0';
	CU_ASSERT_FATAL(decode_with("service", text, &info));
	CU_ASSERT_EQUAL(strlen(info.service), LONG_LEN);
	CU_ASSERT_STRING_EQUAL(info.rack, "r1");
	CU_ASSERT(decode_with("zone", text, &other));
	labels = xasprintf("[\"a\",%s]", text);
	CU_ASSERT_FATAL(decode_with("labels", labels, &info));
	CU_ASSERT_EQUAL(info.nlabels, 2);
	CU_ASSERT_STRING_EQUAL(info.labels[0], "a");
	CU_ASSERT_EQUAL(strlen(info.labels[1]), LONG_LEN);
	CU_ASSERT_STRING_EQUAL(info.rack, info.labels[1]);
	free(labels);
	/* Alike up to the last letter. */
	CU_ASSERT_FATAL(decode_with("service", text, &info));
	text[LONG_LEN] = 'y';
	CU_ASSERT_FATAL(decode_with("service", text, &other));
	CU_ASSERT_STRING_NOT_EQUAL(info.service, other.service);
	CU_ASSERT(!decode_with("labels", "[\"a\\u0000b\"]", &info));
}

/* Names beyond the room for them are refused, and those that are there stay. */
void
test_names_bounded(void)
{
	const char *first = names_get("a-name");
	char *text = xmalloc(NAMES_MAX_BYTES + 1);

	CU_ASSERT_PTR_EQUAL(names_get("a-name"), first);
	CU_ASSERT_PTR_NOT_EQUAL(names_get("a-nam"), first);
	memset(text, 'n', NAMES_MAX_BYTES);
	text[NAMES_MAX_BYTES] = '\0';
	CU_ASSERT_PTR_NULL(names_get(text));
	CU_ASSERT_PTR_EQUAL(names_get("a-name"), first);
	CU_ASSERT_STRING_EQUAL(first, "a-name");
	free(text);
}

/* Nesting costs the entry at most, whether or not its field is read; so does
 * what is no JSON object, or names a field twice. */
void
test_entries_nested(void)
{
	static const char *const fields[] = {
	    "sequence", "labels", "cpu", "address"};
	char *deep = nested(DEEP), *shallow = nested(SHALLOW);
	struct runner_info info;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		CU_ASSERT(!decode_with(fields[i], deep, &info));
	CU_ASSERT(decode_with("sequence", shallow, &info));
	CU_ASSERT(!decode_with("labels", shallow, &info));
	free(deep);
	free(shallow);
	CU_ASSERT(decode_with("sequence", "4", &info));
	CU_ASSERT(!decode_with("sequence", "4,\"sequence\":4", &info));
	CU_ASSERT(!decode("\xff\xfe", &info));
	CU_ASSERT(!decode("", &info));
	CU_ASSERT(!decode("[]", &info));
}

/* Pages advance past keys that are alike up to any length, and past a row that
 * can't be read. */
void
test_entries_pages_advance(void)
{
	struct store_result r = {.has_more = true};
	struct store_page p;
	char a[STORE_KEY_MAX + 1], b[STORE_KEY_MAX + 1];

	memset(a, 'k', sizeof(a));
	a[STORE_KEY_MAX] = '\0';
	str_copy(b, a, sizeof(b));
	a[STORE_KEY_MAX - 1] = '1';
	b[STORE_KEY_MAX - 1] = '2';
	store_page_reset(&p);
	r.last_key = a;
	CU_ASSERT(store_page_next(&p, &r));
	CU_ASSERT(strcmp(p.from, a) > 0 && strcmp(p.from, b) < 0);
	r.last_key = "k";
	CU_ASSERT(store_page_next(&p, &r));
	CU_ASSERT(strcmp(p.from, "k") > 0 && strcmp(p.from, "k ") < 0);
	r.has_more = false;
	CU_ASSERT(!store_page_next(&p, &r));
}
