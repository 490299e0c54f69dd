/**
 * @file Health of workers: tells a bad worker from a bad task.
 *
 * A worker is suspected when several *distinct* tasks failed on it soon after
 * their start, without a success in between. It is then put in quarantine for a
 * time that doubles with each quarantine, and afterwards tried with one task
 * as a probe.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

/** Failures of distinct tasks that lead to a quarantine. */
#define HEALTH_DISTINCT_FAILURES 3
/** First and longest quarantine. */
#define QUARANTINE_FIRST_MS 5000
#define QUARANTINE_MAX_MS 300000
/** Largest share of workers in quarantine, in percent; one worker is always
 * allowed. */
#define QUARANTINE_MAX_PCT 25
/** A failure counts against the worker only within this time of the start. */
#define HEALTH_EARLY_MS 2000

enum health_state {
	HEALTH_OK,
	HEALTH_QUARANTINED,
	HEALTH_PROBING
};

struct health {
	enum health_state state;
	uint64_t failed[HEALTH_DISTINCT_FAILURES]; /**< hashes of task ids */
	int nfailed;
	int64_t until_ms; /**< end of the quarantine */
	int64_t term_ms;  /**< length of the last quarantine; 0: none yet */
	bool probe_sent;  /**< the probe task was started */
};

/** Whether the worker may be given work now. */
bool health_usable(const struct health *h);
/** A task succeeded. */
void health_success(struct health *h);
/**
 * A task failed early.
 * @param quarantined number of the @p total workers already in quarantine
 * @return whether the worker went into quarantine now.
 */
bool health_failure(
    struct health *h, uint64_t task, int64_t now, int quarantined, int total);
/** Ends a quarantine that is over: the worker may be probed.
 * @return whether the state changed. */
bool health_tick(struct health *h, int64_t now);
/** A task was started; a worker that is probed gets only one. */
void health_started(struct health *h);

#endif
