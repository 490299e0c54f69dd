/*
 * The part of the router on the host that received a request from a caller:
 * claims the request's id, chooses the host whose runner slots it uses, and
 * records the outcome.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/route.h"
#include "../sys/clock.h"
#include "home_ops.h"
#include "request_cost.h"
#include "router_dispatch.h"

/** Other hosts that are tried in one round. */
#define PEERS_TRIED_MAX 3
#define RETRY_DELAY_MS 100
/** A host without a heartbeat for this time is not chosen. */
#define BEAT_FRESH_MS 3000
/** Added to the request's own deadlines in a call to another host. */
#define PEER_SLACK_MS 1000

/** A request that this host received from a caller. */
struct received_request {
	struct node *node;
	char class_name[CLASS_NAME_LEN];
	char id[TASK_ID_LEN];
	char team[64];
	char tried[PEERS_TRIED_MAX][HOST_NAME_LEN];
	int ntried;
	bool tried_self;
	uint8_t *body;
	size_t len;
	char content_type[64];
	bool at_most_once;
	bool has_key;
	bool maybe_ran;	 /**< an earlier attempt may have run it */
	bool overloaded; /**< a host refused it: too long a projected wait */
	bool duplicate;	 /**< not claimed: the id is in use, or an error */
	int64_t received_ms;
	int64_t longest_wait_ms;
	int64_t answer_timeout_ms;
	route_fn fn;
	void *arg;
	/* the answer, kept while its outcome is written */
	struct route_answer answer;
	uint8_t *answer_body;
	char reason[64];
	char answer_type[64];
};

static void try_hosts(struct received_request *q);

static void
answer_caller(struct received_request *q)
{
	struct route_answer *a = &q->answer;
	int64_t total = clock_boot_ms() - q->received_ms;

	if (!q->at_most_once && a->outcome == OUTCOME_DONE)
		request_cost_add(q->node->request_cost, q->class_name, q->team);
	if (!q->duplicate && !q->at_most_once)
		stats_settled(
		    &q->node->stats, q->class_name, a->outcome, total);
	kvlog(KVLOG_INFO, "answered",
	    "request=%s class=%s outcome=%s reason=%s status=%d "
	    "wait_ms=%" PRId64 " total_ms=%" PRId64,
	    q->id, q->class_name, outcome_name(a->outcome),
	    *a->reason != '\0' ? a->reason : "-", a->status, a->wait_ms, total);
	q->fn(a, q->arg);
	free(q->answer_body);
	free(q->body);
	free(q);
}

static void
settled(const Cc__HomeReply *r, void *arg)
{
	struct received_request *q = arg;

	if (r->error != CC_OK)
		kvlog(KVLOG_WARN, "settle_failed", "request=%s err=%s", q->id,
		    cc_strerror(r->error));
	answer_caller(q);
}

static void
keep_answer(struct received_request *q, const struct route_answer *a)
{
	q->answer = *a;
	str_copy(q->reason, a->reason, sizeof(q->reason));
	str_copy(q->answer_type, a->content_type, sizeof(q->answer_type));
	q->answer_body = xmemdup(a->body, a->len);
	q->answer.reason = q->reason;
	q->answer.content_type = q->answer_type;
	q->answer.body = q->answer_body;
}

/*
 * Answers the caller. The outcome of a request that must run at most once is
 * written at its home first.
 */
static void
finish(struct received_request *q, const struct route_answer *a)
{
	Cc__RecEnd end = CC__REC_END__INIT;

	keep_answer(q, a);
	if (!q->at_most_once) {
		answer_caller(q);
		return;
	}
	end.id = q->id;
	end.outcome = a->outcome;
	end.reason = q->reason;
	end.run_ms = 0;
	end.status = a->status;
	end.answer.data = q->answer_body;
	end.answer.len = a->len <= ANSWER_KEEP_MAX ? a->len : 0;
	end.content_type = q->answer_type;
	home_settle(q->node, &end, settled, q);
}

static void
finish_as(struct received_request *q, enum outcome o, const char *reason)
{
	struct route_answer a = {
	    .outcome = o,
	    .reason = reason,
	    .content_type = "",
	    .wait_ms = clock_boot_ms() - q->received_ms,
	};

	finish(q, &a);
}

static bool
was_tried(const struct received_request *q, const char *host)
{
	int i;

	for (i = 0; i < q->ntried; i++)
		if (strcmp(q->tried[i], host) == 0)
			return true;
	return false;
}

/* The other host with the most free slots, else the shortest queue. */
static struct peer_host *
best_peer(struct received_request *q)
{
	struct node *n = q->node;
	struct peer_host *h, *best = NULL;
	int64_t now = clock_boot_ms();
	int i, score, best_score = 0;

	for (i = 0; i < n->nhosts; i++) {
		h = &n->hosts[i];
		if (strcmp(h->name, n->settings->host) == 0 ||
		    h->beat_leaving || now - h->last_beat_ms > BEAT_FRESH_MS ||
		    !peer_net_up(n->peers, h->name) || was_tried(q, h->name))
			continue;
		score = (int)h->runner_free - (int)h->runner_queue;
		if (best == NULL || score > best_score) {
			best = h;
			best_score = score;
		}
	}
	return best;
}

static void
local_done(const struct route_answer *a, void *arg)
{
	finish(arg, a);
}

static int
try_self(struct received_request *q)
{
	struct dispatch_request dq = {
	    .class_name = q->class_name,
	    .id = q->id,
	    .body = q->body,
	    .len = q->len,
	    .content_type = q->content_type,
	    .budget_ms = q->received_ms + q->longest_wait_ms - clock_boot_ms(),
	    .at_most_once = q->at_most_once,
	};

	int err;

	if (dq.budget_ms <= 0)
		return CC_EBUSY;
	q->tried_self = true;
	err = router_dispatch(q->node->router, &dq, local_done, q);
	q->overloaded = q->overloaded || err == CC_EBUSY;
	return err;
}

static void
peer_done(int err, const Cc__Frame *f, void *arg)
{
	struct received_request *q = arg;
	const Cc__RouteReply *r;
	struct route_answer a = {0};

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_ROUTE_REPLY) {
		r = f->route_reply;
		if (r->refused) {
			q->overloaded = q->overloaded ||
			    strcmp(r->reason, "overloaded") == 0;
			try_hosts(q);
			return;
		}
		a.outcome = (enum outcome)r->outcome;
		a.reason = r->reason;
		a.status = r->status;
		a.body = r->body.data;
		a.len = r->body.len;
		a.content_type = r->content_type;
		a.wait_ms = r->wait_ms;
		if (a.outcome == OUTCOME_NOT_RUN && q->maybe_ran)
			a.outcome = OUTCOME_UNKNOWN;
		finish(q, &a);
		return;
	}
	if (err != CC_ENOTSENT)
		q->maybe_ran = true;
	if (q->at_most_once && q->maybe_ran)
		finish_as(q, OUTCOME_UNKNOWN, "host-lost");
	else
		try_hosts(q);
}

static void
send_to_peer(struct received_request *q, const char *host)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Route m = CC__ROUTE__INIT;
	int64_t left = q->received_ms + q->longest_wait_ms - clock_boot_ms();

	str_copy(q->tried[q->ntried++], host, HOST_NAME_LEN);
	m.class_name = q->class_name;
	m.request = q->id;
	m.body.data = q->body;
	m.body.len = q->len;
	m.content_type = q->content_type;
	m.budget_ms = left > 0 ? (uint32_t)left : 1;
	m.once = q->at_most_once;
	f.body_case = CC__FRAME__BODY_ROUTE;
	f.route = &m;
	peer_call(q->node->peers, host, &f,
	    left + q->answer_timeout_ms + PEER_SLACK_MS, peer_done, q);
}

static void
refuse(struct received_request *q)
{
	q->node->stats.requests_refused++;
	finish_as(
	    q, q->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, "overloaded");
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct received_request *q = arg;

	(void)fd;
	(void)what;
	q->tried_self = false;
	q->ntried = 0;
	try_hosts(q);
}

/*
 * No host owned a usable runner: owners are changing, or all runners of the
 * service are avoided for a time after failures.
 */
static void
retry_later(struct received_request *q)
{
	struct timeval tv = {0, RETRY_DELAY_MS * 1000};

	event_base_once(q->node->base, -1, EV_TIMEOUT, on_retry, q, &tv);
}

/*
 * Sends the request to a slot of this host while one is free, else to the host
 * with the most free slots; when no host has any, to the one with the shortest
 * queue.
 */
static void
try_hosts(struct received_request *q)
{
	struct node *n = q->node;
	struct peer_host *h = best_peer(q);
	const struct route *own = router_state(n->router);
	int free_own = route_free(own) - own->queue.count;
	bool self_better =
	    h == NULL || free_own >= (int)h->runner_free - (int)h->runner_queue;

	if (clock_boot_ms() - q->received_ms >= q->longest_wait_ms) {
		finish_as(q, q->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		    "wait-exceeded");
		return;
	}
	if (!q->tried_self && (free_own > 0 || self_better) &&
	    try_self(q) == CC_OK)
		return;
	if (h != NULL && q->ntried < PEERS_TRIED_MAX) {
		send_to_peer(q, h->name);
		return;
	}
	if (!q->tried_self && try_self(q) == CC_OK)
		return;
	if (q->overloaded)
		refuse(q);
	else
		retry_later(q);
}

/* ---- claims ---- */

static void
duplicate_settled(const Cc__HomeReply *r, void *arg)
{
	struct received_request *q = arg;
	struct route_answer a = {0};

	a.content_type = "";
	if (r->error != CC_OK || r->task == NULL ||
	    r->task->outcome == OUTCOME_NONE) {
		a.outcome = OUTCOME_UNKNOWN;
		a.reason = "other-pending";
	} else {
		a.outcome = (enum outcome)r->task->outcome;
		a.reason = r->task->reason;
		a.status = r->task->status;
		a.body = r->task->answer.data;
		a.len = r->task->answer.len;
		a.content_type = r->task->content_type;
	}
	keep_answer(q, &a);
	answer_caller(q);
}

static void
claimed(const Cc__HomeReply *r, void *arg)
{
	struct received_request *q = arg;
	struct route_answer a = {.content_type = ""};

	if (r->error == CC_OK && r->created) {
		try_hosts(q);
		return;
	}
	q->duplicate = true;
	if (r->error == CC_OK) {
		home_get(q->node, q->id,
		    (uint32_t)(q->longest_wait_ms + q->answer_timeout_ms),
		    duplicate_settled, q);
		return;
	}
	/* Nothing was sent to a runner for this caller, and nothing will be. */
	a.outcome = OUTCOME_NOT_RUN;
	a.reason =
	    r->error == CC_ECONFLICT ? "key-conflict" : "store-unavailable";
	/* With the caller's own key, an earlier request may have run. */
	if (q->has_key && r->error != CC_ECONFLICT && r->error != CC_EUNAVAIL)
		a.outcome = OUTCOME_UNKNOWN;
	keep_answer(q, &a);
	answer_caller(q);
}

static void
claim(struct received_request *q, const struct route_request *rq)
{
	Cc__RecAccept a = CC__REC_ACCEPT__INIT;

	a.id = q->id;
	a.class_name = q->class_name;
	a.team = q->team;
	a.count = 1;
	a.body_hash = XXH64(rq->body, rq->len, 0);
	a.wall_ms = clock_wall_ms();
	a.routed = true;
	a.repeatable = false;
	home_submit(q->node, &a, claimed, q);
}

void
router_submit(
    struct router *r, const struct route_request *rq, route_fn fn, void *arg)
{
	struct received_request *q = xcalloc(1, sizeof(*q));

	q->node = router_node(r);
	str_copy(q->class_name, rq->cls->name, sizeof(q->class_name));
	str_copy(q->id, rq->id, sizeof(q->id));
	str_copy(q->team, rq->team, sizeof(q->team));
	q->body = xmemdup(rq->body, rq->len);
	q->len = rq->len;
	str_copy(q->content_type, rq->content_type, sizeof(q->content_type));
	q->at_most_once = !rq->cls->repeatable;
	q->has_key = rq->has_key;
	q->received_ms = clock_boot_ms();
	q->longest_wait_ms = rq->cls->longest_wait_ms;
	q->answer_timeout_ms = rq->cls->answer_within_ms;
	q->fn = fn;
	q->arg = arg;
	if (q->at_most_once)
		claim(q, rq);
	else
		try_hosts(q);
}

/* ---- requests that other hosts received ---- */

struct served_route {
	struct node *node;
	struct peer_request rq;
};

static void
reply_refused(struct node *n, const struct peer_request *rq, int err)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__RouteReply r = CC__ROUTE_REPLY__INIT;

	r.refused = true;
	r.reason = err == CC_EBUSY ? "overloaded" : "";
	f.body_case = CC__FRAME__BODY_ROUTE_REPLY;
	f.route_reply = &r;
	peer_reply(n->peers, rq, &f);
}

static void
served_done(const struct route_answer *a, void *arg)
{
	struct served_route *s = arg;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__RouteReply r = CC__ROUTE_REPLY__INIT;

	r.outcome = a->outcome;
	r.reason = (char *)a->reason;
	r.status = a->status;
	r.body.data = (uint8_t *)a->body;
	r.body.len = a->len;
	r.content_type = (char *)a->content_type;
	r.wait_ms = (uint32_t)(a->wait_ms > 0 ? a->wait_ms : 0);
	f.body_case = CC__FRAME__BODY_ROUTE_REPLY;
	f.route_reply = &r;
	peer_reply(s->node->peers, &s->rq, &f);
	free(s);
}

void
router_serve(struct node *n, const struct peer_request *rq, const Cc__Route *m)
{
	struct served_route *s = xcalloc(1, sizeof(*s));
	struct dispatch_request dq = {
	    .class_name = m->class_name,
	    .id = m->request,
	    .body = m->body.data,
	    .len = m->body.len,
	    .content_type = m->content_type,
	    .budget_ms = m->budget_ms,
	    .at_most_once = m->once,
	};
	int err = CC_EUNAVAIL;

	s->node = n;
	s->rq = *rq;
	if (!n->leaving)
		err = router_dispatch(n->router, &dq, served_done, s);
	if (err == CC_OK)
		return;
	free(s);
	reply_refused(n, rq, err);
}
