/** @file Counts of crashes under a task: what gives it up, what clears it, and
 * what a stored row says of them. */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../platform/submission.h"
#include "../../src/state/job.h"
#include "unit.h"

#define JOB "0123456789abcdef"
/** Age of the runs that crash their runners. */
#define YOUNG_MS 100
/** A run of this age clears its task in any case. */
#define OLD_MS 5000

static bool
add(struct task_crashes *k, uint32_t run, bool proven, bool alone, int64_t ms)
{
	struct task_crash crash = {
	    .run = run, .proven = proven, .alone = alone, .age_ms = ms};

	return task_crashes_add(k, &crash);
}

/* Adds @p n young runs to those of @p k, each alone on its runner if @p alone.
 */
static void
add_some(struct task_crashes *k, int n, bool proven, bool alone)
{
	int i;

	for (i = 0; i < n; i++)
		CU_ASSERT(add(k, k->n + 1, proven, alone, YOUNG_MS));
}

/* Guards against LOST: crashes under runs that nobody knows to have been at
 * work gave tasks up. */
void
test_task_crashes_unproven_keep(void)
{
	struct task_crashes k = {0};

	add_some(&k, 20, false, true);
	CU_ASSERT(task_crashes_suspected(&k));
	CU_ASSERT(!task_crashes_exceeded(&k));
	CU_ASSERT_EQUAL(k.alone, 0);
	task_crashes_done(&k);
}

/* Guards against BUDGET: two runs that surely were at work, alone on their
 * runners, show what the crashes are due to. */
void
test_task_crashes_two_alone_exceed(void)
{
	struct task_crashes k = {0};

	add_some(&k, 1, true, true);
	CU_ASSERT(!task_crashes_exceeded(&k));
	add_some(&k, 1, true, true);
	CU_ASSERT(task_crashes_exceeded(&k));
	task_crashes_done(&k);
}

/* Guards against LOST: two proven crashes beside other tasks have no known
 * cause; and against BUDGET: with two unproven ones more they do. */
void
test_task_crashes_two_proven_two_not(void)
{
	struct task_crashes k = {0};

	add_some(&k, 2, true, false);
	CU_ASSERT(task_crashes_suspected(&k));
	add_some(&k, 1, false, true);
	CU_ASSERT(!task_crashes_exceeded(&k));
	add_some(&k, 1, false, true);
	CU_ASSERT(task_crashes_exceeded(&k));
	task_crashes_done(&k);
}

/* Guards against LOST: one proven crash, and any number of others, is no more
 * than one crash for another cause. */
void
test_task_crashes_one_proven_keeps(void)
{
	struct task_crashes k = {0};

	add_some(&k, 1, true, true);
	add_some(&k, 20, false, true);
	CU_ASSERT(!task_crashes_exceeded(&k));
	task_crashes_done(&k);
}

/* Guards against LOST: one crash that is noted twice counts once. */
void
test_task_crashes_run_counts_once(void)
{
	struct task_crashes k = {0};

	CU_ASSERT(add(&k, 7, true, true, YOUNG_MS));
	CU_ASSERT(!add(&k, 7, true, true, YOUNG_MS));
	CU_ASSERT_EQUAL(k.n, 1);
	CU_ASSERT_EQUAL(k.proven, 1);
	CU_ASSERT_EQUAL(k.alone, 1);
	CU_ASSERT(task_crashes_has(&k, 7));
	CU_ASSERT(!task_crashes_exceeded(&k));
	task_crashes_done(&k);
}

/* Guards against LOST: a run that went well for longer than 5 s isn't at fault,
 * and clears its task. */
void
test_task_crashes_old_run_clears(void)
{
	struct task_crashes k = {0};

	CU_ASSERT(add(&k, 1, true, true, OLD_MS));
	CU_ASSERT(!add(&k, 2, true, true, OLD_MS + 1));
	CU_ASSERT_EQUAL(k.n, 0);
	CU_ASSERT_EQUAL(k.proven, 0);
	CU_ASSERT_EQUAL(k.alone, 0);
	CU_ASSERT(!add(&k, 3, true, true, OLD_MS + 1));
	CU_ASSERT_EQUAL(k.n, 0);
	task_crashes_done(&k);
}

/* Guards against LOST: a task that has outlived earlier crashes doesn't crash
 * each runner that starts it, so two crashes alone don't show that it does. */
void
test_task_crashes_outlived_keeps(void)
{
	struct task_crashes k = {0};

	add_some(&k, 1, true, false);
	task_crashes_outlive(&k);
	CU_ASSERT_EQUAL(k.n, 0);
	add_some(&k, 3, true, true);
	CU_ASSERT(!task_crashes_exceeded(&k));
	add_some(&k, 1, true, true);
	CU_ASSERT(task_crashes_exceeded(&k));
	task_crashes_done(&k);
}

/* Guards against BUDGET: a task that is cleared runs apart on while the fate of
 * its runs on silent runners isn't known. */
void
test_task_crashes_clear_keeps_unsettled(void)
{
	struct task_crashes k = {.unsettled = 2};

	add_some(&k, 2, true, true);
	task_crashes_clear(&k);
	CU_ASSERT_EQUAL(k.n, 0);
	CU_ASSERT_EQUAL(k.proven, 0);
	CU_ASSERT_EQUAL(k.alone, 0);
	CU_ASSERT_EQUAL(k.age_ms, 0);
	CU_ASSERT_EQUAL(k.unsettled, 2);
	CU_ASSERT(task_crashes_suspected(&k));
	k.unsettled = 0;
	CU_ASSERT(!task_crashes_suspected(&k));
	task_crashes_done(&k);
}

static struct job *
new_job(void)
{
	const char *body = "{\"steps\":[{\"count\":2}]}", *wrong;
	struct job *j = job_new(JOB,
	    submission_decode(
		(const uint8_t *)body, strlen(body), "q", &wrong));

	job_add_occurrence(j);
	return j;
}

static struct task *
first_task(struct job *j)
{
	return &j->occurrences[0]->steps[0].tasks[0];
}

/* Another leader's job, loaded from the row of @p j; without the field
 * crashed_proven if the row is one of the version before. */
static struct job *
reload(const struct job *j, bool former)
{
	struct job *other = new_job();
	Cc__JobProgress *p = job_progress(j, 0);

	if (former)
		p->steps[0]->tasks[0]->crashed_proven = 0;
	job_load_progress(other, p, 0);
	job_progress_free(p);
	return other;
}

/* Guards against BUDGET: the next leader knows the counts, and the runs that
 * are counted, but not what the leader before had yet to settle. */
void
test_task_crashes_row_round_trip(void)
{
	struct job *a = new_job(), *b;
	struct task_crashes *k = &first_task(a)->crashes;

	CU_ASSERT(add(k, 2, true, true, 40));
	CU_ASSERT(add(k, 3, true, false, 60));
	CU_ASSERT(add(k, 5, false, true, 300));
	k->unsettled = 1;
	b = reload(a, false);
	k = &first_task(b)->crashes;
	CU_ASSERT_EQUAL(k->n, 3);
	CU_ASSERT_EQUAL(k->proven, 2);
	CU_ASSERT_EQUAL(k->alone, 1);
	CU_ASSERT_EQUAL(k->age_ms, 300);
	CU_ASSERT_EQUAL(k->unsettled, 0);
	CU_ASSERT(task_crashes_has(k, 2) && task_crashes_has(k, 3) &&
	    task_crashes_has(k, 5));
	CU_ASSERT(!task_crashes_has(k, 4));
	CU_ASSERT(!task_crashes_exceeded(k));
	CU_ASSERT(add(k, 6, false, false, 300));
	CU_ASSERT(task_crashes_exceeded(k));
	job_delete(a);
	job_delete(b);
}

/* Guards against LOST: a row of the version before counts runs of silent
 * runners as crashed, so it proves nothing. */
void
test_task_crashes_former_row(void)
{
	struct job *a = new_job(), *b;
	struct task_crashes *k;

	add_some(&first_task(a)->crashes, 4, true, true);
	b = reload(a, true);
	k = &first_task(b)->crashes;
	CU_ASSERT_EQUAL(k->n, 4);
	CU_ASSERT_EQUAL(k->proven, 0);
	CU_ASSERT_EQUAL(k->alone, 0);
	CU_ASSERT(task_crashes_suspected(k));
	CU_ASSERT(!task_crashes_exceeded(k));
	CU_ASSERT(add(k, 9, true, true, YOUNG_MS));
	CU_ASSERT(!task_crashes_exceeded(k));
	job_delete(a);
	job_delete(b);
}
