#include "pacing.h"

/** Above this share of the target, best-effort work is throttled. */
#define SLOW_SHARE 0.8
/** Above this one it is stopped for a while. */
#define STOP_SHARE 1.0
/** Below this one it may go faster. */
#define FAST_SHARE 0.6
/** Effects show after this; the tail is that of half a second. */
#define SLOW_AGAIN_MS 400
#define FAST_AGAIN_MS 1000
#define FAST_STEP 20

double
pacing_tail_share(int tail_ms, uint32_t target_ms)
{
	return target_ms > 0 ? (double)tail_ms / target_ms : 0;
}

int
pacing_next(int percent, double tail_share, int64_t since_change_ms)
{
	if (tail_share >= STOP_SHARE && since_change_ms >= SLOW_AGAIN_MS)
		return 0;
	if (tail_share >= SLOW_SHARE && since_change_ms >= SLOW_AGAIN_MS)
		return percent / 2;
	if (tail_share >= FAST_SHARE || since_change_ms < FAST_AGAIN_MS)
		return percent;
	return percent + FAST_STEP > 100 ? 100 : percent + FAST_STEP;
}
