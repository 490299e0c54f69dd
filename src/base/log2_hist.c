#include "log2_hist.h"

/* Bucket i has the values below 2^i that no lower bucket has. */
static unsigned
bucket_of(uint64_t v)
{
	unsigned i = v == 0 ? 0 : 64 - (unsigned)__builtin_clzll(v);

	return i < LOG2_HIST_BUCKETS ? i : LOG2_HIST_BUCKETS - 1;
}

void
log2_hist_add(struct log2_hist *h, uint64_t value)
{
	h->counts[bucket_of(value)]++;
	h->total++;
}

uint64_t
log2_hist_quantile(const struct log2_hist *h, double q)
{
	uint64_t seen = 0;
	unsigned i;

	if (h->total == 0)
		return 0;
	for (i = 0; i < LOG2_HIST_BUCKETS - 1; i++) {
		seen += h->counts[i];
		if (seen > 0 && (double)seen >= q * (double)h->total)
			break;
	}
	return (UINT64_C(1) << i) - 1;
}

void
log2_hist_merge(struct log2_hist *h, const struct log2_hist *src)
{
	unsigned i;

	for (i = 0; i < LOG2_HIST_BUCKETS; i++)
		h->counts[i] += src->counts[i];
	h->total += src->total;
}
