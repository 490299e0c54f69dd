/* Applies the end of a run to its task, step, job and runner. */
#include <stdlib.h>
#include <string.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "cell_internal.h"
#include "near_room.h"

/** Weight of the newest end in the moving average of a runner's failure rate.
 */
#define FAIL_WEIGHT 0.2
/** Pause before a failed task is started again. */
#define FAILED_PAUSE_MS 50

void
task_set_saved(struct task *t, const char *saved)
{
	struct task *checkpoint_task =
	    t->step->spec->gang ? &t->step->tasks[0] : t;

	if (saved[0] == '\0')
		return;
	if (checkpoint_task->saved != NULL &&
	    strcmp(checkpoint_task->saved, saved) == 0)
		return;
	free(checkpoint_task->saved);
	checkpoint_task->saved = xstrdup(saved);
}

static void
stop_if_running(struct cell *c, struct run *run, const char *why)
{
	if (run != NULL)
		cell_stop(c, run, why);
}

/* The members of a gang run together or not at all, so the end of one stops the
 * others. */
static void
stop_gang(struct cell *c, struct step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++)
		stop_if_running(c, s->tasks[i].run, "gang");
}

static void
apply_done(struct cell *c, struct task *t)
{
	struct step *s = t->step;
	struct occurrence *o = s->occurrence;

	task_set_done(t);
	stop_if_running(c, t->run, "copy-done");
	stop_if_running(c, t->copy, "copy-done");
	cell_mark_dirty(c, o->job);
	if (s->ndone < s->spec->count)
		return;
	if (o->job->ndone == job_repeats(o->job))
		cell_end_job(c, o->job, JOB_COMPLETED);
	else
		cell_list_steps(c, o);
}

/*
 * Counts a failure, once for each run: a new leader receives ends again that
 * the previous one had stored but not yet acknowledged to the runner.
 */
static void
apply_failed(struct cell *c, struct task *t, uint32_t number)
{
	struct step *s = t->step;
	struct task *counter = s->spec->gang ? &s->tasks[0] : t;
	struct job *j = s->occurrence->job;

	t->retry_ms = c->ports.now() + FAILED_PAUSE_MS;
	if (s->spec->long_running || !task_add_failure(counter, number))
		return;
	cell_mark_dirty(c, j);
	if (counter->failures >= j->max_attempts && j->max_attempts > 0)
		cell_fail_job(c, counter, FAILURE_ATTEMPTS);
}

static void
apply_end(struct cell *c, struct task *t, uint32_t number, enum run_end how)
{
	struct step *s = t->step;
	struct job *j = s->occurrence->job;

	if (job_ended(j) || t->done)
		return;
	if (how == END_DONE && !s->spec->long_running)
		apply_done(c, t);
	else if (how == END_FAILED)
		apply_failed(c, t, number);
	else if (t->saved != NULL)
		cell_mark_dirty(c, j);
	if (job_ended(j) || t->done)
		return;
	if (s->spec->gang)
		stop_gang(c, s);
	if (s->ready_ms != 0)
		cell_list_step(c, s);
}

/* Takes the run off its task. A copy takes the place of an ended run. */
static void
detach(struct run *run)
{
	struct task *t = run->task;

	if (t->copy == run) {
		t->copy = NULL;
		return;
	}
	if (t->run != run)
		return;
	task_withdraw_copy_request(t);
	t->run = t->copy;
	t->copy = NULL;
	if (t->run != NULL)
		t->run->is_copy = false;
	else if (!t->done)
		t->step->nheld--;
}

static void
update_failure_rate(struct runner *r, bool failed)
{
	r->failure_rate +=
	    ((failed ? 1.0 : 0.0) - r->failure_rate) * FAIL_WEIGHT;
}

/* Updates the runner's failure rate and its number of failures since the last
 * success, and backs off from a runner that fails tasks of several jobs in a
 * row. */
static void
update_runner_health(struct cell *c, struct run *run, enum run_end how)
{
	struct runner *r = run->runner;
	const char *id;

	if (how == END_DONE || how == END_FAILED)
		update_failure_rate(r, how == END_FAILED);
	if (how == END_DONE) {
		r->failures = 0;
		r->avoid_ms = 0;
		r->failed_job[0] = '\0';
	}
	if (how != END_FAILED || run->task->step->spec->long_running)
		return;
	id = run->task->step->occurrence->job->id;
	if (strcmp(r->failed_job, id) == 0)
		return;
	str_copy(r->failed_job, id, sizeof(r->failed_job));
	r->failures++;
	if (r->failures >= 2)
		cell_avoid_runner(c, r);
}

/* Updates the runner's average speed: estimated by measured run time. */
static void
update_speed(struct cell *c, struct run *run, enum run_end how)
{
	const Cc__StepSpec *s = run->task->step->spec;
	struct runner *r = run->runner;
	int64_t took = c->ports.now() - run->ordered_ms;
	double v;

	if (how != END_DONE || s->estimate_ms == 0 || took <= 0 ||
	    run->task->saved != NULL)
		return;
	v = (double)s->estimate_ms / (double)took;
	v = v < 0.2 ? 0.2 : v > 3.0 ? 3.0 : v;
	near_room_run_done(c, run, took);
	r->samples++;
	r->speed += (v - r->speed) * (r->samples < 8 ? 0.25 : 0.1);
}

/* Counts and logs the end, and keeps it for the log of the task's next start.
 */
static void
note_end(struct cell *c, const struct run *run, enum run_end how)
{
	const struct runner *r = run->runner;
	int64_t now = c->ports.now();

	c->counters.ends[how]++;
	c->counters.lost[run->cause] += how == END_LOST;
	kvlog(how == END_DONE ? KVLOG_DEBUG : KVLOG_INFO, "run_ended",
	    "task=%s run=%u how=%s by=%s runner=%s took_ms=%lld "
	    "heard_ms_ago=%lld silent_ms=%lld lease_left_ms=%lld "
	    "renewed_ms_ago=%lld fence=%llu",
	    run->name, run->number, run_end_name(how),
	    end_cause_name(run->cause), r->info.id,
	    (long long)(now - run->ordered_ms), runner_heard_ms_ago(r, now),
	    runner_silent_ms(r, now), runner_lease_left_ms(r, now),
	    (long long)(now - c->renewed_ms), (unsigned long long)c->fence);
	if (run->task != NULL)
		run->task->last_end = (struct task_end){.run = run->number,
		    .how = how,
		    .cause = run->cause,
		    .at_ms = now};
}

void
cell_run_lost(struct cell *c, struct run *run, enum end_cause cause)
{
	run->cause = cause;
	cell_run_ended(c, run, END_LOST, "");
}

void
cell_run_ended(
    struct cell *c, struct run *run, enum run_end how, const char *saved)
{
	struct task *t = run->task;
	uint32_t number = run->number;

	note_end(c, run, how);
	if (t == NULL) {
		run_delete(run);
		return;
	}
	update_runner_health(c, run, how);
	update_speed(c, run, how);
	task_set_saved(t, saved);
	if (how == END_FAILED)
		str_copy(t->avoid, run->runner->info.id, sizeof(t->avoid));
	detach(run);
	run_delete(run);
	if (t->run == NULL || how == END_DONE)
		apply_end(c, t, number, how);
	else if (how == END_FAILED && !t->done &&
	    !job_ended(t->step->occurrence->job))
		apply_failed(c, t, number);
}

static void
note_unknown_end(const struct cell *c, const struct runner *r, struct task *t,
    const struct end_seen *e)
{
	const struct run *other = t->run;

	kvlog(KVLOG_INFO, "run_ended_before",
	    "task=%s run=%u how=%s runner=%s born_ms=%lld end=%llu "
	    "counted_crash=%d done=%d other_run=%u "
	    "other_runner=%s led_ms=%lld fence=%llu",
	    e->task, e->run, run_end_name(e->how), r->info.id,
	    (long long)r->info.born_ms, (unsigned long long)e->number,
	    task_crashes_has(&t->crashes, e->run), t->done,
	    other != NULL ? other->number : 0,
	    other != NULL ? other->runner->info.id : "",
	    (long long)(c->ports.now() - c->lead_since_ms),
	    (unsigned long long)c->fence);
	if (e->run >= t->last_end.run)
		t->last_end = (struct task_end){
		    .run = e->run, .how = e->how, .at_ms = c->ports.now()};
}

void
cell_unknown_run_ended(
    struct cell *c, const struct runner *r, const struct end_seen *e)
{
	struct task_ref ref;
	struct job *j;
	struct task *t;

	if (!task_ref_parse(&ref, e->task))
		return;
	j = cell_job(c, ref.id);
	if (j == NULL || (t = cell_job_task(c, j, &ref)) == NULL)
		return;
	note_unknown_end(c, r, t, e);
	if (e->run > t->last_run)
		t->last_run = e->run;
	j->started = true;
	if (job_ended(j) || t->done)
		return;
	task_set_saved(t, e->saved);
	if (e->how == END_DONE && !t->step->spec->long_running)
		apply_done(c, t);
	else if (e->how == END_FAILED)
		apply_failed(c, t, e->run);
}
