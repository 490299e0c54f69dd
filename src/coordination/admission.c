#include "admission.h"

/** Shortest delay: most work takes about as long, so the load is hardly another
 * before. */
#define RETRY_MIN_MS 1000
/** Longest delay, beyond the time that callers of short work are assumed to
 * wait. */
#define RETRY_MAX_MS 15000

/** Length of a burst at the account's rate. */
#define BURST_S 1.0
/** A client of a small account may send a few jobs together. */
#define BURST_MIN 4.0

double
admission_burst(double rate)
{
	double burst = rate * BURST_S;

	return burst > BURST_MIN ? burst : BURST_MIN;
}

/* Time until the work that waits and finds no free processors has run. Work
 * that does find some waits for other reasons, such as advice. */
static double
backlog_ms(const struct admission_request *q)
{
	double beyond = q->waiting_cpu - (double)q->free_cpu;

	if (beyond <= 0)
		return 0;
	return q->waiting_core_ms * 1000.0 * beyond / q->waiting_cpu /
	    (double)q->total_cpu;
}

/* Whether the job can meet its objective behind all work that waits. It
 * is taken to while the capacity isn't known yet. */
static bool
is_in_time(const struct admission_request *q)
{
	if (q->total_cpu <= 0)
		return true;
	return backlog_ms(q) + (double)q->critical_path_ms <=
	    (double)q->objective_ms;
}

static int64_t
retry_after_ms(const struct admission_request *q)
{
	double ahead = 1.0 - q->tokens + q->refused;
	double ms = q->rate > 0 ? ahead * 1000.0 / q->rate : RETRY_MAX_MS;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (int64_t)ms;
}

/* One that returns earlier than it was told takes only a token that others
 * leave unused. */
static bool
is_within_rate(const struct admission_request *q)
{
	if (q->retry_due_in_ms > 0)
		return q->tokens >= 1.0 + admission_burst(q->rate) / 2;
	return q->tokens >= 1.0;
}

struct admission
admission_decide(const struct admission_request *q)
{
	struct admission a = {
	    .tokens = q->tokens, .rate = q->rate, .admitted = true};

	if (!q->has_account)
		return a;
	a.over_rate = !is_within_rate(q);
	a.admitted = !a.over_rate || is_in_time(q);
	a.retry_pending = !a.admitted && q->retry_due_in_ms > 0;
	if (a.retry_pending)
		a.retry_after_ms = q->retry_due_in_ms;
	else if (!a.admitted)
		a.retry_after_ms = retry_after_ms(q);
	return a;
}
