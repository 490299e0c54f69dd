#include "lead_lease.h"

#include "../base/kvlog.h"

/** Time without a renewal after which it is logged, and the interval of the
 * next lines. */
#define LOG_MS 1000

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
	    "fence=%llu renewed_ms_ago=%lld heard_runners=%d runs=%d "
	    "starts=%llu",
	    (unsigned long long)c->fence, (long long)age, heard, runs,
	    (unsigned long long)c->counters.starts);
}
