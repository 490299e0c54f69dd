/**
 * @file Leader election of a cell: when a host claims the leadership.
 *
 * The leader rewrites the commit row in the store with each commit, which
 * renews its leadership. A host that suspects the leader watches this row and
 * claims the leadership when the row has not changed for a certain time. The
 * claim is a compare-and-set on the version that the host watched, so a leader
 * that commits in time keeps the leadership. Clocks of different hosts are
 * never compared.
 */
#ifndef LEADER_CLAIM_H
#define LEADER_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Least time in ms from a renewal to a claim, unless the leader is gone or
 * reports that it is stalled.
 */
#define CLAIM_AFTER_MIN_MS 280

/** What a host knows about the leader when it considers a claim. */
struct claim_facts {
	bool known;	/**< the leader's row was read */
	bool no_leader; /**< the cell has none, or it released the
			 * leadership */
	bool same_host; /**< the row names this host, of an earlier
			 * incarnation or of a claim of unknown outcome */
	bool restarted; /**< the leader's host runs another incarnation */
	bool linked;	/**< a connection to the leader is up */
	bool stalled;	/**< the leader reports that its commits fail */
	bool store_responsive; /**< the store answers this host quickly */
	int64_t beat_age_ms;   /**< since the last heartbeat of the leader */
	int64_t unchanged_ms;  /**< for how long the commit row is unchanged */
	bool reserve;	 /**< not a core host: core hosts claim before it */
	bool core_alive; /**< a core host other than the leader is alive */
	int rank;	 /**< of this host among those that may claim, from 0 */
};

/** Whether the leader is suspected, so that the commit row must be watched. */
bool claim_leader_suspected(const struct claim_facts *f);
/** Why the leader is suspected, for the log: the first reason that holds. */
const char *claim_reason(const struct claim_facts *f);
/** Whether to claim the leadership now. */
bool claim_due(const struct claim_facts *f);
/**
 * Whether a claim of unknown outcome succeeded, as the leader's row shows.
 * @param before version of the row on which the claim was conditional
 * @param version of the row that was read since
 * @param own the row names this process, which may have led before
 */
bool claim_succeeded(uint64_t before, uint64_t version, bool own);

#endif
