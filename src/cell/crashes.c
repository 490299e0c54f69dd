#include "crashes.h"

#include "../base/kvlog.h"

/** Pause before a task whose runner crashed is started again. */
#define CRASHED_PAUSE_MS 50

static void
give_up(struct cell *c, struct task *t, const char *name)
{
	struct job *j = t->step->occurrence->job;

	kvlog(KVLOG_WARN, "task_given_up", "task=%s crashes=%u alone=%u", name,
	    t->crashes.n, t->crashes.alone);
	c->counters.given_up++;
	cell_end_job(c, j, JOB_FAILED);
}

static void
note_run(struct cell *c, struct run *run, bool alone, int64_t seen_ms)
{
	struct task *t = run->task;
	struct job *j;

	if (t == NULL || t->done)
		return;
	j = t->step->occurrence->job;
	if (job_ended(j) ||
	    !task_crashes_add(
		&t->crashes, run->number, alone, seen_ms - run->ordered_ms))
		return;
	t->retry_ms = c->ports.now() + CRASHED_PAUSE_MS;
	kvlog(KVLOG_INFO, "task_crashed_runner",
	    "task=%s run=%u runner=%s crashes=%u alone=%d age_ms=%lld",
	    run->name, run->number, run->runner->info.id, t->crashes.n, alone,
	    (long long)(seen_ms - run->ordered_ms));
	cell_mark_dirty(c, j);
	if (task_crashes_exceeded(&t->crashes))
		give_up(c, t, run->name);
}

void
crashes_note(struct cell *c, struct runner *r)
{
	int64_t seen = r->last_hold_answer_ms;
	bool alone = r->nruns == 1;
	struct run *run;

	if (r->info.draining)
		return;
	c->counters.runner_crashes++;
	TAILQ_FOREACH (run, &r->runs, link)
		note_run(c, run, alone,
		    seen > run->ordered_ms ? seen : run->ordered_ms);
}

void
crashes_note_alive(struct cell *c, struct run *run)
{
	struct task *t = run->task;
	int64_t age = c->ports.now() - run->ordered_ms;

	if (t == NULL || !task_crashes_cleared_by(&t->crashes, age))
		return;
	kvlog(KVLOG_INFO, "task_cleared", "task=%s run=%u crashes=%u",
	    run->name, run->number, t->crashes.n);
	task_crashes_clear(&t->crashes);
	cell_mark_dirty(c, t->step->occurrence->job);
}
