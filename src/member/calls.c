/*
 * Forwards callers' calls to the leader.
 *
 * Every call is idempotent by the job's id, so it is sent again when the leader
 * changes. The job of a submit call that was sent and has no answer may have
 * been accepted: this host never refuses such a call, but ends it as outcome
 * unknown.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** A call that no leader has taken is refused after this time; a submit call
 * is refused earlier. */
#define NO_LEADER_TIMEOUT_MS 400
#define SUBMIT_NO_LEADER_TIMEOUT_MS 250
/** A call ends this long before the caller's deadline, so that the answer
 * arrives in time. */
#define ANSWER_MARGIN_MS 150
/** The margin is at most the caller's timeout divided by this. */
#define ANSWER_MARGIN_DIVISOR 5
/** Retry-after time that a refused caller is given. */
#define REFUSED_RETRY_MS 1000
/** Delay before an attempt that failed is repeated. */
#define RETRY_MS 50

struct pending_call {
	TAILQ_ENTRY(pending_call) link;
	uint64_t serial;
	struct member *member;
	enum call_verb verb;
	char *queue;
	char *account; /**< of the caller; "": none */
	char id[JOB_ID_LEN];
	Cc__JobRow *job;
	int64_t since_ms;
	int64_t deadline_ms;
	int64_t retry_at_ms; /**< time of the next attempt; 0: at once */
	bool in_flight;	     /**< an attempt waits for its answer */
	uint64_t attempt;    /**< number of the latest attempt */
	bool maybe_accepted; /**< a submit call that the leader may have
				accepted */
	cell_fn fn;
	void *arg;
};

static void
finish(struct pending_call *k, const struct cell_answer *a)
{
	struct member *m = k->member;
	int64_t took = clock_boot_ms() - k->since_ms;

	TAILQ_REMOVE(&m->calls, k, link);
	if (k->verb == CALL_SUBMIT)
		hist_add(&m->submit_ms, (uint64_t)took);
	else
		hist_add(&m->get_ms, (uint64_t)took);
	if (a->error == CC_ETIMEOUT || a->error == CC_EBUSY)
		m->unanswered++;
	k->fn(a, k->arg);
	if (k->job != NULL)
		cc__job_row__free_unpacked(k->job, NULL);
	free(k->queue);
	free(k->account);
	free(k);
}

static void
give_up(struct pending_call *k)
{
	struct cell_answer a = {
	    .error = CC_EBUSY, .retry_after_ms = REFUSED_RETRY_MS};

	if (k->maybe_accepted || k->in_flight)
		a.error = CC_ETIMEOUT;
	kvlog(KVLOG_INFO, "call_given_up",
	    "id=%s verb=%d outcome=%s age_ms=%lld leader=%s linked=%d", k->id,
	    k->verb, cc_strerror(a.error),
	    (long long)(clock_boot_ms() - k->since_ms), k->member->leader.host,
	    member_linked(k->member, k->member->leader.host));
	finish(k, &a);
}

static void
retry_later(struct pending_call *k)
{
	k->in_flight = false;
	k->retry_at_ms = clock_boot_ms() + RETRY_MS;
}

static void
take_answer(struct pending_call *k, const struct cell_answer *a)
{
	switch (a->error) {
	case CC_OK:
	case CC_ENOENT:
	case CC_EINVAL:
	case CC_ERATE:
	case CC_EPERM:
		finish(k, a);
		return;
	case CC_ENOTOWNER:
	case CC_ENOTSENT:
		retry_later(k);
		return;
	case CC_EBUSY:
		/*
		 * The leader knows every stored job, so its refusal of a
		 * submit call is final, whatever became of former attempts.
		 */
		if (k->verb == CALL_SUBMIT)
			finish(k, a);
		else
			retry_later(k);
		return;
	default:
		k->maybe_accepted = k->verb == CALL_SUBMIT;
		retry_later(k);
	}
}

static Cc__JobRow *
copy_job(const Cc__JobRow *job)
{
	size_t len = cc__job_row__get_packed_size(job);
	uint8_t *buf = xmalloc(len);
	Cc__JobRow *copy;

	cc__job_row__pack(job, buf);
	copy = cc__job_row__unpack(NULL, len, buf);
	free(buf);
	return copy;
}

/* Identifies an attempt: its call may have ended before the answer arrives. */
struct attempt {
	struct member *member;
	uint64_t serial;
	uint64_t attempt;
};

/* @return the call that waits for this attempt; NULL when none does. */
static struct pending_call *
waiting_call(const struct attempt *t)
{
	struct pending_call *k;

	TAILQ_FOREACH (k, &t->member->calls, link)
		if (k->serial == t->serial)
			return k->in_flight && k->attempt == t->attempt ? k
									: NULL;
	return NULL;
}

static void
on_local(const struct cell_answer *a, void *arg)
{
	struct attempt *t = arg;
	struct pending_call *k = waiting_call(t);

	if (k != NULL)
		take_answer(k, a);
	free(t);
}

static void
decode_reply(struct cell_answer *a, const Cc__CellReply *r)
{
	a->error = r->error;
	a->state =
	    r->state <= JOB_CANCELED ? (enum job_state)r->state : JOB_QUEUED;
	a->pending = r->pending;
	a->retry_after_ms = r->retry_after_ms;
	a->failure = job_failure_of(r->failure);
	str_copy(a->failed_task, r->failed_task, sizeof(a->failed_task));
}

static void
on_remote(int err, const Cc__Frame *f, void *arg)
{
	struct attempt *t = arg;
	struct pending_call *k = waiting_call(t);
	struct cell_answer a = {.error = err};

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_CELL_REPLY)
		decode_reply(&a, f->cell_reply);
	else if (err == CC_OK)
		a.error = CC_EPROTO;
	if (k != NULL)
		take_answer(k, &a);
	free(t);
}

static void
call_cell(struct member *m, const Cc__CellCall *call, cell_fn fn, void *arg)
{
	const struct cell_caller by = {call->queue, call->account};
	struct cell_answer a;

	switch ((enum call_verb)call->verb) {
	case CALL_SUBMIT:
		cell_submit(&m->cell, call->id, copy_job(call->job), fn, arg);
		return;
	case CALL_CANCEL:
		cell_cancel(&m->cell, &by, call->id, fn, arg);
		return;
	case CALL_GET:
		cell_get(&m->cell, &by, call->id, &a);
		break;
	case CALL_PENDING:
		cell_pending(&m->cell, call->queue, &a);
		break;
	}
	fn(&a, arg);
}

static void
send_to_leader(struct pending_call *k)
{
	struct member *m = k->member;
	struct attempt *t;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__CellCall c = CC__CELL_CALL__INIT;
	int64_t left = k->deadline_ms - clock_boot_ms();

	if (!member_leads(m) &&
	    (!m->leader.known || !member_linked(m, m->leader.host))) {
		retry_later(k);
		return;
	}
	t = xcalloc(1, sizeof(*t));
	t->member = m;
	t->serial = k->serial;
	t->attempt = ++k->attempt;
	k->in_flight = true;
	k->retry_at_ms = 0;
	c.verb = k->verb;
	c.queue = k->queue;
	c.id = k->id;
	c.job = k->job;
	c.account = k->account;
	if (member_leads(m)) {
		call_cell(m, &c, on_local, t);
		return;
	}
	m->forwarded++;
	f.body_case = CC__FRAME__BODY_CELL_CALL;
	f.cell_call = &c;
	peer_call(
	    m->peers, m->leader.host, &f, left > 0 ? left : 1, on_remote, t);
}

static int64_t
answer_margin_ms(int64_t timeout_ms)
{
	int64_t part = timeout_ms / ANSWER_MARGIN_DIVISOR;

	return part < ANSWER_MARGIN_MS ? part : ANSWER_MARGIN_MS;
}

void
member_call(
    struct member *m, const struct member_call *call, cell_fn fn, void *arg)
{
	struct pending_call *k = xcalloc(1, sizeof(*k));

	k->member = m;
	k->serial = ++m->call_serial;
	k->verb = call->verb;
	k->queue = xstrdup(call->queue);
	k->account = xstrdup(call->account);
	str_copy(k->id, call->id, sizeof(k->id));
	k->job = call->job;
	k->since_ms = clock_boot_ms();
	k->deadline_ms =
	    k->since_ms + call->timeout_ms - answer_margin_ms(call->timeout_ms);
	k->fn = fn;
	k->arg = arg;
	TAILQ_INSERT_TAIL(&m->calls, k, link);
	send_to_leader(k);
}

static struct pending_call *
next_call(const struct member *m, uint64_t after)
{
	struct pending_call *k;

	TAILQ_FOREACH (k, &m->calls, link)
		if (k->serial > after)
			return k;
	return NULL;
}

void
member_calls_tick(struct member *m)
{
	int64_t now = clock_boot_ms(), timeout;
	struct pending_call *k;
	uint64_t last = m->call_serial, serial = 0;

	/* Sending one call may end others, so each is found by its serial. */
	while ((k = next_call(m, serial)) != NULL && k->serial <= last) {
		serial = k->serial;
		timeout = k->verb == CALL_SUBMIT ? SUBMIT_NO_LEADER_TIMEOUT_MS
						 : NO_LEADER_TIMEOUT_MS;
		if (now >= k->deadline_ms)
			give_up(k);
		else if (!k->in_flight && !k->maybe_accepted &&
		    now - k->since_ms > timeout)
			give_up(k);
		else if (!k->in_flight && now >= k->retry_at_ms)
			send_to_leader(k);
	}
}

/*
 * Calls that the former leader hasn't answered become due again. The job of a
 * submit call among them may have been accepted there.
 */
void
member_calls_leader_changed(struct member *m)
{
	struct pending_call *k;

	TAILQ_FOREACH (k, &m->calls, link) {
		if (k->in_flight && k->verb == CALL_SUBMIT)
			k->maybe_accepted = true;
		k->in_flight = false;
		k->retry_at_ms = 0;
	}
}

void
member_calls_done(struct member *m)
{
	while (!TAILQ_EMPTY(&m->calls))
		give_up(TAILQ_FIRST(&m->calls));
}

/** A call that another member has forwarded to this host. */
struct served_call {
	struct member *member;
	struct peer_request rq;
};

static void
on_served(const struct cell_answer *a, void *arg)
{
	struct served_call *s = arg;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__CellReply r = CC__CELL_REPLY__INIT;
	char task[TASK_NAME_LEN];

	str_copy(task, a->failed_task, sizeof(task));
	r.error = a->error;
	r.state = a->state;
	r.pending = a->pending;
	r.retry_after_ms = a->retry_after_ms;
	r.failure = a->failure;
	r.failed_task = task;
	f.body_case = CC__FRAME__BODY_CELL_REPLY;
	f.cell_reply = &r;
	peer_reply(s->member->peers, &s->rq, &f);
	free(s);
}

void
member_serve_call(
    struct member *m, const struct peer_request *rq, const Cc__CellCall *call)
{
	struct served_call *s = xcalloc(1, sizeof(*s));
	struct cell_answer a = {.error = CC_ENOTOWNER};

	s->member = m;
	s->rq = *rq;
	if (!member_leads(m) || call->verb > CALL_PENDING ||
	    (call->verb == CALL_SUBMIT && call->job == NULL)) {
		on_served(&a, s);
		return;
	}
	call_cell(m, call, on_served, s);
}
