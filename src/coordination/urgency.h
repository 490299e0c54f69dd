/**
 * @file In which order steps are served.
 *
 * Jobs that can still meet their objective come first, by priority and then
 * by due time; then those that are late but may still count; then the rest.
 */
#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/** After this many times its objective a job counts for nothing. */
#define OBJECTIVE_LATE_FACTOR 3

struct urgency {
	int rank;
	int64_t due_ms;
};

struct urgency_job {
	int64_t accepted_ms;
	int64_t due_ms;	      /**< accepted + objective */
	int64_t remaining_ms; /**< estimate of what is left of its chain */
	int priority;
	bool favored; /**< late work whose turn it is */
	bool lasting; /**< its tasks run until it is cancelled */
};

struct urgency urgency_of(const struct urgency_job *j, int64_t now);
/** Whether it is so late that it ranks behind all that isn't. */
bool urgency_is_expired(const struct urgency *u);
/** Negative when @p a comes before @p b. */
int urgency_compare(const struct urgency *a, const struct urgency *b);
/** Latency objective in ms: stretch times the chain, and the target. */
int64_t urgency_objective_ms(
    int64_t chain_ms, double stretch, int64_t target_latency_ms);

#endif
