/**
 * @file Time leases of hosts, judged on one's own clock only.
 *
 * A host renews its row by adding one to a counter. It counts its term from
 * the moment it *sent* the last renewal that took effect. Another host may
 * take over after it has seen the counter unchanged for the longer take
 * term. No clocks are compared between hosts.
 */
#ifndef LEASE_H
#define LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Terms in ms; take_ms must exceed hold_ms by the largest clock drift. */
struct lease_terms {
	int64_t hold_ms;
	int64_t take_ms;
	int64_t renew_ms;
};

/** The lease of this host. */
struct lease {
	uint64_t epoch;
	uint64_t beat;
	int64_t sent_ms;     /**< when the renewal under way was sent */
	int64_t valid_until; /**< boot clock, ms */
	bool held;
};

/** What is known of another host's lease. */
struct lease_watch {
	uint64_t epoch;
	uint64_t beat;
	int64_t since_ms; /**< when this counter was first seen */
	bool seen;
};

void lease_sent(struct lease *l, int64_t now);
/** The renewal sent last took effect with this epoch and counter. */
void lease_renewed(struct lease *l, const struct lease_terms *t, uint64_t epoch,
    uint64_t beat);
/** Another host ended the lease. */
void lease_lost(struct lease *l);
/** Whether work may still be started, @p guard_ms before the end. */
bool lease_valid(const struct lease *l, int64_t now, int64_t guard_ms);

/** Notes a row; @p now is when the answer that holds it arrived. */
void lease_watch_observe(
    struct lease_watch *w, uint64_t epoch, uint64_t beat, int64_t now);
/** Whether the row stood unchanged for the take term. */
bool lease_watch_lapsed(
    const struct lease_watch *w, const struct lease_terms *t, int64_t now);

#endif
