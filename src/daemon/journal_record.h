/**
 * @file Builds the journal's records.
 *
 * Each function builds one record, applies it to the ledger of the home shard
 * and appends it to the journal. They all return what rec_write() returns.
 */
#ifndef JOURNAL_RECORD_H
#define JOURNAL_RECORD_H

#include "journal.h"
#include "node.h"

/**
 * Applies a record to the shard's ledger and appends it to the journal.
 * @return CC_EINVAL when the ledger's state does not allow the record; then
 *     nothing was written and @p fn is not called.
 */
int rec_write(struct shard *s, enum journal_when when, const Cc__Rec *rec,
    journal_fn fn, void *arg);
/** Records that a member is assigned to a shard with this @p epoch. */
int rec_site(struct member *m, struct shard *home, uint32_t shard,
    uint64_t epoch, journal_fn fn, void *arg);
/** Records that a member was started on a worker. */
int rec_start(struct member *m, struct shard *home, const char *worker);
/** Records that a member waits for a start again; it may have run before. */
int rec_requeue(struct member *m, struct shard *home, bool maybe_ran,
    journal_fn fn, void *arg);
/** Records that the cancellation of a request was accepted. */
int rec_cancel(struct entry *e, struct shard *home, journal_fn fn, void *arg);
/** Records that one member of a request ended. */
int rec_member_end(struct member *m, struct shard *home, uint64_t run_ms,
    int status, journal_fn fn, void *arg);

/** How a request ended. */
struct rec_end {
	enum outcome outcome;
	const char *reason;
	uint64_t run_ms;
	int status;
	const uint8_t *answer;
	size_t answer_len;
	const char *content_type;
};

/**
 * Records that a request ended. An answer longer than ANSWER_KEEP_MAX is left
 * out of the record.
 */
int rec_end(struct entry *e, struct shard *home, const struct rec_end *end,
    journal_fn fn, void *arg);

#endif
