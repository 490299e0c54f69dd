/** @file Chooses the worker of a task: the best fit among those with room. */
#ifndef WORKER_PLACEMENT_H
#define WORKER_PLACEMENT_H

#include "../state/worker.h"

/**
 * Finds the best fit among the workers of one shard, or of all with SHARD_ANY.
 * @param avoid a worker that is never chosen; NULL for none
 * @return index of the worker, or -1 when the task fits nowhere now.
 */
int place_best(const struct worker_pool *p, int shard, const char *avoid,
    const struct size *need);
/** Whether a task of this size would fit on any worker if that were empty. */
bool place_possible(const struct worker_pool *p, const struct size *need);

#endif
