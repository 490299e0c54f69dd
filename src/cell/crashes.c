#include "crashes.h"

#include <stdlib.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"

/** Pause before a task whose runner crashed is started again. */
#define CRASHED_PAUSE_MS 50
/** The same for one that may have crashed several. */
#define UNSETTLED_PAUSE_MS 2900
/** A drain that began before contact with the runner broke is in the registry
 * that is read this long after that. */
#define DRAIN_SHOWN_MS 2500
/** Longest time for which the registry is waited for. */
#define SETTLE_MAX_MS 15000
/** Longest pause of a task that has crashed too many runners if one that is
 * silent has crashed, too. */
#define SILENT_PAUSE_MS 10000

static struct task *
find_task(struct cell *c, const char *name)
{
	struct task_ref ref;
	struct job *j = NULL;

	if (task_ref_parse(&ref, name))
		j = cell_job(c, ref.id);
	return j != NULL ? cell_job_task(c, j, &ref) : NULL;
}

static void
give_up(struct cell *c, struct task *t, const char *name)
{
	kvlog(KVLOG_WARN, "task_given_up",
	    "task=%s crashes=%u proven=%u alone=%u", name, t->crashes.n,
	    t->crashes.proven, t->crashes.alone);
	c->counters.given_up++;
	cell_fail_job(c, t, FAILURE_CRASHES);
}

/* The line tells what showed the crash, and what the runner itself has shown of
 * the run. */
static void
log_crash(const struct cell *c, const struct runner *r, const struct task *t,
    const char *name, const struct task_crash *crash, enum crash_sign sign)
{
	int64_t now = c->ports.now();

	kvlog(KVLOG_INFO, "task_crashed_runner",
	    "task=%s run=%u runner=%s by=%s crashes=%u proven=%d alone=%d "
	    "age_ms=%lld closed=%d heard_ms_ago=%lld silent_ms=%lld listed=%d "
	    "unlisted_ms=%lld born_ms=%lld listed_born_ms=%lld "
	    "lease_left_ms=%lld led_ms=%lld fence=%llu",
	    name, crash->run, r->info.id, crash_sign_name(sign), t->crashes.n,
	    crash->proven, crash->alone, (long long)crash->age_ms,
	    r->closed_connection, runner_heard_ms_ago(r, now),
	    runner_silent_ms(r, now), r->listed,
	    r->unlisted_since_ms != 0 ? (long long)(now - r->unlisted_since_ms)
				      : 0LL,
	    (long long)r->info.born_ms, (long long)r->listed_born_ms,
	    runner_lease_left_ms(r, now), (long long)(now - c->lead_since_ms),
	    (unsigned long long)c->fence);
}

/* Whether a later run of the task has been shown to outlive the crash. */
static bool
is_outlived(const struct task *t, const struct task_crash *crash)
{
	const struct run *run = t->run;

	return run != NULL && run->number > crash->run &&
	    run->confirmed_ms != 0 &&
	    task_crash_outlived_by(crash->age_ms,
		run->runner->last_hold_answer_ms - run->ordered_ms);
}

/* Counts the crash as one that isn't proven. @return whether it counts. */
static bool
count_crash(struct cell *c, struct runner *r, const struct unsettled_run *u)
{
	struct task_crash crash = u->crash;
	struct task *t = find_task(c, u->task);

	crash.proven = false;
	if (t == NULL || t->done || job_ended(t->step->occurrence->job) ||
	    is_outlived(t, &crash) || !task_crashes_add(&t->crashes, &crash))
		return false;
	t->retry_ms = c->ports.now() +
	    (task_crashes_held(&t->crashes, false) ? UNSETTLED_PAUSE_MS
						   : CRASHED_PAUSE_MS);
	c->counters.crashes_counted[u->sign]++;
	log_crash(c, r, t, u->task, &u->crash, u->sign);
	cell_mark_dirty(c, t->step->occurrence->job);
	if (task_crashes_exceeded(&t->crashes))
		give_up(c, t, u->task);
	return true;
}

/*
 * Whether the run was at work when contact with the runner broke: the runner
 * has shown it to this leader, and the contact ended with the connection.
 * Behind a cut a run may have ended, or its lease may have lapsed, before the
 * runner crashed. The age of an inherited run isn't known, so it may be too old
 * to be at fault.
 */
static bool
was_at_work(const struct run *run)
{
	const struct runner *r = run->runner;

	return run->confirmed_ms != 0 && !run->inherited &&
	    r->closed_connection && r->hold_errors > 0;
}

/* Whether a restart shows that the run was at work: the runner has answered all
 * along, and the present answer is its next incarnation's. */
static bool
was_in_contact(const struct run *run, enum crash_sign sign)
{
	return run->confirmed_ms != 0 && !run->inherited &&
	    run->runner->hold_errors == 0 &&
	    (sign == CRASH_SHOWN_BORN || sign == CRASH_START_UNBOUND);
}

static struct unsettled_run *
add_unsettled(struct cell *c, struct run *run, bool proven)
{
	struct unsettled_run *u = xcalloc(1, sizeof(*u));
	struct runner *r = run->runner;
	int64_t seen = r->last_hold_answer_ms;

	str_copy(u->task, run->name, sizeof(u->task));
	u->crash = (struct task_crash){.run = run->number,
	    .proven = proven,
	    .alone = r->nruns == 1,
	    .age_ms = seen > run->ordered_ms ? seen - run->ordered_ms : 0};
	u->born_ms = r->info.born_ms;
	u->lost_ms = r->hold_errors > 0 ? r->lost_ms : c->ports.now();
	TAILQ_INSERT_TAIL(&r->unsettled, u, link);
	run->crash_noted = true;
	return u;
}

/* One of the task's runs isn't on a silent runner any more. The task may start
 * again at once unless others are. */
static void
leave_silence(struct cell *c, struct task *t)
{
	int64_t retry = c->ports.now() + CRASHED_PAUSE_MS;

	if (t == NULL || t->crashes.unsettled == 0)
		return;
	t->crashes.unsettled--;
	if ((t->crashes.unsettled == 0 ||
		!task_crashes_held(&t->crashes, true)) &&
	    t->retry_ms > retry)
		t->retry_ms = retry;
}

static void
drop_unsettled(
    struct cell *c, struct runner *r, struct unsettled_run *u, const char *why)
{
	struct task *t = find_task(c, u->task);

	kvlog(KVLOG_INFO, "crash_not_shown",
	    "task=%s run=%u runner=%s why=%s ended=%d proven=%d age_ms=%lld "
	    "born_ms=%lld",
	    u->task, u->crash.run, r->info.id, why, u->ended, u->crash.proven,
	    (long long)u->crash.age_ms, (long long)u->born_ms);
	if (!u->ended) {
		leave_silence(c, t);
	} else if (t != NULL) {
		task_crashes_remove(&t->crashes, u->crash.run);
		cell_mark_dirty(c, t->step->occurrence->job);
	}
	runner_free_unsettled(u, r);
}

static void
drop_all(struct cell *c, struct runner *r, const char *why)
{
	struct unsettled_run *u;

	while ((u = TAILQ_FIRST(&r->unsettled)) != NULL)
		drop_unsettled(c, r, u, why);
}

static void
prove(struct cell *c, struct runner *r, struct unsettled_run *u)
{
	struct task *t = find_task(c, u->task);

	if (t != NULL && !t->done && !job_ended(t->step->occurrence->job)) {
		task_crashes_prove(&t->crashes, &u->crash);
		cell_mark_dirty(c, t->step->occurrence->job);
		kvlog(KVLOG_INFO, "crash_proven",
		    "task=%s run=%u runner=%s crashes=%u proven=%u alone=%u "
		    "lost_ms_ago=%lld registry_ms_ago=%lld",
		    u->task, u->crash.run, r->info.id, t->crashes.n,
		    t->crashes.proven, t->crashes.alone,
		    (long long)(c->ports.now() - u->lost_ms),
		    (long long)(c->ports.now() - c->registry_synced_ms));
		if (task_crashes_exceeded(&t->crashes))
			give_up(c, t, u->task);
	}
	runner_free_unsettled(u, r);
}

/* Settles a run whose runner has ended. The registry, once it has been read for
 * long enough, shows whether the runner drained; if not, the crash is proven.
 */
static void
settle(struct cell *c, struct runner *r, struct unsettled_run *u)
{
	if (r->drained_born_ms != 0 && r->drained_born_ms == u->born_ms)
		drop_unsettled(c, r, u, "drained");
	else if (!u->crash.proven ||
	    c->ports.now() - u->lost_ms >= SETTLE_MAX_MS)
		runner_free_unsettled(u, r);
	else if (c->registry_synced_ms - u->lost_ms >= DRAIN_SHOWN_MS)
		prove(c, r, u);
}

void
crashes_settle(struct cell *c, struct runner *r)
{
	struct unsettled_run *u, *next;

	for (u = TAILQ_FIRST(&r->unsettled); u != NULL; u = next) {
		next = TAILQ_NEXT(u, link);
		if (u->ended)
			settle(c, r, u);
	}
}

static void
end_unsettled(struct cell *c, struct runner *r, struct unsettled_run *u,
    enum crash_sign sign)
{
	u->ended = true;
	u->sign = sign;
	if (!count_crash(c, r, u))
		runner_free_unsettled(u, r);
}

/* The runs of the silent runner: it turns out to have ended. */
static void
end_silent(struct cell *c, struct runner *r, enum crash_sign sign)
{
	struct unsettled_run *u, *next;

	for (u = TAILQ_FIRST(&r->unsettled); u != NULL; u = next) {
		next = TAILQ_NEXT(u, link);
		if (u->ended)
			continue;
		leave_silence(c, find_task(c, u->task));
		end_unsettled(c, r, u, sign);
	}
}

void
crashes_note(struct cell *c, struct runner *r, enum crash_sign sign)
{
	struct run *run;

	if (r->info.draining) {
		drop_all(c, r, "drained");
		return;
	}
	c->counters.runner_crashes++;
	end_silent(c, r, sign);
	TAILQ_FOREACH (run, &r->runs, link)
		if (run->task != NULL && !run->crash_noted)
			end_unsettled(c, r,
			    add_unsettled(c, run,
				was_at_work(run) || was_in_contact(run, sign)),
			    sign);
	crashes_settle(c, r);
}

void
crashes_note_lapse(struct cell *c, struct runner *r)
{
	struct task_crashes *k;
	struct run *run;

	if (r->info.draining)
		return;
	TAILQ_FOREACH (run, &r->runs, link) {
		if (run->task == NULL || run->crash_noted)
			continue;
		add_unsettled(c, run, was_at_work(run));
		k = &run->task->crashes;
		k->unsettled++;
		if (task_crashes_held(k, true))
			run->task->retry_ms = c->ports.now() +
			    (task_crashes_held(k, false) ? SILENT_PAUSE_MS
							 : UNSETTLED_PAUSE_MS);
	}
}

void
crashes_note_answer(struct cell *c, struct runner *r)
{
	struct unsettled_run *u, *next;

	for (u = TAILQ_FIRST(&r->unsettled); u != NULL; u = next) {
		next = TAILQ_NEXT(u, link);
		if (!u->ended)
			drop_unsettled(c, r, u, "runner-answers");
	}
}

void
crashes_forget_runner(struct cell *c, struct runner *r)
{
	drop_all(c, r, "runner-forgotten");
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
	task_crashes_outlive(&t->crashes);
	cell_mark_dirty(c, t->step->occurrence->job);
}
