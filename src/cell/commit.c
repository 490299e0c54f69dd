/*
 * Group commit. One transaction at a time carries all progress made since the
 * last one. Each commit is conditional on the leader's row and on the commit
 * row of the one before, so of a commit and its repetition only one can take
 * effect, however late, and none after another leader's claim.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "commit.h"

/** Commits are at least this far apart, so that each carries more. */
#define COMMIT_GAP_MS 15
/** A commit without changes shows that the leader is alive. */
#define RENEW_MS 250
#define COMMIT_TIMEOUT_MS 1000
#define RETRY_MS 60
/** The store counts as down when commits have failed for this long. */
#define STORE_DOWN_MS 350
/** So it does when a commit has no answer for this long; slow ones take 450. */
#define SILENT_MS 650

void
cell_mark_dirty(struct cell *c, struct job *j)
{
	if (j->dirty)
		return;
	j->dirty = true;
	TAILQ_INSERT_TAIL(&c->dirty, j, dirty_link);
}

bool
cell_store_down(const struct cell *c)
{
	int64_t now = c->ports.now();

	if (c->commit != NULL && c->commit->sent &&
	    now - c->commit->sent_ms > SILENT_MS)
		return true;
	return c->store_down_ms != 0 && now - c->store_down_ms > STORE_DOWN_MS;
}

bool
cell_store_fails(const struct cell *c)
{
	return c->store_down_ms != 0;
}

void
job_answer(struct job *j, const struct cell_answer *a)
{
	struct waiter *w;

	while ((w = TAILQ_FIRST(&j->waiters)) != NULL) {
		TAILQ_REMOVE(&j->waiters, w, link);
		w->fn(a, w->arg);
		free(w);
	}
}

static void
job_committed(struct job *j, enum job_state state)
{
	struct cell_answer a = {.error = CC_OK, .state = state};
	struct waiter *w, *next;

	j->in_commit = false;
	j->stored = true;
	j->stored_state = state;
	for (w = TAILQ_FIRST(&j->waiters); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->cancels && state < JOB_COMPLETED)
			continue;
		TAILQ_REMOVE(&j->waiters, w, link);
		w->fn(&a, w->arg);
		free(w);
	}
}

static void
commit_done(struct cell *c, struct commit *k, uint64_t version)
{
	struct runner *r;
	int i;

	c->store_version = version;
	c->committed_ms = c->ports.now();
	c->renewed_ms = k->sent_ms;
	if (c->store_down_ms != 0)
		kvlog(KVLOG_INFO, "store_back", "down_ms=%lld",
		    (long long)(c->committed_ms - c->store_down_ms));
	c->store_down_ms = 0;
	c->counters.commits++;
	for (i = 0; i < k->njobs; i++)
		job_committed(k->jobs[i], k->states[i]);
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (k->has_runners && r->opening)
			r->recorded = true;
		r->opening = false;
		if (r->acking > r->acked)
			r->acked = r->acking;
	}
	c->commit = NULL;
	commit_free(k);
	c->ports.wake(c->ports.arg);
}

static const struct row *
find_row(const struct store_result *r, const char *key)
{
	int i;

	for (i = 0; i < r->nrows; i++)
		if (strcmp(r->rows[i].key, key) == 0)
			return &r->rows[i];
	return NULL;
}

/* Whether the commit row shows that this commit took effect. */
static bool
shows_commit(const struct commit *k, const struct row *row)
{
	Cc__CommitRow *cr;
	bool same;

	if (row == NULL || row->version == 0)
		return false;
	cr = cc__commit_row__unpack(NULL, row->len, row->value);
	if (cr == NULL)
		return false;
	same = cr->seq == k->seq &&
	    strcmp(cr->incarnation, k->cell->incarnation) == 0;
	cc__commit_row__free_unpacked(cr, NULL);
	return same;
}

static void
commit_conflict(struct cell *c, struct commit *k, const struct store_result *r)
{
	const struct row *commit = find_row(r, COMMIT_KEY);
	const struct row *leader = find_row(r, LEADER_KEY);

	if (shows_commit(k, commit)) {
		commit_done(c, k, commit->version);
		if (leader != NULL && leader->version != c->fence)
			c->ports.deposed(c->ports.arg);
		return;
	}
	kvlog(KVLOG_WARN, "deposed",
	    "fence=%llu leader_version=%llu why=commit",
	    (unsigned long long)c->fence,
	    (unsigned long long)(leader != NULL ? leader->version : 0));
	c->ports.deposed(c->ports.arg);
}

/* It is in no commit that was sent, so it certainly isn't stored. */
static void
refuse_job(struct cell *c, struct job *j)
{
	struct cell_answer a = {.error = CC_EBUSY,
	    .retry_after_ms = cell_retry_after_ms(j->queue, j->row)};

	kvlog(KVLOG_INFO, "submit_refused",
	    "id=%s why=store-down age_ms=%lld retry_after_ms=%u", j->id,
	    (long long)(c->ports.now() - j->accepted_ms), a.retry_after_ms);
	c->counters.refused++;
	job_answer(j, &a);
	cell_forget_job(c, j);
}

/* New jobs whose commit certainly wasn't done are refused, not kept. */
static void
refuse_new_jobs(struct cell *c, struct commit *k)
{
	int i;

	for (i = 0; i < k->njobs; i++) {
		k->jobs[i]->in_commit = false;
		if (k->jobs[i]->stored)
			cell_mark_dirty(c, k->jobs[i]);
		else
			refuse_job(c, k->jobs[i]);
	}
}

/* While the store is away, jobs that wait for a commit needn't. */
static void
refuse_waiting_jobs(struct cell *c)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&c->dirty); j != NULL; j = next) {
		next = TAILQ_NEXT(j, dirty_link);
		if (!j->stored && !j->in_commit)
			refuse_job(c, j);
	}
}

/* Nothing of it was done: it is taken apart, and built anew later. */
static void
commit_undo(struct cell *c, struct commit *k)
{
	struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		r->acking = r->acked;
	refuse_new_jobs(c, k);
	if (k->has_runners)
		c->runners_changed = true;
	c->commit_seq--;
	c->commit = NULL;
	commit_free(k);
}

static void
on_commit(const struct store_result *r, void *arg)
{
	struct commit *k = arg;
	struct cell *c = k->cell;
	int64_t now = c->ports.now();

	if (c->commit != k || c->fence != k->fence) {
		commit_free(k);
		return;
	}
	k->sent = false;
	if (r->err == CC_OK) {
		commit_done(c, k, r->version);
		return;
	}
	if (r->err == CC_ECONFLICT) {
		commit_conflict(c, k, r);
		return;
	}
	c->counters.commit_errors++;
	k->maybe_done |= r->err != CC_EUNAVAIL;
	if (c->store_down_ms == 0) {
		c->store_down_ms = k->first_ms;
		kvlog(KVLOG_WARN, "store_failing", "why=%s seq=%llu",
		    cc_strerror(r->err), (unsigned long long)k->seq);
	}
	k->retry_ms = now + RETRY_MS;
	if (!k->maybe_done && cell_store_down(c)) {
		commit_undo(c, k);
		c->commit_ms = now;
	}
}

static void
fill_rows(struct row *rows, const struct entry *entries, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		rows[i].table = CELL_TABLE;
		rows[i].key = entries[i].key;
		rows[i].value = entries[i].value;
		rows[i].len = entries[i].len;
	}
}

static void
commit_send(struct cell *c, struct commit *k)
{
	struct row conds[2] = {
	    {.table = MEMBER_TABLE, .key = LEADER_KEY, .version = k->fence},
	    {.table = CELL_TABLE,
		.key = COMMIT_KEY,
		.version = k->base_version},
	};
	struct row writes[COMMIT_ENTRIES_MAX + 1] = {0};
	struct row removes[COMMIT_ENTRIES_MAX] = {0};
	struct store_txn t = {.part = CELL_PART,
	    .conditions = conds,
	    .nconditions = 2,
	    .writes = writes,
	    .nwrites = k->nwrites + 1,
	    .removes = removes,
	    .nremoves = k->nremoves};
	Cc__CommitRow cr = CC__COMMIT_ROW__INIT;
	uint8_t buf[128];

	cr.seq = k->seq;
	cr.incarnation = c->incarnation;
	writes[0] = (struct row){.table = CELL_TABLE,
	    .key = COMMIT_KEY,
	    .value = buf,
	    .len = cc__commit_row__pack(&cr, buf)};
	fill_rows(writes + 1, k->writes, k->nwrites);
	fill_rows(removes, k->removes, k->nremoves);
	k->sent = true;
	k->sent_ms = c->ports.now();
	k->attempts++;
	c->ports.store->ops->txn(
	    c->ports.store, &t, COMMIT_TIMEOUT_MS, on_commit, k);
}

static bool
has_unacked(const struct cell *c)
{
	const struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->taken > r->acked)
			return true;
	return false;
}

/* Ends that changed nothing in the store need no write. */
static void
ack_plain_ends(struct cell *c)
{
	struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		r->acked = r->taken;
}

void
cell_commit(struct cell *c)
{
	int64_t now = c->ports.now(), since = now - c->commit_ms;

	if (c->phase == CELL_IDLE)
		return;
	if (cell_store_down(c))
		refuse_waiting_jobs(c);
	if (c->commit != NULL) {
		if (!c->commit->sent && now >= c->commit->retry_ms)
			commit_send(c, c->commit);
		return;
	}
	if (TAILQ_EMPTY(&c->dirty) && !c->runners_changed) {
		if (has_unacked(c))
			ack_plain_ends(c);
		if (since < RENEW_MS)
			return;
	}
	if (since < (c->store_down_ms != 0 ? RETRY_MS : COMMIT_GAP_MS))
		return;
	c->commit_ms = now;
	c->commit = commit_build(c, now);
	commit_send(c, c->commit);
}

/* The answer of a commit under way finds it gone and frees it. */
void
cell_commit_drop(struct cell *c)
{
	struct cell_answer a = {.error = CC_ETIMEOUT};
	struct commit *k = c->commit;
	int i;

	if (k == NULL)
		return;
	for (i = 0; i < k->njobs; i++)
		job_answer(k->jobs[i], &a);
	c->commit = NULL;
	if (!k->sent)
		commit_free(k);
}
