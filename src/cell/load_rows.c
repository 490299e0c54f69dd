/* Recovery: decodes the store's rows of jobs, progress and runners. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "account_admit.h"
#include "load.h"
#include "runner_rows.h"

static struct job *
add_stored(struct part_load *p, const char *id, Cc__JobRow *jr)
{
	struct job *j = job_new(id, jr);

	j->stored = true;
	j->inherited = true;
	j->part = p->part;
	cell_bind_account(p->load->cell, j);
	HASH_ADD_STR(p->load->cell->loading, id, j);
	return j;
}

static bool
is_loading(const struct cell *c, const char *id)
{
	const struct job *j;

	HASH_FIND_STR(c->loading, id, j);
	return j != NULL;
}

static void
load_job(struct part_load *p, const char *id, const struct row *row)
{
	Cc__JobRow *jr = cc__job_row__unpack(NULL, row->len, row->value);
	struct cell *c = p->load->cell;
	struct job *j;
	const char *why = "";

	if (jr == NULL || job_check(jr, &why) != CC_OK) {
		unreadable_add(&c->unreadable, id, p->part, row->key);
		if (jr != NULL)
			cc__job_row__free_unpacked(jr, NULL);
		return;
	}
	if (is_loading(c, id)) {
		kvlog(KVLOG_ERROR, "job_in_two_parts", "id=%s part=%s", id,
		    part_name(p->part));
		cc__job_row__free_unpacked(jr, NULL);
		return;
	}
	j = add_stored(p, id, jr);
	j->accepted_ms =
	    c->ports.now() - (c->ports.wall_now() - jr->accepted_wall_ms);
	if (j->accepted_ms > c->ports.now())
		j->accepted_ms = c->ports.now();
	account_admit_loaded(c, j);
}

/* Creates the job of a progress row that has no job row: of an ended job only
 * the outcome is stored. */
static struct job *
ended_job(struct part_load *p, const char *id, const Cc__JobProgress *progress)
{
	Cc__JobRow *jr = xcalloc(1, sizeof(*jr));

	cc__job_row__init(jr);
	jr->queue = xstrdup(progress->queue);
	jr->account = xstrdup(progress->account);
	jr->spec = xstrdup("");
	return add_stored(p, id, jr);
}

/* A job without its progress would run again what is done. */
static void
drop_unreadable(struct part_load *p, const char *id, const char *key)
{
	struct cell *c = p->load->cell;
	struct job *j;

	unreadable_add(&c->unreadable, id, p->part, key);
	HASH_FIND_STR(c->loading, id, j);
	if (j == NULL)
		return;
	HASH_DEL(c->loading, j);
	job_delete(j);
}

static void
load_progress(struct part_load *p, const char *name, const struct row *row)
{
	Cc__JobProgress *progress =
	    cc__job_progress__unpack(NULL, row->len, row->value);
	const char *slash = strchr(name, '/');
	struct cell *c = p->load->cell;
	char id[JOB_ID_LEN];
	uint32_t number;
	struct job *j;

	number = slash != NULL ? (uint32_t)strtoul(slash + 1, NULL, 10) : 0;
	str_copy(id, name,
	    slash != NULL && (size_t)(slash - name) < sizeof(id)
		? (size_t)(slash - name) + 1
		: sizeof(id));
	if (progress == NULL || unreadable_has(c->unreadable, id)) {
		drop_unreadable(p, id, row->key);
		if (progress != NULL)
			job_progress_free(progress);
		return;
	}
	HASH_FIND_STR(c->loading, id, j);
	if (j == NULL && progress->state >= JOB_COMPLETED)
		j = ended_job(p, id, progress);
	if (j == NULL || j->part != p->part) {
		kvlog(KVLOG_ERROR, "row_without_job", "part=%s key=%s",
		    part_name(p->part), row->key);
	} else {
		job_load_progress(j, progress, number);
		if (job_ended(j))
			j->ended_ms = c->ports.now();
	}
	job_progress_free(progress);
}

/* The task of a run in a closed runner's row; NULL when it needs no run. */
static struct task *
ref_task(const struct cell *c, const Cc__RunRef *ref)
{
	struct task_ref name;
	struct job *j = NULL;
	struct task *t;

	if (task_ref_parse(&name, ref->task))
		HASH_FIND_STR(c->loading, name.id, j);
	if (j != NULL && job_ended(j) && j->left_runs > 0)
		j->left_closed = true;
	if (j == NULL || job_ended(j))
		return NULL;
	t = job_task(j, &name);
	return t != NULL && !t->done ? t : NULL;
}

/* Takes a run off its task that was over before run @p newer was started. */
static void
drop_superseded(struct run *run, uint32_t newer)
{
	kvlog(KVLOG_INFO, "run_superseded", "task=%s run=%u runner=%s by=%u",
	    run->name, run->number, run->runner->info.id, newer);
	run->task->run = NULL;
	run->task->step->nheld--;
	run_delete(run);
}

/*
 * Binds a run in a closed runner's row to its task. The runner may still hold
 * the run, so the task must not be started again yet. The row of another runner
 * may be older and name an earlier run of the task. That one was over before
 * the later run was started, except for copies, of which either may be alive.
 */
static void
bind_ref(struct cell *c, struct runner *r, const Cc__RunRef *ref)
{
	struct task *t = ref_task(c, ref);
	struct run *run;

	if (t == NULL)
		return;
	t->step->occurrence->job->started |= ref->begun;
	if (ref->run > t->last_run)
		t->last_run = ref->run;
	if (t->run != NULL && t->run->number < ref->run)
		drop_superseded(t->run, ref->run);
	if (t->run != NULL)
		return;
	run = run_new(r, t, ref->task, ref->run);
	run->state = RUN_RUNNING;
	run->ordered_ms = run->confirmed_ms = c->ports.now();
	run->inherited = true;
	t->run = run;
	t->step->nheld++;
	kvlog(KVLOG_INFO, "run_inherited", "task=%s run=%u runner=%s begun=%d",
	    ref->task, ref->run, r->info.id, ref->begun);
}

static void
load_runner(struct cell *c, const Cc__RunnerRow *row)
{
	struct runner_info info = {
	    .service = "", .rack = "", .remaining_ms = -1};
	struct runner *r;
	size_t i;

	str_copy(info.id, row->id, sizeof(info.id));
	str_copy(info.addr, row->addr, sizeof(info.addr));
	info.port = (uint16_t)row->port;
	r = runner_new(&info);
	r->stored_closed = r->known = row->closed;
	/* Only the row of the leader before this one is relied on: one of an
	 * earlier leader says nothing of the leases of those between. */
	if (row->unheard_until_ms != 0 &&
	    row->unheard_generation + 1 == c->generation) {
		r->stored_unheard = true;
		r->unheard_until_ms = row->unheard_until_ms;
	}
	r->stored_open = !row->closed && !r->stored_unheard;
	runner_row_loaded(r, row);
	r->fence = c->fence;
	r->unlisted_since_ms = r->order_sent_ms = c->ports.now();
	HASH_ADD_STR(c->runners, info.id, r);
	c->runners_version++;
	cell_mark_runner_due(c, r);
	for (i = 0; i < row->n_runs; i++)
		bind_ref(c, r, row->runs[i]);
}

/* Bit of a row of runners; all of them if its number can't be read. */
static uint64_t
row_bit(const char *key)
{
	const char *number = key + strlen(RUNNERS_PREFIX);
	char *end;
	unsigned long n = strtoul(number, &end, 10);

	return end != number && *end == '\0' && n < RUNNERS_ROWS ? 1ULL << n
								 : UINT64_MAX;
}

static void
collect_runners(struct load *l, const struct row *row)
{
	Cc__RunnersRow *list =
	    cc__runners_row__unpack(NULL, row->len, row->value);

	if (list == NULL) {
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
		l->cell->unreadable_rows |= row_bit(row->key);
		return;
	}
	l->runners = xrealloc(
	    l->runners, (size_t)(l->nrunners + 1) * sizeof(*l->runners));
	l->runners[l->nrunners++] = list;
}

void
load_row(struct part_load *p, const struct row *row)
{
	if (strncmp(row->key, JOB_PREFIX, strlen(JOB_PREFIX)) == 0)
		load_job(p, row->key + strlen(JOB_PREFIX), row);
	else if (strncmp(row->key, PROGRESS_PREFIX, strlen(PROGRESS_PREFIX)) ==
	    0)
		load_progress(p, row->key + strlen(PROGRESS_PREFIX), row);
	else if (strncmp(row->key, RUNNERS_PREFIX, strlen(RUNNERS_PREFIX)) == 0)
		collect_runners(p->load, row);
}

void
load_discard_jobs(struct part_load *p)
{
	struct cell *c = p->load->cell;
	struct job *j, *tmp;

	unreadable_drop_part(&c->unreadable, p->part);
	HASH_ITER(hh, c->loading, j, tmp)
	{
		if (j->part != p->part)
			continue;
		HASH_DEL(c->loading, j);
		job_delete(j);
	}
}

void
load_apply(struct load *l)
{
	struct cell *c = l->cell;
	struct job *j, *tmp;
	size_t k;
	int i;

	for (i = 0; i < l->nrunners; i++)
		for (k = 0; k < l->runners[i]->n_runners; k++)
			load_runner(c, l->runners[i]->runners[k]);
	/* Before any job is bound to a queue. */
	for (j = c->loading; c->config != NULL && j != NULL; j = j->hh.next)
		if (!job_ended(j))
			cell_keep_queue(c->config, j);
	HASH_ITER(hh, c->loading, j, tmp)
	{
		HASH_DEL(c->loading, j);
		cell_add_job(c, j);
	}
}

void
load_free(struct load *l)
{
	while (l->nrunners > 0)
		cc__runners_row__free_unpacked(l->runners[--l->nrunners], NULL);
	free(l->runners);
	free(l);
}
