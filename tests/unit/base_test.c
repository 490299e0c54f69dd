/** @file Task forms, ids, statistics, error names, operator authentication, and
 * the plans for shards and requests. */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/base/hist.h"
#include "../../src/coordination/route.h"
#include "../../src/coordination/shard_plan.h"
#include "../../src/coordination/tombstone.h"
#include "../../src/protocol/task_form.h"
#include "../../src/state/yaml_doc.h"
#include "../../src/transport/peer_auth.h"
#include "unit.h"

#define FORM "{\"cpus\":2,\"memory_mb\":512,\"run_ms\":5000"

static int
parse(const char *text, struct task_form *f, struct form_error *e)
{
	return task_form_parse(f, text, strlen(text), e);
}

/* The hash tells a repeated submission from another task under the same id. */
void
test_form_complete(void)
{
	struct task_form f, g;
	struct form_error e;

	CU_ASSERT_EQUAL(
	    parse(FORM ",\"count\":3,\"team\":\"sur\",\"id\":\"a.1\"}", &f, &e),
	    CC_OK);
	CU_ASSERT_EQUAL(f.size.cpus, 2);
	CU_ASSERT_EQUAL(f.count, 3);
	CU_ASSERT_EQUAL(f.run_ms, 5000);
	CU_ASSERT_STRING_EQUAL(f.id, "a.1");
	CU_ASSERT_EQUAL(parse(FORM "}", &g, &e), CC_OK);
	CU_ASSERT_EQUAL(g.count, 1);
	CU_ASSERT_NOT_EQUAL(
	    task_form_hash(&f, "cure"), task_form_hash(&g, "cure"));
	CU_ASSERT_EQUAL(task_form_hash(&g, "cure"), task_form_hash(&g, "cure"));
}

void
test_form_error_names_field(void)
{
	static const struct {
		const char *text;
		const char *field;
	} bad[] = {
	    {"{", "body"},
	    {"[]", "body"},
	    {"", "body"},
	    {"{\"cpus\":2}", "memory_mb"},
	    {FORM ",\"host\":\"w1\"}", "host"},
	    {"{\"cpus\":-2,\"memory_mb\":5,\"run_ms\":5}", "cpus"},
	    {"{\"cpus\":2.5,\"memory_mb\":5,\"run_ms\":5}", "cpus"},
	    {"{\"cpus\":99999999999,\"memory_mb\":5,\"run_ms\":5}", "cpus"},
	    {FORM ",\"count\":0}", "count"},
	    {FORM ",\"count\":100000}", "count"},
	    {FORM ",\"id\":\"a/b\"}", "id"},
	    {FORM ",\"team\":7}", "team"},
	    {FORM ",\"cpus\":3}", "body"},
	};
	struct task_form f;
	struct form_error e;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_EQUAL(parse(bad[i].text, &f, &e), CC_EINVAL);
		CU_ASSERT_STRING_EQUAL(e.field, bad[i].field);
	}
}

void
test_id_length_and_characters(void)
{
	char id[80];

	memset(id, 'x', sizeof(id));
	id[63] = '\0';
	CU_ASSERT_TRUE(id_valid(id));
	id[63] = 'x';
	id[64] = '\0';
	CU_ASSERT_FALSE(id_valid(id));
	CU_ASSERT_FALSE(id_valid(""));
	CU_ASSERT_FALSE(id_valid("a#0"));
	CU_ASSERT_FALSE(id_valid("a b"));
}

void
test_histogram_quantiles(void)
{
	static struct hist h;
	unsigned i;
	uint64_t v;

	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hist_quantile(&h, 0.5), 0);
	for (v = 1; v <= 1000; v++)
		hist_add(&h, v);
	CU_ASSERT_EQUAL(h.total, 1000);
	CU_ASSERT_EQUAL(h.sum, 500500);
	v = hist_quantile(&h, 0.5);
	CU_ASSERT_TRUE(v >= 500 && v <= 532);
	v = hist_quantile(&h, 0.99);
	CU_ASSERT_TRUE(v >= 990 && v <= 1055);
	for (i = 1; i < HIST_BUCKETS; i++)
		CU_ASSERT_TRUE(hist_bucket_low(i) > hist_bucket_low(i - 1));
	hist_add(&h, UINT64_MAX);
	CU_ASSERT_EQUAL(h.counts[HIST_BUCKETS - 1], 1);
}

void
test_durations_need_unit(void)
{
	CU_ASSERT_EQUAL(yaml_duration_ms("500ms"), 500);
	CU_ASSERT_EQUAL(yaml_duration_ms("2m"), 120000);
	CU_ASSERT_EQUAL(yaml_duration_ms("1d"), 86400000);
	CU_ASSERT_EQUAL(yaml_duration_ms("5"), -1);
	CU_ASSERT_EQUAL(yaml_duration_ms("-5s"), -1);
	CU_ASSERT_EQUAL(yaml_duration_ms("5 s"), -1);
	CU_ASSERT_EQUAL(yaml_duration_ms("99999999999999999999s"), -1);
}

void
test_error_names(void)
{
	CU_ASSERT_STRING_EQUAL(cc_strerror(CC_OK), "ok");
	CU_ASSERT_STRING_EQUAL(cc_strerror(CC_EUNAVAIL), "store-unavailable");
	CU_ASSERT_STRING_EQUAL(cc_strerror(-999), "other");
	CU_ASSERT_STRING_EQUAL(cc_strerror(3), "other");
}

/* An authentication text that was seen on the network must not be valid with
 * another nonce or for another request. */
void
test_auth_covers_request(void)
{
	char a[AUTH_TEXT_LEN], b[AUTH_TEXT_LEN];

	operator_auth_text("key-one", "n1", "GET", "/v1/x", "", 0, a);
	operator_auth_text("key-one", "n1", "GET", "/v1/x", "", 0, b);
	CU_ASSERT_TRUE(operator_auth_equal(a, b));
	operator_auth_text("key-two", "n1", "GET", "/v1/x", "", 0, b);
	CU_ASSERT_FALSE(operator_auth_equal(a, b));
	operator_auth_text("key-one", "n2", "GET", "/v1/x", "", 0, b);
	CU_ASSERT_FALSE(operator_auth_equal(a, b));
	operator_auth_text("key-one", "n1", "POST", "/v1/x", "{}", 2, b);
	CU_ASSERT_FALSE(operator_auth_equal(a, b));
	CU_ASSERT_FALSE(operator_auth_equal(a, ""));
}

/* An earlier attempt that arrives after a later one must be refused. */
void
test_tombstones_refuse_old_attempts(void)
{
	struct tombstones t = {NULL};

	CU_ASSERT_TRUE(tombstone_pass(&t, "a#0", 5, 0));
	CU_ASSERT_FALSE(tombstone_pass(&t, "a#0", 5, 1));
	CU_ASSERT_FALSE(tombstone_pass(&t, "a#0", 4, 2));
	CU_ASSERT_TRUE(tombstone_pass(&t, "a#0", 6, 3));
	CU_ASSERT_TRUE(tombstone_pass(&t, "b#0", 1, 4));
	tombstones_expire(&t, TOMBSTONE_KEEP_MS + 3);
	CU_ASSERT_TRUE(tombstone_pass(&t, "a#0", 1, 5));
	CU_ASSERT_FALSE(tombstone_pass(&t, "b#0", 1, 5));
	tombstones_done(&t);
}

static struct plan_view view;

static void
make_view(int hosts, int shards)
{
	int i;

	memset(&view, 0, sizeof(view));
	view.self = "h0";
	view.self_epoch = 1;
	view.nhosts = hosts;
	view.nshards = shards;
	for (i = 0; i < hosts; i++) {
		snprintf(view.hosts[i].name, HOST_NAME_LEN, "h%d", i);
		view.hosts[i].epoch = 1;
		view.hosts[i].known_ms = 60000;
	}
}

/* 16 shards over 8 hosts, of which one is then lost. */
void
test_shard_plan_even(void)
{
	int out[PLAN_SHARDS_MAX], again[PLAN_SHARDS_MAX], load[8] = {0};
	int i, moved = 0;

	make_view(8, 16);
	plan_assign(&view, out);
	for (i = 0; i < 16; i++)
		load[out[i]]++;
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(load[i], 2);
	view.hosts[3].expired = true;
	plan_assign(&view, again);
	for (i = 0; i < 16; i++) {
		CU_ASSERT_NOT_EQUAL(again[i], 3);
		moved += out[i] != 3 && out[i] != again[i];
	}
	/* The loss of a host moves its own shards and at most 4 others. */
	CU_ASSERT_TRUE(moved <= 4);
}

/* A leaving host must not keep its shards, and a new host that may be gone
 * again soon gets none yet. */
void
test_shard_plan_leaving_host(void)
{
	struct plan_action a[16];
	int i, n;

	make_view(2, 4);
	for (i = 0; i < 4; i++) {
		strcpy(view.shards[i].owner, "h0");
		view.shards[i].owner_epoch = 1;
	}
	view.hosts[0].leaving = true;
	n = plan_decide(&view, a, 16);
	CU_ASSERT_EQUAL(n, 4);
	for (i = 0; i < n; i++)
		CU_ASSERT_EQUAL(a[i].verb, PLAN_RELEASE);
	/* No live host can take the shards; the lapsed one is marked expired.
	 */
	view.hosts[1].lapsed = true;
	n = plan_decide(&view, a, 16);
	for (i = 0; i < n; i++)
		CU_ASSERT_EQUAL(a[i].verb, PLAN_EXPIRE);
	/* A new host gets no shard before PLAN_SETTLE_MS. */
	make_view(2, 2);
	for (i = 0; i < 2; i++) {
		strcpy(view.shards[i].owner, "h0");
		view.shards[i].owner_epoch = 1;
	}
	view.hosts[1].known_ms = PLAN_SETTLE_MS - 1;
	CU_ASSERT_EQUAL(plan_decide(&view, a, 16), 0);
	view.hosts[1].known_ms = PLAN_SETTLE_MS;
	CU_ASSERT_EQUAL(plan_decide(&view, a, 16), 1);
}

/* -1: no runner offers the service. */
void
test_projected_wait_counts_queue(void)
{
	struct route r;
	struct runner *n;

	route_init(&r);
	CU_ASSERT_EQUAL(route_projected_wait_ms(&r, "desk", 0), -1);
	n = route_runner_add(&r, "n0");
	strcpy(n->service, "desk");
	n->slots = 2;
	n->mine = true;
	n->mean_us = 100000;
	CU_ASSERT_EQUAL(route_projected_wait_ms(&r, "desk", 0), 0);
	n->busy = 2;
	CU_ASSERT_EQUAL(route_projected_wait_ms(&r, "desk", 0), 50);
	r.queue.count = 10;
	CU_ASSERT_EQUAL(route_projected_wait_ms(&r, "desk", 0), 550);
	CU_ASSERT_EQUAL(route_projected_wait_ms(&r, "other", 0), -1);
	r.queue.count = 0;
	route_done(&r);
}
