/* Draining: stops work on runners that are about to leave. */
#include "cell_internal.h"

/** Time for a stop, on top of its grace period, and for the start elsewhere
 * before the runner leaves. */
#define LEAVE_MARGIN_MS 900

static int64_t
time_left_ms(const struct runner *r, int64_t now)
{
	if (r->info.remaining_ms < 0)
		return INT64_MAX;
	return r->info.remaining_ms - (now - r->drain_since_ms);
}

/* Whether to stop the run so that its task moves. Long-running tasks move at
 * once; tasks with checkpoints as late as possible; others aren't stopped. */
static bool
should_move(const struct cell *c, const struct run *run, int64_t now)
{
	const Cc__StepSpec *s;

	if (run->task == NULL || run->state != RUN_RUNNING)
		return false;
	s = run->task->step->spec;
	if (s->long_running)
		return true;
	return s->checkpoints &&
	    time_left_ms(run->runner, now) <
	    LEAVE_MARGIN_MS + c->terms.stop_grace_ms;
}

void
cell_drain(struct cell *c)
{
	int64_t now = c->ports.now();
	struct runner *r;
	struct run *run;

	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (!r->info.draining)
			continue;
		TAILQ_FOREACH (run, &r->runs, link)
			if (should_move(c, run, now))
				cell_stop(c, run, "drain");
	}
}
