/** @file One group commit: a transaction that may be sent more than once. */
#ifndef CELL_COMMIT_H
#define CELL_COMMIT_H

#include "part.h"
#include "parts.h"

/** Entries of a transaction: jobs need two, others three in all. */
#define COMMIT_ENTRIES_MAX 90
/** Jobs in a commit. */
#define COMMIT_JOBS_MAX COMMIT_ENTRIES_MAX
/** Pause between attempts while the store fails. */
#define COMMIT_RETRY_MS 60

struct entry {
	char key[JOB_ID_LEN + 20];
	uint8_t *value;
	size_t len;
};

struct commit {
	struct cell *cell;
	uint64_t seq;
	int chain;
	uint64_t base_version; /**< of the chain's row that it builds on */
	uint64_t first_change; /**< of its jobs; UINT64_MAX: it has none */
	struct entry writes[COMMIT_ENTRIES_MAX];
	int nwrites;
	struct entry removes[COMMIT_ENTRIES_MAX];
	int nremoves;
	size_t bytes;
	struct job **jobs; /**< whose progress it carries */
	enum job_state *states;
	int njobs;
	uint64_t runner_rows; /**< rows of runners in it, a bit each */
	bool removes_jobs;    /**< it removes rows of jobs that are forgotten */
	bool maybe_done;      /**< an attempt had no answer */
	int open_attempts;    /**< attempts without an answer so far */
	int64_t first_ms;
	int64_t sent_ms; /**< last attempt */
	int64_t retry_ms;
};

/** Parts for which something waits that no commit under way touches, a bit
 * each. */
unsigned commit_wanted(const struct cell *c);
/** The part with rows that are to be removed now; PART_NONE: there is none. */
int commit_forget_part(const struct cell *c);
/** Whether new jobs go to any part that is free. */
bool commit_spreads(const struct cell *c);
/** Takes all that is to be written to the chain's part, up to what a
 * transaction holds. */
struct commit *commit_build(struct cell *c, int chain, int64_t now);
void commit_free(struct commit *k);
/** Sends it, or sends it once more. */
void commit_send(struct cell *c, struct commit *k);
/** Refuses new jobs that wait for a commit; none that was sent has them. */
void commit_refuse_waiting(struct cell *c);
/** The oldest commit under way; NULL when there is none. */
struct commit *commit_oldest(const struct cell *c);
/** The same of one part. */
struct commit *commit_oldest_in(const struct cell *c, int part);

#endif
