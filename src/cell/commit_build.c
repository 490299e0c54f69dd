/* Builds a commit: rows of jobs and of their progress, and stale rows of
 * runners. Also decides which ends of runs are acknowledged once it is stored.
 */
#include "commit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "runner_rows.h"

/** Length of a progress row's key without its prefix. */
#define PROGRESS_NAME_LEN (JOB_ID_LEN + 12)
/** Values in a transaction, bytes. In base64 they stay below the store's limit
 * of a megabyte. */
#define COMMIT_BYTES_MAX (512 << 10)

struct entry *
commit_add_write(
    struct commit *k, const char *prefix, const char *id, size_t len)
{
	struct entry *e = &k->writes[k->nwrites++];

	snprintf(e->key, sizeof(e->key), "%s%s", prefix, id);
	e->len = len;
	e->value = xmalloc(len);
	k->bytes += len;
	return e;
}

void
commit_add_remove(struct commit *k, const char *prefix, const char *id)
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
		e = commit_add_write(k, PROGRESS_PREFIX, name,
		    cc__job_progress__get_packed_size(p));
		cc__job_progress__pack(p, e->value);
		job_progress_free(p);
	}
	for (i = n; i < j->stored_rows; i++) {
		progress_name(name, sizeof(name), j, i);
		commit_add_remove(k, PROGRESS_PREFIX, name);
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
		e = commit_add_write(
		    k, JOB_PREFIX, j->id, cc__job_row__get_packed_size(j->row));
		cc__job_row__pack(j->row, e->value);
	}
	/* Of an ended job only the progress row with its outcome is kept. */
	if (j->stored && job_ended(j) && j->stored_state < JOB_COMPLETED)
		commit_add_remove(k, JOB_PREFIX, j->id);
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
		commit_add_remove(k, PROGRESS_PREFIX, j->id);
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

	if (runner_rows_writable(c) != 0)
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
	uint64_t rows =
	    chain_part(chain) == PART_FIRST ? runner_rows_writable(c) : 0;

	k->cell = c;
	k->seq = ++c->commit_seq;
	k->chain = chain;
	k->base_version = c->chains[chain].version;
	k->first_change = UINT64_MAX;
	k->first_ms = now;
	k->jobs = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->jobs));
	k->states = xcalloc(COMMIT_ENTRIES_MAX, sizeof(*k->states));
	if (rows != 0)
		runner_rows_add(c, k, rows);
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
