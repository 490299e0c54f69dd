/**
 * @file Throttles best-effort work beside latency-sensitive work.
 *
 * Best-effort work uses the capacity that other tasks leave, and raises their
 * latency. It is throttled before a tail latency exceeds its target, and sped
 * up again while there is slack.
 */
#ifndef PACING_H
#define PACING_H

#include <stdint.h>

/**
 * The next pace, in percent, of best-effort work on a runner.
 * @param percent the pace now
 * @param tail_share highest tail latency on the runner as a share of its target
 * @param since_change_ms since the pace was last changed
 */
int pacing_next(int percent, double tail_share, int64_t since_change_ms);
/** Tail latency of a task as a share of its target; 0 without a target. */
double pacing_tail_share(int tail_ms, uint32_t target_ms);

#endif
