/**
 * @file Crashes of runners: which tasks are suspected of them, and which are
 * given up.
 *
 * Only the end of a runner's incarnation shows a crash: another one answers at
 * its address or is listed in its place. A runner that is silent, or that the
 * registry lacks, may be cut off and run on. Its runs stay unsettled until it
 * answers, or is shown to have ended and the registry would show a drain.
 */
#ifndef CRASHES_H
#define CRASHES_H

#include "cell_internal.h"

/**
 * Notes that the runner's incarnation has ended. Counts a crash for each task
 * that ran on it, once the registry would show a drain, and gives up those that
 * have crashed too many.
 */
void crashes_note(struct cell *c, struct runner *r, enum crash_sign sign);
/** Keeps the runs of a silent runner, which are about to end, as unsettled. */
void crashes_note_lapse(struct cell *c, struct runner *r);
/** Notes that the incarnation which was silent answers: it hasn't crashed. */
void crashes_note_answer(struct cell *c, struct runner *r);
/** Settles the runs on ended incarnations for which the registry shows by now
 * whether they drained. */
void crashes_settle(struct cell *c, struct runner *r);
/** Drops the unsettled runs of a runner that is about to be freed. */
void crashes_forget_runner(struct cell *c, struct runner *r);
/** Clears the task's suspicion if its run has outlived the earlier crashes. */
void crashes_note_alive(struct cell *c, struct run *run);

#endif
