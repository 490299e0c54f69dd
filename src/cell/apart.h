/**
 * @file Runners that are kept for one task, which is suspected of crashing
 * runners, so that its next crash has one cause and costs no other work.
 *
 * A runner is kept only until the run shows whether its task is at fault, and
 * at most a share of a service's runners at a time: work of others doesn't wait
 * for a suspicion.
 */
#ifndef APART_H
#define APART_H

#include "cell_internal.h"

/** Keeps the run's runner for it, unless too many of the service's are kept. */
void apart_keep(const struct cell *c, struct run *run);
/** Whether only runners that are kept for other tasks could take the step's. */
bool apart_is_only_choice(struct cell *c, const struct step *s);

#endif
