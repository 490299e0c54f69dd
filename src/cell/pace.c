/* Throttles best-effort work that shares a runner with latency-sensitive work,
 * by the tail latencies in the runner's lists. */
#include <stdlib.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/pacing.h"
#include "cell_internal.h"

/** A pace order under way. */
struct pace_order {
	struct cell *cell;
	uint64_t fence;
	char runner[RUNNER_ID_LEN];
	char task[TASK_NAME_LEN];
	uint32_t number;
	int percent;
};

static bool
has_tail_target(const struct run *run)
{
	return run->task != NULL && run->task->step->spec->tail_target_ms > 0;
}

static bool
is_best_effort(const struct run *run)
{
	return run->task != NULL && run->task->step->spec->best_effort &&
	    run->state == RUN_RUNNING;
}

bool
runner_is_mixed(const struct runner *r)
{
	const struct run *run;
	bool sensitive = false, best_effort = false;

	TAILQ_FOREACH (run, &r->runs, link) {
		sensitive |= has_tail_target(run);
		best_effort |= is_best_effort(run);
	}
	return sensitive && best_effort;
}

/* Highest tail latency on the runner, as a share of its task's target. */
static double
worst_share(const struct runner *r)
{
	const struct run *run;
	double worst = 0, share;

	TAILQ_FOREACH (run, &r->runs, link) {
		if (!has_tail_target(run))
			continue;
		share = pacing_tail_share(
		    run->load, run->task->step->spec->tail_target_ms);
		worst = share > worst ? share : worst;
	}
	return worst;
}

static void
on_paced(const struct order_answer *a, void *arg)
{
	struct pace_order *o = arg;
	struct runner *r;
	struct run *run = NULL;

	if (o->cell->phase == CELL_SERVING && o->cell->fence == o->fence &&
	    (r = cell_runner(o->cell, o->runner)) != NULL)
		run = runner_run(r, o->task, o->number);
	if (run != NULL && a->result == ORDER_OK)
		run->percent = o->percent;
	free(o);
}

static void
send_pace(struct cell *c, struct run *run, int percent)
{
	struct runner *r = run->runner;
	struct target t = {
	    .addr = r->info.addr, .port = r->info.port, .id = r->info.id};
	struct pace_order *o = xcalloc(1, sizeof(*o));

	o->cell = c;
	o->fence = c->fence;
	o->number = run->number;
	o->percent = percent;
	str_copy(o->runner, r->info.id, sizeof(o->runner));
	str_copy(o->task, run->name, sizeof(o->task));
	c->ports.runners->ops->pace(c->ports.runners, &t, run->name,
	    run->number, percent, r->fence, on_paced, o);
}

void
cell_pace(struct cell *c, struct runner *r)
{
	int64_t now = c->ports.now();
	double share;
	struct run *run;
	int next;

	if (!runner_is_mixed(r) && r->pace_changed_ms == 0)
		return;
	share = worst_share(r);
	next = pacing_next(r->pace_percent, share, now - r->pace_changed_ms);
	if (next != r->pace_percent) {
		kvlog(KVLOG_INFO, "pace",
		    "runner=%s percent=%d before=%d tail_share=%.2f",
		    r->info.id, next, r->pace_percent, share);
		r->pace_percent = next;
		r->pace_changed_ms = now;
	}
	TAILQ_FOREACH (run, &r->runs, link)
		if (is_best_effort(run) && run->percent != r->pace_percent)
			send_pace(c, run, r->pace_percent);
	if (r->pace_percent == 100)
		r->pace_changed_ms = 0;
}
