/* Tickets that steps hold, and the runners that these allow. */
#include "grants.h"

#include <stdlib.h>

#include "../base/xalloc.h"

/** Time before its expiry from which a ticket isn't used any more. */
#define TICKET_MARGIN_MS 150

struct advice *
step_advice(struct step *s)
{
	struct advice *a = s->advice;

	if (a == NULL) {
		s->advice = a = xcalloc(1, sizeof(*a));
		TAILQ_INIT(&a->allowed);
	}
	return a;
}

struct grant *
grant_find(const struct advice *a, const char *runner)
{
	struct grant *g = NULL;

	if (a != NULL)
		HASH_FIND_STR(a->grants, runner, g);
	return g;
}

/* Finds a runner's grant, or adds one in the state GRANT_UNKNOWN. */
static struct grant *
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
grant_deny(struct advice *a, const char *runner)
{
	struct grant *g = grant_get(a, runner);

	if (g->state == GRANT_ALLOWED)
		TAILQ_REMOVE(&a->allowed, g, link);
	g->state = GRANT_DENIED;
}

void
grant_allow(struct cell *c, struct advice *a, const char *runner,
    const char *ticket, int64_t expires_ms)
{
	struct grant *g = grant_get(a, runner);
	const struct runner *r = cell_runner(c, runner);

	if (g->state != GRANT_ALLOWED)
		TAILQ_INSERT_TAIL(&a->allowed, g, link);
	g->state = GRANT_ALLOWED;
	free(g->ticket);
	g->ticket = ticket[0] != '\0' ? xstrdup(ticket) : NULL;
	g->expires_ms = expires_ms;
	g->born_ms = r != NULL ? r->info.born_ms : 0;
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
		free(g->ticket);
		free(g);
	}
	free(a);
	s->advice = NULL;
}

/* The grant's runner; NULL unless the ticket is valid for the runner's current
 * incarnation. */
static struct runner *
grant_runner(struct cell *c, struct grant *g, int64_t now)
{
	if (g->ticket == NULL || now >= g->expires_ms - TICKET_MARGIN_MS)
		return NULL;
	if (g->cached_version != c->runners_version) {
		g->cached = cell_runner(c, g->runner);
		g->cached_version = c->runners_version;
	}
	if (g->cached == NULL || g->born_ms != g->cached->info.born_ms)
		return NULL;
	return g->cached;
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
	struct grant *g;
	struct runner *r;
	int n = 0;

	if (a == NULL)
		return 0;
	TAILQ_FOREACH (g, &a->allowed, link) {
		r = grant_runner(c, g, w->now_ms);
		if (r != NULL && placing_feasible(r, w))
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
	    .renewed_ms = c->renewed_ms,
	    .service = s->occurrence->job->queue->service,
	    .remote_factor = c->terms.remote_factor,
	    .now_ms = c->ports.now()};
	const struct advice *a = s->advice;
	struct grant *g;
	struct runner *r;
	int n = 0;

	if (!s->occurrence->job->queue->advice.needed) {
		for (r = c->runners; r != NULL && n < max; r = r->hh.next)
			if (placing_allowed(r, &w))
				out[n++] = r;
		return n;
	}
	if (a == NULL)
		return 0;
	TAILQ_FOREACH (g, &a->allowed, link) {
		if (n == max)
			break;
		r = grant_runner(c, g, w.now_ms);
		if (r != NULL && placing_allowed(r, &w))
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

bool
step_holds_ticket(
    struct cell *c, const struct step *s, const struct runner *r, int64_t now)
{
	struct grant *g;

	if (!s->occurrence->job->queue->advice.needed)
		return true;
	g = grant_find(s->advice, r->info.id);
	return g != NULL && g->state == GRANT_ALLOWED &&
	    grant_runner(c, g, now) != NULL;
}

void
step_ticket_refused(struct step *s, const struct runner *r)
{
	struct grant *g = grant_find(s->advice, r->info.id);

	if (g == NULL)
		return;
	free(g->ticket);
	g->ticket = NULL;
}

uint32_t
granted_slots(
    struct cell *c, const struct step *s, const struct placing_want *w)
{
	const struct advice *a = s->advice;
	struct grant *g;
	struct runner *r;
	uint64_t sum = 0;

	TAILQ_FOREACH (g, &a->allowed, link) {
		r = grant_runner(c, g, w->now_ms);
		if (r != NULL && placing_feasible(r, w))
			sum += placing_slots(r, w);
	}
	return sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
}
