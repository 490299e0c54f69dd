/* Sends start and stop orders to runners and handles their answers. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "account_cap.h"
#include "cell_internal.h"
#include "deposed.h"
#include "lead_lease.h"
#include "start_log.h"

/** Attempts of a start that arrived too late. */
#define START_ATTEMPTS_MAX 3
/** Attempts of a start that wasn't sent; the second is on a new connection. */
#define START_CONNECTS_MAX 2
/** Pause before a stop is repeated to a runner that doesn't answer. */
#define STOP_RETRY_MS 400
/** Time without new work for a runner that left an order unanswered. */
#define SUSPECT_MS 300
/** Most by which answers of a runner may be reordered. A clock that goes back
 * further means a restart. */
#define CLOCK_SLACK_MS 1000
/** First time without new work for a runner that refuses starts or fails tasks;
 * it doubles up to AVOID_MAX_MS. */
#define AVOID_FIRST_MS 500
#define AVOID_MAX_MS 4000

/** An order under way. Its run may be deleted before the answer, so it is
 * looked up by name. */
struct order {
	struct cell *cell;
	uint64_t fence;	      /**< the leader's fencing token */
	uint64_t order_fence; /**< fencing token of the order */
	int64_t born_ms;      /**< incarnation that it was meant for */
	char runner[RUNNER_ID_LEN];
	char task[TASK_NAME_LEN];
	uint32_t number;
};

static const char *const result_names[] = {"ok", "fenced", "old", "late",
    "no-room", "no-ticket", "unhealthy", "invalid", "other-incarnation",
    "not-sent", "unknown", "restarted"};

static struct order *
order_new(struct cell *c, const struct run *run)
{
	struct order *o = xcalloc(1, sizeof(*o));

	o->cell = c;
	o->fence = c->fence;
	o->order_fence = run->runner->fence;
	o->born_ms = run->runner->info.born_ms;
	o->number = run->number;
	str_copy(o->runner, run->runner->info.id, sizeof(o->runner));
	str_copy(o->task, run->name, sizeof(o->task));
	return o;
}

/* The run of the order; NULL when it or the leadership is over. */
static struct run *
order_run(const struct order *o)
{
	struct runner *r;

	if (o->cell->phase == CELL_IDLE || o->cell->fence != o->fence)
		return NULL;
	r = cell_runner(o->cell, o->runner);
	return r != NULL ? runner_run(r, o->task, o->number) : NULL;
}

/* Takes leases into account that others granted before the first reading of
 * the clock: leaders before, or orders for the previous incarnation, which may
 * have extended leases of the new one. */
static void
count_earlier_leases(const struct cell *c, struct runner *r, int64_t clock_ms)
{
	int64_t ms =
	    r->nruns > 0 ? c->terms.max_hold_ms : c->terms.lead_lease_ms;

	if (r->lease_ms < clock_ms + ms)
		r->lease_ms = clock_ms + ms;
}

void
cell_update_clock(struct cell *c, struct runner *r, int64_t clock_ms)
{
	int64_t now = c->ports.now();

	if (clock_ms <= 0)
		return;
	if (r->clock_at_ms != 0 && clock_ms < r->clock_ms &&
	    clock_ms + CLOCK_SLACK_MS < runner_clock_min(r, now))
		cell_runner_reset(c, r, CRASH_CLOCK_BACK);
	if (clock_ms <= r->clock_ms)
		return;
	if (r->clock_at_ms == 0)
		count_earlier_leases(c, r, clock_ms);
	r->clock_ms = clock_ms;
	r->clock_at_ms = now;
}

/* Takes the clock from an answer, unless the runner has another incarnation
 * than the order was meant for by now. */
static void
take_clock(const struct order *o, struct runner *r, int64_t clock_ms)
{
	if (o->born_ms == r->info.born_ms)
		cell_update_clock(o->cell, r, clock_ms);
}

static void
report_deposed(const struct order *o)
{
	cell_deposed(o->cell, DEPOSED_BY_RUNNER,
	    "runner=%s task=%s run=%u order_fence=%llu", o->runner, o->task,
	    o->number, (unsigned long long)o->order_fence);
}

/* Sends the runner no new work for a while after an unanswered order. */
static void
suspect_runner(struct cell *c, struct runner *r)
{
	int64_t until = c->ports.now() + SUSPECT_MS;

	if (r->avoid_until_ms < until)
		r->avoid_until_ms = until;
}

/* Whether a fenced order shows a newer leader. It doesn't when this leader has
 * raised the runner's fencing token since the order. */
static bool
is_deposed(const struct order *o)
{
	const struct runner *r = cell_runner(o->cell, o->runner);

	return r == NULL || o->order_fence >= r->fence;
}

static void on_started(const struct order_answer *a, void *arg);

static void
send_start(struct cell *c, struct run *run)
{
	struct runner *r = run->runner;
	const struct step *s = run->task->step;
	const struct task *checkpoint_task =
	    s->spec->gang ? &s->tasks[0] : run->task;
	struct target t = runner_target(r);
	int64_t now = c->ports.now();
	struct start_order o = {
	    .task = run->name,
	    .run = run->number,
	    .spec = s->occurrence->job->row->spec,
	    .until_ms = lead_lease_start_end(c, r),
	    .fence = r->fence,
	    .saved =
		checkpoint_task->saved != NULL ? checkpoint_task->saved : "",
	    .ticket = run->ticket != NULL ? run->ticket : "",
	    .born_ms = runner_bound_born_ms(r),
	};

	run->until_ms = o.until_ms;
	r->order_sent_ms = now;
	if (o.until_ms > r->lease_ms)
		r->lease_ms = o.until_ms;
	c->ports.runners->ops->start(c->ports.runners, &t, &o, run->orders > 0,
	    on_started, order_new(c, run));
	run->orders++;
	run->open_orders++;
}

static void
avoid_runner(struct cell *c, struct runner *r)
{
	r->avoid_ms = r->avoid_ms == 0 ? AVOID_FIRST_MS : r->avoid_ms * 2;
	if (r->avoid_ms > AVOID_MAX_MS)
		r->avoid_ms = AVOID_MAX_MS;
	r->avoid_until_ms = c->ports.now() + r->avoid_ms;
	kvlog(KVLOG_INFO, "runner_avoided", "runner=%s failures=%d for_ms=%lld",
	    r->info.id, r->failures, (long long)r->avoid_ms);
}

void
cell_avoid_runner(struct cell *c, struct runner *r)
{
	avoid_runner(c, r);
}

static void
started_ok(struct cell *c, struct run *run)
{
	struct job *j = run->task->step->occurrence->job;
	int64_t now = c->ports.now();

	if (run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		run->confirmed_ms = now;
	}
	if (!j->started) {
		j->started = true;
		if (j->account != NULL && j->row->repeat_count == 0)
			log2_hist_add(&j->account->first_start_ms,
			    now > j->accepted_ms
				? (uint64_t)(now - j->accepted_ms)
				: 0);
		kvlog(KVLOG_INFO, "job_started", "id=%s wait_ms=%lld", j->id,
		    (long long)(now - j->accepted_ms));
	}
	cell_hold(c, run->runner);
}

void
cell_abort_start(struct cell *c, struct run *run)
{
	run->start_unanswered_ms = 0;
	run->state = RUN_UNSURE;
	cell_stop(c, run, "start-unsure");
}

/* A start without an answer: the runner's list of runs shows whether the start
 * was executed and only its answer lost. */
static void
start_unanswered(struct cell *c, struct run *run)
{
	run->start_unanswered_ms = c->ports.now();
	if (run->runner->hold_errors == 0)
		c->last_unanswered_ms = run->start_unanswered_ms;
	cell_poll_runner(c, run->runner);
}

static void
start_refused(struct cell *c, struct run *run, enum order_result why)
{
	if (why == ORDER_NO_TICKET)
		step_ticket_refused(run->task->step, run->runner);
	else
		avoid_runner(c, run->runner);
	cell_run_lost(c, run, CAUSE_REFUSED);
}

/* The runner was restarted before the start reached it, and its new incarnation
 * gets no work before a hold has shown its clock and lists. */
static void
start_met_restart(struct cell *c, struct run *run)
{
	struct runner *r = run->runner;

	if (run->open_orders > 0)
		cell_abort_start(c, run);
	else
		cell_run_lost(c, run, CAUSE_RESTARTED);
	cell_runner_reset(c, r, CRASH_START_UNBOUND);
	if (r->info.born_ms != 0)
		r->dead_born_ms = r->info.born_ms;
	r->info.born_ms = 0;
	cell_mark_runner_due(c, r);
}

/* Repeats a start that had no effect. After the last attempt the run is over,
 * unless an earlier attempt may yet take effect. */
static void
start_again(struct cell *c, struct run *run, int attempts, enum end_cause cause)
{
	if (run->orders < attempts) {
		send_start(c, run);
	} else if (run->open_orders > 0) {
		cell_abort_start(c, run);
	} else {
		avoid_runner(c, run->runner);
		cell_run_lost(c, run, cause);
	}
}

static void
start_answered(struct cell *c, struct run *run, enum order_result result)
{
	kvlog(result == ORDER_OK ? KVLOG_DEBUG : KVLOG_INFO, "start_answered",
	    "task=%s run=%u runner=%s result=%s tries=%d open=%d age_ms=%lld "
	    "fence=%llu",
	    run->name, run->number, run->runner->info.id, result_names[result],
	    run->orders, run->open_orders,
	    (long long)(c->ports.now() - run->ordered_ms),
	    (unsigned long long)c->fence);
	switch (result) {
	case ORDER_OK:
		started_ok(c, run);
		return;
	case ORDER_OLD:
		cell_abort_start(c, run);
		return;
	case ORDER_UNKNOWN:
		start_unanswered(c, run);
		return;
	case ORDER_LATE:
		start_again(c, run, START_ATTEMPTS_MAX, CAUSE_LATE);
		return;
	case ORDER_NOT_SENT:
		start_again(c, run, START_CONNECTS_MAX, CAUSE_NOT_SENT);
		return;
	case ORDER_FENCED:
		run->state = RUN_UNSURE;
		return;
	case ORDER_OTHER_INCARNATION:
		cell_runner_gone(c, run->runner);
		return;
	case ORDER_RESTARTED:
		start_met_restart(c, run);
		return;
	default:
		start_refused(c, run, result);
	}
}

/* Logs the answer to a start whose run, or leadership, is over. */
static void
log_start_without_run(const struct order *o, enum order_result result)
{
	kvlog(KVLOG_INFO, "start_without_run",
	    "task=%s run=%u runner=%s result=%s fence=%llu order_fence=%llu "
	    "leads=%d",
	    o->task, o->number, o->runner, result_names[result],
	    (unsigned long long)o->fence, (unsigned long long)o->order_fence,
	    o->cell->phase != CELL_IDLE && o->cell->fence == o->fence);
}

static void
on_started(const struct order_answer *a, void *arg)
{
	struct order *o = arg;
	struct cell *c = o->cell;
	struct run *run = order_run(o);

	if (run == NULL)
		log_start_without_run(o, a->result);
	if (run != NULL && run->task != NULL) {
		if (a->result == ORDER_UNKNOWN)
			suspect_runner(c, run->runner);
		if (a->result != ORDER_UNKNOWN)
			run->open_orders--;
		take_clock(o, run->runner, a->clock_ms);
		if (run->state == RUN_STARTING)
			start_answered(c, run, a->result);
		if (a->result == ORDER_FENCED && is_deposed(o))
			report_deposed(o);
		else
			c->ports.wake(c->ports.arg);
	}
	free(o);
}

bool
cell_start(struct cell *c, struct runner *r, struct task *t, uint32_t number,
    const char *ticket, bool is_copy)
{
	char name[TASK_NAME_LEN];
	struct step *s = t->step;
	struct run *run;
	uint32_t last_run;

	/* The members of a gang start together, so the gang was checked as a
	 * whole. */
	if (!s->spec->gang && !account_cap_allows(c, s))
		return false;
	task_name(t, name, sizeof(name));
	run = run_new(r, t, name, number);
	run->ordered_ms = c->ports.now();
	run->is_copy = is_copy;
	if (ticket[0] != '\0')
		run->ticket = xstrdup(ticket);
	last_run = t->last_run;
	t->last_run = number > t->last_run ? number : t->last_run;
	if (is_copy) {
		t->copy = run;
	} else {
		t->run = run;
		s->nheld++;
	}
	if (s->first_start_ms == 0)
		s->first_start_ms = run->ordered_ms;
	start_log(c, run, last_run);
	send_start(c, run);
	return true;
}

/* Marks an unanswered stop, which is repeated at once if the runner answers
 * holds. */
static void
stop_unanswered(struct cell *c, struct run *run)
{
	run->stop_answer_lost = run->stop_accepted_ms == 0;
	cell_mark_runner_due(c, run->runner);
	c->ports.wake(c->ports.arg);
}

static void
on_stopped(const struct order_answer *a, void *arg)
{
	struct order *o = arg;
	struct cell *c = o->cell;
	struct run *run = order_run(o);

	if (run != NULL) {
		take_clock(o, run->runner, a->clock_ms);
		if (a->result == ORDER_OK && run->stop_accepted_ms == 0)
			run->stop_accepted_ms = c->ports.now();
		if (a->result == ORDER_FENCED && is_deposed(o))
			report_deposed(o);
		else if (a->result == ORDER_OK)
			cell_poll_runner(c, run->runner);
		else if (a->result == ORDER_UNKNOWN)
			stop_unanswered(c, run);
		else if (a->result == ORDER_OTHER_INCARNATION)
			cell_runner_gone(c, run->runner);
	}
	free(o);
}

static void
send_stop(struct cell *c, struct run *run)
{
	struct target t = runner_target(run->runner);

	run->stop_sent_ms = c->ports.now();
	run->stop_answer_lost = false;
	c->ports.runners->ops->stop(c->ports.runners, &t, run->name,
	    run->number, run->runner->fence, on_stopped, order_new(c, run));
}

void
cell_stop(struct cell *c, struct run *run, const char *why)
{
	if (run->stop_sent_ms != 0)
		return;
	kvlog(KVLOG_INFO, "stop", "task=%s run=%u runner=%s why=%s", run->name,
	    run->number, run->runner->info.id, why);
	if (run->state == RUN_RUNNING)
		run->state = RUN_STOPPING;
	else if (run->state == RUN_STARTING)
		run->state = RUN_UNSURE;
	send_stop(c, run);
}

void
cell_resend_stops(struct cell *c, struct runner *r)
{
	int64_t now = c->ports.now();
	struct run *run;

	TAILQ_FOREACH (run, &r->runs, link)
		if (run->stop_sent_ms != 0 && run->stop_accepted_ms == 0 &&
		    (now - run->stop_sent_ms > STOP_RETRY_MS ||
			(run->stop_answer_lost && r->hold_errors == 0)))
			send_stop(c, run);
}

struct stop_all {
	struct cell *cell;
	const char *why;
};

static void
stop_task(struct task *t, void *arg)
{
	const struct stop_all *a = arg;

	if (t->run != NULL)
		cell_stop(a->cell, t->run, a->why);
	if (t->copy != NULL)
		cell_stop(a->cell, t->copy, a->why);
}

void
cell_stop_job(struct cell *c, struct job *j, const char *why)
{
	struct stop_all a = {.cell = c, .why = why};

	job_each_task(j, stop_task, &a);
}
