/**
 * @file How far estimates of run times have been wrong: the newest ratios of
 * measured to estimated run time, and quantiles of what is left of a run.
 */
#ifndef ESTIMATE_ERROR_H
#define ESTIMATE_ERROR_H

#include <stdbool.h>

/** Ratios that are kept; a multiple of the 30 of the initial distribution. */
#define ESTIMATE_ERROR_RATIOS 120

struct estimate_error {
	float ratios[ESTIMATE_ERROR_RATIOS];
	float sorted[ESTIMATE_ERROR_RATIOS];
	int next;
	bool ready;	/**< holds the initial distribution or more */
	bool is_sorted; /**< sorted has the newest ratios */
};

/** Adds the ratio of a run that has ended; the oldest is dropped. */
void estimate_error_add(struct estimate_error *e, double ratio);
/**
 * Quantile @p q of the ratio of a run that has already run for @p elapsed times
 * its estimate.
 * @return -1 when no run is known that took longer.
 */
double estimate_error_quantile(
    struct estimate_error *e, double elapsed, double q);

#endif
