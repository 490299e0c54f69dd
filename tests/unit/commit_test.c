/* What a cell writes to the store, under a slow one and changes of the lead. */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

#include "../../src/base/err.h"
#include "../world/world.h"
#include "unit.h"

#define RUNNERS 12
#define LEAD_MS 1500
#define SLOW_MS 240
#define TAKEOVERS 30
#define TAKEOVER_MS 1000
#define SUBMIT_EVERY_MS 40
#define SUBMITS 75
/** Accept, end, and what goes between. */
#define CALM_COMMITS 3
#define BURST 480
#define BURST_AT_ONCE 10
#define BURST_STORE_MS 500

static const struct world_step short_step = {
    .count = 2, .cpu = 500, .ms = 300, .after = -1};

static struct world *
start(void)
{
	struct world *w = world_new(1, RUNNERS);

	world_loud(w, getenv("LOUD") != NULL);
	world_claim(w, 0);
	world_run(w, LEAD_MS);
	return w;
}

static void
finish(struct world *w)
{
	CU_ASSERT_EQUAL(world_broken(w), 0);
	world_delete(w);
}

static void
job_id(char id[17], int n)
{
	snprintf(id, 17, "%016x", n);
}

static void
submit_stream(struct world *w, int first, int n)
{
	char id[17];
	int i;

	for (i = first; i < first + n; i++) {
		job_id(id, i);
		world_submit(w, id, "urgent", &short_step, 1);
		world_run(w, SUBMIT_EVERY_MS);
	}
}

static int
count_state(struct world *w, int first, int n, int state)
{
	char id[17];
	int i, count = 0;

	for (i = first; i < first + n; i++) {
		job_id(id, i);
		count += world_state(w, id) == state;
	}
	return count;
}

/* Parts of the store that hold jobs of a cell. */
static int
parts_used(const struct cell *c)
{
	bool used[CELL_PARTS] = {false};
	const struct job *j;
	int i, n = 0;

	for (j = c->jobs; j != NULL; j = j->hh.next)
		if (j->part >= 0)
			used[j->part] = true;
	for (i = 0; i < CELL_PARTS; i++)
		n += used[i];
	return n;
}

/* A burst of 250 jobs a second on a store that takes half a second for each
 * transaction: none waits for longer than one before it and its own. */
void
test_commit_slow_store(void)
{
	const struct world_step step = {
	    .count = 1, .cpu = 100, .ms = 300, .after = -1};
	struct world *w = start();
	int64_t ms, sum = 0;
	char id[17];
	int i;

	world_store_ms(w, BURST_STORE_MS);
	world_run(w, 4000);
	for (i = 1; i <= BURST; i++) {
		job_id(id, i);
		world_submit(w, id, "urgent", &step, 1);
		if (i % BURST_AT_ONCE == 0)
			world_run(w, SUBMIT_EVERY_MS);
	}
	world_run(w, 8000);
	for (i = 1; i <= BURST; i++) {
		job_id(id, i);
		ms = world_accept_ms(w, id);
		CU_ASSERT(ms >= 0 && ms <= 2 * BURST_STORE_MS);
		sum += ms;
	}
	CU_ASSERT(sum <= BURST * BURST_STORE_MS * 3 / 2);
	CU_ASSERT_EQUAL(count_state(w, 1, BURST, JOB_COMPLETED), BURST);
	finish(w);
}

/* In calm all is written to one part, in no more calls than before. */
void
test_commit_calm_store(void)
{
	struct world *w = start();

	submit_stream(w, 1, SUBMITS);
	CU_ASSERT_EQUAL(parts_used(world_cell(w, 0)), 1);
	finish(w);
}

/* A leader that isn't told of the next one goes on writing; what it was
 * answered for is known to the next, and nothing else is. */
void
test_commit_takeover_of_parts(void)
{
	struct world *w = start();
	char id[17];
	int i, accepted = 0;

	world_store_ms(w, SLOW_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	CU_ASSERT(parts_used(world_cell(w, 0)) > 1);
	world_claim(w, 1);
	world_run(w, 4 * SLOW_MS);
	CU_ASSERT_EQUAL(world_cell(w, 1)->phase, CELL_SERVING);
	CU_ASSERT(parts_used(world_cell(w, 1)) > 1);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_IDLE);
	for (i = 1; i <= 40; i++) {
		job_id(id, i);
		if (!world_accepted(w, id))
			continue;
		accepted++;
		CU_ASSERT(world_state(w, id) >= 0);
	}
	CU_ASSERT(accepted > 20);
	world_store_ms(w, 4);
	world_run(w, 15000);
	CU_ASSERT(world_all_ended(w));
	finish(w);
}

/* Three of ten answers of the store to writes are lost while the lead changes:
 * nine of ten new leaders serve within a second. */
void
test_commit_takeover_answers_lost(void)
{
	struct world_faults f = {.store_lost = 300};
	struct world *w;
	uint32_t seed;
	int late = 0;

	for (seed = 1; seed <= TAKEOVERS; seed++) {
		w = world_new(seed, RUNNERS);
		world_claim(w, 0);
		world_run(w, LEAD_MS);
		world_set_faults(w, &f);
		world_claim(w, 1);
		world_run(w, TAKEOVER_MS);
		late += world_cell(w, 1)->phase != CELL_SERVING;
		finish(w);
	}
	CU_ASSERT(late * 10 <= TAKEOVERS);
}

/* A process that was paused in its claim wakes under a newer leader. */
void
test_commit_old_claim_takes_nothing(void)
{
	struct world *w = start();
	struct cell *old = world_cell(w, 1);
	uint64_t fence;

	world_claim(w, 1);
	fence = old->fence;
	world_run(w, 2000);
	world_claim(w, 0);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(old->phase, CELL_IDLE);
	cell_lead(old, fence, 1, fence);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(old->phase, CELL_IDLE);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	world_store_ms(w, SLOW_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	world_run(w, 3000);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	CU_ASSERT_EQUAL(count_state(w, 1, 40, JOB_COMPLETED), 40);
	finish(w);
}

/* Jobs of every part are forgotten in time, also while others are written. */
void
test_commit_forgets_in_parts(void)
{
	struct world *w = start();
	struct cell *c = world_cell(w, 0);
	uint64_t commits;

	world_store_ms(w, SLOW_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	world_store_ms(w, 4);
	world_run(w, 3000);
	CU_ASSERT(parts_used(c) > 1);
	world_run(w, c->terms.status_ms - 3000);
	commits = c->counters.commits;
	submit_stream(w, 41, 300);
	CU_ASSERT_EQUAL(count_state(w, 1, 40, -1), 40);
	CU_ASSERT(c->counters.commits - commits < 300 * CALM_COMMITS);
	world_run(w, c->terms.status_ms + 3000);
	CU_ASSERT_EQUAL(HASH_COUNT(c->jobs), 0);
	world_claim(w, 1);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(HASH_COUNT(world_cell(w, 1)->jobs), 0);
	finish(w);
}
