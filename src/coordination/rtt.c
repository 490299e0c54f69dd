#include "rtt.h"

#include <math.h>

#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4
/** Least time-out while there is no answer to go by. */
#define UNKNOWN_MS 300
/** Time-outs double this often at most. */
#define DOUBLINGS_MAX 6

static int64_t
doubled(int64_t ms, int times, int64_t most)
{
	ms <<= times < DOUBLINGS_MAX ? times : DOUBLINGS_MAX;
	return ms < most ? ms : most;
}

void
rtt_sample(struct rtt *r, double ms)
{
	double off = ms - r->mean_ms;

	r->overdue = 0;
	if (r->samples++ == 0) {
		r->mean_ms = ms;
		r->deviation_ms = ms / 2;
		return;
	}
	r->deviation_ms += DEVIATION_WEIGHT * (fabs(off) - r->deviation_ms);
	r->mean_ms += MEAN_WEIGHT * off;
}

void
rtt_overdue(struct rtt *r, int64_t sent_ms, int64_t now)
{
	if (sent_ms < r->overdue_ms)
		return;
	r->overdue_ms = now;
	if (r->overdue < DOUBLINGS_MAX)
		r->overdue++;
}

int64_t
rtt_timeout_ms(const struct rtt *r, int64_t least, int64_t most)
{
	double ms = r->mean_ms + DEVIATIONS * r->deviation_ms;

	if (r->samples == 0 && ms < UNKNOWN_MS)
		ms = UNKNOWN_MS;
	if (ms < (double)least)
		ms = (double)least;
	if (ms > (double)most)
		return most;
	return doubled((int64_t)ms, r->overdue, most);
}

int64_t
rtt_patience_ms(int64_t ms, int unanswered, int64_t most)
{
	return unanswered > 1 ? doubled(ms, 2 * (unanswered - 1), most) : ms;
}
