/* Sends attempts of commits and applies the store's answers to jobs and
 * runners. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "runner_rows.h"

#define COMMIT_TIMEOUT_MS 1000
/** Weight of a new answer in the average answer time, when it is slower than
 * the average and when it isn't. */
#define SLOWER_WEIGHT 0.5
#define FASTER_WEIGHT 0.2

static int
min(int a, int b)
{
	return a < b ? a : b;
}

/** One attempt of a commit. The commit may be freed before the answer, so it is
 * looked up by chain and number. */
struct attempt {
	struct cell *cell;
	uint64_t fence;
	uint64_t seq;
	int chain;
	int64_t sent_ms;
};

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
job_committed(struct cell *c, struct job *j, enum job_state state)
{
	struct cell_answer a = {.error = CC_OK, .state = state};
	struct waiter *w, *next;

	j->in_commit = false;
	if (!j->stored)
		retry_after_accepted(&c->retry_after, j->id);
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

/* Whether all changes up to this one are stored. */
static bool
changes_stored(const struct cell *c, uint64_t change)
{
	const struct job *j = TAILQ_FIRST(&c->dirty);
	const struct commit *k;
	int i;

	if (j != NULL && j->change <= change)
		return false;
	for (i = 0; i < COMMIT_CHAINS; i++) {
		k = c->chains[i].commit;
		if (k != NULL && k->first_change <= change)
			return false;
	}
	return true;
}

static void
acks_committed(struct cell *c)
{
	struct runner *r;

	if (c->ack_change == 0 || !changes_stored(c, c->ack_change))
		return;
	c->ack_change = 0;
	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->last_end_in_commit > r->last_end_stored)
			r->last_end_stored = r->last_end_in_commit;
}

static void
commit_done(struct cell *c, struct commit *k, uint64_t version, int64_t sent_ms)
{
	int i;

	c->chains[k->chain].version = version;
	c->chains[k->chain].commit = NULL;
	c->committed_ms = c->ports.now();
	/* Only commits to the first part depend on the leader's row, so that
	 * no other leader had claimed before. */
	if (chain_part(k->chain) == PART_FIRST) {
		if (version > c->store_version)
			c->store_version = version;
		if (sent_ms > c->renewed_ms)
			c->renewed_ms = sent_ms;
	}
	if (c->store_failing_since_ms != 0)
		kvlog(KVLOG_INFO, "store_back", "down_ms=%lld",
		    (long long)(c->committed_ms - c->store_failing_since_ms));
	c->store_failing_since_ms = 0;
	c->counters.commits++;
	for (i = 0; i < k->njobs; i++)
		job_committed(c, k->jobs[i], k->states[i]);
	if (k->runner_rows != 0)
		runner_rows_committed(c);
	c->jobs_per_commit = min(c->jobs_per_commit * 2, COMMIT_JOBS_MAX);
	c->rows_per_commit = min(c->rows_per_commit * 2, RUNNERS_ROWS);
	acks_committed(c);
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

/* Whether the chain's row shows that this commit took effect. */
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

/* Handles a failed condition. The commit was done if an earlier attempt wrote
 * the chain's row; else another leader has claimed the part. */
static void
commit_conflict(struct cell *c, struct commit *k, const struct store_result *r,
    int64_t sent_ms)
{
	char key[CHAIN_KEY_LEN];
	const struct row *commit = find_row(r, chain_key(k->chain, key));
	struct row wanted = part_guard(c, chain_part(k->chain));
	const struct row *guard = find_row(r, wanted.key);
	uint64_t version = guard != NULL ? guard->version : 0;

	if (shows_commit(k, commit)) {
		commit_done(c, k, commit->version, sent_ms);
		if (guard != NULL && version != wanted.version)
			c->ports.deposed(c->ports.arg);
		return;
	}
	kvlog(KVLOG_WARN, "deposed",
	    "fence=%llu part=%s guard=%llu seen=%llu why=commit",
	    (unsigned long long)c->fence, part_name(chain_part(k->chain)),
	    (unsigned long long)wanted.version, (unsigned long long)version);
	c->ports.deposed(c->ports.arg);
}

/* Refuses a new job that certainly isn't stored, and removes it. */
static void
refuse_job(struct cell *c, struct job *j)
{
	struct cell_answer a = {.error = CC_EBUSY,
	    .retry_after_ms = cell_count_refusal(c, j->id, j->row)};

	kvlog(KVLOG_INFO, "submit_refused",
	    "id=%s why=store-down age_ms=%lld retry_after_ms=%u", j->id,
	    (long long)(c->ports.now() - j->accepted_ms), a.retry_after_ms);
	job_answer(j, &a);
	cell_forget_job(c, j);
}

/* Refuses the new jobs of a commit that certainly wasn't done; the progress of
 * stored jobs is queued again. */
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

/* A job that no commit carries certainly isn't stored, so its caller can be
 * told at once to retry later. */
void
commit_refuse_waiting(struct cell *c)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&c->dirty); j != NULL; j = next) {
		next = TAILQ_NEXT(j, dirty_link);
		if (!j->stored && !j->in_commit)
			refuse_job(c, j);
	}
}

/* Detaches a commit that certainly wasn't done, so that what it carried can be
 * committed again. */
static void
commit_abandon(struct cell *c, struct commit *k)
{
	struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		r->last_end_in_commit = r->last_end_stored;
	c->ack_change = 0;
	c->chains[k->chain].commit = NULL;
	runner_rows_abandoned(c, k->runner_rows);
}

static void
commit_undo(struct cell *c, struct commit *k)
{
	commit_abandon(c, k);
	refuse_new_jobs(c, k);
	commit_free(k);
}

static int
count_rows(const struct commit *k)
{
	return __builtin_popcountll(k->runner_rows);
}

/* Queues the commit's jobs and rows of runners again, with half as many in each
 * commit. */
static void
commit_split(struct cell *c, struct commit *k)
{
	int i;

	commit_abandon(c, k);
	c->jobs_per_commit = k->njobs > 1 ? k->njobs / 2 : 1;
	if (k->njobs == 0)
		c->rows_per_commit = count_rows(k) / 2;
	for (i = 0; i < k->njobs; i++) {
		k->jobs[i]->in_commit = false;
		cell_mark_dirty(c, k->jobs[i]);
	}
	commit_free(k);
}

/* Drops a commit with a single job or row of runners that the store refuses.
 * A new job is removed; other rows are not sent again until they change. */
static void
commit_drop_invalid(struct cell *c, struct commit *k)
{
	struct cell_answer a = {.error = CC_EINVAL};
	struct job *j = k->njobs > 0 ? k->jobs[0] : NULL;

	commit_abandon(c, k);
	c->stale_rows &= ~k->runner_rows;
	if (j != NULL) {
		j->in_commit = false;
		job_answer(j, &a);
		if (!j->stored)
			cell_forget_job(c, j);
	}
	commit_free(k);
}

/* Handles a commit that breaks a limit of the store, so that no repetition can
 * succeed. */
static void
commit_invalid(struct cell *c, struct commit *k)
{
	kvlog(KVLOG_ERROR, "commit_refused",
	    "seq=%llu jobs=%d first=%s bytes=%zu writes=%d runner_rows=%llx",
	    (unsigned long long)k->seq, k->njobs,
	    k->njobs > 0 ? k->jobs[0]->id : "", k->bytes, k->nwrites,
	    (unsigned long long)k->runner_rows);
	c->counters.commit_errors++;
	if (k->njobs + count_rows(k) > 1)
		commit_split(c, k);
	else
		commit_drop_invalid(c, k);
}

static void
commit_failed(struct cell *c, struct commit *k, int err)
{
	int64_t now = c->ports.now();

	c->counters.commit_errors++;
	k->maybe_done |= err != CC_EUNAVAIL;
	if (k->open_attempts > 0)
		return;
	if (c->store_failing_since_ms == 0 && c->committed_ms <= k->first_ms) {
		c->store_failing_since_ms = k->first_ms;
		kvlog(KVLOG_WARN, "store_failing", "why=%s seq=%llu",
		    cc_strerror(err), (unsigned long long)k->seq);
	}
	k->retry_ms = now + COMMIT_RETRY_MS;
	if (!k->maybe_done && cell_store_down(c)) {
		c->commit_ms = c->parts[chain_part(k->chain)].commit_ms = now;
		commit_undo(c, k);
	}
}

static void
update_latency(struct cell *c, double ms)
{
	double weight =
	    ms > c->commit_latency_ms ? SLOWER_WEIGHT : FASTER_WEIGHT;

	c->commit_latency_ms += weight * (ms - c->commit_latency_ms);
}

static void
on_commit(const struct store_result *r, void *arg)
{
	struct attempt a = *(struct attempt *)arg;
	struct cell *c = a.cell;
	struct commit *k = c->chains[a.chain].commit;
	struct part *p = &c->parts[chain_part(a.chain)];

	free(arg);
	if (c->fence != a.fence || k == NULL || k->seq != a.seq)
		return;
	k->open_attempts--;
	if ((r->err == CC_OK || r->err == CC_ECONFLICT) &&
	    a.sent_ms > p->answered_sent_ms)
		p->answered_sent_ms = a.sent_ms;
	if (r->err == CC_OK) {
		update_latency(c, (double)(c->ports.now() - a.sent_ms));
		commit_done(c, k, r->version, a.sent_ms);
	} else if (r->err == CC_ECONFLICT) {
		commit_conflict(c, k, r, a.sent_ms);
	} else if (r->err == CC_EINVAL && k->open_attempts == 0) {
		commit_invalid(c, k);
	} else {
		commit_failed(c, k, r->err);
	}
}

static struct attempt *
attempt_new(struct cell *c, struct commit *k)
{
	struct attempt *a = xcalloc(1, sizeof(*a));

	a->cell = c;
	a->fence = c->fence;
	a->seq = k->seq;
	a->chain = k->chain;
	a->sent_ms = k->sent_ms = c->ports.now();
	k->open_attempts++;
	return a;
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

void
commit_send(struct cell *c, struct commit *k)
{
	char key[CHAIN_KEY_LEN];
	const char *row_key = chain_key(k->chain, key);
	int part = chain_part(k->chain);
	struct row conds[2] = {
	    part_guard(c, part),
	    {.table = CELL_TABLE, .key = row_key, .version = k->base_version},
	};
	struct row writes[COMMIT_ENTRIES_MAX + 1] = {0};
	struct row removes[COMMIT_ENTRIES_MAX] = {0};
	struct store_txn t = {.part = part_name(part),
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
	    .key = row_key,
	    .value = buf,
	    .len = cc__commit_row__pack(&cr, buf)};
	fill_rows(writes + 1, k->writes, k->nwrites);
	fill_rows(removes, k->removes, k->nremoves);
	c->ports.store->ops->txn(c->ports.store, &t, COMMIT_TIMEOUT_MS,
	    on_commit, attempt_new(c, k));
}
