/** @file Amounts of a cell's resources, as tasks need and hold them. */
#ifndef RESOURCES_H
#define RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

struct resources {
	int64_t cpu; /**< thousandths of a core */
	int64_t mem_mb;
	int64_t gpu;
};

static inline void
resources_add(struct resources *a, const struct resources *b)
{
	a->cpu += b->cpu;
	a->mem_mb += b->mem_mb;
	a->gpu += b->gpu;
}

static inline void
resources_sub(struct resources *a, const struct resources *b)
{
	a->cpu -= b->cpu;
	a->mem_mb -= b->mem_mb;
	a->gpu -= b->gpu;
}

/** @p n times @p a. */
static inline struct resources
resources_times(const struct resources *a, int64_t n)
{
	return (struct resources){a->cpu * n, a->mem_mb * n, a->gpu * n};
}

/** The larger amount of each resource. */
static inline struct resources
resources_max(const struct resources *a, const struct resources *b)
{
	return (struct resources){a->cpu > b->cpu ? a->cpu : b->cpu,
	    a->mem_mb > b->mem_mb ? a->mem_mb : b->mem_mb,
	    a->gpu > b->gpu ? a->gpu : b->gpu};
}

static inline bool
resources_none(const struct resources *a)
{
	return a->cpu == 0 && a->mem_mb == 0 && a->gpu == 0;
}

#endif
