/** @file Rules, without state, for the retries and the outcome of a request. */
#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "../state/outcome.h"

/** How many times a run that failed early is retried on another worker. */
#define FAILED_RUN_RETRIES_MAX 2

/** Members of a cancelled request, counted by what is known of each. */
struct cancelled_members {
	uint32_t not_started;	/**< certainly not started */
	uint32_t ran;		/**< started, and ended or was stopped */
	uint32_t maybe_started; /**< possibly started */
	uint32_t pending;	/**< no information yet */
	bool maybe_ran;		/**< the answer to an earlier start was lost */
};

/** Outcome of a cancelled request; OUTCOME_NONE while members are @c pending.
 */
enum outcome outcome_of_cancelled(const struct cancelled_members *v);
/**
 * Whether a failed run is retried on another worker.
 * @param tries number of such retries so far
 */
bool failed_run_retryable(
    bool repeatable, int exit_status, uint64_t run_ms, int tries);

/** Result of one attempt to send a request to a runner. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_REFUSED,  /**< the runner answered that it did not run it */
	ATTEMPT_NOT_SENT, /**< no byte was sent */
	ATTEMPT_LOST, /**< bytes were sent, but no complete answer arrived */
};

/** What to do after an attempt. */
enum attempt_next {
	NEXT_SETTLE,
	NEXT_RETRY
};

/**
 * Decides whether a request is retried or settled after an attempt.
 * @param once the request must not run twice
 * @param budget the retry budget allows a retry
 * @param time_left the request's longest wait is not over
 * @param maybe_ran an attempt was lost, so the request may have run
 * @param outcome set for NEXT_SETTLE
 */
enum attempt_next attempt_decide(enum attempt_end end, bool once, bool budget,
    bool time_left, bool maybe_ran, enum outcome *outcome);

#endif
