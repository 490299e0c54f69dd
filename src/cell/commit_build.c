/* What a commit carries: jobs, their progress, the runners, acknowledgements.
 */
#include "commit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

/** Name of a row of progress, without its prefix. */
#define PART_NAME_LEN (JOB_ID_LEN + 12)
/** Bytes of a transaction, below the store's megabyte in base64. */
#define COMMIT_BYTES_MAX (512 << 10)

static struct entry *
add_entry(struct commit *k, const char *prefix, const char *id, size_t len)
{
	struct entry *e = &k->writes[k->nwrites++];

	snprintf(e->key, sizeof(e->key), "%s%s", prefix, id);
	e->len = len;
	e->value = xmalloc(len);
	k->bytes += len;
	return e;
}

static void
add_remove(struct commit *k, const char *prefix, const char *id)
{
	snprintf(k->removes[k->nremoves++].key, sizeof(k->removes->key), "%s%s",
	    prefix, id);
}

static void
part_name(char *buf, size_t len, const struct job *j, uint32_t part)
{
	if (part == 0)
		str_copy(buf, j->id, len);
	else
		snprintf(buf, len, "%s/%u", j->id, part);
}

static void
add_progress(struct commit *k, struct job *j)
{
	uint32_t i, n = job_progress_parts(j);
	char name[PART_NAME_LEN];
	Cc__JobProgress *p;
	struct entry *e;

	for (i = 0; i < n; i++) {
		p = job_progress(j, i);
		part_name(name, sizeof(name), j, i);
		e = add_entry(k, PROGRESS_PREFIX, name,
		    cc__job_progress__get_packed_size(p));
		cc__job_progress__pack(p, e->value);
		job_progress_free(p);
	}
	for (i = n; i < j->stored_parts; i++) {
		part_name(name, sizeof(name), j, i);
		add_remove(k, PROGRESS_PREFIX, name);
	}
	if (j->stored_parts < n)
		j->stored_parts = n;
}

/** Entries that the job may need. */
static uint32_t
entries_of(const struct job *j)
{
	uint32_t n = job_progress_parts(j);

	return (n > j->stored_parts ? n : j->stored_parts) + 1;
}

static void
add_job(struct commit *k, struct job *j)
{
	struct entry *e;

	if (!j->stored && !job_ended(j)) {
		e = add_entry(
		    k, JOB_PREFIX, j->id, cc__job_row__get_packed_size(j->row));
		cc__job_row__pack(j->row, e->value);
	}
	/* What has ended needs no more than its outcome. */
	if (j->stored && job_ended(j) && j->stored_state < JOB_COMPLETED)
		add_remove(k, JOB_PREFIX, j->id);
	if (j->stored || job_ended(j))
		add_progress(k, j);
	k->states[k->njobs] = j->state;
	k->jobs[k->njobs++] = j;
	j->in_commit = true;
	j->dirty = false;
	TAILQ_REMOVE(&k->cell->dirty, j, dirty_link);
}

/* Before the registry was read, a runner isn't missing from it. */
static bool
should_close(const struct cell *c, const struct runner *r)
{
	if (!r->known)
		return false;
	return !runner_open(r) && (r->listed || c->registry_ms != 0);
}

static Cc__RunnerRow *
pack_runner(const struct runner *r, bool closed)
{
	Cc__RunnerRow *row = xcalloc(1, sizeof(*row));
	const struct run *run;

	cc__runner_row__init(row);
	row->id = xstrdup(r->info.id);
	row->addr = xstrdup(r->info.addr);
	row->port = r->info.port;
	row->closed = closed;
	if (!row->closed)
		return row;
	row->runs = xcalloc((size_t)r->nruns + 1, sizeof(*row->runs));
	TAILQ_FOREACH (run, &r->runs, link) {
		Cc__RunRef *ref = xcalloc(1, sizeof(*ref));

		cc__run_ref__init(ref);
		ref->task = xstrdup(run->name);
		ref->run = run->number;
		ref->begun = run->confirmed_ms != 0 && run->task != NULL &&
		    run->task->step->occurrence->job->started;
		row->runs[row->n_runs++] = ref;
	}
	return row;
}

static void
add_runner(Cc__RunnersRow *list, struct runner *r, bool closed)
{
	list->runners = xrealloc(
	    list->runners, (list->n_runners + 1) * sizeof(*list->runners));
	list->runners[list->n_runners++] = pack_runner(r, closed);
	r->opening = !closed;
	/* From now on a later leader may rely on it. */
	if (closed)
		r->recorded = false;
}

static void
add_runners_row(struct commit *k, int n, const Cc__RunnersRow *list)
{
	char name[8];
	struct entry *e;

	snprintf(name, sizeof(name), "%d", n);
	if (list->n_runners == 0) {
		snprintf(k->removes[k->nremoves++].key, sizeof(k->removes->key),
		    "%s%s", RUNNERS_PREFIX, name);
		return;
	}
	e = add_entry(
	    k, RUNNERS_PREFIX, name, cc__runners_row__get_packed_size(list));
	cc__runners_row__pack(list, e->value);
}

/* Writes the stale rows of runners; an empty one is removed. */
static void
add_runners(struct cell *c, struct commit *k)
{
	Cc__RunnersRow *rows = xcalloc(RUNNERS_ROWS, sizeof(*rows));
	struct runner *r;
	int i, n;

	for (i = 0; i < RUNNERS_ROWS; i++)
		cc__runners_row__init(&rows[i]);
	for (r = c->runners; r != NULL; r = r->hh.next) {
		n = runner_row(r);
		if (c->stale_rows & 1ULL << n)
			add_runner(&rows[n], r, should_close(c, r));
	}
	for (i = 0; i < RUNNERS_ROWS; i++) {
		if (c->stale_rows & 1ULL << i)
			add_runners_row(k, i, &rows[i]);
		while (rows[i].n_runners > 0)
			cc__runner_row__free_unpacked(
			    rows[i].runners[--rows[i].n_runners], NULL);
		free(rows[i].runners);
	}
	free(rows);
	k->runner_rows = c->stale_rows;
	c->stale_rows = 0;
}

/*
 * A job of the same id may come anew and be written by another chain, so rows
 * are removed only while no other commit is under way.
 */
static void
add_removes(struct cell *c, struct commit *k, int64_t now)
{
	struct job *j;

	if (commit_oldest(c) != NULL)
		return;
	while ((j = TAILQ_FIRST(&c->ended)) != NULL && !j->dirty &&
	    j->stored_state == j->state &&
	    now - j->ended_ms > c->terms.status_ms &&
	    k->nremoves + k->nwrites + 2 < COMMIT_ENTRIES_MAX) {
		add_remove(k, PROGRESS_PREFIX, j->id);
		cell_forget_job(c, j);
		k->forgets = true;
	}
}

/*
 * The ends processed so far are acknowledged when this commit, and those under
 * way before it, are done.
 */
static void
note_acks(struct cell *c, const struct commit *k)
{
	struct runner *r;

	if (c->ack_seq != 0 || !TAILQ_EMPTY(&c->dirty))
		return;
	for (r = c->runners; r != NULL; r = r->hh.next)
		r->acking = r->taken;
	c->ack_seq = k->seq;
}

static bool
runners_under_way(const struct cell *c)
{
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++)
		if (c->chains[i].commit != NULL &&
		    c->chains[i].commit->runner_rows != 0)
			return true;
	return false;
}

bool
commit_wanted(const struct cell *c)
{
	const struct job *j;

	if (c->stale_rows != 0 && !runners_under_way(c))
		return true;
	TAILQ_FOREACH (j, &c->dirty, dirty_link)
		if (!j->in_commit)
			return true;
	return false;
}

/* A job is in one commit at a time, so that its rows are written in order. */
static void
add_jobs(struct cell *c, struct commit *k)
{
	struct job *j, *next;

	for (j = TAILQ_FIRST(&c->dirty); j != NULL; j = next) {
		next = TAILQ_NEXT(j, dirty_link);
		if (k->nwrites + k->nremoves + (int)entries_of(j) >
			COMMIT_ENTRIES_MAX ||
		    k->bytes >= COMMIT_BYTES_MAX || k->njobs >= c->commit_jobs)
			return;
		if (!j->in_commit)
			add_job(k, j);
	}
}

struct commit *
commit_build(struct cell *c, int chain, int64_t now)
{
	struct commit *k = xcalloc(1, sizeof(*k));

	k->cell = c;
	k->fence = c->fence;
	k->seq = ++c->commit_seq;
	k->chain = chain;
	k->base_version = c->chains[chain].version;
	k->first_ms = now;
	k->jobs = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->jobs));
	k->states = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->states));
	if (c->stale_rows != 0 && !runners_under_way(c))
		add_runners(c, k);
	/* After a refused commit each kind goes alone, so that the one at fault
	 * is found. */
	if (k->runner_rows == 0 || c->commit_jobs == COMMIT_JOBS_MAX)
		add_jobs(c, k);
	add_removes(c, k, now);
	note_acks(c, k);
	return k;
}

void
commit_free(struct commit *k)
{
	int i;

	for (i = 0; i < k->nwrites; i++)
		free(k->writes[i].value);
	free(k->jobs);
	free(k->states);
	free(k);
}
