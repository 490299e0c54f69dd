/*
 * Holds: the heartbeat between the leader and a runner.
 *
 * A hold renews the leases of all runs on a runner, acknowledges ends and
 * returns the runner's lists of runs and ends (applied in reconcile.c). It is a
 * long poll: it waits at the runner until a run ends. A runner that leaves
 * holds unanswered is silent; once its leases have expired, its runs count as
 * ended and their tasks may start elsewhere.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "crashes.h"
#include "deposed.h"
#include "lead_lease.h"
#include "runner_rows.h"

/** Wait of a hold where best-effort work may raise tail latencies, so that
 * these are read often. */
#define MIXED_WAIT_MS 400
/** Pause before an unanswered hold is repeated. */
#define HOLD_RETRY_MS 200
/** Longest wait for the commit of processed ends before the next hold, which
 * acknowledges them. */
#define ACK_WAIT_MS 250
/** The network counts as lossy for this time after an order was lost. */
#define LOSSY_MS 2000
/** Wait of holds while the network is lossy: short, since the loss of a hold
 * hides the ends during its wait. */
#define LOSSY_WAIT_MS 100
/** Most holds per second while the network is lossy; their wait grows with the
 * number of busy runners to stay below. */
#define LOSSY_HOLDS_S 4000
/** A connection that is closed so soon after the last answer shows that the
 * runner's process ended while its leases were in force. */
#define CONTACT_GAP_MS 1000
/** Least interval of the second holds that cell_poll_runner() sends to a
 * runner. */
#define POLL_GAP_MS 10
/** Unanswered holds in a row after which a runner counts as silent. */
#define SILENT_ERRORS 2
/** Longest time from sending an order to its arrival at the runner. */
#define ORDER_DELIVERY_MAX_MS 600

/** Most runners that are logged when inherited work is free without them; as
 * many again that weren't waited for. */
#define UNHEARD_LINES_MAX 20

/** A hold under way. */
struct hold {
	struct cell *cell;
	uint64_t fence;	      /**< the leader's fencing token */
	uint64_t order_fence; /**< fencing token of the hold */
	int64_t sent_ms;
	bool is_poll; /**< returns at once; sent while another hold waits */
	bool is_late; /**< it has timed out, and its answer may still come */
	char runner[RUNNER_ID_LEN];
	char addr[RUNNER_ADDR_LEN]; /**< sent to */
	uint16_t port;
};

/* The version of the last renewal serves as token: no other leader uses it, and
 * it is lower than the version of every later claim. */
void
cell_raise_fence(struct cell *c, struct runner *r, const char *why)
{
	if (c->renewed_version <= r->fence)
		return;
	kvlog(KVLOG_INFO, "fence_raised",
	    "runner=%s why=%s from=%llu to=%llu fence=%llu renewed_ms_ago=%lld",
	    r->info.id, why, (unsigned long long)r->fence,
	    (unsigned long long)c->renewed_version,
	    (unsigned long long)c->fence,
	    (long long)(c->ports.now() - c->renewed_ms));
	c->counters.fences_raised++;
	r->fence = c->renewed_version;
}

static void
end_all_runs(
    struct cell *c, struct runner *r, enum run_end how, enum end_cause cause)
{
	struct run *run, *next;

	for (run = TAILQ_FIRST(&r->runs); run != NULL; run = next) {
		next = TAILQ_NEXT(run, link);
		run->cause = cause;
		cell_run_ended(c, run, how, "");
	}
}

/*
 * The runner was restarted. The new incarnation knows nothing of the old one's
 * runs, so a run that its next list lacks is lost. A start without an answer
 * may still be executed by the new incarnation, so it is settled by a stop.
 */
void
cell_runner_reset(struct cell *c, struct runner *r, enum crash_sign sign)
{
	struct run *run;

	kvlog(KVLOG_INFO, "runner_restarted",
	    "runner=%s by=%s runs=%d born_ms=%lld clock_ms=%lld "
	    "heard_ms_ago=%lld order_ms_ago=%lld lease_left_ms=%lld fence=%llu",
	    r->info.id, crash_sign_name(sign), r->nruns,
	    (long long)r->info.born_ms, (long long)r->clock_ms,
	    runner_heard_ms_ago(r, c->ports.now()),
	    (long long)(c->ports.now() - r->order_sent_ms),
	    runner_lease_left_ms(r, c->ports.now()),
	    (unsigned long long)c->fence);
	cell_raise_fence(c, r, "restarted");
	crashes_note(c, r, sign);
	r->last_end = r->last_end_in_commit = r->last_end_stored = 0;
	r->clock_ms = r->clock_at_ms = r->lease_ms = r->lists_clock_ms = 0;
	r->adopted = r->gone = false;
	r->restarted_ms = c->ports.now();
	r->renewal_unanswered = false;
	r->speed = 1.0;
	r->samples = r->failures = 0;
	r->avoid_until_ms = r->avoid_ms = 0;
	TAILQ_FOREACH (run, &r->runs, link) {
		run->missed_lists = LIST_MISSES_MAX - 1;
		run->restarted = true;
		run->stop_accepted_ms = 0;
		if (run->open_orders == 0)
			continue;
		run->stop_sent_ms = 0;
		cell_stop(c, run, "runner-restarted");
		run->state = RUN_UNSURE;
	}
}

/*
 * An address belongs to one incarnation at a time, so the runner's process has
 * ended; orders under way to it ended with its connections.
 */
void
cell_runner_gone(struct cell *c, struct runner *r)
{
	if (r->gone)
		return;
	kvlog(KVLOG_INFO, "runner_gone",
	    "runner=%s runs=%d draining=%d born_ms=%lld heard_ms_ago=%lld "
	    "adopted=%d fence=%llu",
	    r->info.id, r->nruns, r->info.draining, (long long)r->info.born_ms,
	    runner_heard_ms_ago(r, c->ports.now()), r->adopted,
	    (unsigned long long)c->fence);
	r->gone = r->known = true;
	crashes_note(c, r, CRASH_OTHER_INCARNATION);
	end_all_runs(c, r, END_LOST, CAUSE_OTHER_INCARNATION);
	cell_check_adopted(c);
}

static void
mark_silent(struct cell *c, struct runner *r, enum order_result why)
{
	int64_t now = c->ports.now();

	r->silent_since_ms = now;
	kvlog(KVLOG_WARN, "runner_silent",
	    "runner=%s result=%d heard_ms_ago=%lld runs=%d fence=%llu "
	    "order_fence=%llu",
	    r->info.id, why, runner_heard_ms_ago(r, now), r->nruns,
	    (unsigned long long)c->fence, (unsigned long long)r->fence);
}

/* Settles unanswered starts by a stop, since no list of the runner will show
 * their outcome soon; a late answer to the hold would. */
static void
abort_unanswered_starts(struct cell *c, struct runner *r)
{
	struct run *run;

	TAILQ_FOREACH (run, &r->runs, link)
		if (run->start_unanswered_ms != 0)
			cell_abort_start(c, run);
}

/* Whether another incarnation answers at the runner's address. One at the
 * address that it had when the hold was sent says nothing of it. */
static bool
is_replaced(
    const struct hold *o, const struct runner *r, const struct hold_result *h)
{
	return h->result == ORDER_OTHER_INCARNATION &&
	    o->port == r->info.port && strcmp(o->addr, r->info.addr) == 0;
}

static void
hold_failed(struct cell *c, struct runner *r, const struct hold *o,
    const struct hold_result *h)
{
	int64_t now = c->ports.now(), retry = now + HOLD_RETRY_MS;

	if (r->hold_errors++ == 0) {
		c->last_unanswered_ms = now;
		r->lost_ms = now;
		r->closed_connection = h->closed;
	}
	if (h->closed && now - r->last_hold_answer_ms <= CONTACT_GAP_MS)
		r->closed_connection = true;
	if (r->avoid_until_ms < retry)
		r->avoid_until_ms = retry;
	if (r->hold_errors >= SILENT_ERRORS && r->silent_since_ms == 0)
		mark_silent(c, r, h->result);
	if (is_replaced(o, r, h))
		cell_runner_gone(c, r);
	else if (!h->more)
		abort_unanswered_starts(c, r);
}

/* Whether the answer comes from an incarnation that is known to be over. */
static bool
is_from_dead(const struct hold_result *h, const struct runner *r)
{
	return h->born_ms != 0 && h->born_ms == r->dead_born_ms;
}

/* Whether a late answer comes from an earlier incarnation of the runner than
 * the one that is known by now. */
static bool
is_from_earlier(const struct hold_result *h, const struct runner *r)
{
	return h->born_ms != 0 && h->born_ms < r->info.born_ms;
}

/* A late answer tells as much as one in time; the lack of one was taken into
 * account at the time-out. */
static bool
is_late_news(const struct hold_result *h, const struct runner *r)
{
	return !is_from_earlier(h, r) &&
	    (h->result == ORDER_OK || h->result == ORDER_FENCED);
}

static void
on_hold(const struct hold_result *h, void *arg)
{
	struct hold o = *(struct hold *)arg;
	struct cell *c = o.cell;
	struct runner *r = NULL;

	if (h->more)
		((struct hold *)arg)->is_late = true;
	else
		free(arg);
	if (c->phase != CELL_IDLE && c->fence == o.fence)
		r = cell_runner(c, o.runner);
	if (r == NULL || (o.is_late && !is_late_news(h, r)))
		return;
	if (!o.is_late && o.is_poll)
		r->polling = false;
	else if (!o.is_late)
		r->hold_pending = false;
	if (h->result == ORDER_FENCED && o.order_fence >= r->fence) {
		cell_deposed(c, DEPOSED_BY_HOLD, "runner=%s order_fence=%llu",
		    r->info.id, (unsigned long long)o.order_fence);
		return;
	}
	if (h->result == ORDER_FENCED)
		kvlog(KVLOG_INFO, "hold_fenced",
		    "runner=%s order_fence=%llu raised_to=%llu "
		    "sent_ms_ago=%lld",
		    r->info.id, (unsigned long long)o.order_fence,
		    (unsigned long long)r->fence,
		    (long long)(c->ports.now() - o.sent_ms));
	if (h->result == ORDER_OK && !is_from_dead(h, r))
		cell_apply_lists(c, r, h, o.sent_ms, o.is_late);
	else if (h->result != ORDER_OK && !o.is_late)
		hold_failed(c, r, &o, h);
	cell_mark_runner_due(c, r);
	c->ports.wake(c->ports.arg);
}

/* Whether a hold to the runner may long-poll: its state is known, it may get a
 * lease, and no ends or stops wait to be confirmed. */
static bool
may_wait(const struct runner *r)
{
	const struct run *run;

	if (!r->adopted || r->stored_unheard || r->hold_errors > 0 ||
	    r->last_end > r->last_end_stored)
		return false;
	TAILQ_FOREACH (run, &r->runs, link)
		if (run->stop_accepted_ms != 0 || run->state == RUN_UNSURE)
			return false;
	return r->nruns > 0;
}

static int64_t
lossy_wait_ms(const struct cell *c)
{
	int64_t ms = c->busy_runners * 1000LL / LOSSY_HOLDS_S;

	if (ms > c->terms.hold_wait_ms)
		return c->terms.hold_wait_ms;
	return ms > LOSSY_WAIT_MS ? ms : LOSSY_WAIT_MS;
}

static int64_t
wait_ms(const struct cell *c, const struct runner *r, int64_t now)
{
	if (!may_wait(r))
		return 0;
	if (c->last_unanswered_ms != 0 &&
	    now - c->last_unanswered_ms < LOSSY_MS)
		return lossy_wait_ms(c);
	return runner_is_mixed(r) ? MIXED_WAIT_MS : c->terms.hold_wait_ms;
}

static bool
hold_due(const struct cell *c, const struct runner *r, int64_t now)
{
	int64_t since = now - r->hold_sent_ms;

	if (r->hold_pending || r->gone)
		return false;
	if (r->hold_errors > 1)
		return since >= HOLD_RETRY_MS;
	if (!r->adopted || r->hold_errors > 0)
		return true;
	if (r->last_end > r->last_end_stored)
		return since >= ACK_WAIT_MS;
	if (r->nruns > 0 && !may_wait(r))
		return since >= c->terms.stop_grace_ms / 4;
	return r->nruns > 0;
}

static void
send_hold(
    struct cell *c, struct runner *r, const struct hold_order *o, bool is_poll)
{
	struct hold *h = xcalloc(1, sizeof(*h));
	struct target t = runner_target(r);

	h->cell = c;
	h->fence = c->fence;
	h->order_fence = r->fence;
	h->sent_ms = c->ports.now();
	h->is_poll = is_poll;
	str_copy(h->runner, r->info.id, sizeof(h->runner));
	str_copy(h->addr, r->info.addr, sizeof(h->addr));
	h->port = r->info.port;
	c->counters.holds++;
	c->ports.runners->ops->hold(
	    c->ports.runners, &t, o, is_poll || r->hold_errors > 0, on_hold, h);
}

void
cell_hold(struct cell *c, struct runner *r)
{
	int64_t now = c->ports.now();
	struct hold_order o = {.fence = r->fence,
	    .seen = r->last_end_stored,
	    .born_ms = runner_bound_born_ms(r)};

	if (!hold_due(c, r, now))
		return;
	/* An unanswered hold may still extend the leases at the runner, so no
	 * other does until the runner has answered one. */
	if (r->clock_at_ms != 0 && r->adopted && !r->stored_unheard &&
	    !r->renewal_unanswered) {
		o.until_ms = lead_lease_end(c, r, c->terms.lease_ms);
		if (o.until_ms > r->lease_ms)
			r->lease_ms = o.until_ms;
		r->order_sent_ms = now;
		r->renewal_unanswered = true;
	}
	o.wait_ms = wait_ms(c, r, now);
	r->hold_pending = true;
	r->hold_sent_ms = now;
	send_hold(c, r, &o, false);
}

static bool
has_open_order(const struct runner *r)
{
	const struct run *run;

	TAILQ_FOREACH (run, &r->runs, link)
		if (run->start_unanswered_ms != 0 ||
		    (run->state == RUN_UNSURE && run->stop_accepted_ms != 0))
			return true;
	return false;
}

void
cell_poll_runner(struct cell *c, struct runner *r)
{
	struct hold_order o = {.fence = r->fence,
	    .seen = r->last_end_stored,
	    .born_ms = runner_bound_born_ms(r)};
	int64_t now = c->ports.now();

	if (!r->hold_pending) {
		cell_hold(c, r);
		return;
	}
	if (r->polling || now - r->poll_sent_ms < POLL_GAP_MS ||
	    !has_open_order(r))
		return;
	r->polling = true;
	r->poll_sent_ms = now;
	send_hold(c, r, &o, true);
}

/*
 * Whether all leases at the runner had certainly expired when this leadership
 * was last renewed: by the runner's clock where that is known. Else by the
 * longest lease after the last order, or, when the runner never answered this
 * leader, by the time when leases of leaders before are over. Since that
 * renewal another leader may have claimed and renewed leases at a runner that
 * this one doesn't reach.
 */
static bool
leases_lapsed(const struct cell *c, const struct runner *r)
{
	if (r->clock_at_ms != 0)
		return c->renewed_ms >= r->clock_at_ms &&
		    runner_lapsed(r, c->renewed_ms);
	if (r->last_hold_answer_ms == 0)
		return lead_lease_inherited_over_at(c, r);
	return c->renewed_ms - r->order_sent_ms >
	    c->terms.max_hold_ms * 100 / CLOCK_RATE_MIN_PCT +
	    ORDER_DELIVERY_MAX_MS;
}

/* By what leases_lapsed() tells it. */
static enum end_cause
lapse_cause(const struct runner *r)
{
	if (r->clock_at_ms != 0)
		return CAUSE_LEASE_CLOCK;
	return r->last_hold_answer_ms == 0 ? CAUSE_INHERITED_OVER
					   : CAUSE_LONGEST_LEASE;
}

static void
log_lapse(const struct cell *c, const struct runner *r, int64_t now)
{
	kvlog(KVLOG_WARN, "runner_lapsed",
	    "runner=%s runs=%d by=%s silent_ms=%lld heard_ms_ago=%lld "
	    "renewed_ms_ago=%lld clock_ms=%lld lease_ms=%lld order_ms_ago=%lld "
	    "born_ms=%lld fence=%llu order_fence=%llu",
	    r->info.id, r->nruns, end_cause_name(lapse_cause(r)),
	    runner_silent_ms(r, now), runner_heard_ms_ago(r, now),
	    (long long)(now - c->renewed_ms),
	    r->clock_at_ms != 0 ? (long long)runner_clock(r, now) : 0LL,
	    (long long)r->lease_ms, (long long)(now - r->order_sent_ms),
	    (long long)r->info.born_ms, (unsigned long long)c->fence,
	    (unsigned long long)r->fence);
}

/* Whether the runner is silent, or was under the leader before and hasn't
 * answered this one. */
static bool
is_silent(const struct runner *r)
{
	return r->silent_since_ms != 0 ||
	    (r->stored_unheard && r->last_hold_answer_ms == 0);
}

/* Ends the runs of a silent runner once its leases have expired, so that their
 * tasks can start elsewhere. */
static void
check_lapse(struct cell *c, struct runner *r, int64_t now)
{
	if (!is_silent(r) || r->nruns == 0)
		return;
	if (!leases_lapsed(c, r))
		return;
	log_lapse(c, r, now);
	cell_raise_fence(c, r, "lapsed");
	crashes_note_lapse(c, r);
	end_all_runs(c, r, END_LAPSED, lapse_cause(r));
	/* Late lists that are older than the end of the leases show runs that
	 * are over. */
	if (r->lists_clock_ms < r->lease_ms)
		r->lists_clock_ms = r->lease_ms;
}

void
cell_process_due_runners(struct cell *c)
{
	struct runner *r;

	while ((r = TAILQ_FIRST(&c->due)) != NULL) {
		TAILQ_REMOVE(&c->due, r, due_link);
		r->due = false;
		cell_resend_stops(c, r);
		cell_poll_runner(c, r);
	}
}

void
cell_check_all_runners(struct cell *c)
{
	int64_t now = c->ports.now();
	struct runner *r, *tmp;

	c->runner_missing = false;
	c->busy_runners = 0;
	HASH_ITER(hh, c->runners, r, tmp)
	{
		c->busy_runners += r->nruns > 0;
		cell_resend_stops(c, r);
		cell_poll_runner(c, r);
		check_lapse(c, r, now);
		cell_check_missing(c, r, now);
		crashes_settle(c, r);
		cell_forget_runner(c, r, now);
	}
	runner_rows_check(c);
}

/* Logs the runners that inherited work doesn't wait for any more. */
static void
log_unheard(const struct cell *c)
{
	const struct runner *r;
	int n = 0;

	for (r = c->runners; r != NULL && n < UNHEARD_LINES_MAX;
	     r = r->hh.next) {
		if (r->adopted || r->stored_closed || r->gone)
			continue;
		n++;
		kvlog(KVLOG_WARN, "runner_unheard",
		    "runner=%s listed=%d open=%d holds_failed=%d", r->info.id,
		    r->listed, r->stored_open, r->hold_errors);
	}
}

/* Logs the runners that inherited work didn't wait for. @return their number.
 */
static int
log_unawaited(const struct cell *c)
{
	const struct runner *r;
	int n = 0;

	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (r->adopted || !(r->stored_closed || r->gone))
			continue;
		if (n++ < UNHEARD_LINES_MAX)
			kvlog(KVLOG_INFO, "runner_unawaited",
			    "runner=%s closed=%d gone=%d runs=%d listed=%d",
			    r->info.id, r->stored_closed, r->gone, r->nruns,
			    r->listed);
	}
	return n;
}

/* Inherited work may start once the registry was read and the runs of every
 * runner are known, from its lists, or from the store if that records it as
 * closed, or have ended with the leases that earlier leaders granted there. At
 * the latest it may when all such leases are over. */
void
cell_check_adopted(struct cell *c)
{
	const struct runner *r;
	int unknown = 0, awaited = 0, unawaited;

	if (!c->adopting || c->phase != CELL_SERVING)
		return;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (r->adopted || r->stored_closed || r->gone)
			continue;
		unknown++;
		awaited += !lead_lease_inherited_over_at(c, r);
	}
	unknown += (c->registry_synced_ms == 0) + (c->unreadable_rows != 0);
	if (c->registry_synced_ms == 0 || c->unreadable_rows != 0)
		awaited += !lead_lease_inherited_over(c);
	if (awaited > 0)
		return;
	c->adopting = false;
	c->adopted_ms = c->ports.now();
	c->stale_rows |= c->unreadable_rows;
	c->unreadable_rows = 0;
	c->unheard_runners = unknown;
	log_unheard(c);
	unawaited = log_unawaited(c);
	kvlog(KVLOG_INFO, "inherited_work_free",
	    "after_ms=%lld unheard_runners=%d unawaited_runners=%d runners=%u "
	    "renewed_ms_ago=%lld fence=%llu generation=%u",
	    (long long)(c->ports.now() - c->lead_since_ms), unknown, unawaited,
	    HASH_COUNT(c->runners), (long long)(c->ports.now() - c->renewed_ms),
	    (unsigned long long)c->fence, c->generation);
	c->ports.wake(c->ports.arg);
}
