#include "near_wait.h"

/** Beyond all run times that matter; sums of times don't overflow. */
#define RUN_MAX_MS 1e15

static int64_t
remote_run_ms(const struct near_wait_input *in)
{
	double ms = (double)in->run_ms * in->remote_factor;

	return ms < RUN_MAX_MS ? (int64_t)ms : (int64_t)RUN_MAX_MS;
}

int64_t
near_wait_end(const struct near_wait_input *in)
{
	int64_t remote = remote_run_ms(in), gain = remote - in->run_ms;
	int64_t latest = in->deadline_ms - remote;
	int64_t end;

	if (in->run_ms <= 0 || gain <= 0)
		return in->ready_ms;
	end =
	    in->ready_ms + (gain < NEAR_WAIT_MAX_MS ? gain : NEAR_WAIT_MAX_MS);
	/* Judged at the time the step became ready: a wait that ended for its
	 * deadline doesn't begin again when that is missed. */
	if (latest >= in->ready_ms && latest - NEAR_WAIT_MARGIN_MS < end)
		end = latest - NEAR_WAIT_MARGIN_MS;
	return end;
}

struct near_wait
near_wait_decide(const struct near_wait_input *in)
{
	struct near_wait w = {.until_ms = near_wait_end(in)};

	w.waits = in->now_ms < w.until_ms && in->free_ms < w.until_ms;
	return w;
}
