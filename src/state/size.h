/** @file Amount of resources: what a task needs or a worker has. */
#ifndef SIZE_H
#define SIZE_H

#include <stdbool.h>
#include <stdint.h>

struct size {
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

static inline bool
size_fits(const struct size *need, const struct size *have)
{
	return need->cpus <= have->cpus && need->memory_mb <= have->memory_mb &&
	    need->accelerators <= have->accelerators;
}

static inline void
size_add(struct size *a, const struct size *b)
{
	a->cpus += b->cpus;
	a->memory_mb += b->memory_mb;
	a->accelerators += b->accelerators;
}

static inline void
size_sub(struct size *a, const struct size *b)
{
	a->cpus -= b->cpus;
	a->memory_mb -= b->memory_mb;
	a->accelerators -= b->accelerators;
}

/** @p total minus @p used, each resource at least 0. */
static inline struct size
size_left(const struct size *total, const struct size *used)
{
	struct size s = {
	    total->cpus > used->cpus ? total->cpus - used->cpus : 0,
	    total->memory_mb > used->memory_mb
		? total->memory_mb - used->memory_mb
		: 0,
	    total->accelerators > used->accelerators
		? total->accelerators - used->accelerators
		: 0,
	};

	return s;
}

/** The larger amount of each resource. */
static inline struct size
size_max(const struct size *a, const struct size *b)
{
	struct size s = {
	    a->cpus > b->cpus ? a->cpus : b->cpus,
	    a->memory_mb > b->memory_mb ? a->memory_mb : b->memory_mb,
	    a->accelerators > b->accelerators ? a->accelerators
					      : b->accelerators,
	};

	return s;
}

#endif
