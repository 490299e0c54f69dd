#include "request_outcome.h"

#include "quarantine.h"

enum outcome
outcome_of_cancelled(const struct cancelled_members *v)
{
	if (v->pending > 0)
		return OUTCOME_NONE;
	if (v->maybe_started > 0)
		return OUTCOME_UNKNOWN;
	if (v->ran > 0)
		return OUTCOME_DONE;
	return v->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

bool
failed_run_retryable(
    bool repeatable, int exit_status, uint64_t run_ms, int tries)
{
	return repeatable && exit_status != 0 && run_ms < HEALTH_EARLY_MS &&
	    tries < FAILED_RUN_RETRIES_MAX;
}

enum attempt_next
attempt_decide(enum attempt_end end, bool once, bool budget, bool time_left,
    bool maybe_ran, enum outcome *outcome)
{
	switch (end) {
	case ATTEMPT_ANSWERED:
		*outcome = OUTCOME_DONE;
		return NEXT_SETTLE;
	case ATTEMPT_REFUSED:
	case ATTEMPT_NOT_SENT:
		if (time_left)
			return NEXT_RETRY;
		*outcome = maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
		return NEXT_SETTLE;
	default:
		if (!once && budget && time_left)
			return NEXT_RETRY;
		*outcome = OUTCOME_UNKNOWN;
		return NEXT_SETTLE;
	}
}
