/* The tickets that steps have, and the runners that these open to them. */
#include "grants.h"

#include <stdlib.h>

#include "../base/xalloc.h"

/** A ticket is used up to this long before its end. */
#define TICKET_MARGIN_MS 150

struct advice *
step_advice(struct step *s)
{
	if (s->advice == NULL)
		s->advice = xcalloc(1, sizeof(struct advice));
	return s->advice;
}

struct grant *
grant_find(const struct advice *a, const char *runner)
{
	struct grant *g = NULL;

	if (a != NULL)
		HASH_FIND_STR(a->grants, runner, g);
	return g;
}

struct grant *
grant_get(struct advice *a, const char *runner)
{
	struct grant *g = grant_find(a, runner);

	if (g != NULL)
		return g;
	g = xcalloc(1, sizeof(*g));
	str_copy(g->runner, runner, sizeof(g->runner));
	HASH_ADD_STR(a->grants, runner, g);
	return g;
}

void
step_advice_free(struct step *s)
{
	struct advice *a = s->advice;
	struct grant *g, *tmp;

	if (a == NULL)
		return;
	HASH_ITER(hh, a->grants, g, tmp)
	{
		HASH_DEL(a->grants, g);
		free(g);
	}
	free(a);
	s->advice = NULL;
}

static bool
grant_valid(const struct grant *g, const struct runner *r, int64_t now)
{
	return g != NULL && g->standing == STANDING_ALLOWED &&
	    g->ticket[0] != '\0' && now < g->expires_ms - TICKET_MARGIN_MS &&
	    g->born_ms == r->info.born_ms;
}

bool
step_may_have_candidates(const struct step *s)
{
	const struct advice *a = s->advice;

	return !s->occurrence->job->queue->advice.needed ||
	    (a != NULL && a->answers > 0);
}

static int
granted_candidates(struct cell *c, const struct advice *a,
    const struct placing_want *w, struct candidate *out)
{
	const struct grant *g;
	struct runner *r;
	int n = 0;

	for (g = a != NULL ? a->grants : NULL; g != NULL; g = g->hh.next) {
		if (g->standing != STANDING_ALLOWED)
			continue;
		r = cell_runner(c, g->runner);
		if (r != NULL && grant_valid(g, r, w->now_ms) &&
		    placing_feasible(r, w))
			out[n++] = (struct candidate){
			    .runner = r, .ticket = g->ticket};
	}
	return n;
}

int
step_granted_runners(
    struct cell *c, const struct step *s, struct runner **out, int max)
{
	struct placing_want w = {.step = s,
	    .service = s->occurrence->job->queue->service,
	    .remote_factor = c->terms.remote_factor,
	    .now_ms = c->ports.now()};
	const struct advice *a = s->advice;
	const struct grant *g;
	struct runner *r;
	int n = 0;

	if (!s->occurrence->job->queue->advice.needed) {
		for (r = c->runners; r != NULL && n < max; r = r->hh.next)
			if (placing_allowed(r, &w))
				out[n++] = r;
		return n;
	}
	for (g = a != NULL ? a->grants : NULL; g != NULL && n < max;
	     g = g->hh.next) {
		r = cell_runner(c, g->runner);
		if (g->standing == STANDING_ALLOWED && r != NULL &&
		    grant_valid(g, r, w.now_ms) && placing_allowed(r, &w))
			out[n++] = r;
	}
	return n;
}

int
step_candidates(struct cell *c, const struct step *s,
    const struct placing_want *w, struct candidate *out)
{
	struct runner *r;
	int n = 0;

	if (s->occurrence->job->queue->advice.needed)
		return granted_candidates(c, s->advice, w, out);
	for (r = c->runners; r != NULL; r = r->hh.next)
		if (placing_feasible(r, w))
			out[n++] =
			    (struct candidate){.runner = r, .ticket = ""};
	return n;
}

void
step_ticket_refused(struct step *s, const struct runner *r)
{
	struct grant *g = grant_find(s->advice, r->info.id);

	if (g != NULL)
		g->ticket[0] = '\0';
}

/* Slots that valid tickets give now. */
uint32_t
granted_slots(
    struct cell *c, const struct step *s, const struct placing_want *w)
{
	const struct advice *a = s->advice;
	const struct grant *g;
	struct runner *r;
	uint64_t sum = 0;

	for (g = a->grants; g != NULL; g = g->hh.next) {
		if (g->standing != STANDING_ALLOWED)
			continue;
		r = cell_runner(c, g->runner);
		if (r != NULL && grant_valid(g, r, w->now_ms) &&
		    placing_feasible(r, w))
			sum += placing_slots(r, w);
	}
	return sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
}
