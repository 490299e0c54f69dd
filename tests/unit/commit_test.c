/** @file Commits of a cell, with a slow store and across changes of the leader.
 */
#include <CUnit/CUnit.h>

#include "../../src/base/err.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 12
#define SLOW_STORE_MS 240
#define TAKEOVERS 30
#define TAKEOVER_MS 1000
#define SUBMIT_EVERY_MS 40
#define SUBMITS 75
/** Commits of a job on a fast store: its acceptance, its end and its progress
 * between them. */
#define COMMITS_PER_JOB 3
#define BURST 480
#define BURST_AT_ONCE 10
#define BURST_STORE_MS 500

static const struct world_step short_step = {
    .count = 2, .cpu = 500, .ms = 300, .after = -1};

static void
submit_stream(struct world *w, int first, int n)
{
	char id[17];
	int i;

	for (i = first; i < first + n; i++) {
		format_job_id(id, i);
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
		format_job_id(id, i);
		count += world_state(w, id) == state;
	}
	return count;
}

/* Number of the store's parts that hold jobs of the cell. */
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

/* A burst of 250 jobs a second on a store that takes 500 ms for a transaction.
 * Each job waits at most for the transaction under way and its own. */
void
test_commit_burst_on_slow_store(void)
{
	const struct world_step step = {
	    .count = 1, .cpu = 100, .ms = 300, .after = -1};
	struct world *w = start_world(RUNNERS);
	int64_t ms, sum = 0;
	char id[17];
	int i;

	world_set_store_latency(w, BURST_STORE_MS);
	world_run(w, 4000);
	for (i = 1; i <= BURST; i++) {
		format_job_id(id, i);
		world_submit(w, id, "urgent", &step, 1);
		if (i % BURST_AT_ONCE == 0)
			world_run(w, SUBMIT_EVERY_MS);
	}
	world_run(w, 8000);
	for (i = 1; i <= BURST; i++) {
		format_job_id(id, i);
		ms = world_accept_ms(w, id);
		CU_ASSERT(ms >= 0 && ms <= 2 * BURST_STORE_MS);
		sum += ms;
	}
	CU_ASSERT(sum <= BURST * BURST_STORE_MS * 3 / 2);
	CU_ASSERT_EQUAL(count_state(w, 1, BURST, JOB_COMPLETED), BURST);
	finish_world(w);
}

/* While the store is fast, all jobs are written to one part, so that the split
 * into parts costs no additional calls. */
void
test_commit_fast_store_one_part(void)
{
	struct world *w = start_world(RUNNERS);

	submit_stream(w, 1, SUBMITS);
	CU_ASSERT_EQUAL(parts_used(world_cell(w, 0)), 1);
	finish_world(w);
}

/* A replaced leader that hasn't noticed goes on writing to several parts. The
 * next leader must know every write that the old one had an answer for, and no
 * later one. */
void
test_commit_takeover_keeps_accepted(void)
{
	struct world *w = start_world(RUNNERS);
	char id[17];
	int i, accepted = 0;

	world_set_store_latency(w, SLOW_STORE_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	CU_ASSERT(parts_used(world_cell(w, 0)) > 1);
	world_claim(w, 1);
	world_run(w, 4 * SLOW_STORE_MS);
	CU_ASSERT_EQUAL(world_cell(w, 1)->phase, CELL_SERVING);
	CU_ASSERT(parts_used(world_cell(w, 1)) > 1);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_IDLE);
	for (i = 1; i <= 40; i++) {
		format_job_id(id, i);
		if (!world_accepted(w, id))
			continue;
		accepted++;
		CU_ASSERT(world_state(w, id) >= 0);
	}
	CU_ASSERT(accepted > 20);
	world_set_store_latency(w, 4);
	world_run(w, 15000);
	CU_ASSERT(world_all_jobs_ended(w));
	finish_world(w);
}

/* While the leader changes, three of ten answers of the store to writes are
 * lost. Nine of ten new leaders still serve within 1 s. */
void
test_commit_takeover_lost_answers(void)
{
	struct world_faults f = {.store_lost = 300};
	struct world *w;
	uint32_t seed;
	int late = 0;

	for (seed = 1; seed <= TAKEOVERS; seed++) {
		w = world_new(seed, RUNNERS);
		world_claim(w, 0);
		world_run(w, LEADER_READY_MS);
		world_set_faults(w, &f);
		world_claim(w, 1);
		world_run(w, TAKEOVER_MS);
		late += world_cell(w, 1)->phase != CELL_SERVING;
		finish_world(w);
	}
	CU_ASSERT(late * 10 <= TAKEOVERS);
}

/* A process is paused in its claim and resumes when a newer leader serves. Its
 * claim must have no effect on the newer leader. */
void
test_commit_stale_claim_ignored(void)
{
	struct world *w = start_world(RUNNERS);
	struct cell *old = world_cell(w, 1);
	struct cell_claim claim = {.generation = 1};

	world_claim(w, 1);
	claim.fence = claim.commit_version = old->fence;
	claim.sent_ms = world_now(w);
	world_run(w, 2000);
	world_claim(w, 0);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(old->phase, CELL_IDLE);
	cell_lead(old, &claim);
	world_run(w, 2000);
	CU_ASSERT_EQUAL(old->phase, CELL_IDLE);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	world_set_store_latency(w, SLOW_STORE_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	world_run(w, 3000);
	CU_ASSERT_EQUAL(world_cell(w, 0)->phase, CELL_SERVING);
	CU_ASSERT_EQUAL(count_state(w, 1, 40, JOB_COMPLETED), 40);
	finish_world(w);
}

/* Ended jobs of every part are deleted after their retention, also while other
 * jobs are written, and by few commits. */
void
test_commit_ended_jobs_forgotten(void)
{
	struct world *w = start_world(RUNNERS);
	struct cell *c = world_cell(w, 0);
	uint64_t commits;

	world_set_store_latency(w, SLOW_STORE_MS);
	world_run(w, 2000);
	submit_stream(w, 1, 40);
	world_set_store_latency(w, 4);
	world_run(w, 3000);
	CU_ASSERT(parts_used(c) > 1);
	world_run(w, c->terms.status_ms - 3000);
	commits = c->counters.commits;
	submit_stream(w, 41, 300);
	CU_ASSERT_EQUAL(count_state(w, 1, 40, -1), 40);
	CU_ASSERT(c->counters.commits - commits < 300 * COMMITS_PER_JOB);
	world_run(w, c->terms.status_ms + 3000);
	CU_ASSERT_EQUAL(HASH_COUNT(c->jobs), 0);
	world_claim(w, 1);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(HASH_COUNT(world_cell(w, 1)->jobs), 0);
	finish_world(w);
}
