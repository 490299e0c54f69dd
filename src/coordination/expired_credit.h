/**
 * @file A bounded share of the cell for expired work: steps of jobs that will
 * end far past their latency objective (see urgency.h).
 *
 * Such work ranks behind all other work, so a constant overload would starve
 * it. To prevent this a fixed share of the cell's processor time accrues as
 * credit; while the credit is not negative, one expired step is served before
 * all others and its processor time is deducted.
 */
#ifndef EXPIRED_CREDIT_H
#define EXPIRED_CREDIT_H

#include <stdbool.h>
#include <stdint.h>

struct expired_credit {
	double credit; /**< in core-ms; negative: more was used than accrued */
	int64_t updated_ms; /**< credit has accrued until then; 0: never */
};

/**
 * Adds the credit that has accrued until @p now.
 * @param cores of the whole cell
 * @return whether an expired step may be served first.
 */
bool expired_credit_available(
    struct expired_credit *t, double cores, int64_t now);
/** Deducts the estimated core-ms of a step that is served. */
void expired_credit_spend(struct expired_credit *t, double core_ms);

#endif
