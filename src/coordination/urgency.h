/**
 * @file Order in which steps are served.
 *
 * Steps of jobs that are not past due come first, by priority and then by due
 * time. Steps of late jobs, which are past due, follow, then those of jobs that
 * were sent beyond the rate of their client account, and last those of expired
 * jobs: these will end so late that their result has no value to the caller. An
 * expired step may be boosted, which puts it before all others. Within a
 * priority, accounts that hold more than their share come after the others.
 */
#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/** A job is expired when it will take more than its latency objective times
 * this factor. */
#define OBJECTIVE_EXPIRED_FACTOR 3

/** Served first to last. */
enum lateness {
	LATENESS_BOOSTED,
	LATENESS_NONE,
	LATENESS_LATE,
	LATENESS_OVER_RATE, /**< sent beyond the rate of its client account */
	LATENESS_EXPIRED,
};

/** Small, as a list of them is sorted in each placement pass. */
struct urgency {
	enum lateness lateness : 8;
	bool above_share : 1; /**< its client account holds more than its share
			       */
	int priority;	      /**< lower is served first */
	int64_t due_ms;
};

/** Beyond all times that matter. */
#define OBJECTIVE_PART_MAX_MS 1000000000000000

struct urgency_job {
	int64_t accepted_ms;
	int64_t due_ms;	      /**< accepted_ms + latency objective */
	int64_t remaining_ms; /**< estimated run time of the remaining steps */
	int priority;
	bool boosted; /**< expired, but served first now (see expired_credit.h)
		       */
	bool long_running; /**< ends only when canceled */
	bool over_rate;	   /**< sent beyond the rate of its client account */
	bool above_share;  /**< as in struct urgency */
};

struct urgency urgency_of(const struct urgency_job *j, int64_t now);
/** Whether the job is expired and is served after all other jobs. */
bool urgency_is_expired(const struct urgency *u);
/** Whether the job is on time and of the highest priority. */
bool urgency_is_first(const struct urgency *u);
/** Negative when @p a comes before @p b. */
int urgency_compare(const struct urgency *a, const struct urgency *b);
/** Latency objective of a job in ms: the estimated run time of its critical
 * path times the queue's stretch, plus the queue's target latency. Each part is
 * at most OBJECTIVE_PART_MAX_MS, so that times can be added up. */
int64_t urgency_objective_ms(
    int64_t critical_path_ms, double stretch, int64_t target_latency_ms);

#endif
