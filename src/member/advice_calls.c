/*
 * Calls to the advice service from the hosts of members. The service takes one
 * call at a time from each host, so the leader spreads its calls over hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "member_internal.h"

/** A call that another host makes for the leader. */
struct remote_call {
	advice_fn fn;
	void *arg;
};

/** A call that this host makes for the leader. */
struct served_call {
	struct member *member;
	struct peer_request rq;
};

static struct member *
member_of(struct advice_port *p)
{
	return (struct member *)(void *)((char *)p -
	    offsetof(struct member, advice));
}

static void
on_reply(int err, const Cc__Frame *f, void *arg)
{
	struct remote_call *r = arg;
	const Cc__AdviseReply *a;
	struct advice_row *rows;
	size_t i;

	if (err == CC_OK && f->body_case != CC__FRAME__BODY_ADVISE_REPLY)
		err = CC_EPROTO;
	if (err != CC_OK) {
		r->fn(err, NULL, 0, 0, r->arg);
		free(r);
		return;
	}
	a = f->advise_reply;
	rows = xcalloc(a->n_runners + 1, sizeof(*rows));
	for (i = 0; i < a->n_runners && i < a->n_tickets; i++)
		rows[i] = (struct advice_row){a->runners[i], a->tickets[i]};
	r->fn(a->error, rows, (int)i, a->validity_ms, r->arg);
	free(rows);
	free(r);
}

static void
ask(struct advice_port *p, const char *host, const char *step,
    const char *const *runners, int nrunners, int64_t timeout_ms, advice_fn fn,
    void *arg)
{
	struct member *m = member_of(p);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__AdviseCall call = CC__ADVISE_CALL__INIT;
	struct remote_call *r;

	if (strcmp(host, m->settings->host) == 0) {
		m->ports.advise(
		    m->ports.arg, step, runners, nrunners, timeout_ms, fn, arg);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->fn = fn;
	r->arg = arg;
	call.step = (char *)(uintptr_t)step;
	call.runners = (char **)(uintptr_t)runners;
	call.n_runners = (size_t)nrunners;
	f.body_case = CC__FRAME__BODY_ADVISE_CALL;
	f.advise_call = &call;
	peer_call(m->peers, host, &f, timeout_ms, on_reply, r);
}

const struct advice_ops member_advice_ops = {ask};

static void
on_served(int err, const struct advice_row *rows, int nrows,
    int64_t validity_ms, void *arg)
{
	struct served_call *s = arg;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__AdviseReply a = CC__ADVISE_REPLY__INIT;
	int i;

	a.error = err;
	a.validity_ms = (uint32_t)validity_ms;
	a.runners = xcalloc((size_t)nrows + 1, sizeof(*a.runners));
	a.tickets = xcalloc((size_t)nrows + 1, sizeof(*a.tickets));
	for (i = 0; i < nrows; i++) {
		a.runners[a.n_runners++] = (char *)(uintptr_t)rows[i].runner;
		a.tickets[a.n_tickets++] = (char *)(uintptr_t)rows[i].ticket;
	}
	f.body_case = CC__FRAME__BODY_ADVISE_REPLY;
	f.advise_reply = &a;
	peer_reply(s->member->peers, &s->rq, &f);
	free(a.runners);
	free(a.tickets);
	free(s);
}

/** Timeout of a call that this host makes for the leader. */
#define ADVISE_TIMEOUT_MS 5000

void
member_serve_advise(
    struct member *m, const struct peer_request *rq, const Cc__AdviseCall *call)
{
	struct served_call *s = xcalloc(1, sizeof(*s));

	s->member = m;
	s->rq = *rq;
	m->ports.advise(m->ports.arg, call->step,
	    (const char *const *)call->runners, (int)call->n_runners,
	    ADVISE_TIMEOUT_MS, on_served, s);
}
