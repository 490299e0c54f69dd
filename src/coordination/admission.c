#include "admission.h"

/** A caller that returns sooner finds the same load. */
#define RETRY_MIN_MS 1000
/** A caller that waits longer has given up. */
#define RETRY_MAX_MS 15000

/* Submissions that the rate allows in the window; always one. */
static double
window_limit(const struct admission_request *q)
{
	double n = q->rate * (double)q->window_ms / 1000.0;

	return n < 1.0 ? 1.0 : n;
}

/* Whether the submission can meet its objective behind all work that waits. */
static bool
is_in_time(const struct admission_request *q)
{
	int64_t wait_ms;

	if (q->cores_milli <= 0)
		return false;
	wait_ms = q->waiting_core_ms * 1000 / q->cores_milli;
	return wait_ms + q->critical_path_ms <= q->objective_ms;
}

static int64_t
retry_after_ms(const struct admission_request *q)
{
	double ahead = (double)q->sent + 1.0 - window_limit(q) + q->refused;
	double ms = q->rate > 0 ? ahead * 1000.0 / q->rate : RETRY_MAX_MS;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (int64_t)ms;
}

struct admission
admission_decide(const struct admission_request *q)
{
	struct admission a = {
	    .sent = q->sent, .rate = q->rate, .admitted = true};

	if (!q->has_account)
		return a;
	a.over_rate = (double)q->sent + 1.0 > window_limit(q);
	a.admitted = !a.over_rate || is_in_time(q);
	if (!a.admitted)
		a.retry_after_ms = retry_after_ms(q);
	return a;
}
