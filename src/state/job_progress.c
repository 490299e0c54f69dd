/* Packs the progress of a job into rows of the store, and unpacks it. */
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "job.h"

/** Tasks in one row, which keeps it below the store's limit on a row. */
#define TASKS_PER_ROW 400
/** Most rows of a job, so that one transaction can write them all. */
#define PROGRESS_ROWS_MAX 80

/* Whether the task was never started, so that it has nothing to store. */
static bool
task_is_untouched(const struct task *t)
{
	return t->last_run == 0 && t->failures == 0 && t->saved == NULL &&
	    t->crashes.n == 0;
}

static Cc__TaskProgress *
pack_task(const struct task *t)
{
	Cc__TaskProgress *p = xcalloc(1, sizeof(*p));

	cc__task_progress__init(p);
	p->index = t->index;
	p->last_run = t->last_run;
	p->failures = t->failures;
	p->n_failed_runs = t->failures;
	p->failed_runs =
	    xmemdup(t->failed_runs, t->failures * sizeof(*t->failed_runs));
	p->n_crashed_runs = t->crashes.n;
	p->crashed_runs =
	    xmemdup(t->crashes.runs, t->crashes.n * sizeof(*t->crashes.runs));
	p->crashed_proven = t->crashes.proven;
	p->crashed_alone = t->crashes.alone;
	p->crash_age_ms = (uint32_t)t->crashes.age_ms;
	p->saved = xstrdup(t->saved != NULL ? t->saved : "");
	return p;
}

/* Packs the tasks of the step with index @p from up to @p to - 1. */
static Cc__StepProgress *
pack_step(const struct step *s, uint32_t from, uint32_t to)
{
	Cc__StepProgress *p = xcalloc(1, sizeof(*p));
	uint32_t i;

	cc__step_progress__init(p);
	p->occurrence = s->occurrence->number;
	p->step = s->index;
	p->done.len = (to + 7) / 8;
	p->done.data = xcalloc(1, p->done.len);
	p->tasks = xcalloc(to - from, sizeof(*p->tasks));
	for (i = from; i < to; i++) {
		const struct task *t = &s->tasks[i];

		if (t->done)
			p->done.data[i / 8] |= (uint8_t)(1u << (i % 8));
		else if (!task_is_untouched(t))
			p->tasks[p->n_tasks++] = pack_task(t);
	}
	return p;
}

static bool
step_is_untouched(const struct step *s, uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++)
		if (s->tasks[i].done || !task_is_untouched(&s->tasks[i]))
			return false;
	return true;
}

static uint32_t
count_tasks(const struct job *j)
{
	uint32_t n = 0;
	size_t k;

	for (k = 0; k < j->row->n_steps; k++)
		n += j->row->steps[k]->count;
	return n * j->noccurrences;
}

static uint32_t
tasks_per_row(const struct job *j)
{
	uint32_t n =
	    (count_tasks(j) + PROGRESS_ROWS_MAX - 1) / PROGRESS_ROWS_MAX;
	uint32_t most = j->row_tasks != 0 ? j->row_tasks : TASKS_PER_ROW;

	return n > most ? n : most;
}

bool
job_progress_split(struct job *j)
{
	uint32_t tasks = tasks_per_row(j);

	if (job_ended(j) || tasks == 1)
		return false;
	j->row_tasks = tasks / 2;
	return tasks_per_row(j) < tasks;
}

uint32_t
job_progress_rows(const struct job *j)
{
	uint32_t n, tasks = tasks_per_row(j);

	if (job_ended(j))
		return 1;
	n = (count_tasks(j) + tasks - 1) / tasks;
	return n > 1 ? n : 1;
}

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * Packs those tasks of the step that belong into row @p number. @p first is the
 * position of the step's first task among all tasks of the job.
 */
static void
add_step(
    Cc__JobProgress *p, const struct step *s, uint32_t first, uint32_t number)
{
	uint32_t tasks = tasks_per_row(s->occurrence->job);
	uint32_t begin = number * tasks, end = begin + tasks;
	uint32_t from = begin > first ? begin - first : 0;
	uint32_t to;

	if (first >= end)
		return;
	to = min_u32(end - first, s->spec->count);
	if (from < to && !step_is_untouched(s, from, to))
		p->steps[p->n_steps++] = pack_step(s, from, to);
}

/* Packs the outcome of a job that has ended, which is all that its row keeps.
 */
static void
pack_outcome(Cc__JobProgress *p, const struct job *j)
{
	p->queue = xstrdup(j->row->queue);
	p->account = xstrdup(j->row->account);
	if (j->state != JOB_FAILED)
		return;
	p->failure = j->failure;
	p->failed_task = xstrdup(j->failed_task);
}

static void
take_larger(int64_t *most, int64_t amount)
{
	*most = amount > *most ? amount : *most;
}

static void
count_left(struct task *t, void *arg)
{
	Cc__JobProgress *p = arg;
	struct resources size = step_task_size(t->step->spec);

	p->left_runs += (t->run != NULL) + (t->copy != NULL);
	take_larger(&p->left_cpu, size.cpu);
	take_larger(&p->left_mem_mb, size.mem_mb);
	take_larger(&p->left_gpu, size.gpu);
}

static void
pack_left(Cc__JobProgress *p, const struct job *j)
{
	if (j->account == NULL)
		return;
	p->left_runs = j->left_runs + j->unseen_runs;
	p->left_cpu = j->left_size.cpu;
	p->left_mem_mb = j->left_size.mem_mb;
	p->left_gpu = j->left_size.gpu;
	job_each_task((struct job *)(uintptr_t)j, count_left, p);
}

Cc__JobProgress *
job_progress(const struct job *j, uint32_t number)
{
	Cc__JobProgress *p = xcalloc(1, sizeof(*p));
	uint32_t i, first = 0;
	size_t k;

	cc__job_progress__init(p);
	p->state = j->state;
	p->started = j->started;
	if (job_ended(j)) {
		pack_outcome(p, j);
		pack_left(p, j);
		return p;
	}
	p->steps = xcalloc(
	    (size_t)j->noccurrences * j->row->n_steps, sizeof(*p->steps));
	for (i = 0; i < j->noccurrences; i++)
		for (k = 0; k < j->row->n_steps; k++) {
			add_step(
			    p, &j->occurrences[i]->steps[k], first, number);
			first += j->row->steps[k]->count;
		}
	return p;
}

void
job_progress_free(Cc__JobProgress *p)
{
	cc__job_progress__free_unpacked(p, NULL);
}

/* The row says of how many crashes, not of which, they are proven or alone. A
 * row of an earlier version proves none. */
static void
load_crash(struct task *t, const Cc__TaskProgress *tp, size_t i)
{
	struct task_crash crash = {.run = tp->crashed_runs[i],
	    .proven = i < tp->crashed_proven,
	    .alone = i < tp->crashed_alone,
	    .age_ms = tp->crash_age_ms};

	task_crashes_add(&t->crashes, &crash);
}

static void
load_task(struct job *j, const Cc__StepProgress *sp, const Cc__TaskProgress *tp)
{
	struct task_ref ref = {
	    .occurrence = sp->occurrence, .step = sp->step, .index = tp->index};
	struct task *t = job_task(j, &ref);
	size_t i;

	if (t == NULL)
		return;
	t->last_run = tp->last_run;
	for (i = 0; i < tp->n_failed_runs; i++)
		task_add_failure(t, tp->failed_runs[i]);
	for (i = 0; i < tp->n_crashed_runs; i++)
		load_crash(t, tp, i);
	if (tp->saved[0] != '\0')
		t->saved = xstrdup(tp->saved);
}

static void
load_step(struct job *j, const Cc__StepProgress *sp)
{
	size_t i;

	for (i = 0; i < sp->done.len * 8; i++) {
		struct task_ref ref = {.occurrence = sp->occurrence,
		    .step = sp->step,
		    .index = (uint32_t)i};
		struct task *t = job_task(j, &ref);

		if (t != NULL && sp->done.data[i / 8] & (1u << (i % 8)))
			task_set_done(t);
	}
	for (i = 0; i < sp->n_tasks; i++)
		load_task(j, sp, sp->tasks[i]);
}

static void
load_state(struct job *j, const Cc__JobProgress *p)
{
	j->state =
	    p->state <= JOB_CANCELED ? (enum job_state)p->state : JOB_QUEUED;
	j->stored_state = j->state;
	j->left_runs = p->left_runs;
	j->left_size =
	    (struct resources){p->left_cpu, p->left_mem_mb, p->left_gpu};
	if (j->state != JOB_FAILED)
		return;
	j->failure = job_failure_of(p->failure);
	str_copy(j->failed_task, p->failed_task, sizeof(j->failed_task));
}

void
job_load_progress(struct job *j, const Cc__JobProgress *p, uint32_t number)
{
	size_t i;

	if (number >= j->stored_rows)
		j->stored_rows = number + 1;
	if (number == 0) {
		load_state(j, p);
		j->started = p->started;
	}
	if (job_ended(j))
		return;
	for (i = 0; i < p->n_steps; i++)
		load_step(j, p->steps[i]);
}
