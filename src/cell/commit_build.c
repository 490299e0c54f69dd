/* Builds a commit: rows of jobs, of their progress and of runners. Also decides
 * which ends of runs are acknowledged once it is stored. */
#include "commit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

/** Length of a progress row's key without its prefix. */
#define PROGRESS_NAME_LEN (JOB_ID_LEN + 12)
/** Values in a transaction, bytes. In base64 they stay below the store's limit
 * of a megabyte. */
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
progress_name(char *buf, size_t len, const struct job *j, uint32_t number)
{
	if (number == 0)
		str_copy(buf, j->id, len);
	else
		snprintf(buf, len, "%s/%u", j->id, number);
}

static void
add_progress(struct commit *k, struct job *j)
{
	uint32_t i, n = job_progress_rows(j);
	char name[PROGRESS_NAME_LEN];
	Cc__JobProgress *p;
	struct entry *e;

	for (i = 0; i < n; i++) {
		p = job_progress(j, i);
		progress_name(name, sizeof(name), j, i);
		e = add_entry(k, PROGRESS_PREFIX, name,
		    cc__job_progress__get_packed_size(p));
		cc__job_progress__pack(p, e->value);
		job_progress_free(p);
	}
	for (i = n; i < j->stored_rows; i++) {
		progress_name(name, sizeof(name), j, i);
		add_remove(k, PROGRESS_PREFIX, name);
	}
	if (j->stored_rows < n)
		j->stored_rows = n;
}

/** Most entries that the job may need in a commit. */
static uint32_t
entries_of(const struct job *j)
{
	uint32_t n = job_progress_rows(j);

	return (n > j->stored_rows ? n : j->stored_rows) + 1;
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
	/* Of an ended job only the progress row with its outcome is kept. */
	if (j->stored && job_ended(j) && j->stored_state < JOB_COMPLETED)
		add_remove(k, JOB_PREFIX, j->id);
	if (j->stored || job_ended(j))
		add_progress(k, j);
	j->part = chain_part(k->chain);
	if (j->change < k->first_change)
		k->first_change = j->change;
	k->states[k->njobs] = j->state;
	k->jobs[k->njobs++] = j;
	j->in_commit = true;
	j->dirty = false;
	TAILQ_REMOVE(&k->cell->dirty, j, dirty_link);
}

/* Whether the runner is to be recorded as closed. Until the registry was read,
 * an unlisted runner isn't closed. */
static bool
should_close(const struct cell *c, const struct runner *r)
{
	if (!r->known)
		return false;
	return !runner_takes_work(r) &&
	    (r->listed || c->registry_synced_ms != 0);
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
	r->commit_opens = !closed;
	/* Once this is sent, a later leader may rely on the closed row. */
	if (closed)
		r->stored_open = false;
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

/* Whether a commit under way writes rows of runners. */
static bool
runner_rows_in_commit(const struct cell *c)
{
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++)
		if (c->chains[i].commit != NULL &&
		    c->chains[i].commit->runner_rows != 0)
			return true;
	return false;
}

/*
 * Stale rows of runners that may be written now, as a bit mask. A later leader
 * assumes that a closed runner has no runs beyond those in its row, so the
 * runner's processed ends must be stored before the row.
 */
static uint64_t
writable_rows(const struct cell *c)
{
	uint64_t rows = c->stale_rows;
	const struct runner *r;

	if (rows == 0 || runner_rows_in_commit(c))
		return 0;
	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->last_end > r->last_end_stored && should_close(c, r))
			rows &= ~(1ULL << runner_row(r));
	return rows;
}

/* Adds these rows of runners to the commit; empty rows are removed. */
static void
add_runners(struct cell *c, struct commit *k, uint64_t stale)
{
	Cc__RunnersRow *rows = xcalloc(RUNNERS_ROWS, sizeof(*rows));
	struct runner *r;
	int i, n;

	for (i = 0; i < RUNNERS_ROWS; i++)
		cc__runners_row__init(&rows[i]);
	for (r = c->runners; r != NULL; r = r->hh.next) {
		n = runner_row(r);
		if (stale & 1ULL << n)
			add_runner(&rows[n], r, should_close(c, r));
	}
	for (i = 0; i < RUNNERS_ROWS; i++) {
		if (stale & 1ULL << i)
			add_runners_row(k, i, &rows[i]);
		while (rows[i].n_runners > 0)
			cc__runner_row__free_unpacked(
			    rows[i].runners[--rows[i].n_runners], NULL);
		free(rows[i].runners);
	}
	free(rows);
	k->runner_rows = stale;
	c->stale_rows &= ~stale;
}

/*
 * Whether the rows of an ended job may be removed after its retention. A job
 * with the same id may be submitted again and be written by another chain, so
 * rows are removed only while no other commit is under way.
 */
static bool
may_forget(const struct cell *c, const struct job *j, int64_t now)
{
	return commit_oldest(c) == NULL && !j->dirty &&
	    j->stored_state == j->state &&
	    now - j->ended_ms > c->terms.status_ms;
}

int
commit_forget_part(const struct cell *c)
{
	const struct job *j = TAILQ_FIRST(&c->ended);

	return j != NULL && may_forget(c, j, c->ports.now()) ? j->part
							     : PART_NONE;
}

static void
add_removes(struct cell *c, struct commit *k, int64_t now)
{
	int part = chain_part(k->chain);
	struct job *j;

	while ((j = TAILQ_FIRST(&c->ended)) != NULL && j->part == part &&
	    may_forget(c, j, now) &&
	    k->nremoves + k->nwrites + 2 < COMMIT_ENTRIES_MAX) {
		add_remove(k, PROGRESS_PREFIX, j->id);
		cell_forget_job(c, j);
		k->removes_jobs = true;
	}
}

/* Begins an acknowledgement: the ends processed so far are acknowledged to the
 * runners once all changes so far are stored. */
static void
note_acks(struct cell *c)
{
	struct runner *r;

	if (c->ack_change != 0)
		return;
	for (r = c->runners; r != NULL; r = r->hh.next)
		r->last_end_in_commit = r->last_end;
	c->ack_change = c->changes;
}

/* Parts that new jobs may go to, as a bit mask. */
static unsigned
parts_for_new(const struct cell *c)
{
	return commit_spreads(c) ? ALL_PARTS : 1u << PART_FIRST;
}

static unsigned
parts_of(const struct job *j, unsigned for_new)
{
	return j->part != PART_NONE ? 1u << j->part : for_new;
}

unsigned
commit_wanted(const struct cell *c)
{
	unsigned for_new = parts_for_new(c), parts = 0;
	const struct job *j;

	if (writable_rows(c) != 0)
		parts |= 1u << PART_FIRST;
	TAILQ_FOREACH (j, &c->dirty, dirty_link) {
		if (parts == ALL_PARTS)
			break;
		if (!j->in_commit)
			parts |= parts_of(j, for_new);
	}
	return parts;
}

/* Adds dirty jobs up to the limits. A job is in one commit at a time, so that
 * its rows are written in order. */
static void
add_jobs(struct cell *c, struct commit *k)
{
	unsigned part = 1u << chain_part(k->chain);
	unsigned for_new = parts_for_new(c);
	struct job *j, *next;

	for (j = TAILQ_FIRST(&c->dirty); j != NULL; j = next) {
		next = TAILQ_NEXT(j, dirty_link);
		if (k->nwrites + k->nremoves + (int)entries_of(j) >
			COMMIT_ENTRIES_MAX ||
		    k->bytes >= COMMIT_BYTES_MAX ||
		    k->njobs >= c->jobs_per_commit)
			return;
		if (!j->in_commit && (parts_of(j, for_new) & part) != 0)
			add_job(k, j);
	}
}

struct commit *
commit_build(struct cell *c, int chain, int64_t now)
{
	struct commit *k = xcalloc(1, sizeof(*k));
	uint64_t rows = chain_part(chain) == PART_FIRST ? writable_rows(c) : 0;

	k->cell = c;
	k->seq = ++c->commit_seq;
	k->chain = chain;
	k->base_version = c->chains[chain].version;
	k->first_change = UINT64_MAX;
	k->first_ms = now;
	k->jobs = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->jobs));
	k->states = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->states));
	if (rows != 0)
		add_runners(c, k, rows);
	/* After the store refused a commit as invalid, runners and jobs are
	 * committed separately to find the invalid row. */
	if (k->runner_rows == 0 || c->jobs_per_commit == COMMIT_JOBS_MAX)
		add_jobs(c, k);
	add_removes(c, k, now);
	note_acks(c);
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
