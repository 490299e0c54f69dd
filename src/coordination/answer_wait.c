#include "answer_wait.h"

#include "../ports/ports.h"

int64_t
answer_wait_order_ms(const struct answer_wait *w, const struct rtt *all)
{
	int64_t ms =
	    rtt_timeout_ms(all, ORDER_TIMEOUT_MIN_MS, ORDER_TIMEOUT_MAX_MS);
	int64_t own = 0;

	if (w->answers.samples > 0)
		own = rtt_timeout_ms(
		    &w->answers, ORDER_TIMEOUT_MIN_MS, ORDER_TIMEOUT_MAX_MS);
	return own > ms ? own : ms;
}

int64_t
answer_wait_hold_ms(const struct answer_wait *w, const struct rtt *all)
{
	return rtt_backoff_ms(
	    answer_wait_order_ms(w, all), w->unanswered, ORDER_TIMEOUT_MAX_MS);
}

int64_t
answer_wait_late_ms(const struct answer_wait *w)
{
	return w->nlate < HOLDS_LATE_MAX ? HOLD_LATE_MS : 0;
}

void
answer_wait_sample(struct answer_wait *w, double ms)
{
	rtt_sample(&w->answers, ms);
}

void
answer_wait_hold_answered(struct answer_wait *w)
{
	w->unanswered = 0;
}

void
answer_wait_hold_unanswered(struct answer_wait *w, bool more)
{
	w->unanswered++;
	w->nlate += more;
}

void
answer_wait_late_over(struct answer_wait *w)
{
	w->nlate--;
}
