#include "relay_port.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "../coordination/relay_fallback.h"
#include "relay.h"

/** Timeout of a relay's answer to an order, added to the time that the order
 * may wait at the runner. */
#define ORDER_TIMEOUT_MS 1000
/** A hold may wait this long for its batch to fill; other orders are sent at
 * once. */
#define HOLD_BATCH_DELAY_MS 10
#define BATCH_TIMEOUT_MS 10000

/** An order in a relay's batch or at the relay, without an answer yet. */
struct open_order {
	UT_hash_handle hh;
	uint64_t serial;
	char host[RELAY_HOST_LEN];
	int64_t deadline_ms;
	bool is_hold;
	bool is_late; /**< it has timed out, and its answer may still come */
	char runner[RUNNER_ID_LEN];
	union {
		order_fn order;
		hold_fn hold;
	} fn;
	void *arg;
};

struct relay_port {
	struct runner_port port;
	struct runner_port *direct;
	struct peer_net *peers;
	struct event *flush;
	int64_t flush_ms; /**< when the batches are sent; 0: there are none */
	struct relay_plan plan;
	struct relay_fallbacks fallbacks; /**< for runners that their relay
					     can't reach */
	TAILQ_HEAD(relay_list, relay) relays;
	struct open_order *open;
	uint64_t next_serial;
	struct relay_counters counters;
};

/* A batch without an acknowledgement yet. Its relay is looked up by host when
 * the acknowledgement arrives, since it may be gone by then. */
struct batch_ack {
	struct relay_port *port;
	uint64_t peer_link;
	char host[RELAY_HOST_LEN];
};

static struct relay *
find_relay(const struct relay_port *p, const char *host)
{
	struct relay *r;

	TAILQ_FOREACH (r, &p->relays, link)
		if (strcmp(r->host, host) == 0)
			return r;
	return NULL;
}

static struct relay *
get_relay(struct relay_port *p, const char *host)
{
	struct relay *r = find_relay(p, host);

	if (r != NULL)
		return r;
	r = relay_new(host);
	TAILQ_INSERT_TAIL(&p->relays, r, link);
	return r;
}

static void
finish(struct relay_port *p, struct open_order *o, enum order_result result)
{
	struct order_answer answer = {.result = result};
	struct hold_result hold = {.result = result};

	HASH_DEL(p->open, o);
	if (o->is_hold)
		o->fn.hold(&hold, o->arg);
	else
		o->fn.order(&answer, o->arg);
	free(o);
}

/* Reports that the hold has timed out, and waits on for its late answer. */
static void
wait_for_late_answer(struct open_order *o, int64_t now)
{
	struct hold_result h = {.result = ORDER_UNKNOWN, .more = true};

	if (o->is_late)
		return;
	o->is_late = true;
	o->deadline_ms = now + HOLD_LATE_MS;
	o->fn.hold(&h, o->arg);
}

/*
 * Gives up open orders with an unknown result: those sent through @p host or,
 * when it is NULL, those past their deadline.
 */
static void
give_up_orders(struct relay_port *p, const char *host, int64_t now)
{
	struct open_order *o, *tmp;

	HASH_ITER(hh, p->open, o, tmp)
	{
		bool due = host != NULL ? strcmp(o->host, host) == 0
					: now >= o->deadline_ms;

		if (!due)
			continue;
		p->counters.unanswered += !o->is_late;
		if (o->is_hold && (!o->is_late || host != NULL))
			wait_for_late_answer(o, now);
		else
			finish(p, o, ORDER_UNKNOWN);
	}
}

static void
mark_silent(struct relay_port *p, struct relay *r, const char *why)
{
	r->silent = true;
	p->counters.suspected++;
	kvlog(KVLOG_WARN, "relay_silent", "peer=%s why=%s late_ms=%lld",
	    r->host, why, (long long)relay_ack_age_ms(r, clock_boot_ms()));
	relay_plan_drop(&p->plan, r->host);
	give_up_orders(p, r->host, clock_boot_ms());
}

static void
on_batch_ack(int err, const Cc__Frame *f, void *arg)
{
	struct batch_ack k = *(struct batch_ack *)arg;
	struct relay *r = find_relay(k.port, k.host);

	(void)f;
	free(arg);
	if (r != NULL && err == CC_OK)
		relay_batch_acked(r, k.peer_link);
}

static void
fail_batch(struct relay_port *p, struct relay *r)
{
	struct open_order *o;
	size_t i;

	for (i = 0; i < r->batch.n_orders; i++) {
		uint64_t serial = r->batch.orders[i]->serial;

		HASH_FIND(hh, p->open, &serial, sizeof(serial), o);
		if (o != NULL)
			finish(p, o, ORDER_NOT_SENT);
	}
}

static void
send_batch(struct relay_port *p, struct relay *r)
{
	uint64_t peer_link = peer_net_link(p->peers, r->host);
	Cc__Frame f = CC__FRAME__INIT;
	struct batch_ack *k;

	if (r->batch.n_orders == 0)
		return;
	if (peer_link == 0) {
		fail_batch(p, r);
		relay_batch_not_sent(r);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->port = p;
	k->peer_link = peer_link;
	str_copy(k->host, r->host, sizeof(k->host));
	relay_batch_sent(r, peer_link);
	p->counters.batches++;
	f.body_case = CC__FRAME__BODY_RELAY_BATCH;
	f.relay_batch = &r->batch;
	peer_call(p->peers, r->host, &f, BATCH_TIMEOUT_MS, on_batch_ack, k);
	relay_batch_clear(r);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct relay_port *p = arg;
	struct relay *r;

	(void)fd;
	(void)what;
	p->flush_ms = 0;
	TAILQ_FOREACH (r, &p->relays, link)
		send_batch(p, r);
}

static void
flush_in(struct relay_port *p, int64_t ms)
{
	struct timeval tv = {0, ms * 1000};
	int64_t at = clock_boot_ms() + ms;

	if (p->flush_ms != 0 && p->flush_ms <= at)
		return;
	p->flush_ms = at;
	evtimer_add(p->flush, &tv);
}

/* @return the runner's relay; NULL when its orders are sent directly. */
static struct relay *
relay_for(struct relay_port *p, const struct target *t)
{
	int at = relay_plan_pick(
	    &p->plan, t->id, relay_fallbacks_choice(&p->fallbacks, t->id));

	return at >= 0 ? get_relay(p, p->plan.hosts[at].host) : NULL;
}

static struct open_order *
open_new(
    struct relay_port *p, const struct relay *r, int64_t wait_ms, void *arg)
{
	struct open_order *o = xcalloc(1, sizeof(*o));

	o->serial = ++p->next_serial;
	str_copy(o->host, r->host, sizeof(o->host));
	o->deadline_ms = clock_boot_ms() + wait_ms + ORDER_TIMEOUT_MS;
	o->arg = arg;
	HASH_ADD(hh, p->open, serial, sizeof(o->serial), o);
	return o;
}

/* An order in a relay's batch, with the record that waits for its answer. */
struct relayed {
	struct relay *relay;
	struct open_order *open;
	Cc__RelayOrder *order;
};

/*
 * Adds an order to the batch of the runner's relay.
 * @return false when the runner has no relay and the order is sent directly.
 */
static bool
relay_order(struct relay_port *p, const struct target *t, enum relay_verb verb,
    int64_t wait_ms, void *arg, struct relayed *out)
{
	struct relay *r = relay_for(p, t);

	if (r == NULL) {
		p->counters.direct++;
		return false;
	}
	p->counters.orders++;
	flush_in(p, verb == RELAY_HOLD ? HOLD_BATCH_DELAY_MS : 0);
	out->relay = r;
	out->open = open_new(p, r, wait_ms, arg);
	out->order = relay_add_order(r, verb, t, out->open->serial);
	return true;
}

static struct relay_port *
port_of(struct runner_port *p)
{
	return (struct relay_port *)p;
}

static void
port_start(struct runner_port *rp, const struct target *t,
    const struct start_order *s, bool fresh, order_fn fn, void *arg)
{
	struct relay_port *p = port_of(rp);
	struct relayed x;

	if (!relay_order(p, t, RELAY_START, 0, arg, &x)) {
		p->direct->ops->start(p->direct, t, s, fresh, fn, arg);
		return;
	}
	x.open->fn.order = fn;
	x.order->task = xstrdup(s->task);
	x.order->run = s->run;
	x.order->spec = relay_add_spec(x.relay, s, fresh);
	x.order->until_ms = s->until_ms;
	x.order->fence = s->fence;
	x.order->saved = xstrdup(s->saved);
	x.order->ticket = xstrdup(s->ticket);
	x.order->born_ms = s->born_ms;
	x.order->fresh = fresh;
}

static void
port_stop(struct runner_port *rp, const struct target *t, const char *task,
    uint32_t run, uint64_t fence, order_fn fn, void *arg)
{
	struct relay_port *p = port_of(rp);
	struct relayed x;

	if (!relay_order(p, t, RELAY_STOP, 0, arg, &x)) {
		p->direct->ops->stop(p->direct, t, task, run, fence, fn, arg);
		return;
	}
	x.open->fn.order = fn;
	x.order->task = xstrdup(task);
	x.order->run = run;
	x.order->fence = fence;
}

static void
port_hold(struct runner_port *rp, const struct target *t,
    const struct hold_order *h, bool fresh, hold_fn fn, void *arg)
{
	struct relay_port *p = port_of(rp);
	struct relayed x;

	if (!relay_order(p, t, RELAY_HOLD, h->wait_ms, arg, &x)) {
		p->direct->ops->hold(p->direct, t, h, fresh, fn, arg);
		return;
	}
	x.open->is_hold = true;
	str_copy(x.open->runner, t->id, sizeof(x.open->runner));
	x.open->fn.hold = fn;
	x.order->until_ms = h->until_ms;
	x.order->fence = h->fence;
	x.order->seen = h->seen;
	x.order->born_ms = h->born_ms;
	x.order->wait_ms = h->wait_ms;
	x.order->fresh = fresh;
}

static void
port_pace(struct runner_port *rp, const struct target *t, const char *task,
    uint32_t run, int percent, uint64_t fence, order_fn fn, void *arg)
{
	struct relay_port *p = port_of(rp);
	struct relayed x;

	if (!relay_order(p, t, RELAY_PACE, 0, arg, &x)) {
		p->direct->ops->pace(
		    p->direct, t, task, run, percent, fence, fn, arg);
		return;
	}
	x.open->fn.order = fn;
	x.order->task = xstrdup(task);
	x.order->run = run;
	x.order->percent = (uint32_t)percent;
	x.order->fence = fence;
}

static const struct runner_ops relay_ops = {
    port_start, port_stop, port_hold, port_pace};

/*
 * Notes the answer to a hold, which shows whether the relay reaches the runner.
 * After several failures in a row the runner's orders go through another relay.
 */
static void
note_reachability(
    struct relay_port *p, const struct open_order *o, enum order_result result)
{
	bool answered = result != ORDER_UNKNOWN && result != ORDER_NOT_SENT;

	if (relay_fallbacks_note(&p->fallbacks, o->runner, answered))
		kvlog(KVLOG_INFO, "relay_rerouted",
		    "runner=%s from=%s result=%d rank=%d", o->runner, o->host,
		    (int)result,
		    relay_fallbacks_choice(&p->fallbacks, o->runner));
}

static void
finish_hold(struct open_order *o, const Cc__RelayAnswer *a)
{
	struct run_seen *runs = xcalloc(a->n_runs + 1, sizeof(*runs));
	struct end_seen *ends = xcalloc(a->n_ends + 1, sizeof(*ends));
	struct hold_result h = {
	    .result = (enum order_result)a->result,
	    .clock_ms = a->clock_ms,
	    .born_ms = a->born_ms,
	    .runs = runs,
	    .nruns = (int)a->n_runs,
	    .ends = ends,
	    .nends = (int)a->n_ends,
	    .closed = a->closed,
	};
	size_t i;

	for (i = 0; i < a->n_runs; i++)
		runs[i] = (struct run_seen){a->runs[i]->task, a->runs[i]->run,
		    a->runs[i]->saved, a->runs[i]->percent, a->runs[i]->load};
	for (i = 0; i < a->n_ends; i++)
		ends[i] = (struct end_seen){a->ends[i]->number,
		    a->ends[i]->task, a->ends[i]->run,
		    a->ends[i]->how <= END_LOST ? (enum run_end)a->ends[i]->how
						: END_LOST,
		    a->ends[i]->saved};
	o->fn.hold(&h, o->arg);
	free(runs);
	free(ends);
}

static void
take_answer(struct relay_port *p, const char *host, Cc__RelayAnswer *a)
{
	struct order_answer answer = {.clock_ms = a->clock_ms};
	struct open_order *o;

	HASH_FIND(hh, p->open, &a->serial, sizeof(a->serial), o);
	if (o == NULL || strcmp(o->host, host) != 0)
		return;
	if (o->is_hold && a->result == RELAY_RESULT_LATE) {
		if (!o->is_late)
			note_reachability(p, o, ORDER_UNKNOWN);
		wait_for_late_answer(o, clock_boot_ms());
		return;
	}
	if (a->result > ORDER_RESTARTED)
		a->result = ORDER_UNKNOWN;
	answer.result = (enum order_result)a->result;
	HASH_DEL(p->open, o);
	if (o->is_hold) {
		/* Its time-out counted before. */
		if (!o->is_late || answer.result != ORDER_UNKNOWN)
			note_reachability(p, o, answer.result);
		finish_hold(o, a);
	} else {
		o->fn.order(&answer, o->arg);
	}
	free(o);
}

void
relay_port_answers(
    struct relay_port *p, const char *host, const Cc__RelayAnswers *a)
{
	size_t i;

	for (i = 0; i < a->n_answers; i++)
		take_answer(p, host, a->answers[i]);
}

void
relay_port_set_relays(struct relay_port *p, struct relay_host *hosts, int n,
    double own, unsigned nrunners)
{
	uint64_t version = p->plan.version;
	const struct relay *r;
	int i, k = 0;

	for (i = 0; i < n; i++) {
		r = find_relay(p, hosts[i].host);
		if (r == NULL || !r->silent ||
		    r->peer_link != peer_net_link(p->peers, hosts[i].host))
			hosts[k++] = hosts[i];
	}
	relay_plan_set(&p->plan, hosts, k, own, nrunners);
	if (p->plan.version != version)
		kvlog(KVLOG_INFO, "relays_set",
		    "relays=%d candidates=%d runners=%u own_capacity=%.0f",
		    p->plan.n, k, nrunners, own);
}

static void
check_relay(struct relay_port *p, struct relay *r, int64_t now)
{
	if (r->silent || r->peer_link == 0)
		return;
	if (peer_net_link(p->peers, r->host) != r->peer_link)
		mark_silent(p, r, "link");
	else if (relay_ack_is_late(r, now))
		mark_silent(p, r, "ack");
}

void
relay_port_tick(struct relay_port *p)
{
	int64_t now = clock_boot_ms();
	struct relay *r;

	TAILQ_FOREACH (r, &p->relays, link)
		check_relay(p, r, now);
	give_up_orders(p, NULL, now);
}

int
relay_port_relays(const struct relay_port *p)
{
	return p->plan.n;
}

const struct relay_counters *
relay_port_counters(const struct relay_port *p)
{
	return &p->counters;
}

struct runner_port *
relay_port_ops(struct relay_port *p)
{
	return &p->port;
}

struct relay_port *
relay_port_new(
    struct event_base *base, struct peer_net *peers, struct runner_port *direct)
{
	struct relay_port *p = xcalloc(1, sizeof(*p));

	p->port.ops = &relay_ops;
	p->direct = direct;
	p->peers = peers;
	p->flush = evtimer_new(base, on_flush, p);
	TAILQ_INIT(&p->relays);
	return p;
}

void
relay_port_delete(struct relay_port *p)
{
	struct open_order *o, *tmp;
	struct relay *r;

	HASH_ITER(hh, p->open, o, tmp)
	{
		HASH_DEL(p->open, o);
		free(o);
	}
	while ((r = TAILQ_FIRST(&p->relays)) != NULL) {
		TAILQ_REMOVE(&p->relays, r, link);
		relay_delete(r);
	}
	relay_fallbacks_done(&p->fallbacks);
	event_free(p->flush);
	free(p);
}
