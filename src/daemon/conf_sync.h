/**
 * @file The classes' configuration: one versioned document in the table.
 *
 * Operators apply it by compare-and-set. Every host looks at the version in
 * the table and in its peers' beats and takes a newer one from either.
 */
#ifndef CONF_SYNC_H
#define CONF_SYNC_H

#include "node.h"

struct conf_sync;

struct conf_sync *conf_sync_new(struct node *n);
void conf_sync_delete(struct conf_sync *c);
/** A peer's beat tells the version that is in force there. */
void conf_sync_heard(struct conf_sync *c, const char *host, uint64_t version);
void conf_sync_serve(struct node *n, const struct peer_request *rq);

/** @p err is CC_OK, CC_ECONFLICT or CC_EUNAVAIL (it is not known). */
typedef void (*conf_fn)(int err, uint64_t version, void *arg);

/**
 * Applies a document that was checked, if @p seen is still the version in
 * force; a lost answer is settled by reading back.
 */
void conf_sync_apply(struct conf_sync *c, uint64_t seen, const char *text,
    const char *who, conf_fn fn, void *arg);

typedef void (*conf_history_fn)(
    int err, const struct table_item *items, size_t n, void *arg);
void conf_sync_history(struct conf_sync *c, conf_history_fn fn, void *arg);

#endif
