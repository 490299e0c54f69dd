/**
 * @file Rebuilds the ledger of a claimed shard from its snapshot and journal.
 */
#ifndef SHARD_LOAD_H
#define SHARD_LOAD_H

struct shard;

/**
 * Starts a load. When it succeeds, the shard is owned; when it fails, the
 * shard's loading flag is cleared and the load may be started again.
 */
void shard_load_start(struct shard *s);

#endif
