#include "lead_lease.h"

#include "../base/kvlog.h"

/** Shortest lease that a start may give. */
#define START_LEASE_MIN_MS 1000
/** Time on top of a lease for orders under way and for the clocks of hosts. */
#define LEASE_MARGIN_MS 1000

/** Age of a reading of a runner's clock from which on no start relies on it. */
#define CLOCK_AGE_MAX_MS 100000

/** Time without a renewal after which it is logged, and the interval of the
 * next lines. */
#define LOG_MS 1000

void
lead_lease_begin(struct cell *c, const struct cell_claim *claim)
{
	int64_t wait =
	    c->terms.lead_lease_ms * 100 / CLOCK_RATE_MIN_PCT + LEASE_MARGIN_MS;

	c->renewed_ms = claim->sent_ms;
	c->adopting = true;
	c->adopt_until_ms = c->ports.now() + wait;
	c->adopt_until_store_ms =
	    claim->store_clock_ms != 0 ? claim->store_clock_ms + wait : 0;
}

bool
lead_lease_allows_start(const struct cell *c)
{
	return c->ports.now() + START_LEASE_MIN_MS <=
	    c->renewed_ms + c->terms.lead_lease_ms;
}

int64_t
lead_lease_end(const struct cell *c, const struct runner *r, int64_t ms)
{
	int64_t end = runner_clock(r, c->ports.now()) + ms;
	/* The reading of its clock may be minutes old. */
	int64_t limit =
	    runner_clock_min(r, c->renewed_ms) + c->terms.lead_lease_ms;

	return end < limit ? end : limit;
}

int64_t
lead_lease_start_end(const struct cell *c, const struct runner *r)
{
	if (c->ports.now() - r->clock_at_ms > CLOCK_AGE_MAX_MS)
		return r->clock_ms;
	return lead_lease_end(c, r, c->terms.start_ms);
}

bool
lead_lease_inherited_over(const struct cell *c)
{
	return c->renewed_ms >= c->adopt_until_ms;
}

bool
lead_lease_inherited_over_at(const struct cell *c, const struct runner *r)
{
	int64_t until = c->adopt_until_ms;

	if (r->unheard_until_ms != 0 &&
	    r->unheard_until_ms < c->adopt_until_store_ms)
		until -= c->adopt_until_store_ms - r->unheard_until_ms;
	return c->renewed_ms >= until;
}

int64_t
lead_lease_unheard_until(const struct cell *c, const struct runner *r)
{
	if (r->unheard_until_ms != 0 &&
	    r->unheard_until_ms < c->adopt_until_store_ms)
		return r->unheard_until_ms;
	return c->adopt_until_store_ms;
}

void
lead_lease_log(struct cell *c)
{
	int64_t now = c->ports.now(), age = now - c->renewed_ms;
	const struct runner *r;
	int heard = 0, runs = 0;

	if (age < LOG_MS || now - c->unrenewed_log_ms < LOG_MS)
		return;
	c->unrenewed_log_ms = now;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (now - r->last_hold_answer_ms > LOG_MS)
			continue;
		heard++;
		runs += r->nruns;
	}
	kvlog(KVLOG_WARN, "lead_unrenewed",
	    "fence=%llu generation=%u renewed_ms_ago=%lld heard_runners=%d "
	    "runs=%d starts=%llu may_start=%d",
	    (unsigned long long)c->fence, c->generation, (long long)age, heard,
	    runs, (unsigned long long)c->counters.starts,
	    lead_lease_allows_start(c));
}
