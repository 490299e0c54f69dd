/**
 * @file Client of the platform's table service.
 *
 * Speaks a part of the DynamoDB JSON protocol (2012-08-10): Query and
 * TransactWriteItems. Every item has a partition key "p" and a sort key "s".
 * A write is one transaction: all of its conditions hold and all of its items
 * are written, or nothing is.
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

/** Transaction under construction. */
struct table_tx;
struct table_item {
	json_t *attrs; /**< read with the functions below */
};

/** An attribute of an item read back. */
const char *table_item_sort(const struct table_item *it);
const char *table_item_text(const struct table_item *it, const char *name);
uint64_t table_item_num(const struct table_item *it, const char *name);
/** Decodes a binary attribute; NULL when there is none. The caller frees. */
uint8_t *table_item_data(
    const struct table_item *it, const char *name, size_t *len);

/**
 * @p err is CC_OK, CC_ECONFLICT (a condition failed; nothing was written),
 * CC_ENOTSENT (nothing was written) or another error, after which it is not
 * known whether it was written.
 */
typedef void (*table_write_fn)(int err, void *arg);
/** @p n items, ordered by sort key; valid during the call only. */
typedef void (*table_query_fn)(
    int err, const struct table_item *items, size_t n, void *arg);

struct table *table_new(struct http_pool *http, const struct endpoint *ep);
void table_delete(struct table *t);

struct table_tx *table_tx_new(void);
void table_tx_delete(struct table_tx *tx);
/** Starts an item to put; the attributes and conditions that follow are its. */
void table_tx_put(struct table_tx *tx, const char *p, const char *s);
/** Starts an item of which only the conditions are checked. */
void table_tx_check(struct table_tx *tx, const char *p, const char *s);
void table_tx_remove(struct table_tx *tx, const char *p, const char *s);
void table_tx_text(struct table_tx *tx, const char *name, const char *v);
void table_tx_num(struct table_tx *tx, const char *name, uint64_t v);
void table_tx_data(
    struct table_tx *tx, const char *name, const uint8_t *data, size_t len);
/** Condition on the item: the attribute has this number. */
void table_tx_if_num(struct table_tx *tx, const char *name, uint64_t v);
/** Condition on the item: it does not exist. */
void table_tx_if_absent(struct table_tx *tx);

/**
 * Writes a transaction; the table keeps it. @p token makes a repeat of the
 * same transaction idempotent at the service; NULL for none.
 */
void table_write(struct table *t, struct table_tx *tx, const char *token,
    int64_t timeout_ms, table_write_fn fn, void *arg);
/** Reads a partition, from after sort key @p after ("" for all). */
void table_query(struct table *t, const char *p, const char *after,
    int64_t timeout_ms, table_query_fn fn, void *arg);

/** Reads and writes sent so far, items counted. */
void table_counts(const struct table *t, uint64_t *reads, uint64_t *writes);

#endif
