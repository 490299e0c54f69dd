/**
 * @file Runners whose capacity shrinks and grows while they run, in the
 * simulated environment.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define JOBS 150 /* more work than the runners do in 10 s */
#define CAPACITY 16000

static const struct world_step step = {
    .count = 4, .cpu = 2000, .ms = 900, .after = -1};
static const struct world_step two_steps[2] = {
    {.count = 4, .cpu = 2000, .ms = 700, .after = -1},
    {.count = 4, .cpu = 2000, .ms = 700, .after = 0}};

static void
submit_jobs(struct world *w, int first, int n, int64_t gap_ms)
{
	char id[JOB_ID_DIGITS + 1];
	int i;

	for (i = first; i < first + n; i++) {
		format_job_id(id, i);
		world_submit(w, id, i % 2 ? "urgent" : "batch",
		    i % 3 ? &step : two_steps, i % 3 ? 1 : 2);
		world_run(w, gap_ms);
	}
}

/* Guards against LIMIT: starts beyond a reduced capacity; and against
 * capacity that is back and stays unused. */
void
test_capacity_shrinks_and_grows(void)
{
	struct world *w = start_world(RUNNERS);
	int i;

	for (i = 0; i < 12; i++) {
		world_runner_resize(w, i % RUNNERS, i % 3 ? 6000 : 3000);
		submit_jobs(w, 1 + i * 5, 5, 150);
		world_run(w, 4000);
		world_runner_resize(w, i % RUNNERS, CAPACITY);
	}
	world_run(w, 20000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against LIMIT: a leader that can't read the registry starts work for
 * the capacity that a runner had before. */
void
test_capacity_shrinks_unseen(void)
{
	struct world *w;
	int64_t ms;

	for (ms = 0; ms <= 6000; ms += 500) {
		w = start_world(RUNNERS);
		submit_jobs(w, 1, JOBS, 5);
		world_run(w, 100);
		world_cut_store(w, 0, true);
		world_runner_resize(w, 0, 3000);
		world_runner_resize(w, 1, 3000);
		world_run(w, ms);
		world_runner_resize(w, 2, 3000);
		world_run(w, 9000);
		world_cut_store(w, 0, false);
		world_run(w, 60000);
		CU_ASSERT(world_all_jobs_ended(w));
		finish_world(w);
	}
}
