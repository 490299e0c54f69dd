/**
 * @file Plans the calls to the advice service for one step: how many runners to
 * name, and over how many calls to split them.
 *
 * A call names runners, and the service answers which of them the step may run
 * on. It allows only a share of the named runners for a queue, so a step names
 * more of them than it needs. A call takes longer the more runners it names;
 * while lanes (hosts that call the service, see advice_lanes.h) are idle, a
 * long call is split into several that run in parallel.
 */
#ifndef ADVICE_PLAN_H
#define ADVICE_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** Fewest runners that a step names, while it has enough candidates. */
#define ADVICE_RUNNERS_MIN 4
/** Most runners named in one call. */
#define ADVICE_CALL_RUNNERS_MAX 60
/** Most calls that a step sends at once. */
#define ADVICE_CALLS_MAX 4

/** Share of the named runners that the service allows for a queue: a moving
 * average over its answers. */
struct advice_share {
	double share;
	int answers; /**< number of answers in the average */
};

void advice_share_init(struct advice_share *s);
/** Updates the share after an answer allowed @p allowed of @p named runners. */
void advice_share_update(struct advice_share *s, int named, int allowed);

/** A runner that a step may name. */
struct advice_candidate {
	uint32_t slots; /**< tasks of the step that fit on it */
	bool allowed;	/**< by an earlier answer; otherwise the service may
			   deny it */
};

/** What a step needs, and what a call costs. */
struct advice_need {
	uint32_t tasks;	    /**< to be started */
	double share;	    /**< expected share of allowed runners */
	double decision_ms; /**< duration of a call that names no runners */
	double runner_ms;   /**< additional time for each named runner */
};

/** @return number of candidates to name, from the first on; at most @p max. */
int advice_plan_runners(const struct advice_candidate *candidates, int n,
    int max, const struct advice_need *need);
/** @return most runners that a step may name while @p idle_lanes are idle. */
int advice_plan_runners_max(int idle_lanes);
/** @return number of calls to split @p named runners over; at least 1. */
int advice_plan_calls(
    int named, double decision_ms, double runner_ms, int idle_lanes);

#endif
