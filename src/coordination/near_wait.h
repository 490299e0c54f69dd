/**
 * @file How long a step waits for capacity on the rack of its data.
 *
 * A remote run takes a factor longer than a rack-local one, so a wait gains at
 * most the difference. It is begun only when capacity becomes free before its
 * end with a probability of 0.75.
 */
#ifndef NEAR_WAIT_H
#define NEAR_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/** Longest wait. It bounds the loss when a long estimate is wrong. */
#define NEAR_WAIT_MAX_MS 30000
/** Time that a wait leaves for a remote start before the latest one that meets
 * the objective: two intervals of placement, which are 25 ms. */
#define NEAR_WAIT_MARGIN_MS 50
/** The forecast of capacity that doesn't become free. */
#define NEAR_NEVER INT64_MAX

struct near_wait_input {
	int64_t now_ms;
	int64_t ready_ms;     /**< since when the step waits */
	int64_t deadline_ms;  /**< for the end of the step */
	int64_t run_ms;	      /**< estimate of a rack-local run; 0: unknown */
	double remote_factor; /**< duration of a remote run, as a factor */
	int64_t free_ms;      /**< when enough rack-local capacity is free, as
			       * the 0.75 quantile; NEAR_NEVER: unknown */
};

struct near_wait {
	bool waits; /**< false: start remotely now */
	int64_t until_ms;
};

/** When a wait ends at the latest, whatever the forecast; it depends on no
 * reading of the clock. */
int64_t near_wait_end(const struct near_wait_input *in);
/** Whether to wait for rack-local capacity, and until when. */
struct near_wait near_wait_decide(const struct near_wait_input *in);

#endif
