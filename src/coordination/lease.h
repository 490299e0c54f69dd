/**
 * @file Leases of hosts. Each host uses only its own clock.
 *
 * A host renews its lease by incrementing a counter (the beat) in its row. The
 * lease runs for the hold term from the moment the host *sent* the last renewal
 * that took effect. Another host may take over after it has seen the counter
 * unchanged for the longer take term. Clocks of different hosts are never
 * compared.
 */
#ifndef LEASE_H
#define LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Durations of a lease; take_ms must exceed hold_ms by the largest clock
 * drift. */
struct lease_terms {
	int64_t hold_ms;  /**< hold term: validity after a renewal was sent */
	int64_t take_ms;  /**< take term: time without a renewal after which
			     another host may take over */
	int64_t renew_ms; /**< interval of renewals */
};

/** The lease of this host. */
struct lease {
	uint64_t epoch;
	uint64_t beat;	     /**< renewal counter */
	int64_t sent_ms;     /**< when the newest renewal was sent */
	int64_t valid_until; /**< boot clock, ms */
	bool held;
};

/** What this host has seen of another host's lease. */
struct lease_watch {
	uint64_t epoch;
	uint64_t beat;
	int64_t since_ms; /**< when this beat was first seen */
	bool seen;
};

/** A renewal is sent now. */
void lease_sent(struct lease *l, int64_t now);
/** The last sent renewal took effect with this epoch and beat. */
void lease_renewed(struct lease *l, const struct lease_terms *t, uint64_t epoch,
    uint64_t beat);
/** Another host ended the lease. */
void lease_lost(struct lease *l);
/** Whether work may be started: the lease lasts for more than @p guard_ms. */
bool lease_valid(const struct lease *l, int64_t now, int64_t guard_ms);

/** Records a host's row; @p now is when the answer with the row arrived. */
void lease_watch_observe(
    struct lease_watch *w, uint64_t epoch, uint64_t beat, int64_t now);
/** Whether the row was unchanged for longer than the take term. */
bool lease_watch_lapsed(
    const struct lease_watch *w, const struct lease_terms *t, int64_t now);

#endif
