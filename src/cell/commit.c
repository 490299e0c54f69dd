/*
 * Decides when commits are sent and repeated, and when the store counts as
 * down.
 *
 * A group commit is one transaction with all progress made since the last
 * one. It is conditional on the guard of its part (the leader's row in the
 * first part) and on the row of its chain, which the previous commit of the
 * chain wrote. So of a commit and its repetitions only one can take effect,
 * however late, and none after another leader's claim. While the store is
 * slow, commits of several chains and parts overlap; a job is in at most one
 * of them.
 */
#include <stdlib.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "commit.h"

/** Least interval of commits to a part, so that each carries more. */
#define COMMIT_GAP_MS 15
/** Least interval of overlapping commits to a part. */
#define OVERLAP_MS 40
/** Least interval of overlapping commits as a share of the average answer time,
 * where that is longer: the store executes commits serially. */
#define OVERLAP_SHARE 0.55
/** Least interval of commits to any part while jobs go to all parts, as a
 * share of the average answer time: PART_OPEN_MAX commits to each part in that
 * time, evenly spread. */
#define SPREAD_SHARE (1.0 / (PART_OPEN_MAX * CELL_PARTS))
/** Interval of commits when there are no changes. They show the other hosts
 * that the leader is alive. */
#define RENEW_MS 150
/** Most commits to a part under way, besides those whose answer is lost. */
#define PART_OPEN_MAX 2
/** Wait for the answer of a part's oldest commit, on top of
 * ANSWER_LATE_FACTOR times the average answer time, before it is sent again.
 * The wait doubles with each attempt. */
#define ANSWER_LATE_MS 120
#define ANSWER_LATE_FACTOR 3
#define ATTEMPTS_MAX 5
/** Wait for an answer before the next attempt while the store is down. The
 * first answer shows that the store is back. */
#define STORE_DOWN_RETRY_MS 200
/** A commit without changes is sent as a probe when the first part's oldest
 * commit has no answer after OVERLAP_MS plus this many average answer times. */
#define PROBE_FACTOR 2
/** Most by which answers of a part may be reordered. */
#define REORDER_MS 5

/** Time of failing commits after which the leader counts as stalled. */
#define STALLED_FAILING_MS 80
/** The leader also counts as stalled after this time without any answer, on
 * top of ANSWER_LATE_FACTOR times the average answer time. */
#define STALLED_SILENT_MS 300
/** Time of failing commits after which the store counts as down. */
#define STORE_DOWN_MS 350
/** The store also counts as down without any answer for ANSWER_LATE_FACTOR
 * times the average answer time, within these bounds. */
#define STORE_SILENT_MIN_MS 650
#define STORE_SILENT_MAX_MS 2000

void
cell_mark_dirty(struct cell *c, struct job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	j->change = ++c->changes;
	TAILQ_INSERT_TAIL(&c->dirty, j, dirty_link);
}

static struct commit *
older(struct commit *a, struct commit *b)
{
	if (a == NULL || b == NULL)
		return a != NULL ? a : b;
	return a->seq < b->seq ? a : b;
}

struct commit *
commit_oldest(const struct cell *c)
{
	struct commit *oldest = NULL;
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++)
		oldest = older(oldest, c->chains[i].commit);
	return oldest;
}

struct commit *
commit_oldest_in(const struct cell *c, int part)
{
	struct commit *oldest = NULL;
	int i;

	for (i = 0; i < PART_CHAINS; i++)
		oldest = older(oldest, c->chains[part_chain(part, i)].commit);
	return oldest;
}

bool
commit_spreads(const struct cell *c)
{
	return c->store_failing_since_ms == 0 &&
	    c->commit_latency_ms > OVERLAP_MS;
}

static int64_t
store_silent_ms(const struct cell *c)
{
	int64_t ms = (int64_t)(ANSWER_LATE_FACTOR * c->commit_latency_ms);

	if (ms > STORE_SILENT_MAX_MS)
		return STORE_SILENT_MAX_MS;
	return ms > STORE_SILENT_MIN_MS ? ms : STORE_SILENT_MIN_MS;
}

bool
cell_store_down(const struct cell *c)
{
	const struct commit *k = commit_oldest(c);
	int64_t now = c->ports.now(), silent = store_silent_ms(c);

	if (k != NULL && now - k->first_ms > silent &&
	    now - c->committed_ms > silent)
		return true;
	return c->store_failing_since_ms != 0 &&
	    now - c->store_failing_since_ms > STORE_DOWN_MS;
}

bool
cell_store_fails(const struct cell *c)
{
	return c->store_failing_since_ms != 0;
}

bool
cell_stalled(const struct cell *c)
{
	double silent_max =
	    STALLED_SILENT_MS + ANSWER_LATE_FACTOR * c->commit_latency_ms;
	const struct commit *k = commit_oldest(c);
	int64_t now = c->ports.now();

	if (c->store_failing_since_ms != 0)
		return now - c->store_failing_since_ms > STALLED_FAILING_MS;
	return k != NULL && (double)(now - k->first_ms) > silent_max &&
	    (double)(now - c->committed_ms) > silent_max;
}

static bool
has_unacked(const struct cell *c)
{
	const struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->last_end > r->last_end_stored)
			return true;
	return false;
}

/* Acknowledges ends that changed nothing in the store. */
static void
ack_without_commit(struct cell *c)
{
	struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		r->last_end_stored = r->last_end;
}

/* The store executes commits of a part serially, so the answer to a commit is
 * lost when a later one was answered. */
static bool
answer_lost(const struct cell *c, const struct commit *k)
{
	return k->sent_ms + REORDER_MS <
	    c->parts[chain_part(k->chain)].answered_sent_ms;
}

static bool
answer_late(const struct cell *c, const struct commit *k, int64_t now)
{
	double late =
	    ANSWER_LATE_MS + ANSWER_LATE_FACTOR * c->commit_latency_ms;

	if (cell_store_down(c))
		return now - k->sent_ms > STORE_DOWN_RETRY_MS;
	return (double)(now - k->sent_ms) >
	    late * (1 << (k->open_attempts - 1));
}

static bool
should_resend(const struct cell *c, const struct commit *k, int64_t now)
{
	if (k->open_attempts == 0)
		return now >= k->retry_ms;
	return k->open_attempts < ATTEMPTS_MAX &&
	    (answer_lost(c, k) ||
		(k == commit_oldest_in(c, chain_part(k->chain)) &&
		    answer_late(c, k, now)));
}

/* While the store fails, only the oldest commit is repeated, as a probe. */
static void
resend_commits(struct cell *c, int64_t now)
{
	struct commit *k = commit_oldest(c);
	bool failing = c->store_failing_since_ms != 0;
	int i;

	if (failing && k != NULL && should_resend(c, k, now))
		commit_send(c, k);
	for (i = 0; i < COMMIT_CHAINS && !failing; i++) {
		k = c->chains[i].commit;
		if (k != NULL && should_resend(c, k, now))
			commit_send(c, k);
	}
}

static int64_t
overlap_ms(const struct cell *c)
{
	int64_t ms = (int64_t)(c->commit_latency_ms * OVERLAP_SHARE);

	return ms > OVERLAP_MS ? ms : OVERLAP_MS;
}

/* Whether no other commit may be sent while this one is under way. */
static bool
is_exclusive(const struct cell *c, const struct commit *k)
{
	return k->removes_jobs || c->store_failing_since_ms != 0 ||
	    c->phase != CELL_SERVING;
}

static bool
exclusive_open(const struct cell *c)
{
	const struct commit *k;
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++) {
		k = c->chains[i].commit;
		if (k != NULL && is_exclusive(c, k))
			return true;
	}
	return false;
}

/* Whether the least intervals since the last commit are over, to the part and,
 * while commits are spread, to any part. */
static bool
gap_over(const struct cell *c, int part, int open, int64_t now)
{
	int64_t gap =
	    c->store_failing_since_ms != 0 ? COMMIT_RETRY_MS : COMMIT_GAP_MS;

	if (commit_spreads(c) &&
	    (double)(now - c->commit_ms) < c->commit_latency_ms * SPREAD_SHARE)
		return false;
	return now - c->parts[part].commit_ms >=
	    (open > 0 ? overlap_ms(c) : gap);
}

/* @return the chain for the part's next commit, or -1 while it must wait. */
static int
next_chain(const struct cell *c, int part, int64_t now)
{
	const struct commit *k;
	int i, chain, open = 0, next = -1;

	for (i = 0; i < PART_CHAINS; i++) {
		chain = part_chain(part, i);
		k = c->chains[chain].commit;
		if (k == NULL && next < 0)
			next = chain;
		open += k != NULL && !answer_lost(c, k);
	}
	return open < PART_OPEN_MAX && gap_over(c, part, open, now) ? next : -1;
}

/* Whether to send a commit without changes. It renews the leadership, and its
 * answer shows whether the answer of the oldest commit is lost. */
static bool
renewal_due(const struct cell *c, int64_t now)
{
	const struct commit *k = commit_oldest_in(c, PART_FIRST);

	if (k == NULL)
		return now - c->parts[PART_FIRST].commit_ms >= RENEW_MS;
	return (double)(now - k->sent_ms) >
	    OVERLAP_MS + PROBE_FACTOR * c->commit_latency_ms;
}

static void
commit_part(struct cell *c, int part, int64_t now)
{
	int chain = exclusive_open(c) ? -1 : next_chain(c, part, now);

	if (chain < 0)
		return;
	c->commit_ms = c->parts[part].commit_ms = now;
	c->chains[chain].commit = commit_build(c, chain, now);
	commit_send(c, c->chains[chain].commit);
}

void
cell_commit(struct cell *c)
{
	int64_t now = c->ports.now();
	unsigned wanted;
	int part;

	if (c->phase == CELL_IDLE)
		return;
	if (cell_store_down(c))
		commit_refuse_waiting(c);
	resend_commits(c, now);
	wanted = commit_wanted(c);
	if (wanted == 0 && commit_oldest(c) == NULL && has_unacked(c))
		ack_without_commit(c);
	/* Commits to the first part are frequent enough to remove its jobs;
	 * other parts may need one for that alone. */
	part = commit_forget_part(c);
	if (part > PART_FIRST)
		commit_part(c, part, now);
	if ((wanted & 1u << PART_FIRST) != 0 || renewal_due(c, now))
		commit_part(c, PART_FIRST, now);
	for (part = PART_FIRST + 1; part < CELL_PARTS; part++)
		if ((wanted & 1u << part) != 0)
			commit_part(c, part, now);
}

static void
commit_drop(struct commit *k)
{
	struct cell_answer a = {.error = CC_ETIMEOUT};
	int i;

	for (i = 0; i < k->njobs; i++)
		job_answer(k->jobs[i], &a);
	commit_free(k);
}

void
cell_commit_drop(struct cell *c)
{
	struct commit *k;
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++) {
		k = c->chains[i].commit;
		c->chains[i].commit = NULL;
		if (k != NULL)
			commit_drop(k);
	}
}
