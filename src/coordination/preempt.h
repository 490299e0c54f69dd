/**
 * @file Which long work makes room for urgent work.
 *
 * Work that saves its progress loses little by a stop: it goes on elsewhere
 * from its last checkpoint. It is stopped only for urgent work that can still
 * meet its objective and has waited in vain.
 */
#ifndef PREEMPT_H
#define PREEMPT_H

#include "../state/runner.h"

/** Whether a run may be stopped for work of this priority. */
bool preempt_allowed(const struct run *run, int priority, int64_t now);
/**
 * The run on @p r whose stop helps a step most at the least loss; NULL when
 * none does. Runs that are being stopped already count as room to come.
 */
struct run *preempt_pick(const struct runner *r, const Cc__StepSpec *need,
    int priority, int64_t now);

#endif
