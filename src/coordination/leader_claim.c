#include "leader_claim.h"

/** A leader is suspected after this time without a heartbeat: two and a half
 * intervals. A suspicion only causes reads of the commit row; a claim also
 * requires that this row is unchanged. */
#define BEAT_LATE_MS 250
/** As BEAT_LATE_MS, for a reserve host: it gets heartbeats less often. */
#define BEAT_LATE_RESERVE_MS 2500
/** A reserve host leaves the claim to live core hosts for this long. */
#define RESERVE_WAIT_MS 3000
/** Time for which the commit row must be unchanged before a claim, when the
 * store answers this host quickly. The leader renews the row every 150 ms, or
 * later when the store is slow. */
#define UNCHANGED_RESPONSIVE_MS CLAIM_AFTER_MIN_MS
/** As UNCHANGED_RESPONSIVE_MS, when the store is slow for this host. */
#define UNCHANGED_MS 500
/** As UNCHANGED_RESPONSIVE_MS, when the leader reports failing commits. */
#define UNCHANGED_STALLED_MS 100
/** As UNCHANGED_MS, when no connection to the leader is up. */
#define UNCHANGED_UNLINKED_MS 450
/** Additional wait per rank, so that few claims collide. */
#define RANK_DELAY_MS 40

bool
claim_leader_suspected(const struct claim_facts *f)
{
	if (!f->known)
		return false;
	if (f->no_leader || f->same_host || f->restarted || f->stalled)
		return true;
	return !f->linked ||
	    f->beat_age_ms > (f->reserve ? BEAT_LATE_RESERVE_MS : BEAT_LATE_MS);
}

const char *
claim_reason(const struct claim_facts *f)
{
	if (f->no_leader)
		return "no-leader";
	if (f->same_host)
		return "same-host";
	if (f->restarted)
		return "restarted";
	if (f->stalled)
		return "stalled";
	return f->linked ? "beat-late" : "unlinked";
}

bool
claim_due(const struct claim_facts *f)
{
	int64_t term = f->linked ? UNCHANGED_MS : UNCHANGED_UNLINKED_MS;

	if (!claim_leader_suspected(f))
		return false;
	if (f->store_responsive)
		term = UNCHANGED_RESPONSIVE_MS;
	if (f->stalled && f->store_responsive)
		term = UNCHANGED_STALLED_MS;
	if (f->no_leader || f->same_host || f->restarted)
		term = 0;
	if (f->reserve && f->core_alive && term < RESERVE_WAIT_MS)
		term = RESERVE_WAIT_MS;
	return f->unchanged_ms >= term + (int64_t)f->rank * RANK_DELAY_MS;
}

bool
claim_succeeded(uint64_t before, uint64_t version, bool own)
{
	return own && version > before;
}
