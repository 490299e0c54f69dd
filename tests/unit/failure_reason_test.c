/**
 * @file The reason of a failed job is stored with its outcome, and read from
 * rows of other versions.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../src/base/err.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define JOB "00000000000000a1"
/** Longest time in which the job of a test fails. */
#define FAILED_MS 40000

static const struct world_step step = {
    .count = 1, .cpu = 1000, .ms = 300, .after = -1};
static const struct world_step crashing_step = {
    .count = 1, .cpu = 1000, .ms = 300, .after = -1, .crashes_runner = true};

static void
expect_answer(struct world *w, enum job_failure failure, const char *task)
{
	struct cell_answer a;

	cell_get(world_cell(w, world_leader(w)),
	    &(struct cell_caller){"urgent", ""}, JOB, &a);
	CU_ASSERT_EQUAL(a.error, CC_OK);
	CU_ASSERT_EQUAL(a.state, JOB_FAILED);
	CU_ASSERT_EQUAL(a.failure, failure);
	CU_ASSERT_STRING_EQUAL(a.failed_task, task);
}

/* Lets the job fail under the first leader and asks the next one. */
static void
fail_and_take_over(
    struct world *w, const struct world_step *s, enum job_failure failure)
{
	world_submit(w, JOB, "urgent", s, 1);
	world_run(w, FAILED_MS);
	expect_answer(w, failure, JOB ".0.0.0");
	world_cell_restart(w, 0);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	expect_answer(w, failure, JOB ".0.0.0");
	finish_world(w);
}

/* Guards against a failed job whose reason nobody can tell: it was lost when
 * the leader changed. */
void
test_failure_attempts_survive_takeover(void)
{
	struct world *w = start_world(RUNNERS);
	int i;

	for (i = 0; i < RUNNERS; i++)
		world_runner_fail_share(w, i, 1000);
	fail_and_take_over(w, &step, FAILURE_ATTEMPTS);
}

/* Guards against the same for a job that crashed its runners. */
void
test_failure_crashes_survive_takeover(void)
{
	fail_and_take_over(
	    start_world(RUNNERS), &crashing_step, FAILURE_CRASHES);
}

/* Loads the job from a stored row of another version. */
static void
expect_row(
    const void *row, size_t len, enum job_failure failure, const char *task)
{
	struct world *w = start_world(RUNNERS);

	world_write_row(w, PROGRESS_PREFIX JOB, row, len);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	expect_answer(w, failure, task);
	finish_world(w);
}

/* Guards against an outcome that is lost in an update, as the row of the
 * version before lacks the reason. */
void
test_failure_row_of_earlier_version(void)
{
	static const char row[] = "\x08\x03\x10\x01\x2a\x06urgent";

	expect_row(row, sizeof(row) - 1, FAILURE_NONE, "");
}

/* Guards against reads beyond the names of the reasons, and beyond the task's
 * name, when a later version has stored what this one doesn't know. */
void
test_failure_row_of_later_version(void)
{
	static const char row[] = "\x08\x03\x2a\x06urgent\x30\x63\x3a\x46"
				  "0123456789012345678901234567890123456789"
				  "012345678901234567890123456789";

	expect_row(row, sizeof(row) - 1, FAILURE_NONE,
	    "0123456789012345678901234567890123456789"
	    "01234567890123456789012");
}
