/**
 * @file How long a leader may act without a renewal of its leadership, and how
 * long the next one waits for it.
 *
 * A leader that the store doesn't serve isn't told of the next one's claim, and
 * two leaders then act at the same time: each on the runners that it reaches.
 * So the leases that a leader grants end within a bound after its last renewal.
 * Until they have ended, the next leader doesn't start inherited work unless it
 * has heard every runner, which from then on refuses the leader before. A
 * runner that restarts forgets that, so a leader starts nothing on a new
 * incarnation before its next renewal.
 */
#ifndef LEAD_LEASE_H
#define LEAD_LEASE_H

#include "cell.h"

/** Begins the wait for leases that leaders before have granted. */
void lead_lease_begin(struct cell *c, const struct cell_claim *claim);
/** Whether starts may be sent: their leases would last long enough to be
 * renewed. */
bool lead_lease_allows_start(const struct cell *c);
/** End of a lease of up to @p ms that is granted now, on the runner's clock. */
int64_t lead_lease_end(
    const struct cell *c, const struct runner *r, int64_t ms);
/** As lead_lease_end() for a start. Where the runner's clock was read too long
 * ago, a time that is over: the runner refuses the start as late, and its
 * answer brings a new reading. */
int64_t lead_lease_start_end(const struct cell *c, const struct runner *r);
/** Whether all leases that leaders before granted are over, and no other leader
 * has claimed before that. */
bool lead_lease_inherited_over(const struct cell *c);
/** The same for leases at one runner. They end sooner if the leader before this
 * one has stored that it never heard it. */
bool lead_lease_inherited_over_at(const struct cell *c, const struct runner *r);
/** The time that this leader may store for a runner that it hasn't heard;
 * 0: none. */
int64_t lead_lease_unheard_until(const struct cell *c, const struct runner *r);
/** Logs once a second that the leadership isn't renewed, with what this leader
 * still does. */
void lead_lease_log(struct cell *c);

#endif
