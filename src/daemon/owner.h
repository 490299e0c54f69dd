/**
 * @file Ownership of shards: renews this host's lease in the table, claims and
 * releases shards, and expires the leases of hosts that stopped renewing.
 */
#ifndef OWNER_H
#define OWNER_H

#include <stdbool.h>
#include <stdint.h>

struct node;
struct owner;
struct shard;
struct table_tx;

struct owner *owner_new(struct node *n);
void owner_delete(struct owner *o);
/** Drops all state of a shard that this host no longer owns. */
void owner_shard_lost(struct node *n, struct shard *s, const char *why);
/**
 * Adds a write of the shard's row to a transaction; the caller may add
 * conditions on the row afterwards.
 */
void owner_put_shard_row(struct table_tx *tx, const struct shard *s,
    const char *host, uint64_t host_epoch, uint64_t epoch,
    uint64_t snapshot_seq);
/** Number of shards that this host owns, claims, loads or releases. */
int owner_shard_count(const struct node *n);

/** Whether another host is live and could claim the shards of this one. */
bool owner_has_successor(const struct node *n);

/** Schedules a read of the shards' rows in 200 ms, as those known are stale. */
void owner_refresh_shards(struct node *n);

#endif
