/**
 * @file Tells a bad worker from a bad task.
 *
 * A worker is suspect when several *distinct* tasks failed there soon after
 * their start with no success between. It is then left alone for a time that
 * doubles, and tried again with one probe.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_DISTINCT_FAILURES 3
#define QUARANTINE_FIRST_MS 5000
#define QUARANTINE_MAX_MS 300000
/** Largest share of the workers in quarantine, in percent; one always may. */
#define QUARANTINE_MAX_PCT 25
/** A failure counts against the worker only this soon after the start. */
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
	int64_t until_ms;
	int64_t term_ms;
	bool probe_out; /**< the probe's task was handed out */
};

/** Whether the worker may be given work now. */
bool health_usable(const struct health *h);
/** A task ended well. */
void health_success(struct health *h);
/**
 * A task failed early. @p quarantined of @p total workers are in quarantine
 * already. @return whether the worker went into quarantine now.
 */
bool health_failure(
    struct health *h, uint64_t task, int64_t now, int quarantined, int total);
/** Ends a quarantine that is over; @return whether something changed. */
bool health_tick(struct health *h, int64_t now);
/** A task was handed out; a probing worker takes one only. */
void health_started(struct health *h);

#endif
