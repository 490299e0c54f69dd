#include "start_log.h"

#include "../base/kvlog.h"

/** The run before, as the line names it. */
struct former {
	const char *how;
	const char *by;
	int64_t ms_ago; /**< time since its end; -1: this leader didn't see it
			 */
};

static struct former
former_run(const struct run *run, uint32_t last_run, int64_t now)
{
	const struct task_end *e = &run->task->last_end;

	if (run->is_copy)
		return (struct former){"active", "none", -1};
	if (last_run == 0)
		return (struct former){"none", "none", -1};
	if (e->run < last_run)
		return (struct former){"unseen", "none", -1};
	return (struct former){
	    run_end_name(e->how), end_cause_name(e->cause), now - e->at_ms};
}

static void
count_start(struct cell *c, const struct run *run)
{
	const struct task_end *e = &run->task->last_end;
	const struct job *j = run->task->step->occurrence->job;

	c->counters.starts++;
	c->counters.copies += run->is_copy;
	c->counters.starts_after_lapse += !run->is_copy && e->run != 0 &&
	    e->how == END_LAPSED && e->cause != CAUSE_LISTED;
	c->counters.starts_unheard += j->inherited && c->unheard_runners > 0;
}

void
start_log(struct cell *c, const struct run *run, uint32_t last_run)
{
	const struct step *s = run->task->step;
	const struct job *j = s->occurrence->job;
	const struct runner *r = run->runner;
	int64_t now = run->ordered_ms;
	struct former f = former_run(run, last_run, now);

	count_start(c, run);
	kvlog(KVLOG_INFO, "placed",
	    "task=%s run=%u runner=%s copy=%d ready_age_ms=%lld due_in_ms=%lld "
	    "speed=%.2f fence=%llu generation=%u order_fence=%llu "
	    "renewed_ms_ago=%lld led_ms=%lld heard_ms_ago=%lld prev_run=%u "
	    "prev_how=%s prev_by=%s prev_ms_ago=%lld inherited=%d unheard=%d",
	    run->name, run->number, r->info.id, run->is_copy,
	    (long long)(now - s->ready_ms), (long long)(j->due_ms - now),
	    r->speed, (unsigned long long)c->fence, c->generation,
	    (unsigned long long)r->fence, (long long)(now - c->renewed_ms),
	    (long long)(now - c->lead_since_ms), runner_heard_ms_ago(r, now),
	    last_run, f.how, f.by, (long long)f.ms_ago, j->inherited,
	    c->unheard_runners);
}
