#include "home_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/request_outcome.h"
#include "../sys/clock.h"
#include "home_owner_call.h"

/** A request whose outcome is being written. */
struct end_call {
	struct shard *shard;
	uint64_t epoch; /**< shard epoch when the write began */
	char id[TASK_ID_LEN];
};

static void
end_durable(int err, void *arg)
{
	struct end_call *c = arg;
	struct entry_waiter *w;
	struct entry *e;

	if (err == CC_OK && c->shard->held_epoch == c->epoch &&
	    (e = ledger_find(&c->shard->ledger, c->id)) != NULL) {
		e->ending = false;
		while ((w = TAILQ_FIRST(&e->waiters)) != NULL) {
			TAILQ_REMOVE(&e->waiters, w, link);
			w->fn(e, w->arg);
			free(w);
		}
	}
	free(c);
}

void
home_settle_entry(struct shard *s, struct entry *e, const struct rec_end *end)
{
	struct home *h = s->node->home;
	struct end_call *c = xcalloc(1, sizeof(*c));
	uint32_t i;

	for (i = 0; i < e->count; i++)
		ready_remove(&h->queue, &e->members[i].ready);
	c->shard = s;
	c->epoch = s->held_epoch;
	str_copy(c->id, e->id, sizeof(c->id));
	e->ending = true;
	if (rec_end(e, s, end, end_durable, c) != CC_OK) {
		e->ending = false;
		free(c);
		return;
	}
	stats_settled(&s->node->stats, e->class_name, end->outcome,
	    clock_boot_ms() - e->accepted_ms);
	kvlog(KVLOG_INFO, "settled",
	    "request=%s class=%s outcome=%s reason=%s total_ms=%" PRId64, e->id,
	    e->class_name, outcome_name(end->outcome),
	    end->reason != NULL && *end->reason != '\0' ? end->reason : "-",
	    clock_boot_ms() - e->accepted_ms);
}

void
home_settle_as(struct shard *s, struct entry *e, enum outcome o,
    const char *reason, uint64_t run_ms, int status)
{
	struct rec_end end = {
	    .outcome = o,
	    .reason = reason,
	    .run_ms = run_ms,
	    .status = status,
	};

	home_settle_entry(s, e, &end);
}

void
home_check_cancelled(struct shard *s, struct entry *e)
{
	struct cancelled_members v = {.maybe_ran = e->maybe_ran};
	enum outcome o;
	uint32_t i;

	for (i = 0; i < e->count; i++) {
		if (e->members[i].state == MEMBER_WAITING)
			v.not_started++;
		else if (e->members[i].state == MEMBER_ENDED ||
		    e->members[i].stop == STOP_RAN)
			v.ran++;
		else if (e->members[i].stop == STOP_NEVER_RAN)
			v.not_started++;
		else if (e->members[i].stop == STOP_UNSURE)
			v.maybe_started++;
		else
			v.pending++;
	}
	o = outcome_of_cancelled(&v);
	if (o != OUTCOME_NONE)
		home_settle_as(s, e, o, "cancelled", e->ran_ms, 0);
}

void
home_cancel_entry(struct shard *s, struct entry *e)
{
	struct home *h = s->node->home;
	uint32_t i;

	for (i = 0; i < e->count; i++) {
		ready_remove(&h->queue, &e->members[i].ready);
		if ((e->members[i].state == MEMBER_SITED ||
			e->members[i].state == MEMBER_RUNNING) &&
		    !e->members[i].call_pending)
			home_call_owner(s->node, &e->members[i]);
	}
	home_check_cancelled(s, e);
}

/* ---- ends reported by the owners of the members' shards ---- */

struct ack_call {
	home_ack_fn fn;
	void *arg;
};

static void
ack_durable(int err, void *arg)
{
	struct ack_call *c = arg;

	c->fn(err, c->arg);
	free(c);
}

/* Acknowledges a report once all records written so far are durable. */
static void
ack_after_commit(struct shard *s, home_ack_fn fn, void *arg)
{
	struct ack_call *c = xcalloc(1, sizeof(*c));

	c->fn = fn;
	c->arg = arg;
	journal_append(&s->journal, JOURNAL_SOON, NULL, ack_durable, c);
}

static void
member_lost(struct home *h, struct shard *s, struct member *m)
{
	struct entry *e = m->entry;

	h->node->stats.tasks_lost++;
	if (e->cancelled) {
		m->stop = STOP_UNSURE;
		home_check_cancelled(s, e);
	} else if (e->repeatable) {
		home_requeue(h, s, m, true);
	} else {
		home_settle_as(
		    s, e, OUTCOME_UNKNOWN, "worker-lost", e->ran_ms, 0);
	}
}

static bool
all_ended(const struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state != MEMBER_ENDED)
			return false;
	return true;
}

static void
member_ended(
    struct home *h, struct shard *s, struct member *m, const Cc__Ended *r)
{
	struct entry *e = m->entry;

	if (failed_run_retryable(e->repeatable && !e->cancelled, r->exit_status,
		r->run_ms, m->tries)) {
		m->tries++;
		str_copy(m->avoid, r->worker, sizeof(m->avoid));
		stats_class(&h->node->stats, e->class_name)->retries++;
		home_requeue(h, s, m, true);
		return;
	}
	hist_add(
	    &stats_class(&h->node->stats, e->class_name)->run_ms, r->run_ms);
	if (e->count > 1 &&
	    rec_member_end(m, s, r->run_ms, r->exit_status, NULL, NULL) !=
		CC_OK)
		return;
	if (e->count == 1) {
		home_settle_as(s, e, OUTCOME_DONE,
		    e->cancelled	      ? "cancelled"
			: r->exit_status != 0 ? "exit-status"
					      : "",
		    r->run_ms, r->exit_status);
	} else if (all_ended(e)) {
		home_settle_as(s, e, OUTCOME_DONE,
		    e->cancelled	 ? "cancelled"
			: e->status != 0 ? "exit-status"
					 : "",
		    e->ran_ms, e->status);
	} else if (e->cancelled) {
		home_check_cancelled(s, e);
	}
}

void
home_member_ended(struct node *n, const Cc__Ended *r, home_ack_fn fn, void *arg)
{
	struct shard *s = node_home(n, r->id);
	struct entry *e;
	struct member *m;

	if (s->state != SHARD_OWNED) {
		fn(CC_ENOTOWNER, arg);
		return;
	}
	e = ledger_find(&s->ledger, r->id);
	m = e != NULL && e->state != ENTRY_ENDED && r->member < e->count
	    ? &e->members[r->member]
	    : NULL;
	if (m != NULL &&
	    (m->state == MEMBER_SITED || m->state == MEMBER_RUNNING)) {
		if (r->lost)
			member_lost(n->home, s, m);
		else
			member_ended(n->home, s, m, r);
	}
	ack_after_commit(s, fn, arg);
}
