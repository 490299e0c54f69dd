/* The progress of a job as a row of the store, and back. */
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "job.h"

static bool
task_is_plain(const struct task *t)
{
	return t->last_run == 0 && t->failures == 0 && t->saved == NULL;
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
	p->saved = xstrdup(t->saved != NULL ? t->saved : "");
	return p;
}

static Cc__StepProgress *
pack_step(const struct step *s)
{
	Cc__StepProgress *p = xcalloc(1, sizeof(*p));
	uint32_t i;

	cc__step_progress__init(p);
	p->occurrence = s->occurrence->number;
	p->step = s->index;
	p->done.len = (s->spec->count + 7) / 8;
	p->done.data = xcalloc(1, p->done.len);
	p->tasks = xcalloc(s->spec->count, sizeof(*p->tasks));
	for (i = 0; i < s->spec->count; i++) {
		const struct task *t = &s->tasks[i];

		if (t->done)
			p->done.data[i / 8] |= (uint8_t)(1u << (i % 8));
		else if (!task_is_plain(t))
			p->tasks[p->n_tasks++] = pack_task(t);
	}
	return p;
}

static bool
step_is_plain(const struct step *s)
{
	uint32_t i;

	if (s->ndone > 0)
		return false;
	for (i = 0; i < s->spec->count; i++)
		if (!task_is_plain(&s->tasks[i]))
			return false;
	return true;
}

Cc__JobProgress *
job_progress(const struct job *j)
{
	Cc__JobProgress *p = xcalloc(1, sizeof(*p));
	size_t k;
	uint32_t i;

	cc__job_progress__init(p);
	p->state = j->state;
	p->started = j->started;
	if (job_ended(j)) {
		p->queue = xstrdup(j->row->queue);
		return p;
	}
	p->steps = xcalloc(
	    (size_t)j->noccurrences * j->row->n_steps, sizeof(*p->steps));
	for (i = 0; i < j->noccurrences; i++)
		for (k = 0; k < j->row->n_steps; k++) {
			const struct step *s = &j->occurrences[i]->steps[k];

			if (!step_is_plain(s))
				p->steps[p->n_steps++] = pack_step(s);
		}
	return p;
}

void
job_progress_free(Cc__JobProgress *p)
{
	cc__job_progress__free_unpacked(p, NULL);
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

void
job_load_progress(struct job *j, const Cc__JobProgress *p)
{
	size_t i;

	j->state =
	    p->state <= JOB_CANCELED ? (enum job_state)p->state : JOB_QUEUED;
	j->stored_state = j->state;
	j->started = p->started;
	if (job_ended(j))
		return;
	for (i = 0; i < p->n_steps; i++)
		load_step(j, p->steps[i]);
}
