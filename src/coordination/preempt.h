/**
 * @file Preemption: which run is stopped in favor of urgent work.
 *
 * A task that writes checkpoints loses little when it is stopped: it resumes
 * elsewhere from its last checkpoint. It is stopped only for urgent work that
 * can still meet its objective and has waited for free capacity without
 * success.
 */
#ifndef PREEMPT_H
#define PREEMPT_H

#include "../state/runner.h"

/** Whether a run may be stopped for work of this priority (0 is highest). */
bool preempt_allowed(const struct run *run, int priority, int64_t now);
/**
 * The run on @p r to stop so that a task of @p need fits: of those that free
 * enough CPU, the one with the least work to restore. NULL when there is none.
 * The CPU of runs that are already being stopped counts as free.
 */
struct run *preempt_pick(const struct runner *r, const Cc__StepSpec *need,
    int priority, int64_t now);

#endif
