#include "hist.h"

#define SUB (1u << HIST_SUB_BITS)

static unsigned
bucket_of(uint64_t v)
{
	unsigned msb, shift, i;

	if (v < SUB)
		return (unsigned)v;
	msb = 63 - (unsigned)__builtin_clzll(v);
	shift = msb - HIST_SUB_BITS;
	i = ((shift + 1) << HIST_SUB_BITS) +
	    (unsigned)((v >> shift) & (SUB - 1));
	return i < HIST_BUCKETS ? i : HIST_BUCKETS - 1;
}

uint64_t
hist_bucket_low(unsigned i)
{
	unsigned shift;

	if (i < SUB)
		return i;
	shift = (i >> HIST_SUB_BITS) - 1;
	return (uint64_t)(SUB + (i & (SUB - 1))) << shift;
}

void
hist_add(struct hist *h, uint64_t value)
{
	h->counts[bucket_of(value)]++;
	h->total++;
	h->sum += value;
}

uint64_t
hist_quantile(const struct hist *h, double q)
{
	uint64_t want, seen = 0;
	unsigned i;

	if (h->total == 0)
		return 0;
	want = (uint64_t)(q * (double)h->total + 0.999999);
	if (want == 0)
		want = 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		seen += h->counts[i];
		if (seen >= want)
			return hist_bucket_low(i + 1) - 1;
	}
	return hist_bucket_low(HIST_BUCKETS - 1);
}

void
hist_merge(struct hist *h, const struct hist *src)
{
	unsigned i;

	for (i = 0; i < HIST_BUCKETS; i++)
		h->counts[i] += src->counts[i];
	h->total += src->total;
	h->sum += src->sum;
}
