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
#define SMALL_JOBS 300 /* more rows than a page of the store has */

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
