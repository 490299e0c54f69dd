/** @file Waits for rack-local capacity in a cell; racks have four runners of 16
 * processors and 64 GB. */
#include <CUnit/CUnit.h>
#include <math.h>
#include <stdio.h>

#include "unit.h"
#include "unit_world.h"

#define FILL "00000000000000f1"
#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"
#define LATER_TASK JOB ".0.1.0"

/* Takes all processors of the runners of rack 0. */
static void
fill_rack(struct world *w, uint32_t ms)
{
	const struct world_step fill = {
	    .count = 4, .cpu = 16000, .ms = ms, .after = -1, .rack = "rack0"};

	world_submit(w, FILL, "batch", &fill, 1);
	world_run(w, 100);
	CU_ASSERT_EQUAL(world_live_runs(w, FILL), 4);
}

static void
submit_near(struct world *w, uint32_t ms)
{
	const struct world_step step = {
	    .count = 1, .cpu = 4000, .ms = ms, .after = -1, .rack = "rack0"};

	world_submit(w, JOB, "urgent", &step, 1);
}

/* Whether the runner with that id is on rack 0. */
static bool
on_rack0(const char *id)
{
	return id != NULL && id[0] == 'r' && id[1] >= 'a' && id[1] <= 'd';
}

/* Asserts that the gang of six, whose tasks run for 1 s, starts at once and
 * completes. */
static void
run_gang(struct world *w, const struct world_step *gang)
{
	world_submit(w, JOB, "urgent", gang, 1);
	world_run(w, 500);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 6);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
}

/* Guards against a gang that is never started, as processors that long-running
 * work holds count as capacity of its rack, and against a wait for the end of
 * such work. */
void
test_near_gang_beside_long_running(void)
{
	const struct world_step service = {.count = 8,
	    .cpu = 9000,
	    .ms = 1000,
	    .after = -1,
	    .long_running = true};
	const struct world_step gang = {.count = 6,
	    .cpu = 7000,
	    .ms = 1000,
	    .after = -1,
	    .gang = true,
	    .same_rack = true};
	struct world *w = start_world(8);

	world_submit(w, FILL, "batch", &service, 1);
	world_run(w, 500);
	CU_ASSERT_EQUAL(world_live_runs(w, FILL), 8);
	run_gang(w, &gang);
	finish_world(w);
}

/* Guards against a gang that is never started, as its members fit on a rack by
 * processors and not by memory. */
void
test_near_gang_memory(void)
{
	const struct world_step gang = {.count = 6,
	    .cpu = 4000,
	    .mem_mb = 60000,
	    .ms = 1000,
	    .after = -1,
	    .gang = true,
	    .same_rack = true};
	struct world *w = start_world(8);

	run_gang(w, &gang);
	finish_world(w);
}

/* A gang waits as a whole while its rack becomes free in time. Guards against
 * members that start apart from the others. */
void
test_near_gang_waits_together(void)
{
	const struct world_step fill = {
	    .count = 8, .cpu = 9000, .ms = 800, .after = -1};
	const struct world_step gang = {.count = 6,
	    .cpu = 7000,
	    .ms = 3000,
	    .after = -1,
	    .gang = true,
	    .same_rack = true};
	struct world *w = start_world(8);
	const char *first;
	char task[64];
	int i;

	world_submit(w, FILL, "batch", &fill, 1);
	world_run(w, 100);
	world_submit(w, JOB, "urgent", &gang, 1);
	world_run(w, 400);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 0);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 6);
	first = world_runner_of(w, TASK);
	for (i = 0; i < 6; i++) {
		snprintf(task, sizeof(task), JOB ".0.0.%d", i);
		CU_ASSERT_EQUAL(
		    on_rack0(world_runner_of(w, task)), on_rack0(first));
	}
	finish_world(w);
}

/* Guards against a remote start just before rack-local capacity is free. */
void
test_near_wait_ends_near(void)
{
	struct world *w = start_world(8);

	fill_rack(w, 1000);
	submit_near(w, 2000);
	world_run(w, 600);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 0);
	world_run(w, 800);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	CU_ASSERT(on_rack0(world_runner_of(w, TASK)));
	finish_world(w);
}

/* Guards against a wait for runners that take no more work. */
void
test_near_wait_ends_with_drain(void)
{
	struct world *w = start_world(12);
	int r;

	fill_rack(w, 4000);
	submit_near(w, 5000);
	world_run(w, 500);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 0);
	for (r = 0; r < 4; r++)
		world_runner_drain(w, r, 5000);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	CU_ASSERT_FALSE(on_rack0(world_runner_of(w, TASK)));
	finish_world(w);
}

/* The runs on the rack take far longer than estimated. Guards against a new
 * leader that begins the wait of 4 s anew, and against forecasts that outlive
 * the leadership. */
void
test_near_wait_not_doubled(void)
{
	struct world *w = start_world(8);
	int r;

	for (r = 0; r < 4; r++)
		world_runner_slowdown(w, r, 20);
	fill_rack(w, 1500);
	submit_near(w, 2000);
	world_run(w, 1500);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 0);
	CU_ASSERT_PTR_NOT_NULL(world_cell(w, 0)->near_room);
	world_claim(w, 1);
	world_run(w, 2600);
	CU_ASSERT_PTR_NULL(world_cell(w, 0)->near_room);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	CU_ASSERT_FALSE(on_rack0(world_runner_of(w, TASK)));
	finish_world(w);
}

/* The data of a burst is on one rack, which can't run all of it in time.
 * Guards against another rack that stays idle while the whole burst waits. */
void
test_near_burst_on_one_rack(void)
{
	const struct world_step step = {
	    .count = 4, .cpu = 4000, .ms = 1000, .after = -1, .rack = "rack0"};
	struct world *w = start_world(8);
	char id[JOB_ID_DIGITS + 1];
	int i, live = 0;

	for (i = 0; i < 20; i++) {
		format_job_id(id, i + 1);
		world_submit(w, id, "urgent", &step, 1);
	}
	world_run(w, 600);
	for (i = 0; i < 20; i++) {
		format_job_id(id, i + 1);
		live += world_live_runs(w, id);
	}
	CU_ASSERT_EQUAL(live, 32);
	world_run(w, 6000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* The second step of the job becomes ready 4 s after the job was accepted, 3 s
 * after a takeover, and waits for rack 0. */
static struct world *
start_later_step(double slowdown)
{
	const struct world_step steps[] = {
	    {.count = 1, .cpu = 1000, .ms = 4000, .after = -1, .rack = "rack1"},
	    {.count = 1, .cpu = 4000, .ms = 2000, .after = 0, .rack = "rack0"}};
	struct world *w = start_world(8);
	int r;

	for (r = 0; r < 4; r++)
		world_runner_slowdown(w, r, slowdown);
	world_submit(w, JOB, "urgent", steps, 2);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	CU_ASSERT_FALSE(world_cell(w, 1)->adopting);
	fill_rack(w, 2000);
	world_run(w, 1700);
	CU_ASSERT_EQUAL(world_live_runs(w, FILL), 4);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 0);
	return w;
}

/* Guards against a wait that counts from the accept time of the job although
 * the step wasn't ready before the takeover: all later steps of old jobs would
 * start remotely at once. */
void
test_near_later_step_waits_after_takeover(void)
{
	struct world *w = start_later_step(1);

	world_run(w, 700);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	CU_ASSERT(on_rack0(world_runner_of(w, LATER_TASK)));
	finish_world(w);
}

/* Guards against a wait that each takeover begins anew: the leader that follows
 * finds the step ready and counts its wait from the accept time. */
void
test_near_later_step_not_doubled(void)
{
	struct world *w = start_later_step(20);

	world_claim(w, 2);
	world_run(w, LEADER_READY_MS);
	CU_ASSERT_FALSE(world_cell(w, 2)->adopting);
	CU_ASSERT_EQUAL(world_live_runs(w, FILL), 4);
	CU_ASSERT_EQUAL(world_live_runs(w, JOB), 1);
	CU_ASSERT_FALSE(on_rack0(world_runner_of(w, LATER_TASK)));
	finish_world(w);
}

/* Guards against infinite ratios of measured to estimated time, which would
 * stay among the errors of estimates. */
void
test_near_remote_factor_zero(void)
{
	const struct world_step step = {
	    .count = 2, .cpu = 4000, .ms = 500, .after = -1, .rack = "rack9"};
	struct world *w = start_world(8);
	struct cell *c = world_cell(w, 0);
	int i;

	c->terms.remote_factor = 0;
	world_submit(w, JOB, "urgent", &step, 1);
	world_run(w, 3000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
	for (i = 0; i < ESTIMATE_ERROR_RATIOS; i++)
		CU_ASSERT(isfinite(c->estimate_error.ratios[i]));
	finish_world(w);
}
