/**
 * @file Timeouts that adapt to the observed answer times.
 *
 * Keeps a smoothed answer time and its mean deviation, as TCP does for its
 * retransmission timeout. A fixed timeout either gives up answers that are
 * still on their way or waits too long.
 */
#ifndef RTT_H
#define RTT_H

#include <stdint.h>

struct rtt {
	double mean_ms;
	double deviation_ms;
	int samples;
	int timeouts;		 /**< consecutive, since the last answer */
	int64_t last_timeout_ms; /**< time of the last one */
};

/** Records an answer that took @p ms. */
void rtt_sample(struct rtt *r, double ms);
/**
 * Records a call, sent at @p sent_ms, that timed out. The timeout doubles with
 * each one: when all calls are too slow there are no answers to adapt to. Of
 * concurrent calls that time out, only the first counts.
 */
void rtt_timed_out(struct rtt *r, int64_t sent_ms, int64_t now);
/** Timeout of the next call, between @p min_ms and @p max_ms. */
int64_t rtt_timeout_ms(const struct rtt *r, int64_t min_ms, int64_t max_ms);
/**
 * Timeout of a call to a peer whose last @p unanswered calls had no answer.
 * A single lost answer says nothing about the peer, so the timeout stays
 * @p ms. It is multiplied by four with each further one, so that the answer of
 * a slow peer is received long before the peer's leases lapse.
 */
int64_t rtt_backoff_ms(int64_t ms, int unanswered, int64_t max_ms);

#endif
