#include "runner_rows.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "lead_lease.h"

int
runner_row(const struct runner *r)
{
	return (int)(XXH64(r->info.id, strlen(r->info.id), 0) % RUNNERS_ROWS);
}

void
cell_mark_row_stale(struct cell *c, const struct runner *r)
{
	c->stale_rows |= 1ULL << runner_row(r);
}

/* Whether the runner is to be recorded as closed. One that was loaded as closed
 * stays so until it answers. Until the registry was read, an unlisted runner
 * isn't closed. */
static bool
should_close(const struct cell *c, const struct runner *r)
{
	if (!r->known)
		return false;
	if (r->stored_closed)
		return true;
	return !runner_takes_work(r) &&
	    (r->listed || c->registry_synced_ms != 0);
}

/* The time to be stored for a runner that this leader hasn't heard; 0: it has,
 * or the runner may yet answer. */
static int64_t
unheard_until(const struct cell *c, const struct runner *r)
{
	if (r->gone || (r->known && !r->stored_closed) ||
	    (r->silent_since_ms == 0 && !r->stored_unheard))
		return 0;
	return lead_lease_unheard_until(c, r);
}

/* Whether the job of the run is known to have begun by this run. */
static bool
run_has_begun(const struct run *run)
{
	return run->confirmed_ms != 0 && run->task != NULL &&
	    run->task->step->occurrence->job->started;
}

static uint64_t
digest_entry(const char *addr, uint32_t port, bool closed)
{
	return XXH64(addr, strlen(addr), (uint64_t)port << 1 | closed);
}

static uint64_t
digest_unheard(int64_t until_ms, uint32_t generation)
{
	return until_ms != 0 ? XXH64(&until_ms, sizeof(until_ms), generation)
			     : 0;
}

/* Digests of runs are added up, as their order doesn't matter. */
static uint64_t
digest_run(const char *task, uint32_t run, bool begun)
{
	return XXH64(task, strlen(task), (uint64_t)run << 1 | begun);
}

static uint64_t
digest_runner(const struct cell *c, const struct runner *r, bool closed)
{
	uint64_t d = digest_entry(r->info.addr, r->info.port, closed);
	const struct run *run;

	d += digest_unheard(unheard_until(c, r), c->generation);
	if (!closed)
		return d;
	TAILQ_FOREACH (run, &r->runs, link)
		d += digest_run(run->name, run->number, run_has_begun(run));
	return d;
}

void
runner_row_loaded(struct runner *r, const Cc__RunnerRow *row)
{
	size_t i;

	r->row_digest = digest_entry(row->addr, row->port, row->closed) +
	    digest_unheard(row->unheard_until_ms, row->unheard_generation);
	r->in_row = true;
	for (i = 0; i < row->n_runs; i++)
		r->row_digest += digest_run(
		    row->runs[i]->task, row->runs[i]->run, row->runs[i]->begun);
}

void
runner_rows_check(struct cell *c)
{
	const struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		if (!r->in_row ||
		    r->row_digest != digest_runner(c, r, should_close(c, r)))
			cell_mark_row_stale(c, r);
}

static Cc__RunnerRow *
pack_runner(const struct cell *c, const struct runner *r, bool closed)
{
	Cc__RunnerRow *row = xcalloc(1, sizeof(*row));
	const struct run *run;

	cc__runner_row__init(row);
	row->id = xstrdup(r->info.id);
	row->addr = xstrdup(r->info.addr);
	row->port = r->info.port;
	row->closed = closed;
	row->unheard_until_ms = unheard_until(c, r);
	if (row->unheard_until_ms != 0)
		row->unheard_generation = c->generation;
	if (!closed)
		return row;
	row->runs = xcalloc((size_t)r->nruns + 1, sizeof(*row->runs));
	TAILQ_FOREACH (run, &r->runs, link) {
		Cc__RunRef *ref = xcalloc(1, sizeof(*ref));

		cc__run_ref__init(ref);
		ref->task = xstrdup(run->name);
		ref->run = run->number;
		ref->begun = run_has_begun(run);
		row->runs[row->n_runs++] = ref;
	}
	return row;
}

/* Once the row is sent, a later leader may rely on it. */
static void
mark_unheard(const struct cell *c, struct runner *r)
{
	if (!r->stored_unheard)
		kvlog(KVLOG_INFO, "runner_stored_unheard",
		    "runner=%s listed=%d open=%d silent_ms=%lld "
		    "leases_over_in_ms=%lld generation=%u fence=%llu",
		    r->info.id, r->listed, r->stored_open,
		    runner_silent_ms(r, c->ports.now()),
		    (long long)(c->adopt_until_ms - c->ports.now() -
			(c->adopt_until_store_ms - unheard_until(c, r))),
		    c->generation, (unsigned long long)c->fence);
	r->stored_unheard = true;
	r->stored_open = false;
}

static void
add_runner(
    const struct cell *c, Cc__RunnersRow *list, struct runner *r, bool closed)
{
	list->runners = xrealloc(
	    list->runners, (list->n_runners + 1) * sizeof(*list->runners));
	list->runners[list->n_runners++] = pack_runner(c, r, closed);
	r->row_digest = digest_runner(c, r, closed);
	r->in_row = true;
	r->commit_hears = unheard_until(c, r) == 0;
	r->commit_opens = !closed && r->commit_hears;
	if (!r->commit_hears)
		mark_unheard(c, r);
	/* Once this is sent, a later leader may rely on the closed row. */
	if (closed && r->stored_open)
		kvlog(KVLOG_INFO, "runner_closed",
		    "runner=%s runs=%d draining=%d silent=%d listed=%d gone=%d "
		    "after_version=%llu fence=%llu",
		    r->info.id, r->nruns, r->info.draining,
		    r->silent_since_ms != 0, r->listed, r->gone,
		    (unsigned long long)c->renewed_version,
		    (unsigned long long)c->fence);
	if (closed)
		r->stored_open = false;
}

static void
add_row(struct commit *k, int n, const Cc__RunnersRow *list)
{
	char name[8];
	struct entry *e;

	snprintf(name, sizeof(name), "%d", n);
	if (list->n_runners == 0) {
		commit_add_remove(k, RUNNERS_PREFIX, name);
		return;
	}
	e = commit_add_write(
	    k, RUNNERS_PREFIX, name, cc__runners_row__get_packed_size(list));
	cc__runners_row__pack(list, e->value);
}

/* Whether a commit under way writes rows of runners. */
static bool
rows_in_commit(const struct cell *c)
{
	int i;

	for (i = 0; i < COMMIT_CHAINS; i++)
		if (c->chains[i].commit != NULL &&
		    c->chains[i].commit->runner_rows != 0)
			return true;
	return false;
}

/* The first rows of the mask, up to the limit of a commit. */
static uint64_t
limit_rows(const struct cell *c, uint64_t rows)
{
	uint64_t limited = 0, rest = rows;
	int n;

	for (n = 0; n < c->rows_per_commit && rest != 0; n++) {
		limited |= rest & -rest;
		rest &= rest - 1;
	}
	return limited;
}

/* A later leader assumes that a closed runner has no runs beyond those in its
 * row, so the runner's processed ends must be stored before the row. */
uint64_t
runner_rows_writable(const struct cell *c)
{
	uint64_t rows = c->stale_rows & ~c->unreadable_rows;
	const struct runner *r;

	if (rows == 0 || rows_in_commit(c))
		return 0;
	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->last_end > r->last_end_stored && should_close(c, r))
			rows &= ~(1ULL << runner_row(r));
	return limit_rows(c, rows);
}

void
runner_rows_add(struct cell *c, struct commit *k, uint64_t rows)
{
	Cc__RunnersRow *lists = xcalloc(RUNNERS_ROWS, sizeof(*lists));
	struct runner *r;
	int i, n;

	for (i = 0; i < RUNNERS_ROWS; i++)
		cc__runners_row__init(&lists[i]);
	for (r = c->runners; r != NULL; r = r->hh.next) {
		n = runner_row(r);
		if (rows & 1ULL << n)
			add_runner(c, &lists[n], r, should_close(c, r));
	}
	for (i = 0; i < RUNNERS_ROWS; i++) {
		if (rows & 1ULL << i)
			add_row(k, i, &lists[i]);
		while (lists[i].n_runners > 0)
			cc__runner_row__free_unpacked(
			    lists[i].runners[--lists[i].n_runners], NULL);
		free(lists[i].runners);
	}
	free(lists);
	k->runner_rows = rows;
	c->stale_rows &= ~rows;
}

void
runner_rows_committed(struct cell *c, uint64_t version)
{
	struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (r->commit_opens && !r->stored_open)
			kvlog(KVLOG_INFO, "runner_opened",
			    "runner=%s adopted=%d version=%llu fence=%llu",
			    r->info.id, r->adopted, (unsigned long long)version,
			    (unsigned long long)c->fence);
		if (r->commit_opens)
			r->stored_open = true;
		if (r->commit_hears)
			r->stored_unheard = false;
		r->commit_opens = r->commit_hears = false;
	}
}

void
runner_rows_abandoned(struct cell *c, uint64_t rows)
{
	struct runner *r;

	c->stale_rows |= rows;
	for (r = c->runners; rows != 0 && r != NULL; r = r->hh.next)
		r->commit_opens = r->commit_hears = false;
}
