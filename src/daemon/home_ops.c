#include "home_ops.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home.h"
#include "hostlist.h"
#include "task_view.h"

#define LIST_MAX 1000

/** An operation that waits until a write is durable or a request is settled. */
struct op {
	struct node *node;
	home_reply_fn fn;
	void *arg;
	struct shard *shard;
	uint64_t epoch; /**< shard epoch when the operation began */
	char id[TASK_ID_LEN];
	bool created;	     /**< the request was created by this operation */
	struct event *timer; /**< timeout of a wait until settled */
	struct entry_waiter *waiter;
};

static void
reply_error(home_reply_fn fn, void *arg, int err)
{
	Cc__HomeReply r = CC__HOME_REPLY__INIT;

	r.error = err;
	fn(&r, arg);
}

static void
reply_entry(home_reply_fn fn, void *arg, const struct entry *e, bool created)
{
	Cc__HomeReply r = CC__HOME_REPLY__INIT;
	struct task_view v;

	task_view_init(&v, e);
	r.task = &v.msg;
	r.created = created;
	fn(&r, arg);
	task_view_done(&v);
}

static struct op *
op_new(struct shard *s, const char *id, home_reply_fn fn, void *arg)
{
	struct op *o = xcalloc(1, sizeof(*o));

	o->node = s->node;
	o->fn = fn;
	o->arg = arg;
	o->shard = s;
	o->epoch = s->held_epoch;
	str_copy(o->id, id, sizeof(o->id));
	return o;
}

/* Finds the request; NULL when the shard was lost. */
static struct entry *
op_entry(const struct op *o)
{
	if (o->shard->held_epoch != o->epoch ||
	    (o->shard->state != SHARD_OWNED &&
		o->shard->state != SHARD_RELEASING))
		return NULL;
	return ledger_find(&o->shard->ledger, o->id);
}

/* Replies once the journal is durable up to this operation, or failed. */
static void
op_durable(int err, void *arg)
{
	struct op *o = arg;
	struct entry *e = err == CC_OK ? op_entry(o) : NULL;

	if (e == NULL) {
		reply_error(o->fn, o->arg, err != CC_OK ? err : CC_ENOTOWNER);
	} else {
		e->accept_durable = true;
		reply_entry(o->fn, o->arg, e, o->created);
	}
	free(o);
}

/* ---- submit ---- */

static bool
never_fits(struct node *n, const struct entry *e)
{
	return !e->routed && !hostlist_could_hold(n->hostlist, &e->size);
}

static void
submit_new(struct shard *s, Cc__RecAccept *a, struct op *o)
{
	struct node *n = s->node;
	struct rec_end end = {
	    .outcome = OUTCOME_NOT_RUN,
	    .reason = "never-fits",
	};
	Cc__Rec rec = CC__REC__INIT;
	struct entry *e;

	rec.body_case = CC__REC__BODY_ACCEPT;
	rec.accept = a;
	o->created = true;
	if (rec_write(s, JOURNAL_NOW, &rec, op_durable, o) != CC_OK) {
		reply_error(o->fn, o->arg, CC_EINVAL);
		free(o);
		return;
	}
	e = ledger_find(&s->ledger, a->id);
	e->accepted_ms = clock_boot_ms();
	stats_class(&n->stats, e->class_name)->accepted++;
	kvlog(KVLOG_INFO, "accepted", "request=%s class=%s team=%s count=%u",
	    e->id, e->class_name, *e->team != '\0' ? e->team : "-", e->count);
	if (never_fits(n, e))
		home_settle_entry(s, e, &end);
	else if (!e->routed)
		home_enqueue(n->home, &e->members[0]);
}

static void
op_submit(struct shard *s, Cc__RecAccept *a, home_reply_fn fn, void *arg)
{
	struct entry *e = ledger_find(&s->ledger, a->id);
	struct op *o;

	if (e == NULL &&
	    (!node_table_up(s->node) || journal_retrying(&s->journal))) {
		reply_error(fn, arg, CC_EUNAVAIL);
		return;
	}
	if (e == NULL) {
		submit_new(s, a, op_new(s, a->id, fn, arg));
		return;
	}

	if (e->body_hash != a->body_hash ||
	    strcmp(e->class_name, a->class_name) != 0) {
		reply_error(fn, arg, CC_ECONFLICT);
		return;
	}
	/*
	 * The request was submitted before. With the same nonce it is this
	 * call that created it, sent again after its reply was lost.
	 */
	o = op_new(s, a->id, fn, arg);
	o->created = e->nonce == a->nonce;
	journal_append(&s->journal, JOURNAL_NOW, NULL, op_durable, o);
}

/* ---- get ---- */

static void
wait_finish(struct op *o, const struct entry *e)
{
	if (e != NULL)
		reply_entry(o->fn, o->arg, e, false);
	else
		reply_error(o->fn, o->arg, CC_ENOTOWNER);
	event_free(o->timer);
	free(o);
}

static void
wait_settled(struct entry *e, void *arg)
{
	wait_finish(arg, e);
}

static void
wait_timed_out(evutil_socket_t fd, short what, void *arg)
{
	struct op *o = arg;
	struct entry *e = op_entry(o);

	(void)fd;
	(void)what;
	if (e != NULL) {
		TAILQ_REMOVE(&e->waiters, o->waiter, link);
		free(o->waiter);
	}
	wait_finish(o, e);
}

static void
op_wait(struct shard *s, struct entry *e, uint32_t wait_ms, home_reply_fn fn,
    void *arg)
{
	struct op *o = op_new(s, e->id, fn, arg);
	struct timeval tv = {wait_ms / 1000, (wait_ms % 1000) * 1000};

	o->waiter = xcalloc(1, sizeof(*o->waiter));
	o->waiter->fn = wait_settled;
	o->waiter->arg = o;
	TAILQ_INSERT_TAIL(&e->waiters, o->waiter, link);
	o->timer = evtimer_new(s->node->base, wait_timed_out, o);
	evtimer_add(o->timer, &tv);
}

static void
op_get(struct shard *s, const char *id, uint32_t wait_ms, home_reply_fn fn,
    void *arg)
{
	struct entry *e = ledger_find(&s->ledger, id);

	/* Without the lease another host may own the shard by now. */
	if (e == NULL)
		reply_error(fn, arg,
		    lease_valid(&s->node->lease, clock_boot_ms(), 0)
			? CC_ENOENT
			: CC_ENOTOWNER);
	else if (wait_ms > 0 && (e->state != ENTRY_ENDED || e->ending))
		op_wait(s, e, wait_ms, fn, arg);
	else
		reply_entry(fn, arg, e, false);
}

/* ---- cancel ---- */

static void
cancel_durable(int err, void *arg)
{
	struct op *o = arg;
	struct entry *e = err == CC_OK ? op_entry(o) : NULL;

	if (e != NULL && e->state != ENTRY_ENDED)
		home_cancel_entry(o->shard, e);
	if (e != NULL && e->ending)
		journal_append(
		    &o->shard->journal, JOURNAL_NOW, NULL, op_durable, o);
	else
		op_durable(err, o);
}

static void
op_cancel(struct shard *s, const char *id, home_reply_fn fn, void *arg)
{
	struct entry *e = ledger_find(&s->ledger, id);
	struct op *o;

	if (e == NULL) {
		op_get(s, id, 0, fn, arg);
		return;
	}
	if (e->routed) {
		reply_error(fn, arg, CC_EINVAL);
		return;
	}
	o = op_new(s, id, fn, arg);
	if (e->state == ENTRY_ENDED || e->cancelled) {
		journal_append(&s->journal, JOURNAL_NOW, NULL, op_durable, o);
		return;
	}
	if (rec_cancel(e, s, cancel_durable, o) != CC_OK) {
		reply_error(fn, arg, CC_EBUSY);
		free(o);
	}
}

/* ---- settle ---- */

static void
op_settle(struct shard *s, Cc__RecEnd *r, home_reply_fn fn, void *arg)
{
	struct entry *e = ledger_find(&s->ledger, r->id);
	struct rec_end end = {
	    .outcome = (enum outcome)r->outcome,
	    .reason = r->reason,
	    .run_ms = r->run_ms,
	    .status = r->status,
	    .answer = r->answer.data,
	    .answer_len = r->answer.len,
	    .content_type = r->content_type,
	};

	if (e == NULL) {
		reply_error(fn, arg, CC_ENOENT);
		return;
	}
	if (e->state != ENTRY_ENDED)
		home_settle_entry(s, e, &end);
	journal_append(&s->journal, JOURNAL_NOW, NULL, op_durable,
	    op_new(s, r->id, fn, arg));
}

/* ---- lists ---- */

static const char *const state_names[] = {"waiting", "running", "ended"};

void
home_list(struct node *n, const char *class_name, const char *state,
    home_reply_fn fn, void *arg)
{
	Cc__HomeReply r = CC__HOME_REPLY__INIT;
	struct task_view *views = xcalloc(LIST_MAX, sizeof(*views));
	struct entry *e;
	int i;
	size_t k;

	r.tasks = xcalloc(LIST_MAX, sizeof(*r.tasks));
	for (i = 0; i < n->nshards; i++) {
		if (n->shards[i].state != SHARD_OWNED)
			continue;
		for (e = n->shards[i].ledger.entries;
		     e != NULL && r.n_tasks < LIST_MAX; e = e->hh.next) {
			if ((*class_name != '\0' &&
				strcmp(e->class_name, class_name) != 0) ||
			    (*state != '\0' &&
				strcmp(state_names[e->state], state) != 0))
				continue;
			task_view_init(&views[r.n_tasks], e);
			views[r.n_tasks].msg.answer.len = 0;
			r.tasks[r.n_tasks] = &views[r.n_tasks].msg;
			r.n_tasks++;
		}
	}
	fn(&r, arg);
	for (k = 0; k < r.n_tasks; k++)
		task_view_done(&views[k]);
	free(views);
	free(r.tasks);
}

void
home_costs(struct node *n, int64_t from_day, int64_t to_day, home_reply_fn fn,
    void *arg)
{
	Cc__HomeReply r = CC__HOME_REPLY__INIT;
	struct cost_row *row;
	Cc__RecCost *c;
	size_t k;
	int i;

	for (i = 0; i < n->nshards; i++) {
		if (n->shards[i].state != SHARD_OWNED)
			continue;
		for (row = n->shards[i].ledger.costs; row != NULL;
		     row = row->hh.next) {
			if (row->day < from_day || row->day > to_day)
				continue;
			c = xcalloc(1, sizeof(*c));
			cc__rec_cost__init(c);
			c->day = row->day;
			c->class_name = row->class_name;
			c->team = row->team;
			c->tasks = row->tasks;
			c->cpu_ms = row->cpu_ms;
			c->memory_mb_ms = row->memory_mb_ms;
			c->accelerator_ms = row->accelerator_ms;
			r.costs = xrealloc(
			    r.costs, (r.n_costs + 1) * sizeof(*r.costs));
			r.costs[r.n_costs++] = c;
		}
	}
	fn(&r, arg);
	for (k = 0; k < r.n_costs; k++)
		free(r.costs[k]);
	free(r.costs);
}

/* ---- dispatch by message type ---- */

static bool
serves(const struct shard *s)
{
	return s->state == SHARD_OWNED;
}

const char *
home_frame_id(const Cc__Frame *f)
{
	switch (f->body_case) {
	case CC__FRAME__BODY_SUBMIT:
		return f->submit->accept != NULL ? f->submit->accept->id : "";
	case CC__FRAME__BODY_GET:
		return f->get->id;
	case CC__FRAME__BODY_CANCEL:
		return f->cancel->id;
	case CC__FRAME__BODY_SETTLE:
		return f->settle->end != NULL ? f->settle->end->id : "";
	default:
		return "";
	}
}

void
home_execute(struct node *n, const Cc__Frame *f, home_reply_fn fn, void *arg)
{
	const char *id = home_frame_id(f);
	struct shard *s = node_home(n, id);

	if (!serves(s) || *id == '\0') {
		reply_error(fn, arg, CC_ENOTOWNER);
		return;
	}
	switch (f->body_case) {
	case CC__FRAME__BODY_SUBMIT:
		op_submit(s, f->submit->accept, fn, arg);
		break;
	case CC__FRAME__BODY_GET:
		op_get(s, f->get->id, f->get->wait_ms, fn, arg);
		break;
	case CC__FRAME__BODY_CANCEL:
		op_cancel(s, f->cancel->id, fn, arg);
		break;
	default:
		op_settle(s, f->settle->end, fn, arg);
	}
}

/* ---- calls from other hosts ---- */

/** A call from another host that waits for its reply. */
struct served_call {
	struct node *node;
	struct peer_request rq;
};

static void
served_done(const Cc__HomeReply *r, void *arg)
{
	struct served_call *sv = arg;
	Cc__Frame f = CC__FRAME__INIT;

	f.body_case = CC__FRAME__BODY_HOME_REPLY;
	f.home_reply = (Cc__HomeReply *)r;
	peer_reply(sv->node->peers, &sv->rq, &f);
	free(sv);
}

void
home_serve(struct node *n, const struct peer_request *rq, const Cc__Frame *f)
{
	struct served_call *sv = xcalloc(1, sizeof(*sv));

	sv->node = n;
	sv->rq = *rq;
	if (f->body_case == CC__FRAME__BODY_LIST_TASKS) {
		home_list(n, f->list_tasks->class_name, f->list_tasks->state,
		    served_done, sv);
		return;
	}
	if (f->body_case == CC__FRAME__BODY_COST_GET) {
		home_costs(n, f->cost_get->from_day, f->cost_get->to_day,
		    served_done, sv);
		return;
	}
	home_execute(n, f, served_done, sv);
}
