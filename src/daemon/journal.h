/**
 * @file Journal of one shard in the table, with group commit.
 *
 * One commit is under way at a time; records that arrive meanwhile wait for a
 * later one. Each record has a maximum delay, for which it waits for others to
 * share its commit. A token bucket limits the commits of a shard to one in each
 * commit period, with a small burst. A commit is a transaction that also checks
 * the shard's epoch, so a host that lost the shard cannot write. After an
 * answer that leaves the result open, the commit is sent again; when that
 * conflicts, the journal is read back and the commit's id shows whether it took
 * effect.
 */
#ifndef JOURNAL_H
#define JOURNAL_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "../state/ledger_pack.h"

struct shard;

/**
 * @p err is CC_OK when the record is durable, or CC_ENOTOWNER when the shard
 * was lost before; in that case the record may or may not have been written.
 */
typedef void (*journal_fn)(int err, void *arg);

struct journal_waiter {
	TAILQ_ENTRY(journal_waiter) link;
	journal_fn fn;
	void *arg;
};

TAILQ_HEAD(journal_waiters, journal_waiter);

/** Records of one commit, and the callers that wait for it. */
struct journal_batch {
	TAILQ_ENTRY(journal_batch) link;
	struct batch_builder recs;
	struct journal_waiters waiters;
};

struct journal {
	struct shard *shard;
	TAILQ_HEAD(journal_batches, journal_batch) pending;
	uint64_t seq; /**< number of the last durable batch */
	uint64_t batches_since_snapshot;
	/* the commit under way */
	struct journal_batch *committing;
	uint8_t *data;
	size_t len;
	uint64_t commit_id;
	int tries;
	struct event *timer;
	int64_t commit_start_ms;
	int credits;	    /**< tokens: commits that may be sent at once */
	int64_t credits_ms; /**< time up to which credits were added */
	int64_t due_ms;	    /**< when the pending records should be sent */
	bool open;
	/* the snapshot that is captured or being stored */
	uint8_t *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_seq;
	bool snapshot_busy;
};

void journal_init(struct journal *j, struct shard *s);
/** Opens the journal for writes; @p seq is its last durable batch. */
void journal_open(struct journal *j, uint64_t seq);
/** Closes the journal and fails all waiters with CC_ENOTOWNER. */
void journal_close(struct journal *j);
void journal_done(struct journal *j);

/** How long a record may wait for others to share its commit. */
enum journal_when {
	JOURNAL_NOW,  /**< a start or a caller's answer waits for the record */
	JOURNAL_SOON, /**< the report of an ended task waits for the record */
	JOURNAL_LAZY, /**< nothing waits for the record */
};

/**
 * Adds a record to be committed. Ignored while the journal is closed; then
 * @p fn is not called.
 * @param rec the record, or NULL to wait only for the records added before
 * @param fn called when the commit is durable or the shard is lost; may be NULL
 */
void journal_append(struct journal *j, enum journal_when when,
    const Cc__Rec *rec, journal_fn fn, void *arg);
/** Whether nothing waits for a commit and no snapshot is being stored. */
bool journal_idle(const struct journal *j);
/** Whether the commit under way has failed and is being retried. */
bool journal_retrying(const struct journal *j);

#endif
