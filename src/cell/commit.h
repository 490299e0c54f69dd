/** @file One group commit: a transaction that may be sent more than once. */
#ifndef CELL_COMMIT_H
#define CELL_COMMIT_H

#include "parts.h"

/** Entries of a transaction: jobs need two, others three in all. */
#define COMMIT_ENTRIES_MAX 90

struct entry {
	char key[JOB_ID_LEN + 4];
	uint8_t *value;
	size_t len;
};

struct commit {
	struct cell *cell;
	uint64_t fence;
	uint64_t seq;
	uint64_t base_version; /**< of the commit row it builds on */
	struct entry writes[COMMIT_ENTRIES_MAX];
	int nwrites;
	struct entry removes[COMMIT_ENTRIES_MAX];
	int nremoves;
	size_t bytes;
	struct job **jobs; /**< whose progress it carries */
	enum job_state *states;
	int njobs;
	bool has_runners;
	bool maybe_done; /**< an attempt had no answer */
	bool sent;	 /**< an attempt is under way */
	int64_t first_ms;
	int64_t sent_ms;
	int64_t retry_ms;
	int attempts;
};

/** Takes all that is to be written, up to what a transaction holds. */
struct commit *commit_build(struct cell *c, int64_t now);
void commit_free(struct commit *k);

#endif
