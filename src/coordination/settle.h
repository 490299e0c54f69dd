/** @file What may be said of a request: rules without state. */
#ifndef SETTLE_H
#define SETTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "../state/outcome.h"

/** How many runs that failed early are tried again elsewhere. */
#define SETTLE_TRIES_MAX 2

/** Members of a cancelled request, by what is known of each. */
struct settle_view {
	uint32_t never;	 /**< certainly never started */
	uint32_t ran;	 /**< started, and ended or was stopped */
	uint32_t unsure; /**< may have been started */
	uint32_t open;	 /**< not known yet */
	bool maybe_ran;	 /**< an earlier start was lost */
};

/** Outcome of a cancelled request; OUTCOME_NONE while members are open. */
enum outcome settle_cancelled(const struct settle_view *v);
/** Whether a failed run is tried again on another worker. */
bool settle_try_again(
    bool repeatable, int exit_status, uint64_t run_ms, int tries);

/** What became of one attempt to send a request to a runner. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_REFUSED,  /**< the runner said that it did not run it */
	ATTEMPT_NOT_SENT, /**< no byte went out */
	ATTEMPT_LOST,	  /**< bytes went out and no whole answer came */
};

enum attempt_next {
	NEXT_SETTLE,
	NEXT_RETRY
};

/**
 * Decides after an attempt.
 * @param once the request must not run twice
 * @param budget a retry may be spent
 * @param maybe_ran an earlier attempt was lost
 * @param outcome set when the request is settled
 */
enum attempt_next settle_attempt(enum attempt_end end, bool once, bool budget,
    bool time_left, bool maybe_ran, enum outcome *outcome);

#endif
