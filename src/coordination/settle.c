#include "settle.h"

#include "quarantine.h"

enum outcome
settle_cancelled(const struct settle_view *v)
{
	if (v->open > 0)
		return OUTCOME_NONE;
	if (v->unsure > 0)
		return OUTCOME_UNKNOWN;
	if (v->ran > 0)
		return OUTCOME_DONE;
	return v->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

bool
settle_try_again(bool repeatable, int exit_status, uint64_t run_ms, int tries)
{
	return repeatable && exit_status != 0 && run_ms < HEALTH_EARLY_MS &&
	    tries < FAILED_RUN_RETRIES_MAX;
}

enum attempt_next
settle_attempt(enum attempt_end end, bool once, bool budget, bool time_left,
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
