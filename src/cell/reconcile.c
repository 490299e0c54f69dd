/*
 * Reconciles the cell's state with the lists of runs and ends that a runner
 * returns: applies ends, adopts runs that an earlier leader started, and
 * settles orders whose answer was lost.
 */
#include <string.h>

#include "../base/kvlog.h"
#include "../state/account.h"
#include "cell_internal.h"
#include "crashes.h"

/* Logs a run that a runner lists, with the task's run that this leader knew of
 * until then. */
static void
log_adopted_run(const struct cell *c, const struct run *run)
{
	const struct task *t = run->task;
	const struct run *other = t != NULL ? t->run : NULL;

	kvlog(KVLOG_INFO, "run_adopted",
	    "task=%s run=%u runner=%s known=%d done=%d other_run=%u "
	    "other_runner=%s adopting=%d led_ms=%lld fence=%llu",
	    run->name, run->number, run->runner->info.id, t != NULL,
	    t != NULL && t->done, other != NULL ? other->number : 0,
	    other != NULL ? other->runner->info.id : "", c->adopting,
	    (long long)(c->ports.now() - c->lead_since_ms),
	    (unsigned long long)c->fence);
}

/* Charges a run of a job that ended under an earlier leader to its account
 * until the run is over. */
static void
charge_left_run(struct run *run, struct job *j)
{
	run->account = j->account;
	run->charged = j->left_size;
	account_hold(run->account, &run->charged);
	if (j->left_runs > 0)
		j->left_runs--;
}

/* Adds a run that the runner lists and this leader doesn't know: binds it to
 * its task, or stops it when the task doesn't need it. */
static void
adopt_run(struct cell *c, struct runner *r, const struct run_seen *seen)
{
	struct task_ref ref;
	struct job *j = NULL;
	struct task *t = NULL;
	struct run *run;

	if (task_ref_parse(&ref, seen->task))
		j = cell_job(c, ref.id);
	if (j != NULL)
		t = cell_job_task(c, j, &ref);
	run = run_new(r, t, seen->task, seen->run);
	run->state = RUN_RUNNING;
	run->ordered_ms = run->confirmed_ms = c->ports.now();
	run->inherited = true;
	log_adopted_run(c, run);
	if (t == NULL) {
		if (j != NULL && job_ended(j))
			charge_left_run(run, j);
		cell_stop(c, run, "unknown");
		return;
	}
	if (seen->run > t->last_run)
		t->last_run = seen->run;
	j->started = true;
	/* A task's next run is started only once the previous one is over. */
	if (t->run != NULL && t->run->number < seen->run &&
	    !t->run->runner->adopted && !t->step->spec->speculative)
		cell_run_lost(c, t->run, CAUSE_SUPERSEDED);
	if (t->run == NULL) {
		t->run = run;
		if (!t->done)
			t->step->nheld++;
	} else if (t->copy == NULL) {
		t->copy = run;
		run->is_copy = true;
	} else {
		run->task = NULL;
	}
	if (t->done || job_ended(j) || run->task == NULL ||
	    (run->is_copy && !t->step->spec->speculative))
		cell_stop(c, run, "not-needed");
}

static void
update_run(struct cell *c, struct runner *r, const struct run_seen *seen)
{
	struct run *run = runner_run(r, seen->task, seen->run);
	int64_t now = c->ports.now();

	if (run == NULL) {
		adopt_run(c, r, seen);
		return;
	}
	run->missed_lists = 0;
	run->start_unanswered_ms = 0;
	run->load = seen->load;
	if (run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		if (run->task != NULL)
			run->task->step->occurrence->job->started = true;
	}
	if (run->confirmed_ms == 0)
		run->confirmed_ms = now;
	if (run->task != NULL)
		task_set_saved(run->task, seen->saved);
	crashes_note_alive(c, run);
}

static bool
list_has_run(const struct run *run, const struct hold_result *h)
{
	int i;

	for (i = 0; i < h->nruns; i++)
		if (h->runs[i].run == run->number &&
		    strcmp(h->runs[i].task, run->name) == 0)
			return true;
	return false;
}

/*
 * Settles a run that the runner's lists lack: it has ended, or was stopped
 * before it began, or its start is unresolved. The lists were requested at
 * @p sent_ms.
 */
static void
check_missing_run(struct cell *c, struct run *run, int64_t sent_ms)
{
	if (run->stop_accepted_ms != 0 && run->stop_accepted_ms < sent_ms) {
		if (run->state == RUN_UNSURE ||
		    ++run->missed_lists >= LIST_MISSES_MAX) {
			run->cause = CAUSE_STOP_ACCEPTED;
			cell_run_ended(c, run, END_STOPPED, "");
		}
	} else if (run->state == RUN_RUNNING && run->confirmed_ms != 0 &&
	    run->confirmed_ms < sent_ms) {
		if (++run->missed_lists >= LIST_MISSES_MAX)
			cell_run_lost(c, run,
			    run->restarted ? CAUSE_RESTARTED
					   : CAUSE_MISSED_LISTS);
	} else if (run->start_unanswered_ms != 0 &&
	    run->start_unanswered_ms <= sent_ms) {
		cell_abort_start(c, run);
	}
}

static void
check_missing_runs(struct cell *c, struct runner *r,
    const struct hold_result *h, int64_t sent_ms)
{
	struct run *run, *next;

	for (run = TAILQ_FIRST(&r->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, link);
		if (!list_has_run(run, h))
			check_missing_run(c, run, sent_ms);
	}
}

static void
apply_ends(struct cell *c, struct runner *r, const struct hold_result *h)
{
	struct run *run;
	int i;

	for (i = 0; i < h->nends; i++) {
		const struct end_seen *e = &h->ends[i];

		if (e->number <= r->last_end)
			continue;
		r->last_end = e->number;
		run = runner_run(r, e->task, e->run);
		if (run != NULL)
			cell_run_ended(c, run, e->how, e->saved);
		else
			cell_unknown_run_ended(c, r, e);
	}
}

static void
mark_adopted(struct cell *c, struct runner *r)
{
	if (r->adopted)
		return;
	r->adopted = true;
	r->known = true;
	kvlog(KVLOG_INFO, "runner_adopted",
	    "runner=%s runs=%d ends=%llu born_ms=%lld clock_ms=%lld "
	    "fence=%llu order_fence=%llu led_ms=%lld",
	    r->info.id, r->nruns, (unsigned long long)r->last_end,
	    (long long)r->info.born_ms, (long long)r->clock_ms,
	    (unsigned long long)c->fence, (unsigned long long)r->fence,
	    (long long)(c->ports.now() - c->lead_since_ms));
	cell_check_adopted(c);
}

void
cell_apply_lists(struct cell *c, struct runner *r, const struct hold_result *h,
    int64_t sent_ms, bool late)
{
	int64_t now = c->ports.now();
	int i;

	if (h->born_ms != 0 && r->info.born_ms != 0 &&
	    h->born_ms != r->info.born_ms)
		cell_runner_reset(c, r,
		    h->born_ms > r->info.born_ms ? CRASH_SHOWN_BORN
						 : CRASH_SHOWN_EARLIER);
	if (h->born_ms != 0)
		r->info.born_ms = h->born_ms;
	r->shows_born = h->born_ms != 0;
	/* A late reading that is behind the newest one shows no restart. */
	if (!late || h->clock_ms > r->clock_ms)
		cell_update_clock(c, r, h->clock_ms);
	if (r->silent_since_ms != 0)
		kvlog(KVLOG_INFO, "runner_back", "runner=%s silent_ms=%lld",
		    r->info.id, (long long)(now - r->silent_since_ms));
	crashes_note_answer(c, r);
	r->last_hold_answer_ms = now;
	r->stored_closed = false;
	r->silent_since_ms = 0;
	r->hold_errors = 0;
	r->renewal_unanswered = false;
	apply_ends(c, r, h);
	/* Two holds may be under way, so these lists may be outdated. */
	if (h->clock_ms < r->lists_clock_ms)
		return;
	r->lists_clock_ms = h->clock_ms;
	for (i = 0; i < h->nruns; i++)
		update_run(c, r, &h->runs[i]);
	check_missing_runs(c, r, h, sent_ms);
	mark_adopted(c, r);
	cell_pace(c, r);
}
