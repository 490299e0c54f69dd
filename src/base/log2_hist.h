/** @file Histogram with a bucket for each power of two: 136 bytes, for what is
 * counted once for each of many accounts. */
#ifndef LOG2_HIST_H
#define LOG2_HIST_H

#include <stdint.h>

#define LOG2_HIST_BUCKETS 32

struct log2_hist {
	uint64_t total;
	uint32_t counts[LOG2_HIST_BUCKETS];
};

/** Adds one value; values from 2^30 on count in the last bucket. */
void log2_hist_add(struct log2_hist *h, uint64_t value);
/** Largest value of the bucket of quantile @p q (0..1); 0 if empty. */
uint64_t log2_hist_quantile(const struct log2_hist *h, double q);
/** Adds all of @p src to @p h. */
void log2_hist_merge(struct log2_hist *h, const struct log2_hist *src);

#endif
