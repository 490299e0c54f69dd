/**
 * @file Snapshots of a shard's ledger in the object store.
 *
 * A snapshot is captured when a batch is sealed, so that it holds exactly the
 * records up to that batch. It is put into the object store, then its number is
 * written to the shard's row, and then the batches that it covers are deleted
 * from the journal.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include <stdint.h>

#include "../transport/http_call.h"

struct journal;
struct shard;

/**
 * Captures the ledger if enough batches were written since the last snapshot.
 * @param seq number of the batch that is being sealed
 */
void snapshot_capture(struct journal *j, uint64_t seq);
/** Stores a captured snapshot if its batch is durable. */
void snapshot_after_commit(struct journal *j);
/** Drops a captured snapshot, and the rest of one that is being stored. */
void snapshot_discard(struct journal *j);
/** Reads the snapshot that was captured with batch @p seq. */
void snapshot_get(struct shard *s, uint64_t seq, http_fn fn, void *arg);

#endif
