/*
 * Requests tickets for steps from the advice service.
 *
 * Some queues allow a step only on some runners, which only the advice service
 * knows. It is asked in advance: at once for a new job, and for a later step
 * while the previous one runs. Which host sends a call is decided in
 * coordination/advice_lanes.h. Whether a runner is allowed never changes, so a
 * denied runner isn't named again.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"

#include "../coordination/advice_plan.h"
#include "grants.h"

/** Most runners to choose from: three times the most that a step may name. */
#define CHOICES_MAX (3 * ADVICE_CALLS_MAX * ADVICE_CALL_RUNNERS_MAX)
/** Timeout of a call, on top of twice its expected duration. */
#define CALL_MARGIN_MS 1500
/** Pause after a failed call. */
#define ASK_RETRY_MS 250
/** Pause after an answer, or when no runner could be named, until a step that
 * still lacks slots asks again. */
#define ASK_AGAIN_MS 120
/** Share of the previous step's estimated time after which the next step
 * should have its answer. */
#define PREFETCH_SHARE 0.4

/** A call to the advice service under way. */
struct call {
	struct cell *cell;
	uint64_t fence;
	struct task_ref step; /**< index isn't used */
	char host[64];
	char *queue;
	char **named;
	int nnamed;
	bool quick;
	int64_t pending_cpu; /**< expected use of each named runner by the step,
			      * thousandths of a core */
	int64_t sent_ms;
};

/** Share of the named runners that the answers for a queue allowed. */
struct queue_share {
	UT_hash_handle hh;
	char *queue;
	struct advice_share share;
};

/** A runner that a step may name in a call. */
struct choice {
	struct runner *runner;
	double score;
	uint32_t slots;
	enum grant_state state;
};

static struct advice_share *
queue_ask_share(struct cell *c, const char *queue)
{
	struct queue_share *s;

	HASH_FIND_STR(c->shares, queue, s);
	if (s == NULL) {
		s = xcalloc(1, sizeof(*s));
		s->queue = xstrdup(queue);
		advice_share_init(&s->share);
		HASH_ADD_KEYPTR(hh, c->shares, s->queue, strlen(s->queue), s);
	}
	return &s->share;
}

void
cell_advice_done(struct cell *c)
{
	struct queue_share *s, *tmp;

	HASH_ITER(hh, c->shares, s, tmp)
	{
		HASH_DEL(c->shares, s);
		free(s->queue);
		free(s);
	}
}

/* Expected duration of a call that names this many runners, ms. */
static double
call_ms(const struct queue *q, int runners)
{
	return q->advice.decision_ms + q->advice.runner_ms * runners;
}

/* Earliest time to ask for the step, so that the answer comes when each of its
 * unfinished predecessors has run for PREFETCH_SHARE of its estimate. INT64_MAX
 * while one of them hasn't started. */
static int64_t
prefetch_from_ms(const struct step *s, const struct queue *q)
{
	const struct step *steps = s->occurrence->steps;
	int64_t from = 0, at;
	size_t i;

	for (i = 0; i < s->spec->n_after; i++) {
		const struct step *b = &steps[s->spec->after[i]];

		if (b->ndone == b->spec->count)
			continue;
		if (b->first_start_ms == 0)
			return INT64_MAX;
		at = b->first_start_ms +
		    (int64_t)(PREFETCH_SHARE * b->spec->estimate_ms) -
		    (int64_t)call_ms(q, ADVICE_RUNNERS_MIN);
		from = at > from ? at : from;
	}
	return from;
}

static bool
needs_advice(struct cell *c, struct step *s, const struct queue *q, int64_t now)
{
	struct advice *a = step_advice(s);
	struct placing_want w = {.step = s,
	    .renewed_ms = c->renewed_ms,
	    .service = q->service,
	    .remote_factor = c->terms.remote_factor,
	    .now_ms = now};
	uint32_t waiting = step_pending_starts(s);

	if (a->open > 0 || now < a->retry_ms || waiting == 0)
		return false;
	if (s->ready_ms == 0 && now < prefetch_from_ms(s, q))
		return false;
	return granted_slots(c, s, &w) < waiting;
}

static int
compare_choices(const void *a, const void *b)
{
	const struct choice *x = a, *y = b;

	if (x->state != y->state)
		return x->state == GRANT_ALLOWED ? -1 : 1;
	if ((x->slots == 0) != (y->slots == 0))
		return x->slots == 0 ? 1 : -1;
	return x->score < y->score ? -1 : x->score > y->score;
}

/*
 * Slots that the runner will have left for this step after the steps that
 * asked before it have started. A step with quick calls counts only other
 * steps with quick calls, since the others start later.
 */
static uint32_t
slots_left(const struct runner *r, const struct placing_want *w, bool quick)
{
	int64_t pending =
	    quick ? r->quick_advice_pending_cpu : r->advice_pending_cpu;
	uint32_t cpu = w->step->spec->cpu, slots = placing_slots(r, w);
	int64_t taken = cpu > 0 ? (pending + cpu / 2) / cpu : 0;

	return taken < slots ? slots - (uint32_t)taken : 0;
}

static bool
add_choice(const struct step *s, const struct placing_want *w, bool quick,
    struct runner *r, struct choice *out)
{
	const struct grant *g;

	if (s->ready_ms != 0 ? !placing_feasible(r, w) : !placing_allowed(r, w))
		return false;
	g = grant_find(s->advice, r->info.id);
	if (g != NULL && g->state == GRANT_DENIED)
		return false;
	out->runner = r;
	out->slots = slots_left(r, w, quick);
	out->score = placing_score(r, w);
	out->state = g != NULL ? g->state : GRANT_UNKNOWN;
	return true;
}

/*
 * Lists runners that the step may name, best first. Goes on from the runner
 * where the last list ended, and stops at CHOICES_MAX. A step that is bound
 * to a rack gets all of them.
 */
static int
list_choices(struct cell *c, struct step *s, const struct queue *q, int64_t now,
    struct choice *out)
{
	struct placing_want w = {.step = s,
	    .renewed_ms = c->renewed_ms,
	    .service = q->service,
	    .remote_factor = c->terms.remote_factor,
	    .urgent = q->priority == 0,
	    .now_ms = now};
	bool quick = lanes_is_quick(call_ms(q, ADVICE_RUNNERS_MIN));
	bool all = s->spec->preferred_rack[0] != '\0' || s->spec->same_rack;
	unsigned left = HASH_COUNT(c->runners);
	struct runner *r = cell_runner(c, c->ask_cursor);
	int n = 0;

	for (; left > 0 && (all || n < CHOICES_MAX); left--) {
		if (r == NULL)
			r = c->runners;
		if (add_choice(s, &w, quick, r, &out[n]))
			n++;
		r = r->hh.next;
	}
	str_copy(
	    c->ask_cursor, r != NULL ? r->info.id : "", sizeof(c->ask_cursor));
	qsort(out, (size_t)n, sizeof(*out), compare_choices);
	return n;
}

/* @return number of choices to name so that enough are likely allowed. */
static int
choices_to_name(struct cell *c, const struct step *s, const struct queue *q,
    const struct choice *list, int n, int most)
{
	struct advice_need need = {.tasks = step_pending_starts(s),
	    .share = queue_ask_share(c, q->name)->share,
	    .decision_ms = q->advice.decision_ms,
	    .runner_ms = q->advice.runner_ms};
	struct advice_candidate *candidates =
	    xcalloc((size_t)n + 1, sizeof(*candidates));
	int i;

	for (i = 0; i < n; i++) {
		candidates[i].slots = list[i].slots;
		candidates[i].allowed = list[i].state == GRANT_ALLOWED;
	}
	n = advice_plan_runners(candidates, n, most, &need);
	free(candidates);
	return n;
}

static void
call_free(struct call *k)
{
	int i;

	for (i = 0; i < k->nnamed; i++)
		free(k->named[i]);
	free(k->named);
	free(k->queue);
	free(k);
}

static int64_t
clamped_sum(int64_t pending, int64_t cpu)
{
	return pending + cpu > 0 ? pending + cpu : 0;
}

/* Adds @p cpu to the use of the named runners that is expected once the calls
 * under way are answered; after the answer a negative value removes it. */
static void
add_advice_pending(struct cell *c, const struct call *k, int64_t cpu)
{
	struct runner *r;
	int i;

	for (i = 0; i < k->nnamed; i++) {
		r = cell_runner(c, k->named[i]);
		if (r == NULL)
			continue;
		r->advice_pending_cpu = clamped_sum(r->advice_pending_cpu, cpu);
		if (k->quick)
			r->quick_advice_pending_cpu =
			    clamped_sum(r->quick_advice_pending_cpu, cpu);
	}
}

/* The step of the call; NULL when its job or the leadership is over. */
static struct step *
call_step(const struct call *k)
{
	struct job *j;

	if (k->cell->phase != CELL_SERVING || k->cell->fence != k->fence)
		return NULL;
	j = cell_job(k->cell, k->step.id);
	if (j == NULL || job_ended(j) || k->step.occurrence >= j->noccurrences)
		return NULL;
	return &j->occurrences[k->step.occurrence]->steps[k->step.step];
}

/* Records an answer: a named runner without a row is denied. */
static void
apply_rows(struct cell *c, struct advice *a, const struct call *k,
    const struct advice_row *rows, int nrows, int64_t expires_ms)
{
	int i;

	for (i = 0; i < k->nnamed; i++)
		grant_deny(a, k->named[i]);
	for (i = 0; i < nrows; i++)
		grant_allow(c, a, rows[i].runner, rows[i].ticket, expires_ms);
	advice_share_update(queue_ask_share(c, k->queue), k->nnamed, nrows);
}

static void
on_advice(int err, const struct advice_row *rows, int nrows,
    int64_t validity_ms, void *arg)
{
	struct call *k = arg;
	struct cell *c = k->cell;
	struct step *s = call_step(k);
	int64_t now = c->ports.now();
	struct advice *a;

	lanes_answered(&c->lanes, k->host, now);
	if (c->fence == k->fence)
		add_advice_pending(c, k, -k->pending_cpu);
	if (s != NULL && s->advice != NULL) {
		a = s->advice;
		a->open -= a->open > 0;
		a->retry_ms =
		    now + (err == CC_OK ? ASK_AGAIN_MS : ASK_RETRY_MS);
		kvlog(KVLOG_INFO, "advice",
		    "step=%s.%u.%u asked=%d allowed=%d err=%s took_ms=%lld "
		    "lane=%s",
		    k->step.id, k->step.occurrence, k->step.step, k->nnamed,
		    nrows, cc_strerror(err), (long long)(now - k->sent_ms),
		    k->host);
		if (err == CC_OK) {
			/* The ticket's validity began before the answer. */
			a->answers++;
			apply_rows(c, a, k, rows, nrows, now + validity_ms);
		}
	}
	call_free(k);
	c->ports.wake(c->ports.arg);
}

static void
send_call(struct cell *c, struct step *s, const struct queue *q,
    const struct choice *list, int n, int64_t pending_cpu, struct lane *lane,
    int64_t now)
{
	struct call *k = xcalloc(1, sizeof(*k));
	struct advice *a = s->advice;
	char name[TASK_NAME_LEN];
	double ms = call_ms(q, n);
	int i;

	k->cell = c;
	k->fence = c->fence;
	k->sent_ms = now;
	str_copy(k->step.id, s->occurrence->job->id, sizeof(k->step.id));
	k->step.occurrence = s->occurrence->number;
	k->step.step = s->index;
	str_copy(k->host, lane->host, sizeof(k->host));
	k->queue = xstrdup(q->name);
	k->named = xcalloc((size_t)n, sizeof(*k->named));
	for (i = 0; i < n; i++)
		k->named[k->nnamed++] = xstrdup(list[i].runner->info.id);
	k->quick = lanes_is_quick(call_ms(q, ADVICE_RUNNERS_MIN));
	k->pending_cpu = pending_cpu;
	add_advice_pending(c, k, pending_cpu);
	a->open++;
	lane_sent(lane, ms, now);
	c->counters.advice_calls++;
	step_name(s, name, sizeof(name));
	c->ports.advice->ops->ask(c->ports.advice, lane->host, name,
	    (const char *const *)k->named, n,
	    (int64_t)(ms * 2) + CALL_MARGIN_MS, on_advice, k);
}

/* Splits the runners over calls in turn, so that each call names good ones. */
static void
send_calls(struct cell *c, struct step *s, const struct queue *q,
    const struct choice *list, int n, int idle, int64_t now)
{
	int calls = advice_plan_calls(
	    n, q->advice.decision_ms, q->advice.runner_ms, idle);
	int64_t pending_cpu = (int64_t)(step_pending_starts(s) *
	    (double)s->spec->cpu / (n * queue_ask_share(c, q->name)->share));
	struct choice part[ADVICE_CALL_RUNNERS_MAX];
	struct lane *lane;
	int i, k, m;

	for (k = 0; k < calls; k++) {
		lane = lanes_pick(&c->lanes, call_ms(q, ADVICE_RUNNERS_MIN));
		if (lane == NULL)
			return;
		for (i = k, m = 0; i < n && m < ADVICE_CALL_RUNNERS_MAX;
		     i += calls)
			part[m++] = list[i];
		if (m > 0)
			send_call(c, s, q, part, m, pending_cpu, lane, now);
	}
}

/* Asks for one step.
 * @return false when no lane is free for calls of this length. */
static bool
ask_for(struct cell *c, struct step *s, const struct queue *q, int64_t now)
{
	struct choice *list;
	int n, idle = lanes_idle(&c->lanes, call_ms(q, ADVICE_RUNNERS_MIN));

	if (lanes_pick(&c->lanes, call_ms(q, ADVICE_RUNNERS_MIN)) == NULL)
		return false;
	list = xmalloc((HASH_COUNT(c->runners) + 1) * sizeof(*list));
	n = list_choices(c, s, q, now, list);
	n = choices_to_name(c, s, q, list, n, advice_plan_runners_max(idle));
	if (n > 0)
		send_calls(c, s, q, list, n, idle, now);
	else
		step_advice(s)->retry_ms = now + ASK_AGAIN_MS;
	free(list);
	return true;
}

/** A step that needs advice. */
struct advice_request {
	struct urgency urgency;
	struct step *step;
	const struct queue *queue;
};

static int
compare_requests(const void *a, const void *b)
{
	const struct advice_request *x = a, *y = b;

	return urgency_compare(&x->urgency, &y->urgency);
}

struct advice_requests {
	struct advice_request *list;
	size_t n;
	size_t size;
};

static void
add_request(
    struct cell *c, struct advice_requests *w, struct step *s, int64_t now)
{
	const struct queue *q = s->occurrence->job->queue;

	if (q == NULL || !q->advice.needed || !needs_advice(c, s, q, now))
		return;
	if (w->n == w->size) {
		w->size = w->size * 2 + 16;
		w->list = xrealloc(w->list, w->size * sizeof(*w->list));
	}
	w->list[w->n].urgency = step_urgency(s, now);
	w->list[w->n].queue = q;
	w->list[w->n++].step = s;
}

/* Adds steps that aren't ready yet, of jobs that have started. */
static void
add_future_requests(struct cell *c, struct advice_requests *w, int64_t now)
{
	struct job *j;
	uint32_t i;
	size_t k;

	TAILQ_FOREACH (j, &c->live, live_link) {
		if (!j->started || j->row->n_steps < 2)
			continue;
		for (i = 0; i < j->noccurrences; i++)
			for (k = 1; k < j->row->n_steps; k++) {
				struct step *s = &j->occurrences[i]->steps[k];

				if (s->ready_ms == 0)
					add_request(c, w, s, now);
			}
	}
}

static void
ask_in_order(struct cell *c, struct advice_requests *w, int64_t now)
{
	bool quick = true, slow = true;
	size_t i;

	if (w->n > 0)
		qsort(w->list, w->n, sizeof(*w->list), compare_requests);
	for (i = 0; i < w->n && c->ports.now() - now < PASS_MS; i++) {
		const struct queue *q = w->list[i].queue;
		bool *lane = lanes_is_quick(call_ms(q, ADVICE_RUNNERS_MIN))
		    ? &quick
		    : &slow;

		if (*lane)
			*lane = ask_for(c, w->list[i].step, q, now);
	}
	free(w->list);
}

void
cell_ask_advice(struct cell *c)
{
	int64_t now = c->ports.now();
	struct advice_requests w = {0};
	struct step *s;

	if (c->config == NULL || c->lanes.n == 0)
		return;
	TAILQ_FOREACH (s, &c->steps, link)
		add_request(c, &w, s, now);
	ask_in_order(c, &w, now);
}

void
cell_prefetch_advice(struct cell *c)
{
	int64_t now = c->ports.now();
	struct advice_requests w = {0};

	if (c->config == NULL || c->lanes.n == 0)
		return;
	add_future_requests(c, &w, now);
	ask_in_order(c, &w, now);
}
