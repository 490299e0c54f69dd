/**
 * @file Time-outs that follow the answers seen.
 *
 * A smoothed time of answers and its mean deviation, as TCP keeps them; a
 * fixed time-out either gives up what is on its way or waits too long.
 */
#ifndef RTT_H
#define RTT_H

#include <stdint.h>

struct rtt {
	double mean_ms;
	double deviation_ms;
	int samples;
	int overdue;	    /**< time-outs in a row since the last answer */
	int64_t overdue_ms; /**< the last of them */
};

/** Notes an answer that took @p ms. */
void rtt_sample(struct rtt *r, double ms);
/** Notes a call, sent at @p sent_ms, that was given up: without answers
 * time-outs double, since what is slow for all calls alike leaves nothing to
 * learn from. Of calls beside each other one counts. */
void rtt_overdue(struct rtt *r, int64_t sent_ms, int64_t now);
/** Time after which an answer is late, from @p least to @p most ms. */
int64_t rtt_timeout_ms(const struct rtt *r, int64_t least, int64_t most);
/** Patience with one that left so many calls in a row unanswered: one lost
 * answer says nothing of it, after more of them it grows by four each, so that
 * what it tells is heard long before its leases lapse. */
int64_t rtt_patience_ms(int64_t ms, int unanswered, int64_t most);

#endif
