#include "pacing.h"

/** From this share of the latency target on, the pace is halved. */
#define SLOW_DOWN_SHARE 0.8
/** From this share on, best-effort work is paused. */
#define STOP_SHARE 1.0
/** Below this share the pace is raised. */
#define SPEED_UP_SHARE 0.6
/** Least time between a change and the next reduction: runners report the tail
 * latency of the last half second, so effects show only after this time. */
#define SLOW_DOWN_INTERVAL_MS 400
/** Least time between a change and the next increase. */
#define SPEED_UP_INTERVAL_MS 1000
#define SPEED_UP_STEP_PERCENT 20

double
pacing_tail_share(int tail_ms, uint32_t target_ms)
{
	return target_ms > 0 ? (double)tail_ms / target_ms : 0;
}

int
pacing_next(int percent, double tail_share, int64_t since_change_ms)
{
	if (tail_share >= STOP_SHARE &&
	    since_change_ms >= SLOW_DOWN_INTERVAL_MS)
		return 0;
	if (tail_share >= SLOW_DOWN_SHARE &&
	    since_change_ms >= SLOW_DOWN_INTERVAL_MS)
		return percent / 2;
	if (tail_share >= SPEED_UP_SHARE ||
	    since_change_ms < SPEED_UP_INTERVAL_MS)
		return percent;
	return percent + SPEED_UP_STEP_PERCENT > 100
	    ? 100
	    : percent + SPEED_UP_STEP_PERCENT;
}
