/**
 * @file Work of others beside tasks that are suspected of crashing runners, in
 * the simulated environment.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "../../src/cell/cell_internal.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 7
#define SUSPECTS "00000000000000a1"
#define OTHER "00000000000000b1"
#define TASKS_MAX 20
/** Longest time for which tasks that last wait for a run. */
#define LASTING_WAIT_MS 6000
/** Longest time from the submission of other work to its end. */
#define OTHER_DONE_MS 1500
/** Longest time for which a runner is kept for one task. */
#define KEPT_MAX_MS 5000
#define DOWN_MS 2000

static const struct world_step other_step = {
    .count = 1, .cpu = 1000, .ms = 500, .after = -1};

/* The runner that has the most runs of the job's first @p n tasks; -1: none
 * runs. */
static int
busiest_runner(struct world *w, const char *id, int n)
{
	int runs[RUNNERS] = {0}, i, best = -1;
	char task[TASK_NAME_LEN];
	const char *runner;

	for (i = 0; i < n; i++) {
		snprintf(task, sizeof(task), "%s.0.0.%d", id, i);
		runner = world_runner_of(w, task);
		if (runner != NULL)
			runs[runner[1] - 'a']++;
	}
	for (i = 0; i < RUNNERS; i++)
		if (runs[i] > 0 && (best < 0 || runs[i] > runs[best]))
			best = i;
	return best;
}

/* Submits lasting tasks and crashes the runner of most of them twice, 2 s after
 * their starts, so that each is suspected. */
static struct world *
suspect_lasting(uint32_t count)
{
	const struct world_step s = {
	    .count = count, .cpu = 100, .after = -1, .long_running = true};
	struct world *w = start_world(RUNNERS);
	int i;

	world_submit(w, SUSPECTS, "batch", &s, 1);
	for (i = 0; i < 2; i++) {
		world_run(w, 2000);
		CU_ASSERT_EQUAL_FATAL(world_live_runs(w, SUSPECTS), (int)count);
		world_runner_crash(
		    w, busiest_runner(w, SUSPECTS, (int)count), DOWN_MS);
		world_run(w, DOWN_MS + 500);
	}
	return w;
}

static void
check_other_work(struct world *w, const struct world_step *s)
{
	world_submit(w, OTHER, "urgent", s, 1);
	world_run(w, OTHER_DONE_MS);
	CU_ASSERT(world_complete_ms(w, OTHER) >= 0);
}

/* Guards against LOST: a runner was kept for a suspected task for as long as
 * its run lasted, and no work of others was started. */
void
test_apart_cleared_tasks_keep_none(void)
{
	int64_t longest_ms;
	struct world *w = suspect_lasting(10);

	world_run(w, LASTING_WAIT_MS);
	CU_ASSERT_EQUAL(world_live_runs(w, SUSPECTS), 10);
	check_other_work(w, &other_step);
	CU_ASSERT_EQUAL(cell_runners_apart(world_cell(w, 0), &longest_ms), 0);
	CU_ASSERT_EQUAL(longest_ms, 0);
	finish_world(w);
}

/* Guards against LOST: as many suspected tasks as runners kept all of them, and
 * work of others waited until the suspicion had ended. */
void
test_apart_suspects_leave_room(void)
{
	const struct world_step large = {
	    .count = 1, .cpu = 12000, .ms = 500, .after = -1};
	struct world *w = suspect_lasting(TASKS_MAX);

	check_other_work(w, &large);
	world_run(w, LASTING_WAIT_MS - DOWN_MS - OTHER_DONE_MS);
	CU_ASSERT_EQUAL(world_live_runs(w, SUSPECTS), TASKS_MAX);
	finish_world(w);
}

/* Guards against LOST: the next leader restored the marks of the runs with the
 * crashes that it read. */
void
test_apart_takeover_leaves_room(void)
{
	struct world *w = suspect_lasting(10);

	world_run(w, 500);
	world_cell_restart(w, 0);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	check_other_work(w, &other_step);
	world_run(w, LASTING_WAIT_MS);
	CU_ASSERT_EQUAL(world_live_runs(w, SUSPECTS), 10);
	finish_world(w);
}

/* Guards against LOST: members of a gang, which aren't run apart, kept their
 * runners for as long as the gang ran. */
void
test_apart_gangs_keep_none(void)
{
	const struct world_step gang = {
	    .count = 14, .cpu = 1000, .ms = 20000, .after = -1, .gang = true};
	struct world *w = start_world(RUNNERS);
	char id[JOB_ID_DIGITS + 1];
	int i, k;

	for (i = 1; i <= RUNNERS; i++) {
		format_job_id(id, i);
		world_submit(w, id, "batch", &gang, 1);
	}
	for (k = 0; k < 2; k++) {
		world_run(w, 2000);
		for (i = 0; i < RUNNERS; i++)
			world_runner_crash(w, i, 500);
	}
	world_run(w, 5000);
	for (i = 1; i <= RUNNERS; i++) {
		format_job_id(id, i);
		CU_ASSERT_EQUAL(world_live_runs(w, id), 14);
	}
	check_other_work(w, &other_step);
	finish_world(w);
}

/* Guards against LOST: work that only one runner can hold waited for the
 * suspected task for which that runner was kept. */
void
test_apart_only_choice_is_joined(void)
{
	const struct world_step lasting = {
	    .count = 1, .cpu = 6000, .after = -1, .long_running = true};
	const struct world_step large = {
	    .count = 1, .cpu = 9000, .ms = 500, .after = -1};
	struct world *w = start_world(RUNNERS);
	int64_t longest_ms;
	int i;

	for (i = 1; i < RUNNERS; i++)
		world_runner_resize(w, i, 4000);
	world_run(w, 1000);
	world_submit(w, SUSPECTS, "batch", &lasting, 1);
	for (i = 0; i < 2; i++) {
		world_run(w, 2500);
		world_runner_crash(w, 0, 200);
	}
	world_run(w, 1500);
	CU_ASSERT_EQUAL(cell_runners_apart(world_cell(w, 0), &longest_ms), 1);
	check_other_work(w, &large);
	finish_world(w);
}

/* Guards against BUDGET: beside suspected tasks that aren't at fault, one that
 * is must be given up within its bound; and a quarter of the runners is kept at
 * most, each for 5 s. */
void
test_apart_deadly_task_given_up(void)
{
	const struct world_step deadly = {.count = 1,
	    .cpu = 1000,
	    .ms = 600,
	    .after = -1,
	    .crashes_runner = true};
	struct world *w = suspect_lasting(10);
	struct cell *c = world_cell(w, 0);
	char id[JOB_ID_DIGITS + 1];
	int64_t longest_ms;
	int i;

	for (i = 1; i <= 3; i++) {
		format_job_id(id, i);
		world_submit(w, id, "urgent", &deadly, 1);
	}
	for (i = 0; i < 400; i++) {
		world_run(w, 100);
		CU_ASSERT(cell_runners_apart(c, &longest_ms) * 4 <= RUNNERS);
		CU_ASSERT(longest_ms <= KEPT_MAX_MS);
	}
	for (i = 1; i <= 3; i++) {
		format_job_id(id, i);
		CU_ASSERT_EQUAL(world_state(w, id), JOB_FAILED);
	}
	CU_ASSERT_EQUAL(world_live_runs(w, SUSPECTS), 10);
	finish_world(w);
}
