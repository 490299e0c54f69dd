/**
 * @file How fast best-effort work may go beside latency-sensitive work.
 *
 * Best-effort work uses what others leave, and disturbs their latency. It is
 * slowed down before a tail passes its target, and let on when there is slack.
 */
#ifndef PACING_H
#define PACING_H

#include <stdint.h>

/** Share in percent at which best-effort work on a runner may go next. */
int pacing_next(int percent, double tail_share, int64_t since_change_ms);
/** Share of its target that the tail latency of a task has. */
double pacing_tail_share(int tail_ms, uint32_t target_ms);

#endif
