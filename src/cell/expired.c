/*
 * Starvation protection for expired steps.
 *
 * The steps of a job that will end far past its latency objective are expired:
 * they rank behind all others (coordination/urgency.h), so steady load could
 * keep them waiting forever. A share of the cell's processors accrues as credit
 * (coordination/expired_credit.h); while it isn't negative, the expired step of
 * the oldest job is boosted, that is, placed before all others. At most one
 * step is boosted at a time.
 */
#include "../base/kvlog.h"
#include "cell_internal.h"

/* Estimated work of the starts that the step needs, core-ms. */
static double
step_work(const struct step *s)
{
	return (double)step_pending_starts(s) * s->spec->cpu / 1000.0 *
	    s->spec->estimate_ms;
}

static double
cell_cores(const struct cell *c)
{
	const struct runner *r;
	int64_t cpu = 0;

	for (r = c->runners; r != NULL; r = r->hh.next)
		cpu += r->info.cpu;
	return (double)cpu / 1000.0;
}

/* The expired step of the oldest job; NULL when there is none or while another
 * step is boosted. */
static struct step *
oldest_expired(const struct cell *c, int64_t now)
{
	struct step *s, *oldest = NULL;
	struct urgency u;

	TAILQ_FOREACH (s, &c->steps, link) {
		if (s->boosted)
			return NULL;
		u = step_urgency(s, now);
		if (!urgency_is_expired(&u) || !cell_may_start(c, s))
			continue;
		if (oldest == NULL ||
		    s->occurrence->job->accepted_ms <
			oldest->occurrence->job->accepted_ms)
			oldest = s;
	}
	return oldest;
}

void
cell_boost_expired(struct cell *c)
{
	int64_t now = c->ports.now();
	struct step *s = oldest_expired(c, now);

	if (s == NULL ||
	    !expired_credit_available(&c->expired_credit, cell_cores(c), now))
		return;
	s->boosted = true;
	expired_credit_spend(&c->expired_credit, step_work(s));
	kvlog(KVLOG_INFO, "expired_boost",
	    "id=%s step=%u late_ms=%lld wanted=%u", s->occurrence->job->id,
	    s->index, (long long)(now - s->occurrence->job->due_ms),
	    step_pending_starts(s));
}
