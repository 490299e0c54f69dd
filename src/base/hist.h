/** @file Log-linear histogram: 16 linear buckets for each power of two. */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>

#define HIST_SUB_BITS 4
#define HIST_BUCKETS ((40 - HIST_SUB_BITS + 1) << HIST_SUB_BITS)

struct hist {
	uint64_t total;
	uint64_t sum;
	uint32_t counts[HIST_BUCKETS];
};

/** Adds one value; values from 2^40 on count in the last bucket. */
void hist_add(struct hist *h, uint64_t value);
/** Largest value of the bucket of quantile @p q (0..1); 0 if empty. */
uint64_t hist_quantile(const struct hist *h, double q);
/** Lowest value of bucket @p i. */
uint64_t hist_bucket_low(unsigned i);
/** Adds all of @p src to @p h. */
void hist_merge(struct hist *h, const struct hist *src);

#endif
