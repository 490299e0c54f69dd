#include "ask_plan.h"

#include <math.h>

/** Share of the runners that a queue allows, before any answer. */
#define SHARE_FIRST 0.5
#define SHARE_MIN 0.1
/** Weight of a new answer. */
#define LEARN_WEIGHT 0.05
/** A step's calls take this part of the idle lanes at most. */
#define LANES_PART 6
/** A split must save this part of the call to be worth a lane. */
#define SPLIT_GAIN 0.15
/** Runners are named freely while they lengthen the call by this part of its
 * shortest: a second call costs all of that. */
#define FREE_PART 0.25
/** Slots expected exceed those needed by this many standard deviations. */
#define DEVIATIONS 2.0

void
ask_share_init(struct ask_share *s)
{
	s->share = SHARE_FIRST;
	s->answers = 0;
}

void
ask_share_learn(struct ask_share *s, int named, int allowed)
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
named_least(const struct ask_need *need)
{
	int n = need->runner_ms > 0
	    ? (int)(FREE_PART * need->decision_ms / need->runner_ms)
	    : ASK_CALL_MAX;

	n = n < ASK_CALL_MAX ? n : ASK_CALL_MAX;
	return n > ASK_NAMED_MIN ? n : ASK_NAMED_MIN;
}

int
ask_plan_named(const struct ask_offer *offers, int n, int most,
    const struct ask_need *need)
{
	double mean = 0, variance = 0, slots, p;
	int i, least = named_least(need);

	for (i = 0; i < n && i < most; i++) {
		if (i >= least &&
		    mean - DEVIATIONS * sqrt(variance) >= need->tasks)
			break;
		p = offers[i].allowed ? 1.0 : need->share;
		slots = offers[i].slots;
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
calls_most(int idle_lanes)
{
	int n = idle_lanes / LANES_PART;

	n = n < ASK_CALLS_MAX ? n : ASK_CALLS_MAX;
	return n > 1 ? n : 1;
}

int
ask_plan_most(int idle_lanes)
{
	return calls_most(idle_lanes) * ASK_CALL_MAX;
}

int
ask_plan_calls(int named, double decision_ms, double runner_ms, int idle_lanes)
{
	int most = calls_most(idle_lanes);
	int calls = (named + ASK_CALL_MAX - 1) / ASK_CALL_MAX;
	double now, next;

	calls = calls > 1 ? calls : 1;
	while (calls < most && calls < named) {
		now = call_ms(named, calls, decision_ms, runner_ms);
		next = call_ms(named, calls + 1, decision_ms, runner_ms);
		if (now - next < SPLIT_GAIN * now)
			break;
		calls++;
	}
	return calls;
}
