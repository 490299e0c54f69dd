/**
 * @file Finds the client account of an API key.
 *
 * Only a keyed hash (HMAC) of each key is kept, under a random secret of the
 * table, so that neither a lookup's duration nor a memory dump tells a key.
 */
#ifndef ACCOUNT_KEYS_H
#define ACCOUNT_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/** The key is in no entry of the table. */
#define ACCOUNT_KEY_UNKNOWN (-1)

struct account_keys;

struct account_keys *account_keys_new(void);
/** @p t may be NULL. */
void account_keys_delete(struct account_keys *t);
struct account_keys *account_keys_copy(const struct account_keys *t);
/**
 * Adds a key.
 * @param account index of the account, at least 0
 * @return false when the key is in the table already; it keeps its account.
 */
bool account_keys_add(
    struct account_keys *t, const char *key, size_t len, int account);
/** @return the index of the key's account, or ACCOUNT_KEY_UNKNOWN. */
int account_keys_find(
    const struct account_keys *t, const char *key, size_t len);
/** Number of keys. */
unsigned account_keys_count(const struct account_keys *t);

#endif
