#include "relay_serve.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../state/job.h"
#include "../sys/clock.h"

/** An answer may wait this long for its frame to fill: with ends of runs, and
 * without. */
#define ENDS_BATCH_DELAY_MS 1
#define ANSWER_BATCH_DELAY_MS 8
/** Largest number of answers in a frame; a full frame is sent at once. */
#define ANSWERS_MAX 256

/** Answers to be sent in the next frame on a link. */
struct outbox {
	TAILQ_ENTRY(outbox) link;
	uint64_t peer_link;
	Cc__RelayAnswer *answers[ANSWERS_MAX];
	size_t n;
};

/** A job's spec, with which its tasks are started. */
struct cached_spec {
	UT_hash_handle hh;
	char job[JOB_ID_LEN];
	char *text;
	int64_t used_ms;
};

struct relay_serve {
	struct peer_net *peers;
	struct runner_port *runners;
	struct cached_spec *specs; /**< least recently used first */
	struct event *flush;
	int64_t flush_ms; /**< when the answers are sent; 0: there are none */
	uint64_t orders;
	TAILQ_HEAD(outbox_list, outbox) outboxes;
};

/** An order that was sent to a runner and has no answer yet. */
struct pending_order {
	struct relay_serve *serve;
	uint64_t peer_link;
	uint64_t serial;
};

static void
send_outbox(struct relay_serve *s, struct outbox *b)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__RelayAnswers a = CC__RELAY_ANSWERS__INIT;
	size_t i;

	a.answers = b->answers;
	a.n_answers = b->n;
	f.body_case = CC__FRAME__BODY_RELAY_ANSWERS;
	f.relay_answers = &a;
	peer_send_link(s->peers, b->peer_link, &f);
	for (i = 0; i < b->n; i++)
		cc__relay_answer__free_unpacked(b->answers[i], NULL);
	TAILQ_REMOVE(&s->outboxes, b, link);
	free(b);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct relay_serve *s = arg;

	(void)fd;
	(void)what;
	s->flush_ms = 0;
	while (!TAILQ_EMPTY(&s->outboxes))
		send_outbox(s, TAILQ_FIRST(&s->outboxes));
}

static struct outbox *
outbox_of(struct relay_serve *s, uint64_t peer_link)
{
	struct outbox *b;

	TAILQ_FOREACH (b, &s->outboxes, link)
		if (b->peer_link == peer_link)
			return b;
	b = xcalloc(1, sizeof(*b));
	b->peer_link = peer_link;
	TAILQ_INSERT_TAIL(&s->outboxes, b, link);
	return b;
}

static void
flush_in(struct relay_serve *s, int64_t ms)
{
	struct timeval tv = {0, ms * 1000};
	int64_t at = clock_boot_ms() + ms;

	if (s->flush_ms != 0 && s->flush_ms <= at)
		return;
	s->flush_ms = at;
	evtimer_add(s->flush, &tv);
}

/* Adds an answer to the next frame on its link; frees @p a when it is sent. */
static void
queue_answer(struct relay_serve *s, uint64_t peer_link, Cc__RelayAnswer *a)
{
	struct outbox *b = outbox_of(s, peer_link);

	flush_in(
	    s, a->n_ends > 0 ? ENDS_BATCH_DELAY_MS : ANSWER_BATCH_DELAY_MS);
	b->answers[b->n++] = a;
	if (b->n == ANSWERS_MAX)
		send_outbox(s, b);
}

static Cc__RelayAnswer *
answer_new(uint64_t serial, enum order_result result, int64_t clock_ms)
{
	Cc__RelayAnswer *a = xcalloc(1, sizeof(*a));

	cc__relay_answer__init(a);
	a->serial = serial;
	a->result = result;
	a->clock_ms = clock_ms;
	return a;
}

static void
on_order(const struct order_answer *o, void *arg)
{
	struct pending_order *k = arg;

	queue_answer(k->serve, k->peer_link,
	    answer_new(k->serial, o->result, o->clock_ms));
	free(k);
}

static void
add_runs(Cc__RelayAnswer *a, const struct hold_result *h)
{
	int i;

	a->runs = xcalloc((size_t)h->nruns + 1, sizeof(*a->runs));
	for (i = 0; i < h->nruns; i++) {
		Cc__RelayRun *r = xcalloc(1, sizeof(*r));

		cc__relay_run__init(r);
		r->task = xstrdup(h->runs[i].task);
		r->run = h->runs[i].run;
		r->saved = xstrdup(h->runs[i].saved);
		r->percent = h->runs[i].percent;
		r->load = h->runs[i].load;
		a->runs[a->n_runs++] = r;
	}
}

static void
add_ends(Cc__RelayAnswer *a, const struct hold_result *h)
{
	int i;

	a->ends = xcalloc((size_t)h->nends + 1, sizeof(*a->ends));
	for (i = 0; i < h->nends; i++) {
		Cc__RelayEnd *e = xcalloc(1, sizeof(*e));

		cc__relay_end__init(e);
		e->number = h->ends[i].number;
		e->task = xstrdup(h->ends[i].task);
		e->run = h->ends[i].run;
		e->how = h->ends[i].how;
		e->saved = xstrdup(h->ends[i].saved);
		a->ends[a->n_ends++] = e;
	}
}

static void
on_hold(const struct hold_result *h, void *arg)
{
	struct pending_order *k = arg;
	Cc__RelayAnswer *a = answer_new(k->serial, h->result, h->clock_ms);

	if (h->more)
		a->result = RELAY_RESULT_LATE;
	a->born_ms = h->born_ms;
	a->closed = h->closed;
	if (h->nruns > 0)
		add_runs(a, h);
	if (h->nends > 0)
		add_ends(a, h);
	queue_answer(k->serve, k->peer_link, a);
	if (!h->more)
		free(k);
}

static void
spec_delete(struct relay_serve *s, struct cached_spec *spec)
{
	HASH_DEL(s->specs, spec);
	free(spec->text);
	free(spec);
}

static void
expire_specs(struct relay_serve *s, int64_t now)
{
	struct cached_spec *spec, *tmp;

	HASH_ITER(hh, s->specs, spec, tmp)
	{
		if (now - spec->used_ms <= RELAY_SPEC_CACHE_MS)
			return;
		spec_delete(s, spec);
	}
}

/*
 * Finds the spec of the order's job in the batch or the cache; caches it.
 * @return NULL when neither has it.
 */
static const char *
resolve_spec(
    struct relay_serve *s, const Cc__RelayBatch *batch, const Cc__RelayOrder *o)
{
	struct task_ref ref;
	struct cached_spec *spec;
	int64_t now = clock_boot_ms();

	if (!task_ref_parse(&ref, o->task))
		return NULL;
	expire_specs(s, now);
	HASH_FIND_STR(s->specs, ref.id, spec);
	if (o->spec > 0 && o->spec <= batch->n_specs) {
		if (spec != NULL)
			spec_delete(s, spec);
		spec = xcalloc(1, sizeof(*spec));
		str_copy(spec->job, ref.id, sizeof(spec->job));
		spec->text = xstrdup(batch->specs[o->spec - 1]);
	} else if (spec != NULL) {
		HASH_DEL(s->specs, spec);
	} else {
		return NULL;
	}
	spec->used_ms = now;
	HASH_ADD_STR(s->specs, job, spec);
	return spec->text;
}

static void
send_start(struct relay_serve *s, const struct target *t,
    const Cc__RelayBatch *batch, const Cc__RelayOrder *o,
    struct pending_order *k)
{
	const char *spec = resolve_spec(s, batch, o);
	struct start_order start = {
	    .task = o->task,
	    .run = o->run,
	    .spec = spec,
	    .until_ms = o->until_ms,
	    .fence = o->fence,
	    .saved = o->saved,
	    .ticket = o->ticket,
	    .born_ms = o->born_ms,
	};

	if (spec == NULL) {
		kvlog(KVLOG_INFO, "relay_spec_unknown", "task=%s", o->task);
		queue_answer(
		    s, k->peer_link, answer_new(o->serial, ORDER_NOT_SENT, 0));
		free(k);
		return;
	}
	s->runners->ops->start(s->runners, t, &start, o->fresh, on_order, k);
}

static void
send_hold(struct relay_serve *s, const struct target *t,
    const Cc__RelayOrder *o, struct pending_order *k)
{
	struct hold_order hold = {
	    .until_ms = o->until_ms,
	    .fence = o->fence,
	    .seen = o->seen,
	    .born_ms = o->born_ms,
	    .wait_ms = o->wait_ms,
	};

	s->runners->ops->hold(s->runners, t, &hold, o->fresh, on_hold, k);
}

static bool
order_is_valid(const Cc__RelayOrder *o)
{
	struct in6_addr ip;

	return o->verb <= RELAY_PACE && o->port > 0 && o->port <= UINT16_MAX &&
	    (inet_pton(AF_INET, o->addr, &ip) == 1 ||
		inet_pton(AF_INET6, o->addr, &ip) == 1);
}

static void
refuse_order(struct relay_serve *s, uint64_t peer_link, const Cc__RelayOrder *o)
{
	kvlog(KVLOG_WARN, "relay_order_invalid",
	    "verb=%u runner=%s addr=%s port=%u task=%s", o->verb, o->runner,
	    o->addr, o->port, o->task);
	queue_answer(s, peer_link, answer_new(o->serial, ORDER_NOT_SENT, 0));
}

static void
send_order(struct relay_serve *s, uint64_t peer_link,
    const Cc__RelayBatch *batch, const Cc__RelayOrder *o)
{
	struct target t = {
	    .addr = o->addr, .port = (uint16_t)o->port, .id = o->runner};
	struct pending_order *k;

	if (!order_is_valid(o)) {
		refuse_order(s, peer_link, o);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->serve = s;
	k->peer_link = peer_link;
	k->serial = o->serial;
	s->orders++;
	switch ((enum relay_verb)o->verb) {
	case RELAY_START:
		send_start(s, &t, batch, o, k);
		break;
	case RELAY_STOP:
		s->runners->ops->stop(
		    s->runners, &t, o->task, o->run, o->fence, on_order, k);
		break;
	case RELAY_HOLD:
		send_hold(s, &t, o, k);
		break;
	case RELAY_PACE:
		s->runners->ops->pace(s->runners, &t, o->task, o->run,
		    (int)o->percent, o->fence, on_order, k);
		break;
	}
}

void
relay_serve_batch(struct relay_serve *s, const struct peer_request *rq,
    const Cc__RelayBatch *batch)
{
	size_t i;

	for (i = 0; i < batch->n_orders; i++)
		send_order(s, rq->link, batch, batch->orders[i]);
}

uint64_t
relay_serve_orders(const struct relay_serve *s)
{
	return s->orders;
}

struct relay_serve *
relay_serve_new(struct event_base *base, struct peer_net *peers,
    struct runner_port *runners)
{
	struct relay_serve *s = xcalloc(1, sizeof(*s));

	s->peers = peers;
	s->runners = runners;
	s->flush = evtimer_new(base, on_flush, s);
	TAILQ_INIT(&s->outboxes);
	return s;
}

void
relay_serve_delete(struct relay_serve *s)
{
	while (!TAILQ_EMPTY(&s->outboxes))
		send_outbox(s, TAILQ_FIRST(&s->outboxes));
	while (s->specs != NULL)
		spec_delete(s, s->specs);
	event_free(s->flush);
	free(s);
}
