/** @file Job model, submissions, configuration, registry entries and the
 * decision functions of src/coordination, each without a cell. */
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/config_row.h"
#include "../../platform/registry.h"
#include "../../platform/submission.h"
#include "../../src/base/err.h"
#include "../../src/base/finding.h"
#include "../../src/base/xalloc.h"
#include "../../src/coordination/advice_lanes.h"
#include "../../src/coordination/advice_plan.h"
#include "../../src/coordination/answer_wait.h"
#include "../../src/coordination/leader_claim.h"
#include "../../src/coordination/pacing.h"
#include "../../src/coordination/relay_fallback.h"
#include "../../src/coordination/relay_plan.h"
#include "../../src/coordination/retry_after.h"
#include "../../src/coordination/rtt.h"
#include "../../src/coordination/urgency.h"
#include "../../src/state/cell_settings.h"
#include "../../src/ports/ports.h"
#include "../../src/state/job.h"
#include "unit.h"

static Cc__JobRow *
decode(const char *body, const char **wrong)
{
	return submission_decode(
	    (const uint8_t *)body, strlen(body), "q", wrong);
}

void
test_submission_complete(void)
{
	const char *wrong;
	Cc__JobRow *row =
	    decode("{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,"
		   "\"mem_mb\":256,\"estimate_ms\":900,\"affinity\":\"r1-3\"},"
		   "{\"count\":20,\"cpu\":2000,\"after\":[0],\"gang\":true,"
		   "\"unknown\":[1]}]}",
		&wrong);

	CU_ASSERT_PTR_NOT_NULL_FATAL(row);
	CU_ASSERT_EQUAL(row->n_steps, 2);
	CU_ASSERT_EQUAL(row->steps[0]->mem_mb, 256);
	CU_ASSERT_STRING_EQUAL(row->steps[0]->preferred_rack, "r1-3");
	CU_ASSERT(row->steps[1]->gang);
	CU_ASSERT_EQUAL(row->steps[1]->after[0], 0);
	CU_ASSERT_EQUAL(job_check(row, &wrong), CC_OK);
	CU_ASSERT_EQUAL(job_critical_path_ms(row), 900);
	cc__job_row__free_unpacked(row, NULL);
}

void
test_submission_error_names_field(void)
{
	static const struct {
		const char *body;
		const char *wrong;
	} cases[] = {
	    {"", "body"},
	    {"[]", "body"},
	    {"{\"steps\":4}", "steps"},
	    {"{\"steps\":[{\"count\":\"4\"}]}", "count"},
	    {"{\"steps\":[{\"count\":-1}]}", "count"},
	    {"{\"steps\":[{\"count\":1,\"gang\":1}]}", "gang"},
	    {"{\"steps\":[{\"count\":1,\"image\":7}]}", "image"},
	    {"{\"steps\":[{\"count\":1,\"after\":[\"a\"]}]}", "after"},
	    {"{\"spec\":7,\"steps\":[{\"count\":1}]}", "spec"},
	};
	const char *wrong;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_PTR_NULL(decode(cases[i].body, &wrong));
		CU_ASSERT_STRING_EQUAL(wrong, cases[i].wrong);
	}
}

void
test_job_check_rejects_bad_steps(void)
{
	const char *wrong;
	Cc__JobRow *row = decode("{\"steps\":[]}", &wrong);

	CU_ASSERT_EQUAL(job_check(row, &wrong), CC_EINVAL);
	cc__job_row__free_unpacked(row, NULL);
	row = decode("{\"steps\":[{\"count\":1,\"after\":[0]}]}", &wrong);
	CU_ASSERT_EQUAL(job_check(row, &wrong), CC_EINVAL);
	cc__job_row__free_unpacked(row, NULL);
	row = decode("{\"steps\":[{\"count\":0}]}", &wrong);
	CU_ASSERT_EQUAL(job_check(row, &wrong), CC_EINVAL);
	cc__job_row__free_unpacked(row, NULL);
}

/* Progress that is stored and read back is the same: run numbers, failures,
 * checkpoint marks and done tasks. */
void
test_job_progress_round_trip(void)
{
	const char *wrong,
	    *body = "{\"steps\":[{\"count\":9},{\"count\":3,\"after\":[0]}]}";
	struct job *a = job_new("0123456789abcdef", decode(body, &wrong));
	struct job *b = job_new("0123456789abcdef", decode(body, &wrong));
	struct task_ref ref;
	Cc__JobProgress *p;
	struct task *t;

	CU_ASSERT(task_ref_parse(&ref, "0123456789abcdef.0.0.8"));
	job_add_occurrence(a);
	task_set_done(job_task(a, &ref));
	ref.index = 3;
	t = job_task(a, &ref);
	t->last_run = 5;
	t->saved = strdup("mark");
	CU_ASSERT(task_add_failure(t, 5));
	CU_ASSERT(!task_add_failure(t, 5));
	CU_ASSERT(task_add_failure(t, 2));
	p = job_progress(a, 0);
	job_load_progress(b, p, 0);
	job_progress_free(p);
	t = job_task(b, &ref);
	CU_ASSERT_EQUAL(t->last_run, 5);
	CU_ASSERT_EQUAL(t->failures, 2);
	CU_ASSERT_STRING_EQUAL(t->saved, "mark");
	CU_ASSERT_EQUAL(b->occurrences[0]->steps[0].ndone, 1);
	CU_ASSERT(!step_is_ready(&b->occurrences[0]->steps[1]));
	job_delete(a);
	job_delete(b);
}

void
test_task_names_parse(void)
{
	struct task_ref ref;

	CU_ASSERT(task_ref_parse(&ref, "5c0e7a21d94b36f8.2.1.17"));
	CU_ASSERT_EQUAL(ref.occurrence, 2);
	CU_ASSERT_EQUAL(ref.step, 1);
	CU_ASSERT_EQUAL(ref.index, 17);
	CU_ASSERT(!task_ref_parse(&ref, "5c0e7a21d94b36f8.2.1"));
	CU_ASSERT(!task_ref_parse(&ref, "5c0e.2.1.x"));
	CU_ASSERT(!task_ref_parse(&ref, "5c0e.2.1.-1"));
	CU_ASSERT(!task_ref_parse(&ref, ""));
}

static void
set_lanes(struct lanes *l, int n)
{
	char hosts[LANES_MAX][64];
	int i;

	memset(l, 0, sizeof(*l));
	for (i = 0; i < n; i++) {
		memset(hosts[i], 0, sizeof(hosts[i]));
		hosts[i][0] = (char)('a' + i);
	}
	lanes_set(l, (const char(*)[64])hosts, n);
}

#define QUICK_MS 37.0
#define SLOW_MS 600.0

/* Slow calls take at most 5 of 8 lanes, so that no quick call waits behind a
 * slow one (head-of-line blocking). */
void
test_lanes_slow_calls_apart(void)
{
	struct lanes l;
	struct lane *lane;
	int i, slow = 0;

	set_lanes(&l, 8);
	while ((lane = lanes_pick(&l, SLOW_MS)) != NULL && slow < 100) {
		lane_sent(lane, SLOW_MS, 0);
		slow++;
	}
	CU_ASSERT_EQUAL(slow, 5);
	for (i = 0; i < 3; i++) {
		lane = lanes_pick(&l, QUICK_MS);
		CU_ASSERT_PTR_NOT_NULL_FATAL(lane);
		CU_ASSERT_EQUAL(lane->open, 0);
		lane_sent(lane, QUICK_MS, 0);
	}
}

/* A single host serves both kinds of calls, and slow ones one at a time. */
void
test_lanes_one_or_no_host(void)
{
	struct lanes l;
	struct lane *lane;

	set_lanes(&l, 1);
	lane = lanes_pick(&l, SLOW_MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(lane);
	lane_sent(lane, SLOW_MS, 0);
	CU_ASSERT_PTR_NULL(lanes_pick(&l, SLOW_MS));
	lanes_answered(&l, "a", 600);
	CU_ASSERT_PTR_NOT_NULL(lanes_pick(&l, SLOW_MS));
	set_lanes(&l, 0);
	CU_ASSERT_PTR_NULL(lanes_pick(&l, QUICK_MS));
}

/* Batch work must not delay urgent jobs on time, and hopelessly late jobs must
 * not delay those that can still meet their objective. */
void
test_urgency_order(void)
{
	struct urgency_job urgent = {
	    .due_ms = 1000, .remaining_ms = 500, .priority = 0};
	struct urgency_job batch = {
	    .due_ms = 900, .remaining_ms = 500, .priority = 2};
	struct urgency a = urgency_of(&urgent, 100);
	struct urgency b = urgency_of(&batch, 100);

	CU_ASSERT(urgency_compare(&a, &b) < 0);
	/* A late job that may still count ranks behind jobs on time. */
	a = urgency_of(&urgent, 1100);
	batch.due_ms = 9000;
	b = urgency_of(&batch, 1100);
	CU_ASSERT(urgency_compare(&a, &b) > 0);
	/* A job past three times its objective ranks last. */
	urgent.due_ms = 1000;
	a = urgency_of(&urgent, 2900);
	batch.due_ms = 2000;
	b = urgency_of(&batch, 2100);
	CU_ASSERT(urgency_compare(&a, &b) > 0);
	CU_ASSERT_EQUAL(urgency_objective_ms(1000, 1.5, 250), 1750);
}

/* A host claims the lead only when it has a reason to suspect the leader and
 * the leader's row is unchanged for a term. */
void
test_claim_conditions(void)
{
	struct claim_facts f = {
	    .known = true, .linked = true, .beat_age_ms = 100};

	CU_ASSERT(!claim_leader_suspected(&f));
	f.unchanged_ms = 100000;
	CU_ASSERT(!claim_due(&f));
	/* Three heartbeats are missing. */
	f.beat_age_ms = 300;
	CU_ASSERT(claim_leader_suspected(&f));
	f.unchanged_ms = 499;
	CU_ASSERT(!claim_due(&f));
	f.unchanged_ms = 500;
	CU_ASSERT(claim_due(&f));
	f.store_responsive = true;
	f.unchanged_ms = CLAIM_AFTER_MIN_MS - 1;
	CU_ASSERT(!claim_due(&f));
	f.unchanged_ms = CLAIM_AFTER_MIN_MS;
	CU_ASSERT(claim_due(&f));
	f.rank = 3;
	CU_ASSERT(!claim_due(&f));
	f = (struct claim_facts){.known = true,
	    .linked = true,
	    .stalled = true,
	    .store_responsive = true};
	f.unchanged_ms = 99;
	CU_ASSERT(!claim_due(&f));
	f.unchanged_ms = 100;
	CU_ASSERT(claim_due(&f));
	/* A store that is slow for all hosts is no reason to change the
	 * leader. */
	f.store_responsive = false;
	CU_ASSERT(!claim_due(&f));
	f.unchanged_ms = CLAIM_AFTER_MIN_MS;
	CU_ASSERT(!claim_due(&f));
	f = (struct claim_facts){.known = true, .no_leader = true};
	CU_ASSERT(claim_due(&f));
	f.known = false;
	CU_ASSERT(!claim_due(&f));
}

/* A reserve host claims only after 3 s while a core host is alive, so that the
 * stronger hosts claim first. */
void
test_claim_reserve_host_waits(void)
{
	struct claim_facts f = {.known = true,
	    .linked = true,
	    .store_responsive = true,
	    .reserve = true,
	    .core_alive = true,
	    .beat_age_ms = 900};

	CU_ASSERT(!claim_leader_suspected(&f));
	f.beat_age_ms = 2600;
	CU_ASSERT(claim_leader_suspected(&f));
	f.unchanged_ms = 2999;
	CU_ASSERT(!claim_due(&f));
	f.unchanged_ms = 3000;
	CU_ASSERT(claim_due(&f));
	/* Core hosts come first also when there is no leader. */
	f = (struct claim_facts){.known = true,
	    .no_leader = true,
	    .reserve = true,
	    .core_alive = true,
	    .unchanged_ms = 500};
	CU_ASSERT(!claim_due(&f));
	f.core_alive = false;
	CU_ASSERT(claim_due(&f));
}

/* Batch steps with many tasks need long advice calls, which are split over idle
 * lanes. */
void
test_advice_plan_splits_long_calls(void)
{
	struct advice_share s;
	int i;

	/* With few hosts there is one call of bounded length. */
	CU_ASSERT_EQUAL(advice_plan_runners_max(5), ADVICE_CALL_RUNNERS_MAX);
	CU_ASSERT_EQUAL(advice_plan_calls(60, 559, 7.9, 5), 1);
	/* With many hosts the call is split while each split saves time. */
	CU_ASSERT_EQUAL(advice_plan_runners_max(100),
	    ADVICE_CALLS_MAX * ADVICE_CALL_RUNNERS_MAX);
	CU_ASSERT(advice_plan_calls(60, 559, 7.9, 100) > 1);
	CU_ASSERT(advice_plan_calls(200, 559, 7.9, 100) >= 4);
	CU_ASSERT_EQUAL(advice_plan_calls(4, 559, 7.9, 100), 1);
	advice_share_init(&s);
	for (i = 0; i < 200; i++)
		advice_share_update(&s, 20, 7);
	CU_ASSERT_DOUBLE_EQUAL(s.share, 0.35, 0.01);
	for (i = 0; i < 500; i++)
		advice_share_update(&s, 20, 0);
	CU_ASSERT(s.share >= 0.1);
}

/*
 * Urgent steps of 11 tasks ask advice on runners with four slots each, of which
 * a share of 0.7 is allowed. The first answer gives 99% of the steps enough
 * slots.
 */
void
test_advice_plan_names_enough(void)
{
	struct advice_need need = {
	    .tasks = 11, .share = 0.7, .decision_ms = 30, .runner_ms = 0.42};
	struct advice_candidate candidates[ADVICE_CALL_RUNNERS_MAX];
	int i, k, n, slots, too_few_slots = 0;

	for (i = 0; i < ADVICE_CALL_RUNNERS_MAX; i++)
		candidates[i] = (struct advice_candidate){.slots = 4};
	n = advice_plan_runners(candidates, ADVICE_CALL_RUNNERS_MAX,
	    ADVICE_CALL_RUNNERS_MAX, &need);
	CU_ASSERT(n < ADVICE_CALL_RUNNERS_MAX / 2);
	srand(7);
	for (k = 0; k < 1000; k++) {
		slots = 0;
		for (i = 0; i < n; i++)
			slots += rand() % 10 < 7 ? 4 : 0;
		too_few_slots += slots < 11;
	}
	CU_ASSERT(too_few_slots < 10);
	/* Runners that were allowed before will be allowed again: only few are
	 * named, as each one lengthens this call by 30 ms. */
	for (i = 0; i < ADVICE_CALL_RUNNERS_MAX; i++)
		candidates[i].allowed = true;
	need.runner_ms = 30;
	n = advice_plan_runners(candidates, ADVICE_CALL_RUNNERS_MAX,
	    ADVICE_CALL_RUNNERS_MAX, &need);
	CU_ASSERT_EQUAL(n, ADVICE_RUNNERS_MIN);
	/* Runners whose slots are taken add nothing, so three others follow. */
	for (i = 0; i < 10; i++)
		candidates[i].slots = 0;
	n = advice_plan_runners(candidates, ADVICE_CALL_RUNNERS_MAX,
	    ADVICE_CALL_RUNNERS_MAX, &need);
	CU_ASSERT_EQUAL(n, 13);
	CU_ASSERT_EQUAL(
	    advice_plan_runners(candidates, 3, ADVICE_CALL_RUNNERS_MAX, &need),
	    3);
}

/* With more hosts the number of quick lanes is bounded; the others are for slow
 * calls. */
void
test_lanes_quick_bounded(void)
{
	struct lanes l;
	struct lane *lane;

	memset(&l, 0, sizeof(l));
	set_lanes(&l, 147);
	CU_ASSERT_EQUAL(lanes_idle(&l, 30), 24);
	CU_ASSERT_EQUAL(lanes_idle(&l, 600), 123);
	lane = lanes_pick(&l, 600);
	lane_sent(lane, 600, 0);
	CU_ASSERT_EQUAL(lanes_idle(&l, 600), 122);
}

static int
make_hosts(struct relay_host *list, int strong, int weak)
{
	int i;

	for (i = 0; i < strong + weak; i++) {
		snprintf(list[i].host, sizeof(list[i].host), "h%d", i);
		list[i].capacity = i < strong ? relay_capacity(0.5, 200)
					      : relay_capacity(0.12, 20);
	}
	return strong + weak;
}

/* The leader serves 48 runners itself. 1100 runners are shared out over 11
 * strong hosts, each within its capacity of 200. */
void
test_relay_plan_strong_hosts(void)
{
	struct relay_host list[160];
	struct relay_plan p = {.n = 0};
	int i, count[RELAYS_MAX] = {0}, most = 0;
	char runner[16];

	relay_plan_set(&p, list, make_hosts(list, 15, 130), 200, 48);
	CU_ASSERT_EQUAL(p.n, 0);
	CU_ASSERT_EQUAL(relay_plan_pick(&p, "r1", 0), -1);
	relay_plan_set(&p, list, make_hosts(list, 15, 130), 200, 1100);
	CU_ASSERT_EQUAL(p.n, 11);
	for (i = 0; i < p.n; i++)
		CU_ASSERT_DOUBLE_EQUAL(p.hosts[i].capacity, 200, 0.1);
	for (i = 0; i < 1100; i++) {
		snprintf(runner, sizeof(runner), "r%d", i);
		count[relay_plan_pick(&p, runner, 0)]++;
	}
	for (i = 0; i < p.n; i++)
		most = count[i] > most ? count[i] : most;
	CU_ASSERT(most < 200);
}

/* When a relay is lost, only its own runners move to other relays. */
void
test_relay_plan_lost_relay(void)
{
	struct relay_host list[32];
	struct relay_plan p = {.n = 0}, q;
	char runner[16], lost[RELAY_HOST_LEN];
	uint64_t version;
	int i, moved = 0;

	relay_plan_set(&p, list, make_hosts(list, 0, 30), 48, 500);
	q = p;
	str_copy(lost, p.hosts[0].host, sizeof(lost));
	version = q.version;
	relay_plan_drop(&q, lost);
	CU_ASSERT_EQUAL(q.n, p.n - 1);
	CU_ASSERT_EQUAL(q.version, version + 1);
	for (i = 0; i < 500; i++) {
		const char *was, *is;

		snprintf(runner, sizeof(runner), "r%d", i);
		was = p.hosts[relay_plan_pick(&p, runner, 0)].host;
		is = q.hosts[relay_plan_pick(&q, runner, 0)].host;
		moved += strcmp(was, is) != 0 && strcmp(was, lost) != 0;
	}
	CU_ASSERT_EQUAL(moved, 0);
	/* Setting the same hosts again is no change. */
	version = p.version;
	relay_plan_set(&p, list, make_hosts(list, 0, 30), 48, 500);
	CU_ASSERT_EQUAL(p.version, version);
	relay_plan_drop(&p, "unknown");
	CU_ASSERT_EQUAL(p.version, version);
}

/* The path between a relay and some runners is cut: after three unanswered
 * calls in a row the runner is given another relay. */
void
test_relay_changed_after_lost_calls(void)
{
	struct relay_host list[32];
	struct relay_plan p = {.n = 0};
	struct relay_fallbacks f = {.list = NULL};
	int first, second;

	relay_plan_set(&p, list, make_hosts(list, 15, 0), 200, 1100);
	first = relay_plan_pick(&p, "r1", relay_fallbacks_choice(&f, "r1"));
	CU_ASSERT(!relay_fallbacks_note(&f, "r1", false));
	CU_ASSERT(!relay_fallbacks_note(&f, "r1", true));
	CU_ASSERT(!relay_fallbacks_note(&f, "r1", false));
	CU_ASSERT_EQUAL(
	    relay_plan_pick(&p, "r1", relay_fallbacks_choice(&f, "r1")), first);
	CU_ASSERT(!relay_fallbacks_note(&f, "r1", false));
	CU_ASSERT(relay_fallbacks_note(&f, "r1", false));
	second = relay_plan_pick(&p, "r1", relay_fallbacks_choice(&f, "r1"));
	CU_ASSERT(second != first && second >= 0);
	/* The runner keeps the relay that answers. */
	CU_ASSERT(!relay_fallbacks_note(&f, "r1", true));
	CU_ASSERT_EQUAL(
	    relay_plan_pick(&p, "r1", relay_fallbacks_choice(&f, "r1")),
	    second);
	CU_ASSERT_EQUAL(relay_fallbacks_choice(&f, "r2"), 0);
	/* With a single relay there is no other choice. */
	p.n = 1;
	CU_ASSERT_EQUAL(relay_plan_pick(&p, "r1", 3), 0);
	relay_fallbacks_done(&f);
}

/* A runner that answers later than all others has a time-out of its own. */
void
test_answer_wait_follows_late_answers(void)
{
	struct rtt all = {0};
	struct answer_wait w = {0};
	int i;

	for (i = 0; i < 20; i++) {
		rtt_sample(&all, 4);
		answer_wait_sample(&w, 4);
	}
	CU_ASSERT_EQUAL(answer_wait_hold_ms(&w, &all), ORDER_TIMEOUT_MIN_MS);
	CU_ASSERT_EQUAL(answer_wait_late_ms(&w), HOLD_LATE_MS);
	for (i = 0; i < HOLDS_LATE_MAX; i++)
		answer_wait_hold_unanswered(&w, true);
	CU_ASSERT_EQUAL(answer_wait_late_ms(&w), 0);
	CU_ASSERT(answer_wait_hold_ms(&w, &all) > ORDER_TIMEOUT_MIN_MS);
	for (i = 0; i < HOLDS_LATE_MAX; i++)
		answer_wait_late_over(&w);
	answer_wait_sample(&w, 600);
	answer_wait_hold_answered(&w);
	CU_ASSERT_EQUAL(answer_wait_late_ms(&w), HOLD_LATE_MS);
	CU_ASSERT(answer_wait_hold_ms(&w, &all) > 600);
	CU_ASSERT(answer_wait_order_ms(&w, &all) > 600);
	for (i = 0; i < 20; i++)
		answer_wait_sample(&w, 4);
	CU_ASSERT_EQUAL(answer_wait_hold_ms(&w, &all), ORDER_TIMEOUT_MIN_MS);
}

/* While a link is full, time-outs grow with the time that answers take; after
 * it they shrink again. */
void
test_rtt_timeout_follows_answers(void)
{
	struct rtt r = {0};
	int i;

	/* Without any answer so far the time-out is 300 ms. */
	CU_ASSERT_EQUAL(rtt_timeout_ms(&r, 120, 1000), 300);
	for (i = 0; i < 20; i++)
		rtt_sample(&r, 4);
	CU_ASSERT_EQUAL(rtt_timeout_ms(&r, 120, 1000), 120);
	for (i = 0; i < 20; i++)
		rtt_sample(&r, 300);
	CU_ASSERT(rtt_timeout_ms(&r, 120, 1000) > 300);
	for (i = 0; i < 20; i++)
		rtt_sample(&r, 3000);
	CU_ASSERT_EQUAL(rtt_timeout_ms(&r, 120, 1000), 1000);
	for (i = 0; i < 60; i++)
		rtt_sample(&r, 4);
	CU_ASSERT(rtt_timeout_ms(&r, 120, 1000) < 150);
	/* From one moment on all answers exceed the time-out. It doubles, so
	 * that not every call is given up. */
	for (i = 0; i < 3; i++)
		rtt_timed_out(&r, 1000 * i, 1000 * i + 500);
	CU_ASSERT(rtt_timeout_ms(&r, 60, 1000) >= 480);
	/* Time-outs of calls that were open at the same time count once. */
	for (i = 0; i < 60; i++)
		rtt_timed_out(&r, 3000 + i, 3500 + i);
	CU_ASSERT(rtt_timeout_ms(&r, 60, 10000) < 60 * 32);
	for (i = 0; i < 3; i++)
		rtt_timed_out(&r, 1000 * i + 5000, 1000 * i + 5500);
	CU_ASSERT_EQUAL(rtt_timeout_ms(&r, 60, 1000), 1000);
	rtt_sample(&r, 400);
	CU_ASSERT(rtt_timeout_ms(&r, 60, 1000) > 400);
	for (i = 0; i < 60; i++)
		rtt_sample(&r, 4);
	CU_ASSERT(rtt_timeout_ms(&r, 60, 1000) < 75);
}

/* A tail latency near its target halves the pace of best-effort work, one above
 * it stops that work. */
void
test_pacing_follows_tail(void)
{
	CU_ASSERT_EQUAL(pacing_next(100, 0.85, 500), 50);
	CU_ASSERT_EQUAL(pacing_next(50, 0.85, 100), 50);
	CU_ASSERT_EQUAL(pacing_next(50, 1.2, 500), 0);
	CU_ASSERT_EQUAL(pacing_next(0, 0.7, 5000), 0);
	CU_ASSERT_EQUAL(pacing_next(0, 0.3, 1000), 20);
	CU_ASSERT_EQUAL(pacing_next(90, 0.3, 1000), 100);
	CU_ASSERT_EQUAL(pacing_next(100, 0.0, 1000), 100);
	CU_ASSERT_DOUBLE_EQUAL(pacing_tail_share(90, 100), 0.9, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(pacing_tail_share(90, 0), 0.0, 0.001);
}

/* Guards against LOST: a priority of 1000 or more counted as that of a late
 * or expired job. */
void
test_urgency_any_priority(void)
{
	struct urgency_job j = {
	    .accepted_ms = 0, .due_ms = 1000, .remaining_ms = 100};
	struct urgency on_time, late, expired;

	j.priority = 5000;
	on_time = urgency_of(&j, 0);
	j.priority = 0;
	late = urgency_of(&j, 1500);
	expired = urgency_of(&j, 5000);
	CU_ASSERT(urgency_compare(&on_time, &late) < 0);
	CU_ASSERT(urgency_compare(&late, &expired) < 0);
	CU_ASSERT(!urgency_is_expired(&on_time));
	CU_ASSERT(!urgency_is_first(&on_time));
	CU_ASSERT(urgency_is_expired(&expired));
	CU_ASSERT_EQUAL(urgency_objective_ms(INT64_MAX / 2, 1e300, 250),
	    OBJECTIVE_PART_MAX_MS + 250);
}

static const char config_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","
    "\"prefix\":\"/x/\",\"service\":\"s\",\"priority\":0,\"stretch\":1.5,"
    "\"target_latency_ms\":250,\"max_attempts\":3,\"advice\":{"
    "\"decision_ms\":22.0,\"period_ms\":0.32,\"validity_ms\":2500}},"
    "{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/x/y/\","
    "\"service\":\"s\",\"priority\":2}],"
    "\"services\":[{\"name\":\"s\",\"admission_check\":false}],"
    "\"limits\":{\"max_body_bytes\":262144}}";

/* Two routes of a host match; the one with the longer prefix is taken. */
void
test_config_longest_prefix(void)
{
	struct config *c = config_decode(config_text, sizeof(config_text) - 1);
	const struct queue *q;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->version, 7);
	q = config_route(c, "h.example", "/x/y/1");
	CU_ASSERT_STRING_EQUAL(q->name, "b");
	CU_ASSERT(!q->advice.needed);
	q = config_route(c, "h.example:80", "/x/1");
	CU_ASSERT_STRING_EQUAL(q->name, "a");
	CU_ASSERT(q->advice.needed);
	CU_ASSERT_EQUAL(q->advice.validity_ms, 2500);
	CU_ASSERT_PTR_NULL(config_route(c, "other", "/x/1"));
	CU_ASSERT_PTR_NULL(config_route(c, "h.example", "/z/"));
	config_delete(c);
	CU_ASSERT_PTR_NULL(config_decode("[]", 2));
}

/* Registry entries that can't be read as a runner are rejected; unknown fields
 * are ignored. */
void
test_registry_bad_entries(void)
{
	static const char *const bad[] = {"", "{", "[]", "{}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"odd\","
	    "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
	    "{\"service\":7,\"address\":\"10.0.0.1:1\",\"state\":\"ready\","
	    "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}"};
	static const char good[] =
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
	    "\"state\":\"draining\",\"capacity\":{\"cpu\":16000,"
	    "\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],"
	    "\"remaining_ms\":900,\"born\":5,\"sequence\":4}";
	struct row row = {.key = "i-1"};
	struct runner_info info;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		row.value = bad[i];
		row.len = strlen(bad[i]);
		CU_ASSERT(!registry_decode(&row, &info));
	}
	row.value = good;
	row.len = sizeof(good) - 1;
	CU_ASSERT(registry_decode(&row, &info));
	CU_ASSERT(info.draining);
	CU_ASSERT_EQUAL(info.cpu, 16000);
	CU_ASSERT_EQUAL(info.remaining_ms, 900);
	CU_ASSERT_STRING_EQUAL(info.rack, "r1-3");
	CU_ASSERT_STRING_EQUAL(info.addr, "10.0.0.1");
}

/* The bad file has four faults: callers, the port of readiness, a short key and
 * max_hold_ms. */
void
test_cell_settings_findings(void)
{
	static const char good[] =
	    "host: e1\nzone: z\naddr: 127.0.0.1\ncallers: 127.0.0.1:80\n"
	    "readiness: 127.0.0.1:81\nstore: 127.0.0.1:82\n"
	    "key: sixteen-letters-long\npeer_port: 90\ncores: 0.25\n";
	static const char bad[] =
	    "host: e1\nzone: z\naddr: 127.0.0.1\ncallers: here\n"
	    "readiness: 127.0.0.1:0\nstore: 127.0.0.1:82\n"
	    "key: short\npeer_port: 90\nmax_hold_ms: 5\n";
	struct cell_settings s;
	struct findings fs;

	findings_init(&fs, "good");
	cell_settings_parse(&s, good, sizeof(good) - 1, &fs);
	CU_ASSERT_EQUAL(fs.count, 0);
	CU_ASSERT_EQUAL(s.max_hold_ms, 10000);
	CU_ASSERT_DOUBLE_EQUAL(s.cores, 0.25, 0.001);
	findings_done(&fs);
	findings_init(&fs, "bad");
	cell_settings_parse(&s, bad, sizeof(bad) - 1, &fs);
	CU_ASSERT_EQUAL(fs.count, 4);
	findings_done(&fs);
}

#define OUTAGE_MS 7000
#define TRIES 5

/* Submits a job from @p now on until it is accepted, with the retry intervals
 * given. @return the time of its acceptance, or -1 after TRIES refusals. */
static int64_t
accepted_at(struct retry_after *t, const char *id, int64_t now)
{
	int i;

	for (i = 0; i < TRIES; i++) {
		if (now >= OUTAGE_MS)
			return now;
		now += retry_after_refused(t, id, 1500, now);
	}
	return -1;
}

/*
 * Urgent jobs arrive during an outage of 7 s, and their callers try five times.
 * With a retry each second, the jobs of the first 3 s would be lost.
 */
void
test_retry_after_outlasts_outage(void)
{
	struct retry_after t;
	char id[32];
	int64_t at, start;
	int lost = 0, late = 0;

	retry_after_init(&t);
	for (start = 0; start < OUTAGE_MS; start += 50) {
		snprintf(id, sizeof(id), "%lld", (long long)start);
		at = accepted_at(&t, id, start);
		lost += at < 0;
		/* Jobs of the last 2 s of the outage are accepted within 1 s
		 * after it. */
		late += start >= OUTAGE_MS - 2000 && at > OUTAGE_MS + 1000;
	}
	CU_ASSERT_EQUAL(lost, 0);
	CU_ASSERT_EQUAL(late, 0);
	retry_after_done(&t);
}

/* Jobs with a long objective get long retry intervals from the first refusal
 * on. An acceptance resets the interval. */
void
test_retry_after_by_objective(void)
{
	struct retry_after t;

	retry_after_init(&t);
	CU_ASSERT_EQUAL(retry_after_refused(&t, "a", 30000, 0), 4000);
	CU_ASSERT_EQUAL(retry_after_refused(&t, "b", 1500, 0), 1000);
	CU_ASSERT_EQUAL(retry_after_refused(&t, "b", 1500, 1000), 1000);
	CU_ASSERT_EQUAL(retry_after_refused(&t, "b", 1500, 2000), 2000);
	CU_ASSERT_EQUAL(retry_after_refused(&t, "b", 1500, 4000), 4000);
	retry_after_accepted(&t, "b");
	CU_ASSERT_EQUAL(retry_after_refused(&t, "b", 1500, 8000), 1000);
	retry_after_done(&t);
}

/* Guards against a fencing token that is used twice: a process that had led
 * took the row of its former term for the success of a claim that was lost. */
void
test_claim_not_shown_by_former_row(void)
{
	CU_ASSERT(!claim_succeeded(100, 100, true));
	CU_ASSERT(!claim_succeeded(100, 120, false));
	CU_ASSERT(claim_succeeded(100, 120, true));
	CU_ASSERT(claim_succeeded(0, 7, true));
}
