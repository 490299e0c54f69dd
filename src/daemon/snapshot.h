/**
 * @file Snapshots of a shard's ledger in the object store.
 *
 * A snapshot is taken at the moment a batch is sealed, so that it holds
 * exactly the records up to that batch. It is put into the object store, then
 * the shard's row names it, and then the batches before it are removed.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include <stdint.h>

#include "../transport/http_call.h"

struct journal;
struct shard;

/** Captures the ledger when enough batches were written. */
void snapshot_capture(struct journal *j, uint64_t seq);
/** Stores what was captured once its batch is durable. */
void snapshot_after_commit(struct journal *j);
void snapshot_forget(struct journal *j);
/** Reads the snapshot that was taken with batch @p seq. */
void snapshot_get(struct shard *s, uint64_t seq, http_fn fn, void *arg);

#endif
