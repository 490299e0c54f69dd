/**
 * @file How many runners a step asks advice on, and in how many calls.
 *
 * A queue allows only some runners, so more are named than the step needs. A
 * call takes longer the more runners it names; while lanes are idle, a long
 * one is split over several of them.
 */
#ifndef ASK_PLAN_H
#define ASK_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** Fewest runners named in one call, and most. */
#define ASK_NAMED_MIN 4
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

/** A runner that a step may name. */
struct ask_offer {
	uint32_t slots; /**< tasks of the step that it has room for */
	bool allowed;	/**< by an answer before; else it may be denied */
};

/** What a step asks for. */
struct ask_need {
	uint32_t tasks;
	double share;	    /**< of the runners that its queue allows */
	double decision_ms; /**< length of a call that names nobody ... */
	double runner_ms;   /**< ... and more for each runner named */
};

/** @return how many of the offers, in their order, to name. */
int ask_plan_named(const struct ask_offer *offers, int n, int most,
    const struct ask_need *need);
/** @return how many runners a step may name while so many lanes are idle. */
int ask_plan_most(int idle_lanes);
/** @return how many calls to split @p named runners over; at least 1. */
int ask_plan_calls(
    int named, double decision_ms, double runner_ms, int idle_lanes);

#endif
