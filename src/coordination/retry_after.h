/**
 * @file The Retry-After delay for callers whose job was refused.
 *
 * The first delays are short, as most outages are; later ones grow, so that the
 * limited number of attempts of a caller outlasts a long outage.
 */
#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include <stdint.h>
#include <uthash.h>

#include "../state/job.h"

/** Consecutive refusals of one job. */
struct refusals {
	UT_hash_handle hh;
	char id[JOB_ID_LEN];
	uint32_t count;
	int64_t last_ms;
	int64_t due_ms; /**< its caller was told to return then; 0: not told */
};

struct retry_after {
	struct refusals *jobs; /**< hash by id, oldest entry first */
};

void retry_after_init(struct retry_after *t);
void retry_after_done(struct retry_after *t);
/**
 * Records a refusal of the job.
 * @param objective_ms latency objective of the job; 0: unknown
 * @return ms after which the caller should retry.
 */
uint32_t retry_after_refused(
    struct retry_after *t, const char *id, int64_t objective_ms, int64_t now);
/** Records that the caller was told to return at @p due_ms. */
void retry_after_set_due(
    struct retry_after *t, const char *id, int64_t due_ms, int64_t now);
/** @return the time that the job's caller was told to return at; 0: none. */
int64_t retry_after_due(const struct retry_after *t, const char *id);
/** Forgets the refusals of a job that was accepted. */
void retry_after_accepted(struct retry_after *t, const char *id);

#endif
