#include "job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"

static const char *const state_names[] = {
    "queued", "running", "completed", "failed", "canceled"};

static const char *const failure_names[FAILURES] = {
    "none", "attempts", "crashes"};

const char *
job_failure_name(enum job_failure f)
{
	return failure_names[f];
}

enum job_failure
job_failure_of(uint32_t number)
{
	return number < FAILURES ? (enum job_failure)number : FAILURE_NONE;
}

const char *
job_state_name(enum job_state s)
{
	return state_names[s];
}

int
job_check(const Cc__JobRow *row, const char **why)
{
	uint64_t tasks = 0;
	size_t i, k;

	*why = NULL;
	if (row->n_steps == 0 || row->n_steps > JOB_STEPS_MAX)
		*why = "steps: between 1 and 64 are allowed";
	else if (row->repeat_count > JOB_OCCURRENCES_MAX)
		*why = "repeat: at most 1000 occurrences are allowed";
	for (i = 0; *why == NULL && i < row->n_steps; i++) {
		tasks += row->steps[i]->count;
		if (row->steps[i]->count == 0)
			*why = "count: must be at least 1";
		for (k = 0; k < row->steps[i]->n_after; k++)
			if (row->steps[i]->after[k] >= i)
				*why = "after: must name earlier steps";
	}
	if (*why == NULL && tasks > JOB_TASKS_MAX)
		*why = "count: at most 20000 tasks are allowed";
	return *why == NULL ? CC_OK : CC_EINVAL;
}

struct job *
job_new(const char *id, Cc__JobRow *row)
{
	struct job *j = xcalloc(1, sizeof(*j));

	str_copy(j->id, id, sizeof(j->id));
	j->row = row;
	j->part = PART_NONE;
	j->critical_path_ms = job_critical_path_ms(row);
	TAILQ_INIT(&j->waiters);
	return j;
}

static void
step_done(struct step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		free(s->tasks[i].saved);
		task_crashes_done(&s->tasks[i].crashes);
		free(s->tasks[i].failed_runs);
	}
	free(s->tasks);
}

static void
occurrence_delete(struct occurrence *o)
{
	size_t i;

	for (i = 0; i < o->job->row->n_steps; i++)
		step_done(&o->steps[i]);
	free(o->steps);
	free(o);
}

void
job_delete(struct job *j)
{
	uint32_t i;

	for (i = 0; i < j->noccurrences; i++)
		occurrence_delete(j->occurrences[i]);
	free(j->occurrences);
	cc__job_row__free_unpacked(j->row, NULL);
	free(j);
}

uint32_t
job_repeats(const struct job *j)
{
	return j->row->repeat_count > 0 ? j->row->repeat_count : 1;
}

int64_t
job_start_wall_ms(const struct job *j, uint32_t number)
{
	if (j->row->repeat_count == 0)
		return 0;
	return j->row->start_at_ms + (int64_t)number * j->row->interval_ms;
}

static void
step_init(struct step *s, struct occurrence *o, uint32_t index)
{
	uint32_t i;

	s->occurrence = o;
	s->spec = o->job->row->steps[index];
	s->index = index;
	s->tasks = xcalloc(s->spec->count, sizeof(*s->tasks));
	for (i = 0; i < s->spec->count; i++) {
		s->tasks[i].step = s;
		s->tasks[i].index = i;
	}
}

struct occurrence *
job_add_occurrence(struct job *j)
{
	struct occurrence *o = xcalloc(1, sizeof(*o));
	uint32_t i;

	o->job = j;
	o->number = j->noccurrences;
	o->steps = xcalloc(j->row->n_steps, sizeof(*o->steps));
	for (i = 0; i < j->row->n_steps; i++)
		step_init(&o->steps[i], o, i);
	j->occurrences = xrealloc(
	    j->occurrences, (j->noccurrences + 1) * sizeof(*j->occurrences));
	j->occurrences[j->noccurrences++] = o;
	return o;
}

void
job_each_task(struct job *j, void (*fn)(struct task *t, void *arg), void *arg)
{
	uint32_t i, k;
	size_t n;

	for (i = 0; i < j->noccurrences; i++)
		for (n = 0; n < j->row->n_steps; n++) {
			struct step *s = &j->occurrences[i]->steps[n];

			for (k = 0; k < s->spec->count; k++)
				fn(&s->tasks[k], arg);
		}
}

bool
job_ended(const struct job *j)
{
	return j->state >= JOB_COMPLETED;
}

bool
step_is_ready(const struct step *s)
{
	const struct step *steps = s->occurrence->steps;
	size_t i;

	for (i = 0; i < s->spec->n_after; i++) {
		const struct step *before = &steps[s->spec->after[i]];

		if (before->ndone < before->spec->count)
			return false;
	}
	return true;
}

struct resources
step_task_size(const Cc__StepSpec *s)
{
	return (struct resources){s->cpu, s->mem_mb, s->gpu};
}

bool
step_has_waiting(const struct step *s)
{
	return s->ndone + s->nheld < s->spec->count;
}

void
task_withdraw_copy_request(struct task *t)
{
	if (!t->wants_copy)
		return;
	t->wants_copy = false;
	t->step->ncopies--;
}

static void
set_done(struct task *t)
{
	if (t->done)
		return;
	t->done = true;
	task_withdraw_copy_request(t);
	t->step->ndone++;
	if (t->run != NULL)
		t->step->nheld--;
}

void
task_set_done(struct task *t)
{
	struct step *s = t->step;
	struct occurrence *o = s->occurrence;
	bool was = s->ndone == s->spec->count;
	uint32_t i;

	if (!s->spec->gang)
		set_done(t);
	else
		for (i = 0; i < s->spec->count; i++)
			set_done(&s->tasks[i]);
	if (was || s->ndone < s->spec->count)
		return;
	if (++o->nsteps_done == o->job->row->n_steps)
		o->job->ndone++;
}

bool
task_add_failure(struct task *t, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < t->failures; i++)
		if (t->failed_runs[i] == run)
			return false;
	t->failed_runs = xrealloc(
	    t->failed_runs, (t->failures + 1) * sizeof(*t->failed_runs));
	t->failed_runs[t->failures++] = run;
	return true;
}

int64_t
job_critical_path_ms(const Cc__JobRow *row)
{
	int64_t ends[JOB_STEPS_MAX], longest = 0;
	size_t i, k;

	for (i = 0; i < row->n_steps && i < JOB_STEPS_MAX; i++) {
		int64_t begin = 0;

		for (k = 0; k < row->steps[i]->n_after; k++) {
			int64_t e = ends[row->steps[i]->after[k]];

			begin = e > begin ? e : begin;
		}
		ends[i] = begin + row->steps[i]->estimate_ms;
		longest = ends[i] > longest ? ends[i] : longest;
	}
	return longest;
}

int64_t
job_work(const Cc__JobRow *row)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < row->n_steps; i++)
		sum += (int64_t)row->steps[i]->count * row->steps[i]->cpu *
		    row->steps[i]->estimate_ms / 1000;
	return sum;
}

void
step_name(const struct step *s, char *buf, size_t len)
{
	snprintf(buf, len, "%s.%u.%u", s->occurrence->job->id,
	    s->occurrence->number, s->index);
}

void
task_name(const struct task *t, char *buf, size_t len)
{
	snprintf(buf, len, "%s.%u.%u.%u", t->step->occurrence->job->id,
	    t->step->occurrence->number, t->step->index, t->index);
}

static bool
parse_number(const char **s, char end, uint32_t *out)
{
	char *rest;
	unsigned long v;

	if (**s < '0' || **s > '9')
		return false;
	v = strtoul(*s, &rest, 10);
	if (*rest != end || v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	*s = rest + (end != '\0');
	return true;
}

bool
task_ref_parse(struct task_ref *ref, const char *name)
{
	const char *dot = strchr(name, '.');

	if (dot == NULL || (size_t)(dot - name) >= sizeof(ref->id))
		return false;
	str_copy(ref->id, name, (size_t)(dot - name) + 1);
	name = dot + 1;
	return parse_number(&name, '.', &ref->occurrence) &&
	    parse_number(&name, '.', &ref->step) &&
	    parse_number(&name, '\0', &ref->index);
}

struct task *
job_task(struct job *j, const struct task_ref *ref)
{
	struct step *s;

	if (ref->occurrence >= job_repeats(j) || ref->step >= j->row->n_steps)
		return NULL;
	if (ref->index >= j->row->steps[ref->step]->count)
		return NULL;
	while (j->noccurrences <= ref->occurrence)
		job_add_occurrence(j);
	s = &j->occurrences[ref->occurrence]->steps[ref->step];
	return &s->tasks[ref->index];
}
