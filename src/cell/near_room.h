/**
 * @file Forecast of when capacity on a rack becomes free, and whether a step
 * waits for it.
 *
 * The forecast counts what is free now and the ends of known runs, each at the
 * 0.75 quantile of its run time. Runs without an estimate and those of
 * long-running steps don't end. Within a placement pass, steps that wait claim
 * capacity of their rack, so that a later step doesn't count on it. Nothing is
 * reserved: any task may start on capacity that is free.
 */
#ifndef NEAR_ROOM_H
#define NEAR_ROOM_H

#include "cell_internal.h"

struct near_room;

/** Begins a placement pass: forecasts and claims of the last one are void. */
void near_room_begin(struct cell *c);
void near_room_free(struct near_room *n);
/** Whether it matters to the step on which rack it runs. */
bool near_room_matters(const struct step *s);
/** Whether a runner of the step's preferred rack takes a task of it now. */
bool near_room_is_free(
    struct cell *c, const struct step *s, const struct placing_want *w);
/**
 * Decides how many of @p tasks waiting tasks of the step wait for capacity on
 * its preferred rack, and claims that capacity. The others start remotely now.
 */
uint32_t near_room_claim_tasks(struct cell *c, struct step *s,
    const struct placing_want *w, uint32_t tasks);
/** Decides whether a gang waits for capacity for all of its members: on one
 * rack with same_rack, else on the preferred one. */
bool near_room_claim_gang(
    struct cell *c, struct step *s, const struct placing_want *w);
/** Adds the run time of a run that is done to the errors of estimates. */
void near_room_run_done(struct cell *c, const struct run *run, int64_t ms);

#endif
