#include "worker_placement.h"

#include <string.h>

/*
 * The score is the sum, over all resources, of the share of the worker's total
 * that stays free after the placement, in units of 1/1024. The smallest score
 * is the tightest fit. Free accelerators weigh most, so that tasks without need
 * of them stay off workers that have some.
 */
#define SHARE_UNIT 1024u
#define ACCELERATOR_WEIGHT 4u

static inline uint32_t
share(uint32_t left, uint32_t total)
{
	return total == 0 ? 0 : (uint32_t)((uint64_t)left * SHARE_UNIT / total);
}

static inline uint32_t
score(
    const struct size *free, const struct size *total, const struct size *need)
{
	uint32_t s;

	s = share(free->cpus - need->cpus, total->cpus);
	s += share(free->memory_mb - need->memory_mb, total->memory_mb);
	s += ACCELERATOR_WEIGHT *
	    share(free->accelerators - need->accelerators, total->accelerators);
	return s;
}

int
place_best(const struct worker_pool *p, int shard, const char *avoid,
    const struct size *need)
{
	const struct slot *slots = p->slots;
	uint32_t s, best_score = UINT32_MAX;
	int i, best = -1;

	for (i = 0; i < p->count; i++) {
		if (!slots[i].usable || !size_fits(need, &slots[i].free) ||
		    (shard != SHARD_ANY && slots[i].shard != shard))
			continue;
		s = score(&slots[i].free, &p->workers[i]->total, need);
		if (s >= best_score ||
		    (avoid != NULL && strcmp(p->workers[i]->name, avoid) == 0))
			continue;
		best_score = s;
		best = i;
	}
	return best;
}

bool
place_possible(const struct worker_pool *p, const struct size *need)
{
	int i;

	for (i = 0; i < p->count; i++)
		if (!p->workers[i]->gone &&
		    size_fits(need, &p->workers[i]->total))
			return true;
	return false;
}
