/* Placement: starts waiting tasks on the best runners, the most urgent step
 * first. */
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

#include "account_cap.h"
#include "apart.h"
#include "lead_lease.h"
#include "near_room.h"

/** A leader's run numbers of a task start at its generation times this, so that
 * it doesn't reuse a number of an earlier leader. */
#define RUNS_PER_GENERATION 1024

/** Longest wait of a suspected task for a runner without other work, and for
 * one without another suspected task. */
#define EMPTY_WAIT_MS 1500
#define SOUND_WAIT_MS 2500

/** Placement of one step. */
struct pick {
	struct cell *cell;
	struct step *step;
	struct placing_want want;
	struct candidate *candidates;
	int n;
	/** Waiting tasks that are to wait for the preferred rack; -1: not
	 * decided. */
	int64_t claimed;
};

struct ranked {
	struct urgency urgency;
	struct step *step;
};

/** Largest free amount of each resource on any one runner. */
struct room {
	int64_t cpu;
	int64_t mem_mb;
};

uint32_t
cell_next_run(const struct cell *c, const struct task *t)
{
	uint32_t first = c->generation * RUNS_PER_GENERATION + 1;

	return t->last_run >= first ? t->last_run + 1 : first;
}

/* Estimated time of this and all later unfinished steps of the occurrence. */
static int64_t
remaining_ms(const struct step *s)
{
	const struct step *steps = s->occurrence->steps;
	size_t i, n = s->occurrence->job->row->n_steps;
	int64_t sum = 0;

	for (i = s->index; i < n; i++)
		sum += steps[i].ndone < steps[i].spec->count
		    ? steps[i].spec->estimate_ms
		    : 0;
	return sum;
}

struct urgency
step_urgency(const struct step *s, int64_t now)
{
	const struct job *j = s->occurrence->job;
	struct urgency_job u = {
	    .accepted_ms = j->accepted_ms,
	    .due_ms = j->due_ms,
	    .remaining_ms = remaining_ms(s),
	    .priority = j->priority,
	    .boosted = s->boosted,
	    .long_running = s->spec->long_running,
	    .over_rate = j->row->over_rate,
	    .above_share = j->account != NULL && j->account->above_share,
	};

	return urgency_of(&u, now);
}

static int
compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	return urgency_compare(&x->urgency, &y->urgency);
}

bool
cell_may_start(const struct cell *c, const struct step *s)
{
	const struct job *j = s->occurrence->job;

	if (!j->stored || job_ended(j) || s->ready_ms == 0)
		return false;
	return !(c->adopting && j->inherited);
}

struct candidate *
cell_scratch(struct cell *c)
{
	size_t n = HASH_COUNT(c->runners) + 1;

	if (c->nscratch < n) {
		c->nscratch = n * 2;
		c->scratch =
		    xrealloc(c->scratch, c->nscratch * sizeof(*c->scratch));
	}
	return c->scratch;
}

static bool
pick_init(struct pick *p, struct cell *c, struct step *s, int64_t now)
{
	const struct queue *q = s->occurrence->job->queue;

	memset(p, 0, sizeof(*p));
	if (q == NULL || !step_may_have_candidates(s))
		return false;
	p->cell = c;
	p->step = s;
	p->claimed = -1;
	p->want = (struct placing_want){.step = s,
	    .renewed_ms = c->renewed_ms,
	    .service = q->service,
	    .remote_factor = c->terms.remote_factor,
	    .urgent = q->priority == 0,
	    .now_ms = now};
	return true;
}

static void
find_candidates(struct pick *p)
{
	struct cell *c = p->cell;

	p->candidates = cell_scratch(c);
	p->n = step_candidates(c, p->step, &p->want, p->candidates);
	if (p->n == 0 && apart_is_only_choice(c, p->step)) {
		p->want.joins_apart = true;
		p->n = step_candidates(c, p->step, &p->want, p->candidates);
	}
}

static struct candidate *
best_candidate(struct pick *p)
{
	struct candidate *best = NULL;
	double best_score = 0, score;
	int i;

	for (i = 0; i < p->n; i++) {
		struct runner *r = p->candidates[i].runner;

		if (!placing_feasible(r, &p->want))
			continue;
		score = placing_score(r, &p->want);
		if (best == NULL || score < best_score) {
			best = &p->candidates[i];
			best_score = score;
		}
	}
	return best;
}

/* Whether one more failure of the task fails its job. */
static bool
on_last_attempt(const struct task *t)
{
	const struct job *j = t->step->occurrence->job;

	return t->failures > 0 && t->failures + 1 >= j->max_attempts &&
	    j->max_attempts > 0;
}

static enum placing_beside
beside_after(int64_t waited_ms)
{
	if (waited_ms <= EMPTY_WAIT_MS)
		return BESIDE_NOTHING;
	return waited_ms <= SOUND_WAIT_MS ? BESIDE_SOUND : BESIDE_ANY;
}

/* Sets the conditions for this task of the step. */
static void
want_task(struct placing_want *w, const struct task *t)
{
	w->avoid = t->avoid;
	w->last_attempt = on_last_attempt(t);
	w->apart = task_crashes_suspected(&t->crashes);
	w->beside =
	    w->apart ? beside_after(w->now_ms - t->retry_ms) : BESIDE_ANY;
}

/* Tasks of the step that may start now. */
static uint32_t
waiting_tasks(const struct step *s, int64_t now)
{
	uint32_t i, n = 0;

	for (i = 0; i < s->spec->count; i++)
		n += !s->tasks[i].done && s->tasks[i].run == NULL &&
		    s->tasks[i].retry_ms <= now;
	return n;
}

static bool
has_suspected(const struct step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++)
		if (task_crashes_suspected(&s->tasks[i].crashes))
			return true;
	return false;
}

static bool
is_on_preferred_rack(const struct pick *p, const struct runner *r)
{
	return strcmp(r->info.rack, p->step->spec->preferred_rack) == 0;
}

/* Whether some candidate on the preferred rack takes the task now. */
static bool
near_candidate_is_free(const struct pick *p)
{
	int i;

	for (i = 0; i < p->n; i++)
		if (is_on_preferred_rack(p, p->candidates[i].runner) &&
		    placing_feasible(p->candidates[i].runner, &p->want))
			return true;
	return false;
}

/* Whether the task waits for its preferred rack rather than start on @p best.
 * A suspected task doesn't wait, as its choice of runners is limited already.
 */
static bool
waits_for_rack(struct pick *p, const struct runner *best)
{
	uint32_t left;

	if (p->step->spec->preferred_rack[0] == '\0' || p->want.apart ||
	    is_on_preferred_rack(p, best) || near_candidate_is_free(p))
		return false;
	left = waiting_tasks(p->step, p->want.now_ms);
	if (p->claimed < 0)
		p->claimed =
		    near_room_claim_tasks(p->cell, p->step, &p->want, left);
	return left <= p->claimed;
}

/* Whether all waiting tasks of the step wait for their preferred rack. Found
 * without a look at all runners, so that a pass reaches the steps behind. */
static bool
step_waits_for_rack(struct pick *p)
{
	struct step *s = p->step;
	uint32_t left;

	if (s->spec->gang || s->spec->preferred_rack[0] == '\0' ||
	    has_suspected(s) || near_room_is_free(p->cell, s, &p->want))
		return false;
	left = waiting_tasks(s, p->want.now_ms);
	p->claimed = near_room_claim_tasks(p->cell, s, &p->want, left);
	return left <= p->claimed;
}

static void
place_tasks(struct pick *p)
{
	struct step *s = p->step;
	struct candidate *best;
	uint32_t i;

	for (i = 0; i < s->spec->count && step_has_waiting(s); i++) {
		struct task *t = &s->tasks[i];

		if (t->done || t->run != NULL || t->retry_ms > p->want.now_ms)
			continue;
		want_task(&p->want, t);
		best = best_candidate(p);
		if (best == NULL && p->want.apart)
			continue;
		if (best != NULL && waits_for_rack(p, best->runner))
			return;
		if (best == NULL ||
		    !cell_start(p->cell, best->runner, t,
			cell_next_run(p->cell, t), best->ticket, false))
			return;
		if (p->want.apart)
			apart_keep(p->cell, t->run);
	}
}

static int
compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->score < y->score ? -1 : x->score > y->score;
}

/* Slots of the candidates on one rack, or on all racks when it is NULL. */
static uint32_t
rack_slots(const struct pick *p, const char *rack)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < p->n; i++)
		if (rack == NULL ||
		    strcmp(p->candidates[i].runner->info.rack, rack) == 0)
			sum += p->candidates[i].slots;
	return sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
}

/* The rack for a gang: the preferred one if the gang fits, else the one with
 * the fewest slots that it fits on; NULL when there is none. */
static const char *
gang_rack(const struct pick *p)
{
	const char *best = NULL;
	uint32_t best_slots = 0;
	int i;

	for (i = 0; i < p->n; i++) {
		const char *rack = p->candidates[i].runner->info.rack;
		uint32_t n = rack_slots(p, rack);

		if (n < p->step->spec->count)
			continue;
		if (strcmp(rack, p->step->spec->preferred_rack) == 0)
			return rack;
		if (best == NULL || n < best_slots) {
			best = rack;
			best_slots = n;
		}
	}
	return best;
}

/* Run number that all members of the gang share. */
static uint32_t
gang_run_number(const struct pick *p)
{
	uint32_t i, n, run = 0;

	for (i = 0; i < p->step->spec->count; i++) {
		n = cell_next_run(p->cell, &p->step->tasks[i]);
		run = n > run ? n : run;
	}
	return run;
}

/* Whether no member runs, is done or waits for its retry. */
static bool
gang_is_free(const struct pick *p)
{
	const struct step *s = p->step;
	uint32_t i;

	if (s->nheld > 0 || s->ndone > 0)
		return false;
	for (i = 0; i < s->spec->count; i++)
		if (s->tasks[i].retry_ms > p->want.now_ms)
			return false;
	return true;
}

static void
start_gang(struct pick *p, const char *rack)
{
	uint32_t k, next = 0, run = gang_run_number(p);
	int i;

	for (i = 0; i < p->n && next < p->step->spec->count; i++) {
		struct candidate *d = &p->candidates[i];

		if (rack != NULL && strcmp(d->runner->info.rack, rack) != 0)
			continue;
		for (k = 0; k < d->slots && next < p->step->spec->count; k++)
			cell_start(p->cell, d->runner, &p->step->tasks[next++],
			    run, d->ticket, false);
	}
}

/* Whether the gang waits to be rack-local. */
static bool
gang_waits_for_rack(struct pick *p, const char *rack)
{
	const Cc__StepSpec *s = p->step->spec;

	if (!near_room_matters(p->step))
		return false;
	if (s->same_rack ? rack != NULL
			 : rack_slots(p, s->preferred_rack) >= s->count)
		return false;
	return near_room_claim_gang(p->cell, p->step, &p->want);
}

static void
place_gang(struct pick *p)
{
	const char *rack = NULL;
	int i;

	if (!gang_is_free(p))
		return;
	for (i = 0; i < p->n; i++) {
		struct candidate *d = &p->candidates[i];

		d->slots = placing_slots(d->runner, &p->want);
		d->score = placing_score(d->runner, &p->want);
	}
	qsort(p->candidates, (size_t)p->n, sizeof(*p->candidates),
	    compare_candidates);
	if (p->step->spec->same_rack)
		rack = gang_rack(p);
	if (gang_waits_for_rack(p, rack))
		return;
	/* Without a rack that holds it, the gang is spread over racks. */
	if (rack_slots(p, rack) >= p->step->spec->count)
		start_gang(p, rack);
}

static void
place_step(struct cell *c, struct step *s, int64_t now)
{
	struct pick p;

	s->near_until_ms = 0;
	if (!account_cap_allows(c, s) || !pick_init(&p, c, s, now))
		return;
	if (!step_waits_for_rack(&p)) {
		find_candidates(&p);
		if (p.n > 0 && s->spec->gang)
			place_gang(&p);
		else if (p.n > 0)
			place_tasks(&p);
	}
	if (s->ncopies > 0)
		cell_place_copies(c, s, now);
}

static struct room
most_room(const struct cell *c)
{
	const struct runner *r;
	struct room room = {0, 0};

	for (r = c->runners; r != NULL; r = r->hh.next) {
		int64_t cpu = r->info.cpu - r->used_cpu;
		int64_t mem = r->info.mem_mb - r->used_mem_mb;

		if (!r->listed || r->info.draining)
			continue;
		room.cpu = cpu > room.cpu ? cpu : room.cpu;
		room.mem_mb = mem > room.mem_mb ? mem : room.mem_mb;
	}
	return room;
}

static bool
room_for(const struct room *room, const Cc__StepSpec *s)
{
	return (s->best_effort || s->cpu <= room->cpu) &&
	    s->mem_mb <= room->mem_mb;
}

/* Sorts the listed steps by urgency; takes steps that need no starts off the
 * list. */
static struct ranked *
rank_steps(struct cell *c, int64_t now, size_t *n)
{
	struct ranked *ranked;
	struct step *s, *next;
	size_t all = 0;

	TAILQ_FOREACH (s, &c->steps, link)
		all++;
	ranked = xcalloc(all + 1, sizeof(*ranked));
	*n = 0;
	for (s = TAILQ_FIRST(&c->steps); s != NULL; s = next) {
		next = TAILQ_NEXT(s, link);
		if (step_pending_starts(s) == 0) {
			TAILQ_REMOVE(&c->steps, s, link);
			account_remove_waiting(s->occurrence->job->account);
			s->listed = s->boosted = false;
			continue;
		}
		if (!cell_may_start(c, s))
			continue;
		ranked[*n].urgency = step_urgency(s, now);
		ranked[(*n)++].step = s;
	}
	qsort(ranked, *n, sizeof(*ranked), compare_ranked);
	return ranked;
}

void
cell_place(struct cell *c)
{
	int64_t now = c->ports.now();
	struct room room = most_room(c);
	struct ranked *ranked;
	size_t i, n;

	if (TAILQ_EMPTY(&c->steps) || c->config == NULL ||
	    !lead_lease_allows_start(c) || !cell_capacities_current(c))
		return;
	near_room_begin(c);
	ranked = rank_steps(c, now, &n);
	for (i = 0; i < n && c->ports.now() - now < PASS_MS; i++)
		if (room_for(&room, ranked[i].step->spec))
			place_step(c, ranked[i].step, now);
	if (i < n)
		c->ports.wake(c->ports.arg);
	free(ranked);
}
