#include "rtt.h"

#include <math.h>

#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4

void
rtt_sample(struct rtt *r, double ms)
{
	double off = ms - r->mean_ms;

	if (r->samples++ == 0) {
		r->mean_ms = ms;
		r->deviation_ms = ms / 2;
		return;
	}
	r->deviation_ms += DEVIATION_WEIGHT * (fabs(off) - r->deviation_ms);
	r->mean_ms += MEAN_WEIGHT * off;
}

int64_t
rtt_timeout_ms(const struct rtt *r, int64_t least, int64_t most)
{
	double ms = r->mean_ms + DEVIATIONS * r->deviation_ms;

	if (ms > (double)most)
		return most;
	return ms > (double)least ? (int64_t)ms : least;
}
