/**
 * @file How long the answers of one runner are waited for.
 *
 * The time-out of a call is that of all runners (rtt.h) or, for a runner that
 * answers later, follows the runner's own answer times. Answers to holds that
 * come after the time-out count for these as well; without them a slow runner
 * would have no answer times at all.
 */
#ifndef ANSWER_WAIT_H
#define ANSWER_WAIT_H

#include <stdbool.h>
#include <stdint.h>

#include "rtt.h"

struct answer_wait {
	struct rtt answers; /**< of this runner, late ones included */
	int unanswered;	    /**< holds in a row without an answer in time */
	int nlate;	    /**< holds whose late answers are waited for */
};

/** Time-out of an order in ms; @p all are the answers of all runners. */
int64_t answer_wait_order_ms(
    const struct answer_wait *w, const struct rtt *all);
/** Time-out of a hold in ms, beyond the time that it waits at the runner. */
int64_t answer_wait_hold_ms(const struct answer_wait *w, const struct rtt *all);
/** Time after its time-out for which a hold's answer is waited for, in ms. */
int64_t answer_wait_late_ms(const struct answer_wait *w);

/** Records an answer that took @p ms, not counting a wait at the runner. */
void answer_wait_sample(struct answer_wait *w, double ms);
/** Records that a hold was answered. */
void answer_wait_hold_answered(struct answer_wait *w);
/** Records that a hold failed or timed out.
 * @param more its late answer is waited for */
void answer_wait_hold_unanswered(struct answer_wait *w, bool more);
/** Records that a late answer arrived or is waited for no more. */
void answer_wait_late_over(struct answer_wait *w);

#endif
