/**
 * @file Leases and fencing tokens at runners with which a leader or the one
 * before had little contact: idle, forgotten, or restarted.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define JOB "00000000000000b1"
#define JOB2 "00000000000000b2"
#define FIRST_PART 1 /* bit masks of parts */
#define OTHER_PARTS 14
#define SLOW_CLOCK_PCT 98
#define LINK_MS 100
#define SLOW_LINK_MS 400

static const struct world_step long_step = {
    .count = 8, .cpu = 2000, .ms = 25000, .after = -1};
static const struct world_step single_step = {
    .count = 1, .cpu = 2000, .ms = 25000, .after = -1};
static const struct world_step wide_step = {
    .count = 24, .cpu = 2000, .ms = 5000, .after = -1};

/*
 * Runners with slow clocks are idle for a while; then a job fills the first.
 * The leader is cut off from the store, and the next one from that runner,
 * which it reaches for @p heard_ms before.
 */
static void
takeover_after_idle(int64_t idle_ms, int64_t heard_ms)
{
	struct world *w = new_world(1, RUNNERS);
	int i;

	for (i = 0; i < RUNNERS; i++)
		world_runner_set_clock(w, i, SLOW_CLOCK_PCT);
	world_claim(w, 0);
	world_run(w, idle_ms);
	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 400);
	CU_ASSERT_STRING_EQUAL(world_runner_of(w, JOB ".0.0.0"), "ra");
	world_cut_store(w, 0, true);
	world_path_cut(w, 1, 0, heard_ms == 0);
	world_run(w, 350);
	world_claim(w, 1);
	world_run(w, heard_ms);
	world_path_cut(w, 0, 0, true);
	world_path_cut(w, 1, 0, true);
	world_run(w, 15000);
	world_path_cut(w, 0, 0, false);
	world_path_cut(w, 1, 0, false);
	world_cut_store(w, 0, false);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/*
 * Guards against TWICE: the lease of a start followed from a reading of the
 * runner's clock that is minutes old, so on a slow clock it ended after the
 * next leader's wait.
 */
void
test_cell_idle_runner_lease(void)
{
	int64_t idle_ms;

	for (idle_ms = 100000; idle_ms <= 500000; idle_ms += 100000)
		takeover_after_idle(idle_ms, 0);
}

/*
 * Guards against TWICE: the next leader hears a runner once and takes its
 * leases for over by those that it has granted itself.
 */
void
test_cell_idle_runner_heard_once(void)
{
	int64_t idle_ms;

	for (idle_ms = 50000; idle_ms <= 250000; idle_ms += 50000)
		takeover_after_idle(idle_ms, 100);
}

/*
 * Guards against runs that lapse at once: a lease that is bound by a reading of
 * the runner's clock that is minutes old can be too short to be renewed.
 */
void
test_cell_idle_runner_starts(void)
{
	int64_t idle_ms;

	for (idle_ms = 100000; idle_ms <= 350000; idle_ms += 5000) {
		struct world *w = new_world(1, RUNNERS);

		world_claim(w, 0);
		world_run(w, idle_ms);
		world_runner_set_delay(w, 0, LINK_MS);
		world_submit(w, JOB, "batch", &long_step, 1);
		world_run(w, 60000);
		CU_ASSERT(world_all_jobs_ended(w));
		CU_ASSERT_EQUAL(world_start_count(w, JOB ".0.0.0"), 1);
		finish_world(w);
	}
}

/*
 * Guards against a leader that resigns without another: it forgot the fencing
 * token that it had raised for a runner, which the registry lacked for a while.
 */
void
test_cell_found_again_keeps_leader(void)
{
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 1000);
	world_runner_crash(w, 0, 200);
	world_run(w, 1000);
	world_submit(w, JOB2, "batch", &wide_step, 1);
	world_run(w, 40000);
	CU_ASSERT(world_all_jobs_ended(w));
	world_runner_list(w, 0, false);
	world_run(w, 10000);
	world_runner_list(w, 0, true);
	world_run(w, 5000);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	finish_world(w);
}

/* The leader reaches all parts of the store but the first, the next one only
 * the first. A runner restarts @p crash_ms after the claim. */
static void
takeover_in_parts(int64_t crash_ms)
{
	struct world *w = start_world(RUNNERS);
	char id[JOB_ID_DIGITS + 1];
	int i;

	world_set_store_latency(w, 100);
	for (i = 0; i < 40; i++) {
		format_job_id(id, i + 1);
		world_submit(w, id, "batch",
		    &(struct world_step){.count = 4,
			.cpu = 500,
			.ms = 500 + 200 * (uint32_t)i,
			.after = -1},
		    1);
		world_run(w, 50);
	}
	world_cut_parts(w, 0, FIRST_PART);
	world_run(w, 350);
	world_cut_parts(w, 1, OTHER_PARTS);
	world_claim(w, 1);
	world_run(w, crash_ms);
	world_runner_crash(w, 0, 10);
	world_run(w, 1000 - crash_ms);
	world_cut_parts(w, 1, 0);
	world_run(w, 7000);
	CU_ASSERT_EQUAL(world_cell(w, 1)->phase, CELL_SERVING);
	world_cut_parts(w, 0, 0);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/*
 * Guards against two leaders of which the later one is refused: the one before
 * raised a fencing token by a commit to another part, done after the claim.
 */
void
test_cell_fence_below_next_claim(void)
{
	int64_t crash_ms;

	for (crash_ms = 0; crash_ms <= 600; crash_ms += 25)
		takeover_in_parts(crash_ms);
}

static const struct runner *
first_runner(struct world *w)
{
	const struct runner *r;

	HASH_FIND_STR(world_cell(w, 0)->runners, "ra", r);
	return r;
}

/*
 * A runner with a slow link restarts @p ms after a change of the link, and a
 * start shows it. Then nothing but answers on their way comes from it.
 * @return whether the start has shown it
 */
static bool
restart_with_answers_under_way(int64_t ms)
{
	struct world *w = new_world(1, 1);
	const struct runner *r;
	bool shown;
	int i;

	world_claim(w, 0);
	world_run(w, 1000);
	world_submit(w, JOB, "batch", &single_step, 1);
	world_run(w, 1000);
	world_runner_set_delay(w, 0, SLOW_LINK_MS);
	world_run(w, 5000 + ms);
	world_runner_crash(w, 0, 1);
	world_runner_set_delay(w, 0, 0);
	world_submit(w, JOB2, "batch", &single_step, 1);
	r = first_runner(w);
	for (i = 0; i < SLOW_LINK_MS && r->dead_born_ms == 0; i++)
		world_run(w, 1);
	shown = r->dead_born_ms != 0;
	world_runner_cut(w, 0, true);
	for (i = 0; i < 2 * SLOW_LINK_MS; i++) {
		CU_ASSERT(
		    r->info.born_ms == 0 || r->info.born_ms != r->dead_born_ms);
		world_run(w, 1);
	}
	world_runner_cut(w, 0, false);
	world_run(w, 60000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
	return shown;
}

/*
 * Guards against TWICE: a leader that a start had shown a restart of the runner
 * took an answer of the incarnation before for that of the new one.
 */
void
test_cell_answer_of_dead_incarnation(void)
{
	int64_t ms;
	int n = 0;

	for (ms = 0; ms < SLOW_LINK_MS; ms += 10)
		n += restart_with_answers_under_way(ms);
	CU_ASSERT(n > 0);
}
