#include "home.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/place.h"
#include "../coordination/retry.h"
#include "../coordination/settle.h"
#include "../platform/clock.h"
#include "home_ask.h"
#include "hostlist.h"
#include "placer.h"
#include "usage.h"

#define TICK_MS 50
#define PASS_MAX 128
#define LOAD_FRESH_MS 4000
#define REQUEUE_WAIT_MS 100
#define EXPIRE_EVERY_MS 5000
#define CLAIM_SLACK_MS 30000

struct home {
	struct node *node;
	struct ready queue;
	struct event *tick;
	struct usage usage;
	int64_t expire_ms;
};

void
home_queue(struct home *h, struct member *m)
{
	struct entry *e = m->entry;
	const struct class_conf *c =
	    classes_find(&h->node->conf.classes, e->class_name);
	int64_t start = c != NULL ? c->start_within_ms : 1000;
	int64_t wait = c != NULL ? c->longest_wait_ms : 60000;

	m->ready.owner = m;
	m->ready.due_ms = e->accepted_ms + start;
	m->ready.give_up_ms = e->accepted_ms + wait;
	/* A gang waits as one, by its first member that waits. */
	ready_add(&h->queue, &m->ready);
	home_pump(h);
}

void
home_pump(struct home *h)
{
	event_active(h->tick, EV_TIMEOUT, 0);
}

/* ---- settling ---- */

struct end_call {
	struct shard *shard;
	uint64_t epoch;
	char id[TASK_ID_LEN];
};

static void
end_durable(int err, void *arg)
{
	struct end_call *c = arg;
	struct entry_waiter *w;
	struct entry *e;

	if (err == CC_OK && c->shard->own_epoch == c->epoch &&
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
	c->epoch = s->own_epoch;
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

static void
settle_simple(struct shard *s, struct entry *e, enum outcome o,
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

/* Settles a cancelled request once every member's part is known. */
static void
check_cancelled(struct shard *s, struct entry *e)
{
	struct settle_view v = {.maybe_ran = e->maybe_ran};
	enum outcome o;
	uint32_t i;

	for (i = 0; i < e->count; i++) {
		if (e->members[i].state == MEMBER_WAITING)
			v.never++;
		else if (e->members[i].state == MEMBER_ENDED ||
		    e->members[i].stop == STOP_RAN)
			v.ran++;
		else if (e->members[i].stop == STOP_NEVER_RAN)
			v.never++;
		else if (e->members[i].stop == STOP_UNSURE)
			v.unsure++;
		else
			v.open++;
	}
	o = settle_cancelled(&v);
	if (o != OUTCOME_NONE)
		settle_simple(s, e, o, "cancelled", e->ran_ms, 0);
}

/* ---- placing ---- */

static void
site_durable(int err, void *arg)
{
	struct ask *a = arg;
	struct member *m = ask_member(a);

	if (err == CC_OK && m != NULL && m->state == MEMBER_SITED)
		home_ask(a->home->node, m);
	free(a);
}

static void
site_member(
    struct shard *home, struct member *m, uint32_t shard, uint64_t epoch)
{
	struct ask *a = ask_new(home, m);

	if (rec_site(m, home, shard, epoch, site_durable, a) != CC_OK)
		free(a);
}

static struct shard_load *
best_load(struct node *n, const struct size *need, int64_t now)
{
	struct shard_load *best = NULL, *l;
	int i;

	for (i = 0; i < n->nshards; i++) {
		l = &n->loads[i];
		if (n->shards[i].state != SHARD_OTHER ||
		    now - l->at_ms > LOAD_FRESH_MS ||
		    !peer_net_up(n->peers, n->shards[i].owner) ||
		    !size_fits(need, &l->free) || need->cpus > l->largest_cpus)
			continue;
		if (best == NULL || l->largest_cpus < best->largest_cpus)
			best = l;
	}
	return best;
}

struct site {
	uint32_t shard;
	uint64_t epoch;
	struct reservation *local;
};

static bool
choose_local(
    struct home *h, struct member *m, const char *avoid, struct site *out)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	struct worker *w;
	char key[TASK_KEY_LEN];
	int i;

	if (!node_may_start(n))
		return false;
	i = place_best(&n->pool, SHARD_ANY, avoid, &e->size);
	if (i < 0)
		return false;
	w = n->pool.workers[i];
	member_key(m, key);
	if (worker_reserve(&n->pool, w, key, &e->size, &out->local) != CC_OK)
		return false;
	placer_hold(n->placer, out->local, e->class_name);
	out->shard = (uint32_t)w->shard;
	out->epoch = n->shards[w->shard].own_epoch;
	return true;
}

/* Finds a shard with room: first among the own ones, then by the beats. */
static bool
choose_site(struct home *h, struct member *m, int64_t now, struct site *out)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	struct shard_load *l;

	if (choose_local(h, m, m->avoid, out))
		return true;
	l = best_load(n, &e->size, now);
	if (l == NULL)
		return m->avoid[0] != '\0' && choose_local(h, m, NULL, out);
	out->local = NULL;
	out->shard = (uint32_t)(l - n->loads);
	out->epoch = l->epoch;
	size_sub(&l->free, &e->size);
	l->largest_cpus -= e->size.cpus;
	return true;
}

static bool
within_limits(struct home *h, const struct entry *e)
{
	struct node *n = h->node;
	const struct class_conf *c =
	    classes_find(&n->conf.classes, e->class_name);
	const struct team_conf *t = classes_team(&n->conf.classes, e->team);
	uint64_t need = (uint64_t)e->size.cpus * e->count, used;
	uint64_t total = hostlist_total(n->hostlist).cpus;

	if (c != NULL) {
		used = home_usage(h, "class", e->class_name);
		if (used > 0 &&
		    (used + need) * 100 > total * (uint64_t)c->share_pct)
			return false;
	}
	if (t != NULL && t->quota_cpus > 0) {
		used = home_usage(h, "team", e->team);
		if (used + need > (uint64_t)t->quota_cpus)
			return false;
	}
	return true;
}

/* All waiting members of the request find room now, or none is sited. */
static enum ready_verdict
try_entry(struct home *h, struct entry *e, int64_t now)
{
	struct node *n = h->node;
	struct shard *home = node_home(n, e->id);
	struct site *sites = xcalloc(e->count, sizeof(*sites));
	bool ok = true;
	uint32_t i;

	for (i = 0; i < e->count && ok; i++)
		if (e->members[i].state == MEMBER_WAITING)
			ok = choose_site(h, &e->members[i], now, &sites[i]);
	for (i = 0; i < e->count && !ok; i++)
		if (sites[i].local != NULL)
			worker_release(&n->pool, sites[i].local);
	for (i = 0; i < e->count && ok; i++)
		if (e->members[i].state == MEMBER_WAITING) {
			ready_remove(&h->queue, &e->members[i].ready);
			site_member(home, &e->members[i], sites[i].shard,
			    sites[i].epoch);
		}
	free(sites);
	if (ok)
		usage_add(&h->usage, e);
	return ok ? READY_TAKEN : READY_KEEP;
}

static enum ready_verdict
try_item(struct ready_item *it, void *arg)
{
	struct home *h = arg;
	struct member *m = it->owner;
	struct entry *e = m->entry;
	struct shard *home = node_home(h->node, e->id);
	int64_t now = clock_boot_ms();

	if (home->state != SHARD_OWNED || e->cancelled || m->retry_ms > now ||
	    !within_limits(h, e))
		return READY_KEEP;
	return try_entry(h, e, now);
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
			settle_simple(s, e,
			    e->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
			    "wait-exceeded", e->ran_ms, 0);
		else if (rec_cancel(e, s, NULL, NULL) == CC_OK)
			home_cancel_entry(s, e);
	}
}

/* A claim whose host died before it wrote the outcome. */
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
			settle_simple(s, e, OUTCOME_UNKNOWN, "host-lost", 0, 0);
	}
}

static void
expire_ledgers(struct home *h, int64_t now)
{
	struct node *n = h->node;
	int i;

	if (now < h->expire_ms)
		return;
	h->expire_ms = now + EXPIRE_EVERY_MS;
	for (i = 0; i < n->nshards; i++)
		if (n->shards[i].state == SHARD_OWNED) {
			settle_abandoned(h, &n->shards[i], now);
			ledger_expire(&n->shards[i].ledger, clock_wall_ms());
		}
}

static void
try_queue(struct home *h)
{
	if (h->queue.count == 0)
		return;
	usage_recount(&h->usage, h->node);
	ready_pass(&h->queue, PASS_MAX, try_item, h);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct home *h = arg;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	give_up_overdue(h, now);
	try_queue(h);
	expire_ledgers(h, now);
}

/* ---- answers of the shards' owners ---- */

static void
requeue(struct home *h, struct shard *home, struct member *m, bool maybe_ran)
{
	if (rec_requeue(m, home, maybe_ran, NULL, NULL) != CC_OK)
		return;
	m->retry_ms = clock_boot_ms() + REQUEUE_WAIT_MS;
	home_queue(h, m);
}

/* A gang that could not reserve everywhere starts over. */
static void
gang_abort(struct home *h, struct shard *home, struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_SITED &&
		    e->members[i].reserved && !e->members[i].asking)
			requeue(h, home, &e->members[i], false);
}

static void
gang_start(struct node *n, struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_WAITING ||
		    (e->members[i].state == MEMBER_SITED &&
			!e->members[i].reserved))
			return;
	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_SITED &&
		    !e->members[i].asking)
			home_ask(n, &e->members[i]);
}

static void
member_started(
    struct home *h, struct shard *home, struct member *m, const char *worker)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	const struct class_conf *c =
	    classes_find(&n->conf.classes, e->class_name);
	int64_t wait = clock_boot_ms() - e->accepted_ms;

	if (rec_start(m, home, worker) != CC_OK)
		return;
	n->stats.placements++;
	if (n->shards[m->shard].state != SHARD_OWNED)
		n->stats.placements_remote++;
	stats_started(
	    &n->stats, e->class_name, wait, c != NULL ? c->start_within_ms : 0);
	kvlog(KVLOG_INFO, "started",
	    "request=%s member=%u class=%s worker=%s wait_ms=%" PRId64, e->id,
	    m->index, e->class_name, worker, wait);
	if (e->cancelled)
		home_ask(n, m);
}

void
home_place_answer(struct node *n, struct member *m, const Cc__PlaceReply *r)
{
	struct home *h = n->home;
	struct entry *e = m->entry;
	struct shard *home = node_home(n, e->id);

	switch (r->error) {
	case CC_OK:
		if (r->reserved) {
			m->reserved = true;
			gang_start(n, e);
		} else {
			member_started(h, home, m, r->worker);
		}
		break;
	case CC_EBUSY:
		n->loads[m->shard].largest_cpus = 0;
		requeue(h, home, m, false);
		if (e->count > 1)
			gang_abort(h, home, e);
		break;
	case CC_ENOTSENT:
		/* No question about this site ever left this host. */
		if (!m->may_have_got_it && e->count == 1)
			requeue(h, home, m, false);
		else
			home_ask_later(n, m);
		break;
	case CC_ENOENT:
		/* The shard changed hands and nobody knows of the member. */
		settle_simple(
		    home, e, OUTCOME_UNKNOWN, "owner-changed", e->ran_ms, 0);
		break;
	default:
		home_ask_later(n, m);
	}
}

void
home_stop_answer(struct node *n, struct member *m, int err, uint64_t epoch)
{
	struct shard *home = node_home(n, m->entry->id);

	switch (err) {
	case CC_OK: /* its end will be reported */
		break;
	case CC_ENOENT:
		m->stop =
		    epoch == m->shard_epoch ? STOP_NEVER_RAN : STOP_UNSURE;
		check_cancelled(home, m->entry);
		break;
	default:
		home_ask_later(n, m);
	}
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
		    !e->members[i].asking)
			home_ask(s->node, &e->members[i]);
	}
	check_cancelled(s, e);
}

/* ---- ends reported by the workers' owners ---- */

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

/* Acknowledges once everything written so far is durable. */
static void
ack_after_commit(struct shard *s, home_ack_fn fn, void *arg)
{
	struct ack_call *c = xcalloc(1, sizeof(*c));

	c->fn = fn;
	c->arg = arg;
	journal_append(&s->journal, NULL, ack_durable, c);
}

static void
member_lost(struct home *h, struct shard *s, struct member *m)
{
	struct entry *e = m->entry;

	h->node->stats.tasks_lost++;
	if (e->cancelled) {
		m->stop = STOP_UNSURE;
		check_cancelled(s, e);
	} else if (e->repeatable) {
		requeue(h, s, m, true);
	} else {
		settle_simple(
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

	if (settle_try_again(e->repeatable && !e->cancelled, r->exit_status,
		r->run_ms, m->tries)) {
		m->tries++;
		str_copy(m->avoid, r->worker, sizeof(m->avoid));
		stats_class(&h->node->stats, e->class_name)->retries++;
		requeue(h, s, m, true);
		return;
	}
	hist_add(
	    &stats_class(&h->node->stats, e->class_name)->run_ms, r->run_ms);
	if (e->count > 1 &&
	    rec_member_end(m, s, r->run_ms, r->exit_status, NULL, NULL) !=
		CC_OK)
		return;
	if (e->count == 1) {
		settle_simple(s, e, OUTCOME_DONE,
		    e->cancelled	      ? "cancelled"
			: r->exit_status != 0 ? "exit-status"
					      : "",
		    r->run_ms, r->exit_status);
	} else if (all_ended(e)) {
		settle_simple(s, e, OUTCOME_DONE,
		    e->cancelled	 ? "cancelled"
			: e->status != 0 ? "exit-status"
					 : "",
		    e->ran_ms, e->status);
	} else if (e->cancelled) {
		check_cancelled(s, e);
	}
}

void
home_ended(struct node *n, const Cc__Ended *r, home_ack_fn fn, void *arg)
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

/* ---- shards coming and going ---- */

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
				home_queue(h, &e->members[i]);
			else if (e->members[i].state == MEMBER_SITED) {
				e->members[i].may_have_got_it = true;
				home_ask_later(h->node, &e->members[i]);
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
home_shard_quiet(struct home *h, struct shard *s)
{
	struct entry *e;
	uint32_t i;

	(void)h;
	for (e = s->ledger.entries; e != NULL; e = e->hh.next)
		for (i = 0; e->state != ENTRY_ENDED && i < e->count; i++)
			if (e->members[i].asking)
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
	usage_fill(&h->usage, b);
}

void
home_free_beat(Cc__Beat *b)
{
	usage_free(b);
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
