/**
 * @file Group commits: one transaction writes the progress of many jobs, rows
 * of runners and the progress of their chain. A commit may be sent more than
 * once, since the chain's row makes it idempotent.
 */
#ifndef CELL_COMMIT_H
#define CELL_COMMIT_H

#include "store_part.h"
#include "cell_internal.h"

/** Most rows that a commit writes and removes. A job of usual size needs two;
 * three more entries of the transaction are its conditions and the chain's row.
 */
#define COMMIT_ENTRIES_MAX 90
#define COMMIT_JOBS_MAX COMMIT_ENTRIES_MAX
/** Pause between attempts while the store fails. */
#define COMMIT_RETRY_MS 60

/** A row that a commit writes or removes. */
struct entry {
	char key[JOB_ID_LEN + 20];
	uint8_t *value;
	size_t len;
};

struct commit {
	struct cell *cell;
	uint64_t seq;
	int chain;
	uint64_t base_version; /**< chain row's version that it replaces */
	uint64_t first_change; /**< oldest change of its jobs; UINT64_MAX:
				* it has no jobs */
	struct entry writes[COMMIT_ENTRIES_MAX];
	int nwrites;
	struct entry removes[COMMIT_ENTRIES_MAX];
	int nremoves;
	size_t bytes;
	struct job **jobs;	/**< jobs whose progress it writes */
	enum job_state *states; /**< of these jobs, as written */
	int njobs;
	uint64_t runner_rows; /**< rows of runners in it, as a bit mask */
	bool removes_jobs;    /**< it removes rows of ended jobs */
	bool maybe_done;      /**< an attempt got no answer */
	int open_attempts;    /**< attempts without an answer so far */
	int64_t first_ms;     /**< first attempt */
	int64_t sent_ms;      /**< last attempt */
	int64_t retry_ms;     /**< next attempt after a failure */
};

/** Parts that have something to write which no commit under way carries, as a
 * bit mask. */
unsigned commit_wanted(const struct cell *c);
/** Part with rows of ended jobs that may be removed now, since their retention
 * is over; PART_NONE when there is none. */
int commit_forget_part(const struct cell *c);
/** Whether new jobs go to all parts, as the store answers slowly, and not only
 * to the first. */
bool commit_spreads(const struct cell *c);
/** Builds a commit of what is to be written to the chain's part, up to the
 * limits of a transaction. */
struct commit *commit_build(struct cell *c, int chain, int64_t now);
/** Adds a row to write, with @p len bytes for its value. */
struct entry *commit_add_write(
    struct commit *k, const char *prefix, const char *id, size_t len);
/** Adds a row to remove. */
void commit_add_remove(struct commit *k, const char *prefix, const char *id);
void commit_free(struct commit *k);
/** Sends one attempt of the commit. */
void commit_send(struct cell *c, struct commit *k);
/** Refuses new jobs that are in no commit yet, while the store is down. */
void commit_refuse_waiting(struct cell *c);
/** The oldest commit under way; NULL when there is none. */
struct commit *commit_oldest(const struct cell *c);
/** The oldest commit under way in one part; NULL when there is none. */
struct commit *commit_oldest_in(const struct cell *c, int part);

#endif
