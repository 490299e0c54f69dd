/** @file Makes journal records: applies one and hands it to the journal. */
#ifndef REC_H
#define REC_H

#include "journal.h"
#include "node.h"

/**
 * Applies the record to the shard's ledger and appends it.
 * @return CC_EINVAL when it does not follow from the state; then nothing was
 *     written and @p fn is not called.
 */
int rec_write(struct shard *s, enum journal_when when, const Cc__Rec *rec,
    journal_fn fn, void *arg);
int rec_site(struct member *m, struct shard *home, uint32_t shard,
    uint64_t epoch, journal_fn fn, void *arg);
int rec_start(struct member *m, struct shard *home, const char *worker);
int rec_requeue(struct member *m, struct shard *home, bool maybe_ran,
    journal_fn fn, void *arg);
int rec_cancel(struct entry *e, struct shard *home, journal_fn fn, void *arg);
int rec_member_end(struct member *m, struct shard *home, uint64_t run_ms,
    int status, journal_fn fn, void *arg);

struct rec_end {
	enum outcome outcome;
	const char *reason;
	uint64_t run_ms;
	int status;
	const uint8_t *answer;
	size_t answer_len;
	const char *content_type;
};

int rec_end(struct entry *e, struct shard *home, const struct rec_end *end,
    journal_fn fn, void *arg);

#endif
