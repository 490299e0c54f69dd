/**
 * @file Runners that a new leader could miss among those that inherited work
 * waits for: closed by the leader before as its last act, not in the registry,
 * replaced at their address, or on a later page of the store.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define JOB "00000000000000c1"
#define OTHER_JOB "00000000000000c2"
#define SMALL_JOBS 300 /* more rows than a page of the store has */
#define CELLS 3
/** Longest time that inherited work waits for leases of the leader before. */
#define LEASES_OVER_MS 7200

static const struct world_step long_step = {
    .count = 12, .cpu = 4000, .ms = 25000, .after = -1};

static void
cut_zone(struct world *w, bool cut)
{
	int i;

	world_cut_store(w, 0, cut);
	for (i = 0; i < RUNNERS; i++)
		world_path_cut(w, i == 0 ? 1 : 0, i, cut);
}

/* The next leader claims while the one before reaches the first runner only,
 * and no other. Ends the cut, and finishes the test. */
static void
take_over(struct world *w)
{
	cut_zone(w, true);
	world_run(w, 400);
	world_claim(w, 1);
	world_run(w, 11000);
	cut_zone(w, false);
	world_runner_list(w, 0, true);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against TWICE: a runner that the leader before closed as its last act
 * isn't waited for, and its runs go on. */
void
test_cell_takeover_closed_last(void)
{
	int64_t silent_ms;

	for (silent_ms = 50; silent_ms <= 1000; silent_ms += 50) {
		struct world *w = start_world(RUNNERS);

		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 1000);
		world_runner_cut(w, 0, true);
		world_run(w, silent_ms);
		world_cut_store(w, 0, true);
		world_runner_cut(w, 0, false);
		take_over(w);
	}
}

/* Guards against TWICE: a runner whose entry the registry has lost isn't waited
 * for, though its runs go on. */
void
test_cell_takeover_unlisted(void)
{
	int64_t unlisted_ms;

	for (unlisted_ms = 0; unlisted_ms <= 9000; unlisted_ms += 1000) {
		struct world *w = start_world(RUNNERS);

		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 1000);
		world_runner_list(w, 0, false);
		world_run(w, unlisted_ms);
		take_over(w);
	}
}

/* Guards against TWICE: an answer of another incarnation to the next leader's
 * first order ends the wait for runs that go on. */
void
test_cell_takeover_replaced(void)
{
	int64_t before_ms;

	for (before_ms = 0; before_ms <= 600; before_ms += 50) {
		struct world *w = start_world(RUNNERS);

		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 1000);
		world_runner_replace(w, 1, 10);
		world_run(w, before_ms);
		take_over(w);
	}
}

/* Guards against TWICE: rows of runners that are on a later page than the jobs
 * are read before inherited work starts. */
void
test_cell_takeover_many_rows(void)
{
	struct world_step small[2] = {
	    {.count = 1, .cpu = 200, .ms = 20, .after = -1},
	    {.count = 1, .cpu = 200, .ms = 20000, .after = 0}};
	struct world *w = start_world(RUNNERS);
	char id[JOB_ID_DIGITS + 1];
	int i;

	for (i = 0; i < SMALL_JOBS; i++) {
		format_job_id(id, i + 1);
		world_submit(w, id, "batch", small, 2);
	}
	world_run(w, 2000);
	take_over(w);
}

/* Takes all the room that the runners have. */
static const struct world_step short_step = {
    .count = 4 * RUNNERS, .cpu = 4000, .ms = 1000, .after = -1};

/* The last runner is lost for good @p before_ms before the first of several
 * leaders claims, @p term_ms apart. */
static struct world *
lose_runner_and_leaders(int64_t before_ms, int64_t term_ms, int nleaders)
{
	struct world *w = start_world(RUNNERS);
	int i;

	world_submit(w, JOB, "batch", &short_step, 1);
	world_run(w, 500);
	world_runner_end_silently(w, RUNNERS - 1, true);
	world_runner_crash(w, RUNNERS - 1, INT64_MAX);
	world_run(w, before_ms);
	for (i = 0; i < nleaders; i++) {
		world_claim(w, (i + 1) % CELLS);
		world_run(w, term_ms);
	}
	return w;
}

/* Guards against LOST: each of several leaders in a row waited anew for a
 * runner that was gone before the first of them, so inherited work never
 * started, or, where the runner was closed by then, what it had. */
void
test_cell_leaders_share_wait(void)
{
	int64_t term_ms;
	struct world *w;
	int n;

	for (term_ms = 1500; term_ms <= 6000; term_ms += 500) {
		/* What was lost runs for 1 s, after a takeover. */
		n = (int)((LEASES_OVER_MS + LEADER_READY_MS + 1000) / term_ms +
		    2);
		w = lose_runner_and_leaders(0, term_ms, n);
		CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
		finish_world(w);
		w = lose_runner_and_leaders(2000, term_ms, n);
		CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
		finish_world(w);
	}
}

/* The second leader doesn't reach the runner for @p silent_ms, stores that, and
 * reaches it from @p heard_ms before it is cut off from the store. The third
 * one, which claims then, reaches all other runners. */
static void
hear_runner_late(
    struct world *w, int runner, int64_t silent_ms, int64_t heard_ms)
{
	world_path_cut(w, 1, runner, true);
	world_claim(w, 1);
	world_run(w, silent_ms);
	if (runner == RUNNERS - 1)
		world_submit(w, OTHER_JOB, "batch", &long_step, 1);
	world_path_cut(w, 1, runner, false);
	world_run(w, heard_ms);
	world_cut_store(w, 1, true);
	world_path_cut(w, 2, runner, true);
	world_claim(w, 2);
	world_run(w, 20000);
	world_cut_store(w, 1, false);
	world_path_cut(w, 2, runner, false);
	world_run(w, 50000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against TWICE: a leader that has stored that it never heard a runner,
 * and hears it after all, renews its leases or starts work there before that is
 * stored; the next leader takes all leases there for over. */
void
test_cell_unheard_runner_back(void)
{
	static const struct world_step busy = {
	    .count = 12, .cpu = 4000, .ms = 9000, .after = -1};
	int64_t heard_ms;
	struct world *w;

	/* The runs on the first runner last until their leases end, and the
	 * leader before has closed it or not. The last runner has no runs, and
	 * another job needs it. */
	for (heard_ms = 0; heard_ms <= 1200; heard_ms += 7) {
		w = start_world(RUNNERS);
		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 1000);
		hear_runner_late(w, 0, 2500, heard_ms);
		w = start_world(RUNNERS);
		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 1000);
		world_runner_cut(w, 0, true);
		world_run(w, 1000);
		world_path_cut(w, 1, 0, true);
		world_runner_cut(w, 0, false);
		hear_runner_late(w, 0, 1000, heard_ms);
		w = start_world(RUNNERS);
		world_submit(w, JOB, "batch", &busy, 1);
		world_run(w, 1000);
		hear_runner_late(w, RUNNERS - 1, 6000, heard_ms);
	}
}

/* Guards against runs that lapse though their runner is back: the hold that
 * first reached it was followed by a long poll without a lease, longer than
 * what was left of the former leader's. */
void
test_cell_unheard_runner_keeps_runs(void)
{
	struct world *w = start_world(RUNNERS);
	char name[64];
	int i;

	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 1000);
	world_path_cut(w, 1, 0, true);
	world_claim(w, 1);
	world_run(w, 2000);
	world_path_cut(w, 1, 0, false);
	world_run(w, 40000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
	for (i = 0; i < (int)long_step.count; i++) {
		snprintf(name, sizeof(name), JOB ".0.0.%d", i);
		CU_ASSERT_EQUAL(world_start_count(w, name), 1);
	}
	finish_world(w);
}

/* Guards against TWICE: a row of a leader before the last one says nothing of
 * leases that the last one granted, for example one of an earlier version,
 * which doesn't know what the row says. */
void
test_cell_unheard_by_earlier_leader(void)
{
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 1000);
	world_path_cut(w, 1, 0, true);
	world_claim(w, 1);
	world_run(w, 3000);
	world_cut_store(w, 1, true);
	/* This leader doesn't get to write its own rows. */
	world_claim(w, 2);
	world_cut_store(w, 2, true);
	world_run(w, 6000);
	world_path_cut(w, 0, 0, true);
	world_claim(w, 0);
	world_run(w, LEADER_READY_MS);
	CU_ASSERT(world_cell(w, 0)->adopting);
	world_run(w, LEASES_OVER_MS);
	CU_ASSERT_FALSE(world_cell(w, 0)->adopting);
	world_path_cut(w, 0, 0, false);
	world_run(w, 60000);
	finish_world(w);
}

/* Guards against LOST: an occurrence that a runner shows to a new leader before
 * it has looked at what is due was never listed, and those of its tasks that
 * wait for room were never started. */
void
test_cell_takeover_scheduled(void)
{
	static const struct world_step wide = {
	    .count = 6 * RUNNERS, .cpu = 4000, .ms = 3000, .after = -1};
	struct world *w = start_world(RUNNERS);

	world_submit_in(w, JOB, "batch", &wide, 1, 500);
	world_run(w, 1500);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 4 * RUNNERS);
	world_cell_restart(w, 0);
	world_claim(w, 1);
	world_run(w, 20000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
	finish_world(w);
}

/* Guards against LOST: work of a queue that the configuration has dropped was
 * never run once another host led, as only the leader before knew its terms. */
void
test_cell_takeover_dropped_queue(void)
{
	static const struct world_step steps[2] = {
	    {.count = 2, .cpu = 1000, .ms = 1000, .after = -1},
	    {.count = 2, .cpu = 1000, .ms = 1000, .after = 0}};
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "batch", steps, 2);
	world_run(w, 500);
	world_drop_queue(w, "batch");
	world_run(w, 100);
	world_cell_restart(w, 0);
	world_claim(w, 1);
	world_run(w, 10000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
	finish_world(w);
}
