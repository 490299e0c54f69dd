/**
 * @file Makes the ledger of a taken shard from its snapshot and its journal.
 */
#ifndef SHARD_LOAD_H
#define SHARD_LOAD_H

struct shard;

/**
 * Starts a load; at its end the shard is owned, or its loading flag is clear
 * and it may be tried again.
 */
void shard_load_start(struct shard *s);

#endif
