/**
 * @file Leases of runs across a change of the leader, in the simulated
 * environment: the leader before is alive and cut off from the store, or a
 * runner can't be reached by the next leader.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "../../src/cell/cell_internal.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define JOB "00000000000000a1"

/** Latency of a store that is slow enough for commits to go to all parts. */
#define SLOW_STORE_MS 120
#define FIRST_PART 1 /* bit mask of parts */

static const struct world_step long_step = {
    .count = 8, .cpu = 2000, .ms = 25000, .after = -1};

/* Only the first cell reaches the first runners, only the second the others. */
static void
cut_between(struct world *w, int nfirst, bool cut)
{
	int i;

	for (i = 0; i < RUNNERS; i++)
		world_path_cut(w, i < nfirst ? 1 : 0, i, cut);
}

/*
 * The leader is cut off from the store and, with some of the runners, from all
 * others. The next one claims, and after a while the cut ends.
 */
static void
split_cell(int nfirst, int64_t cut_ms)
{
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 400);
	world_cut_store(w, 0, true);
	cut_between(w, nfirst, true);
	world_run(w, 500);
	world_claim(w, 1);
	world_run(w, cut_ms);
	world_cut_store(w, 0, false);
	cut_between(w, nfirst, false);
	world_run(w, 90000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/*
 * Guards against TWICE: a leader that the store doesn't serve went on renewing
 * leases at runners that the next leader couldn't reach, which took them for
 * over and started the tasks again.
 */
void
test_cell_two_leaders_one_run(void)
{
	int64_t cut_ms;
	int nfirst;

	for (nfirst = 1; nfirst < RUNNERS; nfirst++)
		for (cut_ms = 2000; cut_ms <= 24000; cut_ms += 2000)
			split_cell(nfirst, cut_ms);
}

/*
 * Guards against TWICE: a runner that answers a new leader once and then goes
 * silent still has leases that the leader before granted.
 */
void
test_cell_inherited_lease_counts(void)
{
	int answer_ms;

	for (answer_ms = 5; answer_ms <= 60; answer_ms += 5) {
		struct world *w = start_world(RUNNERS);

		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 400);
		world_claim(w, 1);
		world_run(w, answer_ms);
		world_runner_cut(w, 0, true);
		world_run(w, 6000);
		world_runner_cut(w, 0, false);
		world_run(w, 60000);
		CU_ASSERT(world_all_jobs_ended(w));
		finish_world(w);
	}
}

/* Submits jobs for @p ms and checks that the former leader, which is still in
 * charge of some parts, holds no fencing token of the next leader's time. */
static void
check_fences(struct world *w, int64_t ms)
{
	int64_t end = world_now(w) + ms;

	while (world_now(w) < end) {
		CU_ASSERT(world_cell(w, 0)->phase == CELL_IDLE ||
		    world_cell(w, 0)->renewed_version <
			world_cell(w, 1)->fence);
		world_run(w, 1);
	}
}

/*
 * Guards against TWICE: the former leader raised its fencing token for a runner
 * to the version of a commit that a part took after the next claim, and the
 * runner then refused the next leader.
 */
void
test_cell_raised_fence_below_next_claim(void)
{
	const struct world_step short_step = {
	    .count = 4, .cpu = 500, .ms = 300, .after = -1};
	char id[JOB_ID_DIGITS + 1];
	int i, claim;

	for (claim = 10; claim < 40; claim++) {
		struct world *w = start_world(RUNNERS);

		world_set_store_latency(w, SLOW_STORE_MS);
		for (i = 0; i < claim; i++) {
			format_job_id(id, i + 1);
			world_submit(w, id, "batch", &short_step, 1);
			world_run(w, 37);
		}
		world_claim(w, 1);
		check_fences(w, 1000);
		world_set_store_latency(w, 4);
		world_run(w, 30000);
		CU_ASSERT(world_all_jobs_ended(w));
		finish_world(w);
	}
}

/* Keeps the leader from starting work for @p ms. */
static void
hold_back_starts(struct world *w, int64_t ms)
{
	struct runner *r;

	for (r = world_cell(w, 0)->runners; r != NULL; r = r->hh.next)
		r->avoid_until_ms = world_now(w) + ms;
}

/*
 * The leader is cut off from the store and from all runners but the first, on
 * which nothing runs. The next one hears each runner; then the first one
 * crashes @p crash_ms after the claim, and the leader before has work to start.
 */
static void
restart_heard_runner(int64_t crash_ms)
{
	const struct world_step step = {
	    .count = 12, .cpu = 2000, .ms = 2500, .after = -1};
	struct world *w = start_world(RUNNERS);

	hold_back_starts(w, 2900);
	world_submit(w, JOB, "batch", &step, 1);
	world_run(w, 400);
	world_cut_store(w, 0, true);
	cut_between(w, 1, true);
	world_path_cut(w, 1, 0, false);
	world_run(w, 500);
	world_claim(w, 1);
	world_run(w, crash_ms);
	world_runner_crash(w, 0, 200);
	world_run(w, 8000);
	world_cut_store(w, 0, false);
	cut_between(w, 1, false);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/*
 * Guards against TWICE: a runner that the next leader had heard crashed, and
 * its new incarnation, which has seen no fencing token, took starts of the
 * leader before.
 */
void
test_cell_restarted_runner_obeys_one_leader(void)
{
	int64_t crash_ms;

	for (crash_ms = 1000; crash_ms <= 2200; crash_ms += 20)
		restart_heard_runner(crash_ms);
}

/* Shows the first cell the registry's entry of the runner, as the second one
 * has read it. */
static void
show_entry(struct world *w, const char *id)
{
	struct runner_info info = cell_runner(world_cell(w, 1), id)->info;

	info.version++;
	cell_runner_listed(world_cell(w, 0), &info);
	cell_registry_synced(world_cell(w, 0), 0);
}

/* As restart_heard_runner(), but the next leader doesn't reach the new
 * incarnation, and the leader before learns of it from the registry. */
static void
restart_listed_runner(int64_t crash_ms)
{
	const struct world_step step = {
	    .count = 12, .cpu = 2000, .ms = 2500, .after = -1};
	struct world *w = start_world(RUNNERS);

	hold_back_starts(w, 3400);
	world_submit(w, JOB, "batch", &step, 1);
	world_run(w, 400);
	world_cut_store(w, 0, true);
	cut_between(w, 1, true);
	world_path_cut(w, 1, 0, false);
	world_run(w, 500);
	world_claim(w, 1);
	world_run(w, crash_ms);
	world_runner_crash(w, 0, 100);
	world_path_cut(w, 1, 0, true);
	world_run(w, 700);
	show_entry(w, "ra");
	world_run(w, 8000);
	world_cut_store(w, 0, false);
	cut_between(w, 1, false);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/*
 * Guards against TWICE: a leader without the store for writes, but with the
 * registry, started work on a runner's new incarnation, which had not heard the
 * next leader.
 */
void
test_cell_new_incarnation_needs_renewal(void)
{
	int64_t crash_ms;

	for (crash_ms = 200; crash_ms <= 1600; crash_ms += 100)
		restart_listed_runner(crash_ms);
}

/* Most bytes of a row in the next test: less than the progress of its job
 * needs while tasks run. */
#define SMALL_ROW_BYTES 600

/*
 * Guards against TWICE: ends were acknowledged though the store had refused the
 * progress that they led to, and the next leader started done tasks again.
 */
void
test_cell_refused_progress_not_acknowledged(void)
{
	const struct world_step step = {
	    .count = 300, .cpu = 200, .ms = 1500, .after = -1};
	struct world *w = start_world(2);

	world_set_max_row_bytes(w, SMALL_ROW_BYTES);
	world_submit(w, JOB, "batch", &step, 1);
	world_run(w, 2400);
	world_claim(w, 1);
	world_run(w, 20000);
	finish_world(w);
}

/*
 * Guards against a runner that never gets work: orders to it were bound to the
 * incarnation of its entry, which no answer shows.
 */
void
test_cell_runner_hides_born(void)
{
	struct world *w = new_world(1, RUNNERS);
	int i;

	for (i = 0; i < RUNNERS; i++)
		world_runner_hide_born(w, i);
	world_claim(w, 0);
	world_run(w, LEADER_READY_MS);
	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 30000);
	CU_ASSERT(world_complete_ms(w, JOB) >= 0);
	finish_world(w);
}

static void
submit_jobs(struct world *w, int from, int n)
{
	char id[JOB_ID_DIGITS + 1];
	int i;

	for (i = from; i < from + n; i++) {
		format_job_id(id, i);
		world_submit(w, id, "batch", &long_step, 1);
		world_run(w, 25);
	}
}

/*
 * Guards against TWICE: the leader before raised a runner's fence above that of
 * the next leader, by the version of a commit that didn't depend on the
 * leader's row. So the runner took its orders and refused the next leader's.
 */
void
test_cell_cut_fence_below_next_claim(void)
{
	struct world *w = start_world(RUNNERS);
	const struct cell *first = world_cell(w, 0);
	const struct cell *next = world_cell(w, 1);
	int i;

	/* The store is slow, so jobs go to all of its parts. */
	world_set_store_latency(w, 250);
	submit_jobs(w, 1, 48);
	world_cut_parts(w, 0, FIRST_PART);
	submit_jobs(w, 49, 14);
	world_claim(w, 1);
	for (i = 0; i < 200; i++) {
		world_run(w, 10);
		CU_ASSERT(first->phase == CELL_IDLE ||
		    first->renewed_version < next->fence);
	}
	world_delete(w);
}

/*
 * Guards against leaders that depose themselves: a runner whose fence had been
 * raised was forgotten while the registry lacked it, and got lower fences once
 * it was listed again.
 */
void
test_cell_fence_of_relisted_runner(void)
{
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 1000);
	/* Its leases lapse. */
	world_runner_cut(w, 0, true);
	world_run(w, 9000);
	world_runner_cut(w, 0, false);
	world_run(w, 30000);
	world_runner_list(w, 0, false);
	world_run(w, 10000);
	world_runner_list(w, 0, true);
	world_run(w, 1000);
	submit_jobs(w, 1, 4);
	world_run(w, 5000);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	CU_ASSERT_EQUAL(world_violations(w), 0);
	world_delete(w);
}
