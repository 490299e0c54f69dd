/**
 * @file Client of the platform's table service.
 *
 * Uses Query and TransactWriteItems of the DynamoDB JSON protocol
 * (2012-08-10). Every item has a partition key "p" and a sort key "s". Reads
 * are consistent. A write is one atomic transaction: if one of its conditions
 * doesn't hold, nothing is written.
 */
#ifndef TABLE_H
#define TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../state/settings.h"
#include "../transport/http_call.h"

struct table;

/** A transaction under construction. */
struct table_tx;

/** An item that was read. */
struct table_item {
	json_t *attrs; /**< read with the functions below */
};

/** Attributes of an item; "" or 0 when the attribute is missing. */
const char *table_item_sort(const struct table_item *it);
const char *table_item_text(const struct table_item *it, const char *name);
uint64_t table_item_num(const struct table_item *it, const char *name);
/** Decodes a binary attribute; NULL when there is none. The caller frees. */
uint8_t *table_item_data(
    const struct table_item *it, const char *name, size_t *len);

/**
 * @p err is CC_OK; CC_ECONFLICT when a condition did not hold, and CC_ENOTSENT,
 * both of which mean that nothing was written; or another error, after which
 * it is not known whether the transaction was written.
 */
typedef void (*table_write_fn)(int err, void *arg);
/** @p n items, ordered by sort key; valid during the call only. */
typedef void (*table_query_fn)(
    int err, const struct table_item *items, size_t n, void *arg);

struct table *table_new(struct http_pool *http, const struct endpoint *ep);
void table_delete(struct table *t);

struct table_tx *table_tx_new(void);
void table_tx_delete(struct table_tx *tx);
/** Adds a put; attributes and conditions added next belong to this item. */
void table_tx_put(struct table_tx *tx, const char *p, const char *s);
/** Adds a check; conditions added next belong to this item. */
void table_tx_check(struct table_tx *tx, const char *p, const char *s);
/** Adds a delete; conditions added next belong to this item. */
void table_tx_remove(struct table_tx *tx, const char *p, const char *s);
void table_tx_text(struct table_tx *tx, const char *name, const char *v);
void table_tx_num(struct table_tx *tx, const char *name, uint64_t v);
void table_tx_data(
    struct table_tx *tx, const char *name, const uint8_t *data, size_t len);
/** Condition on the current item: the attribute has this value. */
void table_tx_if_num(struct table_tx *tx, const char *name, uint64_t v);
/** Condition on the current item: it does not exist. */
void table_tx_if_absent(struct table_tx *tx);

/**
 * Sends a transaction; the caller keeps ownership of @p tx. @p token makes a
 * repeat of the same transaction idempotent at the service; NULL for none.
 */
void table_write(struct table *t, struct table_tx *tx, const char *token,
    int64_t timeout_ms, table_write_fn fn, void *arg);
/** Reads the items of a partition after sort key @p after ("": all). */
void table_query(struct table *t, const char *p, const char *after,
    int64_t timeout_ms, table_query_fn fn, void *arg);

/** Query pages and written items sent so far. */
void table_counts(const struct table *t, uint64_t *reads, uint64_t *writes);

#endif
