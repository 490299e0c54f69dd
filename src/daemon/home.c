#include "home_internal.h"

#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home_owner_call.h"

#define TICK_MS 50
/** Members that one placement pass may try. */
#define PASS_MEMBERS_MAX 128
#define SWEEP_PERIOD_MS 2000
/** A routed request without an outcome is settled as lost this time after its
 * class's longest wait and answer timeout. */
#define CLAIM_SLACK_MS 30000
/* Targets of a class that is no longer in the configuration. */
#define DEFAULT_START_WITHIN_MS 1000
#define DEFAULT_LONGEST_WAIT_MS 60000

void
home_enqueue(struct home *h, struct member *m)
{
	struct entry *e = m->entry;
	const struct class_conf *c =
	    classes_find(&h->node->conf.classes, e->class_name);
	int64_t start =
	    c != NULL ? c->start_within_ms : DEFAULT_START_WITHIN_MS;
	int64_t wait = c != NULL ? c->longest_wait_ms : DEFAULT_LONGEST_WAIT_MS;

	m->ready.owner = m;
	m->ready.due_ms = e->accepted_ms + start;
	m->ready.give_up_ms = e->accepted_ms + wait;
	/* A gang waits as one: any queued member stands for all that wait. */
	ready_add(&h->queue, &m->ready);
	home_schedule_placement(h);
}

void
home_schedule_placement(struct home *h)
{
	event_active(h->tick, EV_TIMEOUT, 0);
}

static enum ready_verdict
try_place(struct ready_item *it, void *arg)
{
	struct home *h = arg;
	struct member *m = it->owner;
	struct entry *e = m->entry;
	struct shard *home = node_home(h->node, e->id);
	int64_t now = clock_boot_ms();

	if (home->state != SHARD_OWNED || e->cancelled || m->retry_ms > now ||
	    !home_within_limits(h, e))
		return READY_KEEP;
	return home_place_entry(h, e, now);
}

static void
give_up_overdue(struct home *h, int64_t now)
{
	struct ready_item *it;
	struct member *m;
	struct entry *e;
	struct shard *s;

	while ((it = ready_overdue(&h->queue, now)) != NULL) {
		ready_remove(&h->queue, it);
		m = it->owner;
		e = m->entry;
		s = node_home(h->node, e->id);
		if (s->state != SHARD_OWNED || e->state == ENTRY_ENDED ||
		    e->cancelled)
			continue;
		if (e->count == 1)
			home_settle_as(s, e,
			    e->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
			    "wait-exceeded", e->ran_ms, 0);
		else if (rec_cancel(e, s, NULL, NULL) == CC_OK)
			home_cancel_entry(s, e);
	}
}

/*
 * Settles requests whose receiving host claimed them and then died before it
 * wrote the outcome.
 */
static void
settle_abandoned(struct home *h, struct shard *s, int64_t now)
{
	const struct class_conf *c;
	struct entry *e, *tmp;
	int64_t limit;

	HASH_ITER(hh, s->ledger.entries, e, tmp)
	{
		if (!e->routed || e->state == ENTRY_ENDED)
			continue;
		c = classes_find(&h->node->conf.classes, e->class_name);
		limit = CLAIM_SLACK_MS;
		if (c != NULL)
			limit += c->longest_wait_ms + c->answer_within_ms;
		if (now - e->accepted_ms > limit)
			home_settle_as(
			    s, e, OUTCOME_UNKNOWN, "host-lost", 0, 0);
	}
}

static bool
shard_moved(const struct node *n, const struct member *m)
{
	uint64_t known =
	    m->checked_epoch > 0 ? m->checked_epoch : m->shard_epoch;

	return n->shards[m->shard].epoch > known;
}

/*
 * Sends a start call for each running member whose shard changed owner since
 * the last reply about the member: the new owner answers it with the worker
 * that runs the member.
 */
static void
check_moved(struct home *h, struct shard *s)
{
	struct entry *e, *tmp;
	uint32_t i;

	HASH_ITER(hh, s->ledger.entries, e, tmp)
	{
		for (i = 0; e->state == ENTRY_RUNNING && i < e->count; i++)
			if (e->members[i].state == MEMBER_RUNNING &&
			    !e->members[i].call_pending &&
			    shard_moved(h->node, &e->members[i]))
				home_call_owner(h->node, &e->members[i]);
	}
}

static void
sweep_ledgers(struct home *h, int64_t now)
{
	struct node *n = h->node;
	int i;

	if (now < h->next_sweep_ms)
		return;
	h->next_sweep_ms = now + SWEEP_PERIOD_MS;
	for (i = 0; i < n->nshards; i++)
		if (n->shards[i].state == SHARD_OWNED) {
			check_moved(h, &n->shards[i]);
			settle_abandoned(h, &n->shards[i], now);
			ledger_expire(&n->shards[i].ledger, clock_wall_ms());
		}
}

static void
place_queued(struct home *h)
{
	if (h->queue.count == 0)
		return;
	usage_recount(&h->usage, h->node);
	ready_pass(&h->queue, PASS_MEMBERS_MAX, try_place, h);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct home *h = arg;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	give_up_overdue(h, now);
	place_queued(h);
	sweep_ledgers(h, now);
}

void
home_shard_owned(struct home *h, struct shard *s)
{
	int64_t now = clock_boot_ms(), wall = clock_wall_ms();
	struct entry *e, *tmp;
	uint32_t i;

	HASH_ITER(hh, s->ledger.entries, e, tmp)
	{
		if (e->state == ENTRY_ENDED)
			continue;
		e->accept_durable = true;
		e->accepted_ms = wall > e->accepted_wall_ms
		    ? now - (wall - e->accepted_wall_ms)
		    : now;
		if (e->routed)
			continue;
		if (e->cancelled) {
			home_cancel_entry(s, e);
			continue;
		}
		for (i = 0; i < e->count; i++)
			if (e->members[i].state == MEMBER_WAITING)
				home_enqueue(h, &e->members[i]);
			else if (e->members[i].state == MEMBER_SITED) {
				e->members[i].maybe_received = true;
				home_call_owner_later(h->node, &e->members[i]);
			}
	}
}

void
home_shard_lost(struct home *h, struct shard *s)
{
	struct entry *e;
	uint32_t i;

	for (e = s->ledger.entries; e != NULL; e = e->hh.next)
		for (i = 0; i < e->count; i++)
			ready_remove(&h->queue, &e->members[i].ready);
}

bool
home_shard_idle(struct home *h, struct shard *s)
{
	struct entry *e;
	uint32_t i;

	(void)h;
	for (e = s->ledger.entries; e != NULL; e = e->hh.next)
		for (i = 0; e->state != ENTRY_ENDED && i < e->count; i++)
			if (e->members[i].call_pending)
				return false;
	return true;
}

uint32_t
home_usage(struct home *h, const char *kind, const char *name)
{
	return usage_total(&h->usage, h->node, kind, name);
}

void
home_fill_beat(struct home *h, Cc__Beat *b)
{
	usage_recount(&h->usage, h->node);
	usage_fill_beat(&h->usage, b);
}

void
home_free_beat(Cc__Beat *b)
{
	usage_free_beat(b);
}

struct home *
home_new(struct node *n)
{
	struct home *h = xcalloc(1, sizeof(*h));
	struct timeval tv = {0, TICK_MS * 1000};

	h->node = n;
	ready_init(&h->queue);
	h->tick = event_new(n->base, -1, EV_PERSIST, on_tick, h);
	event_add(h->tick, &tv);
	return h;
}

void
home_delete(struct home *h)
{
	event_free(h->tick);
	usage_done(&h->usage);
	free(h);
}
