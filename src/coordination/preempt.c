#include "preempt.h"

/** A run works at least this long before it is preempted, so that its work is
 * worth the restore. */
#define RUN_BEFORE_STOP_MIN_MS 600

bool
preempt_allowed(const struct run *run, int priority, int64_t now)
{
	const Cc__StepSpec *s;

	if (run->task == NULL || run->state != RUN_RUNNING || run->is_copy)
		return false;
	s = run->task->step->spec;
	return s->checkpoints && !s->gang && !s->long_running &&
	    run->task->step->occurrence->job->priority > priority &&
	    now - run->confirmed_ms >= RUN_BEFORE_STOP_MIN_MS;
}

static int64_t
cpu_free_after_stops(const struct runner *r)
{
	const struct run *run;
	int64_t cpu = r->info.cpu - r->used_cpu;

	TAILQ_FOREACH (run, &r->runs, link)
		if (run->state == RUN_STOPPING)
			cpu += run->cpu;
	return cpu;
}

struct run *
preempt_pick(
    const struct runner *r, const Cc__StepSpec *need, int priority, int64_t now)
{
	struct run *run, *best = NULL;
	int64_t free_cpu = cpu_free_after_stops(r);

	TAILQ_FOREACH (run, &r->runs, link) {
		if (!preempt_allowed(run, priority, now))
			continue;
		if (free_cpu + run->cpu < need->cpu)
			continue;
		/* The run that started last has the least work to restore. */
		if (best == NULL || run->confirmed_ms > best->confirmed_ms)
			best = run;
	}
	return best;
}
