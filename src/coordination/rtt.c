#include "rtt.h"

#include <math.h>

/* Weights and factor as in TCP (RFC 6298). */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4
/** Least timeout before the first answer. */
#define NO_SAMPLE_TIMEOUT_MS 300
/** Most doublings of a timeout. */
#define DOUBLINGS_MAX 6

static int64_t
doubled(int64_t ms, int times, int64_t max_ms)
{
	ms <<= times < DOUBLINGS_MAX ? times : DOUBLINGS_MAX;
	return ms < max_ms ? ms : max_ms;
}

void
rtt_sample(struct rtt *r, double ms)
{
	double diff = ms - r->mean_ms;

	r->timeouts = 0;
	if (r->samples++ == 0) {
		r->mean_ms = ms;
		r->deviation_ms = ms / 2;
		return;
	}
	r->deviation_ms += DEVIATION_WEIGHT * (fabs(diff) - r->deviation_ms);
	r->mean_ms += MEAN_WEIGHT * diff;
}

void
rtt_timed_out(struct rtt *r, int64_t sent_ms, int64_t now)
{
	if (sent_ms < r->last_timeout_ms)
		return;
	r->last_timeout_ms = now;
	if (r->timeouts < DOUBLINGS_MAX)
		r->timeouts++;
}

int64_t
rtt_timeout_ms(const struct rtt *r, int64_t min_ms, int64_t max_ms)
{
	double ms = r->mean_ms + DEVIATIONS * r->deviation_ms;

	if (r->samples == 0 && ms < NO_SAMPLE_TIMEOUT_MS)
		ms = NO_SAMPLE_TIMEOUT_MS;
	if (ms < (double)min_ms)
		ms = (double)min_ms;
	if (ms > (double)max_ms)
		return max_ms;
	return doubled((int64_t)ms, r->timeouts, max_ms);
}

int64_t
rtt_backoff_ms(int64_t ms, int unanswered, int64_t max_ms)
{
	return unanswered > 1 ? doubled(ms, 2 * (unanswered - 1), max_ms) : ms;
}
