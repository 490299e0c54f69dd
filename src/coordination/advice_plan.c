#include "advice_plan.h"

#include <math.h>

/** Assumed share of allowed runners before the first answer. */
#define SHARE_INITIAL 0.5
#define SHARE_MIN 0.1
/** Weight of a new answer in the moving average. */
#define LEARN_WEIGHT 0.05
/** A step sends at most one call for each of this many idle lanes. */
#define LANES_PER_CALL 6
/** Least share of the call time that a further split must save. */
#define SPLIT_GAIN 0.15
/** More runners than needed are named while they lengthen the call by at most
 * this share of its fixed duration: a second call would cost all of that. */
#define NAMED_COST_SHARE 0.25
/** Expected slots must exceed the tasks by this many standard deviations. */
#define DEVIATIONS 2.0

void
advice_share_init(struct advice_share *s)
{
	s->share = SHARE_INITIAL;
	s->answers = 0;
}

void
advice_share_update(struct advice_share *s, int named, int allowed)
{
	double v;

	if (named <= 0)
		return;
	v = (double)allowed / named;
	s->answers++;
	s->share += LEARN_WEIGHT * (v - s->share);
	if (s->share < SHARE_MIN)
		s->share = SHARE_MIN;
}

static int
named_min(const struct advice_need *need)
{
	int n = need->runner_ms > 0
	    ? (int)(NAMED_COST_SHARE * need->decision_ms / need->runner_ms)
	    : ADVICE_CALL_RUNNERS_MAX;

	n = n < ADVICE_CALL_RUNNERS_MAX ? n : ADVICE_CALL_RUNNERS_MAX;
	return n > ADVICE_RUNNERS_MIN ? n : ADVICE_RUNNERS_MIN;
}

int
advice_plan_runners(const struct advice_candidate *candidates, int n, int max,
    const struct advice_need *need)
{
	double mean = 0, variance = 0, slots, p;
	int i, min = named_min(need);

	for (i = 0; i < n && i < max; i++) {
		if (i >= min &&
		    mean - DEVIATIONS * sqrt(variance) >= need->tasks)
			break;
		p = candidates[i].allowed ? 1.0 : need->share;
		slots = candidates[i].slots;
		mean += slots * p;
		variance += slots * slots * p * (1 - p);
	}
	return i;
}

static double
call_ms(int named, int calls, double decision_ms, double runner_ms)
{
	return decision_ms + runner_ms * ((named + calls - 1) / calls);
}

static int
calls_max(int idle_lanes)
{
	int n = idle_lanes / LANES_PER_CALL;

	n = n < ADVICE_CALLS_MAX ? n : ADVICE_CALLS_MAX;
	return n > 1 ? n : 1;
}

int
advice_plan_runners_max(int idle_lanes)
{
	return calls_max(idle_lanes) * ADVICE_CALL_RUNNERS_MAX;
}

int
advice_plan_calls(
    int named, double decision_ms, double runner_ms, int idle_lanes)
{
	int max = calls_max(idle_lanes);
	int calls =
	    (named + ADVICE_CALL_RUNNERS_MAX - 1) / ADVICE_CALL_RUNNERS_MAX;
	double now, next;

	calls = calls > 1 ? calls : 1;
	while (calls < max && calls < named) {
		now = call_ms(named, calls, decision_ms, runner_ms);
		next = call_ms(named, calls + 1, decision_ms, runner_ms);
		if (now - next < SPLIT_GAIN * now)
			break;
		calls++;
	}
	return calls;
}
