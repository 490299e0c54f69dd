/**
 * @file Rows of the cell that the next leader can't read: they aren't taken for
 * absent, and nothing is written over them.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../src/base/err.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 2
#define JOB "00000000000000a1"
/** Leases of an earlier leader have lapsed after this time. */
#define LEASES_OVER_MS 6000

static const struct world_step step = {
    .count = 2, .cpu = 1000, .ms = 300, .after = -1};
static const struct world_step two_steps[2] = {
    {.count = 2, .cpu = 1000, .ms = 300, .after = -1},
    {.count = 1, .cpu = 1000, .ms = 20000, .after = 0}};
static const char garbage[] = "\xff\xff\xff\xff";

static void
spoil(struct world *w, const char *key)
{
	world_write_row(w, key, garbage, sizeof(garbage));
}

static bool
is_spoilt(struct world *w, const char *key)
{
	struct world_row row = world_read_row(w, key);

	return row.len == sizeof(garbage) &&
	    memcmp(row.value, garbage, sizeof(garbage)) == 0;
}

static int
error_of_get(struct world *w)
{
	struct cell_answer a;

	cell_get(
	    world_cell(w, 1), &(struct cell_caller){"urgent", ""}, JOB, &a);
	return a.error;
}

/* Guards against LOST and TWICE: a job with a row that can't be read was shown
 * as unknown, and could be submitted and run anew. */
static void
expect_job_kept(const char *key)
{
	struct world *w = start_world(RUNNERS);

	world_submit(w, JOB, "urgent", two_steps, 2);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(world_start_count(w, JOB ".0.0.0"), 1);
	spoil(w, key);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	CU_ASSERT_EQUAL(error_of_get(w), CC_EBUSY);
	world_submit(w, JOB, "urgent", two_steps, 2);
	CU_ASSERT(world_refused(w, JOB));
	world_submit(w, "00000000000000a2", "urgent", &step, 1);
	world_run(w, LEASES_OVER_MS);
	CU_ASSERT(is_spoilt(w, key));
	CU_ASSERT_EQUAL(world_start_count(w, JOB ".0.0.0"), 1);
	CU_ASSERT_EQUAL(world_state(w, "00000000000000a2"), JOB_COMPLETED);
	finish_world(w);
}

void
test_rows_unreadable_job(void)
{
	expect_job_kept(JOB_PREFIX JOB);
	expect_job_kept(PROGRESS_PREFIX JOB);
}

/* Guards against TWICE: runners in a row that can't be read may hold inherited
 * work, so it waits until their leases are over, and the row stays till then.
 */
void
test_rows_unreadable_runners(void)
{
	struct world *w = start_world(RUNNERS);

	spoil(w, RUNNERS_PREFIX "0");
	world_claim(w, 1);
	world_run(w, 3000);
	CU_ASSERT(world_cell(w, 1)->adopting);
	CU_ASSERT(is_spoilt(w, RUNNERS_PREFIX "0"));
	world_run(w, LEASES_OVER_MS);
	CU_ASSERT(!world_cell(w, 1)->adopting);
	CU_ASSERT(!is_spoilt(w, RUNNERS_PREFIX "0"));
	finish_world(w);
}
