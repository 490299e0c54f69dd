/**
 * @file When a host claims the lead of a cell.
 *
 * The leader renews a row with each commit. A host that has reason to doubt
 * the leader watches that row, and claims when it has not changed for a term.
 * The claim is conditional on the row it watched, so a leader that renews in
 * time keeps the lead. No clocks are compared.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * No claim comes sooner after a renewal, but for a leader that is gone or says
 * that it is stalled.
 */
#define CLAIM_AFTER_MIN_MS 280

struct claim_facts {
	bool known;	      /**< the leader's row was read */
	bool no_leader;	      /**< there is none, or it gave the lead up */
	bool same_host;	      /**< an earlier incarnation of this host leads */
	bool restarted;	      /**< the leader's host runs another incarnation */
	bool linked;	      /**< a connection to it is up */
	bool stalled;	      /**< it says that the store doesn't serve it */
	bool served;	      /**< the store serves this host well */
	int64_t beat_age_ms;  /**< since it was heard from */
	int64_t unchanged_ms; /**< the row is as it was for this long */
	bool reserve;	      /**< stronger hosts come first while one lives */
	bool core_alive;      /**< such a host, not the leader, is heard of */
	int rank;	      /**< of this host among those that may claim */
};

/** Whether the row should be watched. */
bool claim_doubts(const struct claim_facts *f);
/** Whether to claim now. */
bool claim_due(const struct claim_facts *f);

#endif
