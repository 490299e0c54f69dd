/**
 * @file What the store records of runners, across restarts of runners and
 * changes of the leader, in the simulated environment.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

#include "../../src/base/xalloc.h"
#include "../../src/cell/cell_internal.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 2
#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"
#define STEP_MS 50
/** Longer than leases last after the last hold. */
#define LAPSE_MAX_MS 9000

static const struct world_step long_step = {
    .count = 1, .cpu = 1000, .ms = 25000, .after = -1};
static const struct world_step short_step = {
    .count = 1, .cpu = 1000, .ms = 300, .after = -1};

/* Starts a long task on the runner @p first; the other takes work as well. */
static struct world *
start_task_on(int first)
{
	struct world *w = new_world(1, RUNNERS);
	int other = 1 - first;

	world_runner_cut(w, other, true);
	world_claim(w, 0);
	world_run(w, LEADER_READY_MS);
	world_submit(w, JOB, "batch", &long_step, 1);
	world_run(w, 500);
	world_runner_cut(w, other, false);
	world_run(w, LEADER_READY_MS);
	return w;
}

/* Runs until the task was started @p n times. */
static void
run_until_starts(struct world *w, int n)
{
	int64_t end = world_now(w) + LAPSE_MAX_MS;

	while (world_start_count(w, TASK) < n && world_now(w) < end)
		world_run(w, STEP_MS);
	CU_ASSERT_EQUAL(world_start_count(w, TASK), n);
}

/* Runs until the leader has found the runner silent. */
static void
run_until_silent(struct world *w, const char *id)
{
	int64_t end = world_now(w) + LAPSE_MAX_MS;
	const struct runner *r = NULL;

	while (world_now(w) < end) {
		HASH_FIND_STR(world_cell(w, 0)->runners, id, r);
		if (r != NULL && r->silent_since_ms != 0)
			break;
		world_run(w, STEP_MS);
	}
	CU_ASSERT(r != NULL && r->silent_since_ms != 0);
}

/* A copy of the stored row that names the runner. */
static struct world_row
copy_row(struct world *w, int n)
{
	struct world_row rows[RUNNERS_ROWS];

	world_read_runners(w, rows);
	rows[n].value = xmemdup(rows[n].value, rows[n].len);
	return rows[n];
}

static int
row_of(struct world *w, const char *id)
{
	const struct runner *r;

	HASH_FIND_STR(world_cell(w, 0)->runners, id, r);
	CU_ASSERT_FATAL(r != NULL);
	return runner_row(r);
}

/*
 * The runner @p first is cut off until its leases have lapsed, and then the one
 * that has its task. The next leader hears only the first. If @p outdated, the
 * row of the first is still the one from before its leases lapsed.
 */
static void
move_task_and_take_over(int first, bool outdated)
{
	struct world *w = start_task_on(first);
	const char *id = world_runner_of(w, TASK);
	int other = 1 - first, n = row_of(w, id);
	struct world_row row;
	char key[32];

	world_runner_cut(w, first, true);
	run_until_silent(w, id);
	world_run(w, 200);
	row = copy_row(w, n);
	run_until_starts(w, 2);
	world_run(w, 100);
	world_runner_cut(w, other, true);
	run_until_silent(w, world_runner_of(w, TASK));
	world_run(w, 200);
	snprintf(key, sizeof(key), "%s%d", RUNNERS_PREFIX, n);
	if (outdated)
		world_write_row(w, key, row.value, row.len);
	free((void *)(uintptr_t)row.value);
	world_claim(w, 1);
	world_runner_cut(w, first, false);
	world_run(w, 1500);
	CU_ASSERT_EQUAL(world_start_count(w, TASK), 2);
	world_runner_cut(w, other, false);
	world_run(w, 40000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against TWICE: the next leader took a run that had lapsed for the
 * task's present one, and started the task beside the run that was alive. */
void
test_cell_takeover_task_moved(void)
{
	int first;

	for (first = 0; first < RUNNERS; first++) {
		move_task_and_take_over(first, false);
		move_task_and_take_over(first, true);
	}
}

/* Guards against LOST: a runner that drained and came back under its id before
 * it counted as unlisted was never opened again. */
void
test_cell_runner_back_after_drain(void)
{
	const int64_t down_ms[] = {100, 1000, 2000, 4000, 8000};
	size_t i;

	for (i = 0; i < sizeof(down_ms) / sizeof(*down_ms); i++) {
		struct world *w = new_world(1, 1);

		world_claim(w, 0);
		world_run(w, LEADER_READY_MS);
		world_runner_restart(w, 0, 2500, down_ms[i]);
		world_run(w, 2500 + down_ms[i] + 1000);
		world_submit(w, JOB, "urgent", &short_step, 1);
		world_run(w, 3000);
		CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
		finish_world(w);
	}
}

/* Guards against TWICE: a runner whose row the store had refused was taken for
 * open once any other row was stored. The next leader wouldn't wait for it. */
void
test_cell_refused_row_opens_nothing(void)
{
	struct world *w = new_world(1, WORLD_RUNNERS_MAX);
	const struct runner *r, *o;
	int n, refused = 0;

	/* Fits the row of one runner; rows of two are refused. */
	world_set_max_row_bytes(w, 30);
	world_claim(w, 0);
	world_run(w, LEADER_READY_MS);
	world_runner_restart(w, 0, 500, 500);
	world_run(w, 3000);
	for (r = world_cell(w, 0)->runners; r != NULL; r = r->hh.next) {
		n = 0;
		for (o = world_cell(w, 0)->runners; o != NULL; o = o->hh.next)
			n += runner_row(o) == runner_row(r);
		CU_ASSERT_EQUAL(r->stored_open, n == 1);
		refused += n > 1;
	}
	CU_ASSERT(refused > 0);
	finish_world(w);
}

/* Guards against LOST: the tasks of a runner that crashed and was back under
 * another id waited until its leases had lapsed, though another incarnation
 * answered at its address. */
void
test_cell_runner_replaced(void)
{
	struct world *w = start_task_on(0);
	int64_t end;

	world_runner_replace(w, 0, 300);
	end = world_now(w) + 300 + 1000;
	while (world_start_count(w, TASK) < 2 && world_now(w) < end)
		world_run(w, STEP_MS);
	CU_ASSERT_EQUAL(world_start_count(w, TASK), 2);
	world_run(w, 40000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against LOST: a task whose start certainly wasn't sent was held by a
 * stop that the runner never got. */
void
test_cell_start_not_sent(void)
{
	const struct world_step wide = {
	    .count = 12, .cpu = 1000, .ms = 300, .after = -1};
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "urgent", &wide, 1);
	world_runner_refuse(w, 0, true);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(world_state(w, JOB), JOB_COMPLETED);
	world_runner_refuse(w, 0, false);
	world_run(w, 2000);
	finish_world(w);
}

/* Guards against a needless change of leader: a runner that the leader had
 * forgotten while it was alive refused that leader's orders, by the raised
 * fencing token that it had seen before. */
void
test_cell_forgotten_runner_back(void)
{
	struct world *w = start_task_on(0);
	const char *id = world_runner_of(w, TASK);

	world_runner_cut(w, 0, true);
	run_until_starts(w, 2);
	world_runner_cut(w, 0, false);
	world_run(w, 1000);
	world_runner_list(w, 0, false);
	while (cell_runner(world_cell(w, 0), id) != NULL)
		world_run(w, STEP_MS);
	world_runner_list(w, 0, true);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	world_run(w, 40000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}
