/**
 * @file The classes' configuration: one versioned document in the table.
 *
 * An operator applies a new version by compare-and-set. Every host compares its
 * version with that in the table and with those in its peers' heartbeats, and
 * fetches a newer one from either.
 */
#ifndef CONF_SYNC_H
#define CONF_SYNC_H

#include "node.h"

struct conf_sync;

struct conf_sync *conf_sync_new(struct node *n);
void conf_sync_delete(struct conf_sync *c);
/** Fetches the configuration from a peer that has a newer @p version. */
void conf_sync_peer_version(
    struct conf_sync *c, const char *host, uint64_t version);
/** Answers a peer with the configuration in force here. */
void conf_sync_serve(struct node *n, const struct peer_request *rq);

/**
 * @p err is CC_OK, CC_ECONFLICT, or CC_EUNAVAIL when it is not known whether
 * the document was applied.
 */
typedef void (*conf_fn)(int err, uint64_t version, void *arg);

/**
 * Applies a document that was checked before. After a lost answer the table is
 * read back to find out whether the write took effect.
 * @param seen the version that the new one replaces; a conflict when the table
 *     has another version by now
 */
void conf_sync_apply(struct conf_sync *c, uint64_t seen, const char *text,
    const char *who, conf_fn fn, void *arg);

/** @p items are the versions applied, oldest first. */
typedef void (*conf_history_fn)(
    int err, const struct table_item *items, size_t n, void *arg);
void conf_sync_history(struct conf_sync *c, conf_history_fn fn, void *arg);

#endif
