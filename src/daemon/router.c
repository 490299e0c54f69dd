#include "router.h"

#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/retry.h"
#include "../coordination/route.h"
#include "../coordination/request_outcome.h"
#include "../coordination/shard_plan.h"
#include "../sys/clock.h"
#include "hostlist.h"
#include "router_dispatch.h"

#define TICK_MS 20

/** A request that waits for a slot of this host or occupies one. */
struct dispatch {
	struct route_item item; /**< first, as it is cast to a dispatch */
	struct router *router;
	struct runner *runner;
	char class_name[CLASS_NAME_LEN];
	char request[TASK_ID_LEN];
	uint8_t *body;
	size_t len;
	char content_type[64];
	bool at_most_once;
	bool maybe_ran;
	int64_t created_ms;
	int64_t sent_us;
	int64_t answer_timeout_ms;
	route_fn fn;
	void *arg;
};

struct router {
	struct node *node;
	struct route route;
	struct retry_budget budget;
	struct event *tick;
	int open; /**< number of dispatches not finished */
};

static void send_queued(struct router *r);

static void
dispatch_finish(struct dispatch *d, const struct route_answer *a)
{
	struct router *r = d->router;

	r->open--;
	d->fn(a, d->arg);
	free(d->body);
	free(d);
}

static void
finish_as(struct dispatch *d, enum outcome o, const char *reason)
{
	struct route_answer a = {
	    .outcome = o,
	    .reason = reason,
	    .content_type = "",
	    .wait_ms = clock_boot_ms() - d->created_ms,
	};

	dispatch_finish(d, &a);
}

static enum attempt_end
classify(const struct dispatch *d, const struct http_answer *a)
{
	const char *id;

	if (a->err == CC_ENOTSENT)
		return ATTEMPT_NOT_SENT;
	if (a->err != CC_OK)
		return ATTEMPT_LOST;
	id = evhttp_find_header(a->headers, "X-Request-Id");
	if (id == NULL || strcmp(id, d->request) != 0)
		return ATTEMPT_LOST; /* the answer to another request */
	if (evhttp_find_header(a->headers, "X-Not-Run") != NULL)
		return ATTEMPT_REFUSED;
	return ATTEMPT_ANSWERED;
}

static void
retry(struct dispatch *d)
{
	struct router *r = d->router;

	str_copy(d->item.avoid, d->runner->name, sizeof(d->item.avoid));
	stats_class(&r->node->stats, d->class_name)->retries++;
	d->runner = NULL;
	route_push(&r->route, &d->item);
}

static void
settle_answered(struct dispatch *d, const struct http_answer *a)
{
	const char *type = evhttp_find_header(a->headers, "Content-Type");
	struct route_answer ra = {
	    .outcome = OUTCOME_DONE,
	    .reason = "",
	    .status = a->status,
	    .body = a->body,
	    .len = a->len,
	    .content_type = type != NULL ? type : "",
	    .wait_ms = d->sent_us / 1000 - d->created_ms,
	};

	hist_add(&stats_class(&d->router->node->stats, d->class_name)->run_ms,
	    (uint64_t)(clock_boot_us() - d->sent_us) / 1000);
	dispatch_finish(d, &ra);
}

static void
runner_answered(const struct http_answer *a, void *arg)
{
	struct dispatch *d = arg;
	struct router *r = d->router;
	int64_t now = clock_boot_ms();
	enum attempt_end end = classify(d, a);
	enum outcome o = OUTCOME_NONE;
	bool time_left = now < d->item.ready.give_up_ms;
	bool budget = end == ATTEMPT_LOST && !d->at_most_once && time_left &&
	    retry_spend(&r->budget);

	route_finished(&r->route, d->runner, d->item.cls,
	    clock_boot_us() - d->sent_us, end == ATTEMPT_ANSWERED, now);
	if (end == ATTEMPT_REFUSED)
		d->runner->leaving = true;
	if (end == ATTEMPT_LOST)
		d->maybe_ran = true;
	if (end == ATTEMPT_ANSWERED)
		retry_earn(&r->budget);
	if (attempt_decide(end, d->at_most_once, budget, time_left,
		d->maybe_ran, &o) == NEXT_RETRY)
		retry(d);
	else if (end == ATTEMPT_ANSWERED)
		settle_answered(d, a);
	else
		finish_as(
		    d, o, end == ATTEMPT_LOST ? "answer-lost" : "no-runner");
	send_queued(r);
}

static void
send_to_runner(struct dispatch *d)
{
	struct runner *rn = d->runner;
	struct http_request rq = {
	    .addr = rn->addr,
	    .port = rn->port,
	    .method = EVHTTP_REQ_POST,
	    .path = "/v1/run",
	    .body = d->body,
	    .len = d->len,
	    .content_type = d->content_type,
	    .headers = {{"X-Request-Id", d->request},
		{"X-Class", d->class_name}},
	    .timeout_ms = d->answer_timeout_ms,
	    .fresh = d->at_most_once,
	    .fn = runner_answered,
	    .arg = d,
	};

	d->sent_us = clock_boot_us();
	http_call(d->router->node->http, &rq);
}

static void
count_started(struct router *r, struct dispatch *d, int64_t now)
{
	const struct class_conf *c =
	    classes_find(&r->node->conf.classes, d->class_name);

	stats_started(&r->node->stats, d->class_name, now - d->created_ms,
	    c != NULL ? c->start_within_ms : 0);
}

static void
send_queued(struct router *r)
{
	struct ready_item *it;
	struct dispatch *d;
	struct runner *rn;
	int64_t now = clock_boot_ms();

	while ((it = ready_overdue(&r->route.queue, now)) != NULL) {
		d = (struct dispatch *)it;
		route_withdraw(&r->route, &d->item);
		finish_as(d, d->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		    "wait-exceeded");
	}
	while (
	    (d = (struct dispatch *)route_next(&r->route, now, &rn)) != NULL) {
		d->runner = rn;
		if (d->item.avoid[0] == '\0')
			count_started(r, d, now);
		send_to_runner(d);
	}
}

int
router_dispatch(
    struct router *r, const struct dispatch_request *q, route_fn fn, void *arg)
{
	struct node *n = r->node;
	const struct class_conf *c =
	    classes_find(&n->conf.classes, q->class_name);
	int64_t now = clock_boot_ms(), wait;
	struct dispatch *d;

	if (c == NULL || c->kind != CLASS_REQUEST)
		return CC_ENOENT;
	wait = route_projected_wait_ms(&r->route, c->service, now);
	if (wait < 0)
		return CC_EUNAVAIL;
	if (wait > c->longest_wait_ms)
		return CC_EBUSY;
	d = xcalloc(1, sizeof(*d));
	d->router = r;
	str_copy(d->class_name, q->class_name, sizeof(d->class_name));
	str_copy(d->request, q->id, sizeof(d->request));
	str_copy(d->content_type, q->content_type, sizeof(d->content_type));
	str_copy(d->item.service, c->service, sizeof(d->item.service));
	d->body = xmemdup(q->body, q->len);
	d->len = q->len;
	d->at_most_once = q->at_most_once;
	d->created_ms = now;
	d->answer_timeout_ms = c->answer_within_ms;
	d->fn = fn;
	d->arg = arg;
	d->item.cls = route_class(&r->route, c->name);
	d->item.cls->share_pct = c->share_pct;
	d->item.ready.due_ms = now + c->start_within_ms;
	d->item.ready.give_up_ms = now +
	    (q->budget_ms > 0 && q->budget_ms < c->longest_wait_ms
		    ? q->budget_ms
		    : c->longest_wait_ms);
	r->open++;
	route_push(&r->route, &d->item);
	send_queued(r);
	return CC_OK;
}

/*
 * Rendezvous hashing: of the hosts that are up and not leaving, the one with
 * the highest rank for the runner owns its slots.
 */
static bool
owns_runner(struct node *n, const char *runner)
{
	uint64_t mine = plan_rank(runner, n->settings->host);
	char hosts[PLAN_HOSTS_MAX][64];
	struct peer_host *h;
	int i, count = peer_net_hosts(n->peers, hosts, PLAN_HOSTS_MAX);

	for (i = 0; i < count; i++) {
		h = node_host(n, hosts[i]);
		if (h != NULL && !h->beat_leaving &&
		    plan_rank(runner, hosts[i]) > mine)
			return false;
	}
	return true;
}

void
router_hosts_changed(struct router *r)
{
	struct node *n = r->node;
	const struct host_row *h;
	struct runner *rn;
	int i;

	for (i = 0; i < r->route.nrunners; i++)
		r->route.runners[i]->seen = false;
	for (h = hostlist_rows(n->hostlist); h != NULL; h = h->hh.next) {
		if (h->role != HOST_RUNNER)
			continue;
		rn = route_runner(&r->route, h->name);
		if (rn == NULL)
			rn = route_runner_add(&r->route, h->name);
		if (rn == NULL)
			continue;
		str_copy(rn->service, h->service, sizeof(rn->service));
		str_copy(rn->addr, h->addr, sizeof(rn->addr));
		rn->port = h->port;
		rn->slots = (int)n->settings->runner_slots;
		rn->leaving = rn->leaving || h->leaving;
		rn->seen = true;
		rn->mine = owns_runner(n, h->name);
	}
	for (i = r->route.nrunners - 1; i >= 0; i--) {
		rn = r->route.runners[i];
		if (rn->seen)
			continue;
		rn->mine = false;
		route_runner_remove(&r->route, rn);
	}
	send_queued(r);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct router *r = arg;

	(void)fd;
	(void)what;
	send_queued(r);
}

struct router *
router_new(struct node *n)
{
	struct router *r = xcalloc(1, sizeof(*r));
	struct timeval tv = {0, TICK_MS * 1000};

	r->node = n;
	route_init(&r->route);
	retry_init(&r->budget);
	r->tick = event_new(n->base, -1, EV_PERSIST, on_tick, r);
	event_add(r->tick, &tv);
	return r;
}

void
router_delete(struct router *r)
{
	event_free(r->tick);
	route_done(&r->route);
	free(r);
}

void
router_fill_beat(struct router *r, Cc__Beat *b)
{
	b->runner_free = (uint32_t)route_free(&r->route);
	b->runner_queue = (uint32_t)r->route.queue.count;
}

int
router_open_requests(const struct router *r)
{
	return r->open;
}

int
router_waiting(const struct router *r)
{
	return r->route.queue.count;
}

const struct route *
router_state(const struct router *r)
{
	return &r->route;
}

struct node *
router_node(const struct router *r)
{
	return r->node;
}
