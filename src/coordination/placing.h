/**
 * @file Which runner takes a task: feasibility, then a score.
 */
#ifndef PLACING_H
#define PLACING_H

#include "../state/runner.h"

/** What the work asks for beside the step's own needs. */
struct placing_want {
	const struct step *step;
	const char *service;
	bool urgent;
	double remote_factor; /**< a run away from its data takes this long */
	const char *rack;     /**< NULL: any */
	const char *avoid;    /**< only if no other; "" for none */
	bool last_attempt;    /**< its job fails with it */
	int64_t now_ms;
};

/** Whether the runner may take tasks of the step at all, room aside. */
bool placing_allowed(const struct runner *r, const struct placing_want *w);
/** Whether it may take one now. */
bool placing_feasible(const struct runner *r, const struct placing_want *w);
/** Tasks of the step that it could take now. */
uint32_t placing_slots(const struct runner *r, const struct placing_want *w);
/** Lower is better. */
double placing_score(const struct runner *r, const struct placing_want *w);

#endif
