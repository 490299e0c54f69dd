/**
 * @file The configuration's row: what is in force of it when parts of it can't
 * be read, or are large.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/config_row.h"
#include "../../src/base/err.h"
#include "../../src/base/xalloc.h"
#include "unit.h"
#include "unit_world.h"

#define LONG_LEN 5000
#define DAYS_30_MS 2592000000

static struct config *
decode(const char *text)
{
	return config_decode(text, strlen(text));
}

/* A queue with the field @p name, which may be NULL, replaced. */
static char *
queue_text(const char *queue, const char *field, const char *value)
{
	const char *const fields[][2] = {{"name", NULL},
	    {"host", "\"h.example\""}, {"prefix", NULL},
	    {"service", "\"work\""}, {"timeout_ms", "3000"},
	    {"target_latency_ms", "250"}, {"priority", "2"},
	    {"max_attempts", "3"}, {"stretch", "1.5"},
	    {"advice",
		"{\"decision_ms\":22.5,\"period_ms\":0.3,\"validity_ms\":"
		"900}"}};
	char *text = xstrdup(""), *next, own[64];
	const char *v;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		snprintf(
		    own, sizeof(own), i == 0 ? "\"%s\"" : "\"/%s/\"", queue);
		v = fields[i][1] != NULL ? fields[i][1] : own;
		if (field != NULL && strcmp(field, fields[i][0]) == 0)
			v = value;
		next = xasprintf(
		    "%s%s\"%s\":%s", text, i > 0 ? "," : "", fields[i][0], v);
		free(text);
		text = next;
	}
	next = xasprintf("{%s}", text);
	free(text);
	return next;
}

/* Version 7 with the queues "a", one that is given, and "b". */
static struct config *
decode_between(const char *middle)
{
	char *a = queue_text("a", NULL, NULL), *b = queue_text("b", NULL, NULL);
	char *text = xasprintf("{\"version\":7,\"routes\":[%s,%s,%s],"
			       "\"services\":[{\"name\":\"work\","
			       "\"admission_check\":true}],\"limits\":{"
			       "\"max_body_bytes\":262144}}",
	    a, middle, b);
	struct config *c = decode(text);

	free(a);
	free(b);
	free(text);
	return c;
}

static struct config *
decode_odd(const char *field, const char *value)
{
	char *odd = queue_text("odd", field, value);
	struct config *c = decode_between(odd);

	free(odd);
	return c;
}

static void
check_sound(const struct config *c, const char *name)
{
	const struct queue *q = config_queue(c, name);

	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	CU_ASSERT_STRING_EQUAL(q->host, "h.example");
	CU_ASSERT_EQUAL(q->prefix[1], name[0]);
	CU_ASSERT_STRING_EQUAL(q->service, "work");
	CU_ASSERT_EQUAL(q->timeout_ms, 3000);
	CU_ASSERT_EQUAL(q->target_latency_ms, 250);
	CU_ASSERT_EQUAL(q->priority, 2);
	CU_ASSERT_EQUAL(q->max_attempts, 3);
	CU_ASSERT_EQUAL(q->stretch, 1.5);
	CU_ASSERT(q->advice.needed);
	CU_ASSERT_EQUAL(q->advice.decision_ms, 22.5);
	CU_ASSERT_EQUAL(q->advice.runner_ms, 0.3);
	CU_ASSERT_EQUAL(q->advice.validity_ms, 900);
}

/* All but the middle queue is there, exactly. */
static void
check_rest(const struct config *c)
{
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->version, 7);
	check_sound(c, "a");
	check_sound(c, "b");
	CU_ASSERT_EQUAL_FATAL(c->nservices, 1);
	CU_ASSERT_STRING_EQUAL(c->services[0].name, "work");
	CU_ASSERT(c->services[0].admission_check);
	CU_ASSERT_EQUAL(c->max_body_bytes, 262144);
}

/* Guards against RECOVER: one value that can't be read took the whole
 * configuration away; it must cost its queue alone, and be named. */
void
test_config_odd_queue_alone(void)
{
	static const char *const odd[][2] = {{"timeout_ms", "-1"},
	    {"timeout_ms", "1e300"}, {"timeout_ms", "\"3000\""},
	    {"timeout_ms", "0.5"}, {"target_latency_ms", "1e300"},
	    {"target_latency_ms", "9223372036854775808"}, {"priority", "-1"},
	    {"priority", "1e300"}, {"priority", "[]"},
	    {"priority", "2147483648"}, {"max_attempts", "-1"},
	    {"max_attempts", "4294967296"}, {"stretch", "-0.5"},
	    {"stretch", "\"x\""}, {"service", "7"}, {"service", "[]"},
	    {"service", "\"a\\u0000b\""}, {"advice", "7"},
	    {"advice", "{\"decision_ms\":-1}"},
	    {"advice", "{\"period_ms\":1e300}"},
	    {"advice", "{\"validity_ms\":\"x\"}"}};
	const char *field;
	struct config *c;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		c = decode_odd(odd[i][0], odd[i][1]);
		check_rest(c);
		CU_ASSERT_EQUAL(c->nqueues, 3);
		CU_ASSERT_PTR_NULL(config_queue(c, "odd"));
		CU_ASSERT(config_queue_refused(c, "odd"));
		CU_ASSERT_EQUAL_FATAL(c->nrefusals, 1);
		CU_ASSERT_STRING_EQUAL(c->refusals[0].name, "odd");
		field = c->refusals[0].field;
		if (strcmp(odd[i][0], "advice") != 0)
			CU_ASSERT_STRING_EQUAL(field, odd[i][0]);
		config_delete(c);
	}
}

/* Guards against RECOVER: the same of a queue that can't be told from others,
 * and of a service or limit. */
void
test_config_odd_part_alone(void)
{
	static const char *const routes[][2] = {{"name", "7"},
	    {"name", "\"a\\u0000\""}, {"host", "{}"}, {"prefix", "[\"/x/\"]"}};
	static const char *const rest[] = {
	    "\"limits\":{\"max_body_bytes\":1e300}",
	    "\"limits\":{\"max_header_bytes\":-1}",
	    "\"services\":[{\"name\":7}]", "\"services\":[7]",
	    "\"services\":{}"};
	struct config *c;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		c = decode_odd(routes[i][0], routes[i][1]);
		check_rest(c);
		CU_ASSERT_EQUAL(c->nqueues, 2);
		CU_ASSERT_EQUAL(c->nrefusals, 1);
		CU_ASSERT_STRING_EQUAL(c->refusals[0].field, routes[i][0]);
		config_delete(c);
	}
	c = decode_between("7");
	check_rest(c);
	CU_ASSERT_EQUAL(c->nqueues, 2);
	CU_ASSERT_EQUAL(c->nrefusals, 1);
	config_delete(c);
	for (i = 0; i < sizeof(rest) / sizeof(rest[0]); i++) {
		text = xasprintf("{\"version\":7,\"routes\":[{\"name\":\"a\"}],"
				 "%s}",
		    rest[i]);
		c = decode(text);
		CU_ASSERT_PTR_NOT_NULL_FATAL(c);
		CU_ASSERT_EQUAL(c->version, 7);
		CU_ASSERT_PTR_NOT_NULL(config_queue(c, "a"));
		CU_ASSERT_EQUAL(c->nrefusals, 1);
		CU_ASSERT_EQUAL(c->max_body_bytes, 0);
		CU_ASSERT_EQUAL(c->nservices, 0);
		config_delete(c);
		free(text);
	}
}

/* A row of which the version or the list of queues can't be read is refused
 * whole. */
void
test_config_row_unreadable(void)
{
	static const char *const odd[] = {"", "[]", "{", "\xff\xfe",
	    "{\"version\":1e300}", "{\"version\":-1}", "{\"version\":\"7\"}",
	    "{\"version\":7.5}", "{\"version\":7,\"routes\":{}}",
	    "{\"version\":7,\"routes\":\"x\"}", "{\"version\":7,\"version\":8}",
	    "{\"version\":123456789012345678901234567890}"};
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		CU_ASSERT_PTR_NULL(decode(odd[i]));
}

static char *
long_text(char last)
{
	char *text = xmalloc(LONG_LEN + 3);

	memset(text, 'x', LONG_LEN + 2);
	text[0] = text[LONG_LEN + 1] = '"';
	text[1] = '/';
	text[LONG_LEN] = last;
	text[LONG_LEN + 2] = '\0';
	return text;
}

/* Guards against RECOVER: a text longer than an array took the configuration
 * away; cut to fit, two queues would be one. */
void
test_config_long_texts(void)
{
	static const char *const fields[] = {
	    "name", "host", "prefix", "service"};
	char *text = long_text('1'), *other = long_text('2');
	const struct queue *q;
	struct config *c;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		c = decode_odd(fields[i], text);
		check_rest(c);
		CU_ASSERT_EQUAL(c->nrefusals, 0);
		CU_ASSERT_EQUAL_FATAL(c->nqueues, 3);
		q = &c->queues[1];
		CU_ASSERT_EQUAL(strlen(q->name) + strlen(q->host) +
			strlen(q->prefix) + strlen(q->service),
		    LONG_LEN + strlen("odd") * (i != 0) +
			strlen("h.example") * (i != 1) +
			strlen("/odd/") * (i != 2) + strlen("work") * (i != 3));
		config_delete(c);
	}
	c = decode_odd("prefix", text);
	text[LONG_LEN + 1] = other[LONG_LEN + 1] = '\0';
	q = config_route(c, "h.example", text + 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	CU_ASSERT_STRING_EQUAL(q->name, "odd");
	CU_ASSERT_PTR_NULL(config_route(c, "h.example", other + 1));
	config_delete(c);
	free(text);
	free(other);
}

/* Guards against RECOVER: numbers beyond an invented range took the
 * configuration away. They are taken as they stand, and null as missing. */
void
test_config_large_numbers(void)
{
	static const char text[] =
	    "{\"version\":9007199254740991,\"routes\":[{\"name\":\"a\","
	    "\"timeout_ms\":2592000000,\"target_latency_ms\":9007199254740992,"
	    "\"priority\":5000,\"max_attempts\":4294967295,\"stretch\":1e300,"
	    "\"advice\":null},{\"name\":\"b\",\"stretch\":null,\"host\":null,"
	    "\"timeout_ms\":3000.0}],\"services\":null,"
	    "\"limits\":{\"max_body_bytes\":4294967296,"
	    "\"max_header_bytes\":null}}";
	struct config *c = decode(text);
	const struct queue *q;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->nrefusals, 0);
	CU_ASSERT_EQUAL(c->version, 9007199254740991);
	CU_ASSERT_EQUAL(c->max_body_bytes, 4294967296);
	q = config_queue(c, "a");
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	CU_ASSERT_EQUAL(q->timeout_ms, DAYS_30_MS);
	CU_ASSERT_EQUAL(q->target_latency_ms, 9007199254740992);
	CU_ASSERT_EQUAL(q->priority, 5000);
	CU_ASSERT_EQUAL(q->max_attempts, UINT32_MAX);
	CU_ASSERT_EQUAL(q->stretch, 1e300);
	CU_ASSERT(!q->advice.needed);
	q = config_queue(c, "b");
	CU_ASSERT_PTR_NOT_NULL_FATAL(q);
	CU_ASSERT_EQUAL(q->stretch, 0);
	CU_ASSERT_EQUAL(q->timeout_ms, 3000);
	CU_ASSERT_STRING_EQUAL(q->host, "");
	config_delete(c);
}

struct answer {
	int n;
	int error;
};

static void
on_answer(const struct cell_answer *a, void *arg)
{
	struct answer *out = arg;

	out->n++;
	out->error = a->error;
}

static void
submit(struct world *w, const char *id, struct answer *out)
{
	Cc__JobRow *row = xcalloc(1, sizeof(*row));

	cc__job_row__init(row);
	row->queue = xstrdup("urgent");
	row->spec = xstrdup("");
	row->steps = xcalloc(1, sizeof(*row->steps));
	row->steps[row->n_steps++] = xcalloc(1, sizeof(**row->steps));
	cc__step_spec__init(row->steps[0]);
	row->steps[0]->count = row->steps[0]->cpu = 1;
	cell_submit(world_cell(w, 0), id, row, on_answer, out);
}

/* Guards against LOST: work that was accepted on a queue of which a later
 * version can't be read is finished, and stays known; new work is refused. */
void
test_config_refused_queue_keeps_work(void)
{
	const struct world_step step = {
	    .count = 2, .cpu = 1000, .ms = 3000, .after = -1};
	struct world *w = start_world(4);
	struct cell *c = world_cell(w, 0);
	struct answer new = {0}, again = {0};
	struct config *next;
	int i;

	world_submit(w, "00000000000000a1", "urgent", &step, 1);
	world_run(w, 1000);
	for (i = 0; i < 2; i++) {
		next = config_copy(c->config);
		next->version++;
		next->queues[0].refused = true;
		free(next->queues[0].service);
		next->queues[0].service = xstrdup("");
		cell_set_config(c, next);
	}
	submit(w, "00000000000000a1", &again);
	submit(w, "00000000000000a2", &new);
	world_run(w, 100);
	CU_ASSERT_EQUAL(again.error, CC_OK);
	CU_ASSERT_EQUAL(again.n, 1);
	CU_ASSERT_EQUAL(new.error, CC_EBUSY);
	CU_ASSERT_EQUAL(new.n, 1);
	world_run(w, 6000);
	CU_ASSERT(world_complete_ms(w, "00000000000000a1") >= 0);
	CU_ASSERT_EQUAL(world_state(w, "00000000000000a2"), -1);
	finish_world(w);
}
