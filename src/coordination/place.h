/** @file Which worker a task goes to: feasibility first, then a score. */
#ifndef PLACE_H
#define PLACE_H

#include "../state/worker.h"

/**
 * Best fit over the slots of one shard, or of all with SHARD_ANY, but never the
 * worker @p avoid; NULL for none.
 * @return index of the worker, or -1 when it fits nowhere now.
 */
int place_best(const struct worker_pool *p, int shard, const char *avoid,
    const struct size *need);
/** Whether any worker could ever hold the size, were it empty. */
bool place_possible(const struct worker_pool *p, const struct size *need);

#endif
