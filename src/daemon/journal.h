/**
 * @file Journal of one shard in the table, with group commit.
 *
 * One commit is under way at a time; all that arrives meanwhile goes with the
 * next. Each record says how long it may wait for others, and a shard may
 * commit once in each commit period, of which it saves up a few. A commit is a
 * transaction that also checks the shard's epoch, so a host that lost the shard
 * cannot write. After a lost answer the journal is read back: the commit's own
 * id says whether it took effect.
 */
#ifndef JOURNAL_H
#define JOURNAL_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "../state/ledger_pack.h"

struct shard;

/**
 * @p err is CC_OK when the record is durable, CC_ENOTOWNER when the shard was
 * lost first; then it is not known here whether it was written.
 */
typedef void (*journal_fn)(int err, void *arg);

struct journal_waiter {
	TAILQ_ENTRY(journal_waiter) link;
	journal_fn fn;
	void *arg;
};

TAILQ_HEAD(journal_waiters, journal_waiter);

struct journal_chunk {
	TAILQ_ENTRY(journal_chunk) link;
	struct batch_builder recs;
	struct journal_waiters waiters;
};

struct journal {
	struct shard *shard;
	TAILQ_HEAD(journal_chunks, journal_chunk) pending;
	uint64_t seq;	  /**< of the last durable batch */
	uint64_t batches; /**< since the last snapshot */
	/* the commit under way */
	struct journal_chunk *chunk;
	uint8_t *data;
	size_t len;
	uint64_t commit_id;
	int tries;
	struct event *timer;
	int64_t flushed_ms;
	int credits;	   /**< commits that may go at once */
	int64_t credit_ms; /**< when the credits were last counted */
	int64_t due_ms;	   /**< when what is pending should go */
	bool open;
	/* the snapshot under way */
	uint8_t *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_seq;
	bool snapshot_busy;
};

void journal_init(struct journal *j, struct shard *s);
/** Opens it for writes behind batch @p seq. */
void journal_open(struct journal *j, uint64_t seq);
/** Fails all waiters with CC_ENOTOWNER. */
void journal_close(struct journal *j);
void journal_done(struct journal *j);
/** How long a record may wait for others to go with it. */
enum journal_when {
	JOURNAL_NOW,  /**< a start or a caller's answer waits for it */
	JOURNAL_SOON, /**< the news that a task ended waits for it */
	JOURNAL_LAZY, /**< nobody waits for it */
};

/** Adds a record; with @p rec NULL it waits for all records before. */
void journal_append(struct journal *j, enum journal_when when,
    const Cc__Rec *rec, journal_fn fn, void *arg);
bool journal_idle(const struct journal *j);
/** Whether the commit under way has failed and is being tried again. */
bool journal_stuck(const struct journal *j);

#endif
