/**
 * @file How many runners a step asks advice on, and in how many calls.
 *
 * A queue allows only some runners, so more are named than the step needs. A
 * call takes longer the more runners it names; while lanes are idle, a long
 * one is split over several of them.
 */
#ifndef ASK_PLAN_H
#define ASK_PLAN_H

/** Runners named in one call. */
#define ASK_CALL_MAX 60
/** Calls that a step sends at once. */
#define ASK_CALLS_MAX 4

/** Share of the runners named that a queue allows, as its answers tell. */
struct ask_share {
	double share;
	int answers;
};

void ask_share_init(struct ask_share *s);
void ask_share_learn(struct ask_share *s, int named, int allowed);

/** @return how many runners a step may name while so many lanes are idle. */
int ask_plan_most(int idle_lanes);
/** @return how many calls to split @p named runners over; at least 1. */
int ask_plan_calls(
    int named, double decision_ms, double runner_ms, int idle_lanes);

#endif
