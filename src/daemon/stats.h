/** @file Counters and histograms of one daemon, printed as its metrics. */
#ifndef STATS_H
#define STATS_H

#include <stdint.h>
#include <stdio.h>
#include <uthash.h>

#include "../base/hist.h"
#include "../state/outcome.h"

struct class_stats {
	UT_hash_handle hh;
	char name[64];
	uint64_t accepted;
	uint64_t outcomes[4]; /**< by enum outcome */
	uint64_t retries;
	uint64_t late; /**< started later than the class's target */
	struct hist start_wait_ms;
	struct hist run_ms;
	struct hist total_ms;
};

struct stats {
	struct class_stats *classes;
	struct hist commit_ms;
	uint64_t commits;
	uint64_t placements;
	uint64_t placements_remote;
	uint64_t starts_uncertain;
	uint64_t tasks_lost;
	uint64_t quarantines;
	uint64_t requests_refused;
};

void stats_done(struct stats *s);
/** Finds the counters of a class or adds them. */
struct class_stats *stats_class(struct stats *s, const char *name);
/** Counts a commit of a journal that took @p ms. */
void stats_commit(struct stats *s, int64_t ms);
/** Counts a settled request; @p total_ms is the time since its acceptance. */
void stats_settled(
    struct stats *s, const char *class_name, enum outcome o, int64_t total_ms);
/** Counts a start after @p wait_ms; @p target_ms is 0 for no target. */
void stats_started(struct stats *s, const char *class_name, int64_t wait_ms,
    int64_t target_ms);

struct node;
/** Writes all metrics in the text exposition format. */
void stats_print(struct node *n, FILE *out);

#endif
