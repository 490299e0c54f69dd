/**
 * @file Keeps this host's lease and its shards by transactions in the table.
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
/** The shard belongs to another host now; drops all that is known of it. */
void owner_shard_lost(struct node *n, struct shard *s, const char *why);
/** Adds the shard's row to a transaction; conditions may follow. */
void owner_put_shard_row(struct table_tx *tx, const struct shard *s,
    const char *host, uint64_t host_epoch, uint64_t epoch, uint64_t snap_seq);
/** Shards that this host owns, takes or gives up. */
int owner_shards(const struct node *n);

/** Whether a live host could take the shards of this one. */
bool owner_has_successor(const struct node *n);

/** The shards' rows as read prove to be out of date: reads them soon. */
void owner_stale(struct node *n);

#endif
