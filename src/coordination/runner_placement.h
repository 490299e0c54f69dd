/** @file Chooses the runner of a task: feasible runners, ordered by a score. */
#ifndef RUNNER_PLACEMENT_H
#define RUNNER_PLACEMENT_H

#include "../state/runner.h"

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
	bool apart;	      /**< on a runner without other work */
	bool shares; /**< with apart: on a runner with other work if need be */
	bool last_attempt; /**< a further failure of the task fails its job */
	int64_t now_ms;
	int64_t renewed_ms; /**< last renewal of the leadership */
};

/** Whether the runner may take tasks of the step, whatever it has free now. */
bool placing_allowed(const struct runner *r, const struct placing_want *w);
/** Whether the runner may take a task of the step now. */
bool placing_feasible(const struct runner *r, const struct placing_want *w);
/** Number of tasks of the step that the runner could take now. */
uint32_t placing_slots(const struct runner *r, const struct placing_want *w);
/** Score of the runner for a task of the step; lower is better. */
double placing_score(const struct runner *r, const struct placing_want *w);

#endif
