#include "claim.h"

/** A leader not heard from for this long is doubted, two beats and a half. A
 * doubt costs reads of a row; the claim waits for the row. */
#define BEAT_LATE_MS 250
/** The same for a host in reserve, which hears of the leader less often. */
#define BEAT_LATE_RESERVE_MS 2500
/** A host in reserve leaves the lead to core hosts for this long. */
#define RESERVE_MS 3000
/** Renewals come every 150 ms, or later when the store is slow. */
#define UNCHANGED_SERVED_MS CLAIM_AFTER_MIN_MS
/** The same, when the store doesn't serve this host well. */
#define UNCHANGED_MS 500
/** The same, when the leader itself says that its commits fail. */
#define UNCHANGED_STALLED_MS 100
/** The same, when no connection to the leader is up. */
#define UNCHANGED_UNLINKED_MS 450
/** Hosts of the next rank wait this much longer, so that few collide. */
#define RANK_MS 40

bool
claim_doubts(const struct claim_facts *f)
{
	if (!f->known)
		return false;
	if (f->no_leader || f->same_host || f->restarted || f->stalled)
		return true;
	return !f->linked ||
	    f->beat_age_ms > (f->reserve ? BEAT_LATE_RESERVE_MS : BEAT_LATE_MS);
}

bool
claim_due(const struct claim_facts *f)
{
	int64_t term = f->linked ? UNCHANGED_MS : UNCHANGED_UNLINKED_MS;

	if (!claim_doubts(f))
		return false;
	if (f->served)
		term = UNCHANGED_SERVED_MS;
	if (f->stalled && f->served)
		term = UNCHANGED_STALLED_MS;
	if (f->no_leader || f->same_host || f->restarted)
		term = 0;
	if (f->reserve && f->core_alive && term < RESERVE_MS)
		term = RESERVE_MS;
	return f->unchanged_ms >= term + (int64_t)f->rank * RANK_MS;
}
