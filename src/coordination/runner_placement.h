/** @file Chooses the runner of a task: feasible runners, ordered by a score. */
#ifndef RUNNER_PLACEMENT_H
#define RUNNER_PLACEMENT_H

#include "../state/runner.h"

/** Beside which work a task may run. */
enum placing_beside {
	BESIDE_ANY,
	BESIDE_SOUND,	/**< of tasks that aren't in doubt */
	BESIDE_NOTHING, /**< on an empty runner */
};

/** The step to place, and conditions beside those in its specification. */
struct placing_want {
	const struct step *step;
	const char *service;
	bool urgent;	      /**< of a queue with the highest priority */
	double remote_factor; /**< slowdown of a run outside the step's
			       * preferred rack, as a factor */
	const char *rack;     /**< NULL: any */
	const char *avoid;    /**< a runner to avoid if another is feasible;
				 NULL or "" for none */
	bool apart;	      /**< its crash would best have one cause: beside
			       * as few runs as possible */
	enum placing_beside beside;
	/** Also on runners that are kept for other tasks. */
	bool joins_apart;
	bool last_attempt; /**< a further failure of the task fails its job */
	int64_t now_ms;
	int64_t renewed_ms; /**< last renewal of the leadership */
};

/** Why a runner takes no task of a step. */
enum placing_refusal {
	PLACING_TAKEN,	/**< it may take one */
	PLACING_AWAY,	/**< not listed, gone, draining or silent */
	PLACING_CLOSED, /**< not open to starts of this leader yet */
	PLACING_PAUSED, /**< no work for a while, as it refused or failed some
			 */
	PLACING_APART,	/**< kept for a task that must run apart */
	PLACING_SERVICE,
	PLACING_LABEL,
	PLACING_RACK,
	PLACING_SIZE,	/**< too small even when it is empty */
	PLACING_FULL,	/**< no room now, as all below */
	PLACING_BESIDE, /**< has work beside which the task mustn't run now */
	PLACING_SPREAD, /**< has as many tasks of the step as it may */
	PLACING_REFUSALS
};

/** Name of the reason, for logs. */
const char *placing_refusal_name(enum placing_refusal why);
/** Whether the runner takes a task of the step now, and why not. */
enum placing_refusal placing_check(
    const struct runner *r, const struct placing_want *w);
/** Whether the runner may take tasks of the step, whatever it has free now. */
bool placing_allowed(const struct runner *r, const struct placing_want *w);
/** Whether the runner may take a task of the step now. */
bool placing_feasible(const struct runner *r, const struct placing_want *w);
/** Number of tasks of the step that the runner could take now. */
uint32_t placing_slots(const struct runner *r, const struct placing_want *w);
/** Score of the runner for a task of the step; lower is better. */
double placing_score(const struct runner *r, const struct placing_want *w);

#endif
