#include "account_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../base/xalloc.h"

#define SECRET_LEN 32
/** Bytes of the hash that are kept: no two keys share them by chance. */
#define DIGEST_LEN 16

struct entry {
	UT_hash_handle hh;
	uint8_t digest[DIGEST_LEN];
	int account;
};

struct account_keys {
	uint8_t secret[SECRET_LEN];
	struct entry *entries;
};

struct account_keys *
account_keys_new(void)
{
	struct account_keys *t = xcalloc(1, sizeof(*t));

	RAND_bytes(t->secret, SECRET_LEN);
	return t;
}

void
account_keys_delete(struct account_keys *t)
{
	struct entry *e, *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->entries, e, tmp)
	{
		HASH_DEL(t->entries, e);
		free(e);
	}
	OPENSSL_cleanse(t->secret, SECRET_LEN);
	free(t);
}

static void
add_digest(
    struct account_keys *t, const uint8_t digest[DIGEST_LEN], int account)
{
	struct entry *e = xcalloc(1, sizeof(*e));

	memcpy(e->digest, digest, DIGEST_LEN);
	e->account = account;
	HASH_ADD(hh, t->entries, digest, DIGEST_LEN, e);
}

struct account_keys *
account_keys_copy(const struct account_keys *t)
{
	struct account_keys *copy = xcalloc(1, sizeof(*copy));
	const struct entry *e;

	memcpy(copy->secret, t->secret, SECRET_LEN);
	for (e = t->entries; e != NULL; e = e->hh.next)
		add_digest(copy, e->digest, e->account);
	return copy;
}

static void
digest_key(const struct account_keys *t, const char *key, size_t len,
    uint8_t out[DIGEST_LEN])
{
	uint8_t full[EVP_MAX_MD_SIZE];
	unsigned n = 0;

	HMAC(EVP_sha256(), t->secret, SECRET_LEN, (const uint8_t *)key, len,
	    full, &n);
	memcpy(out, full, DIGEST_LEN);
}

static struct entry *
find_digest(const struct account_keys *t, const uint8_t digest[DIGEST_LEN])
{
	struct entry *e;

	HASH_FIND(hh, t->entries, digest, DIGEST_LEN, e);
	return e;
}

bool
account_keys_add(
    struct account_keys *t, const char *key, size_t len, int account)
{
	uint8_t digest[DIGEST_LEN];

	digest_key(t, key, len, digest);
	if (find_digest(t, digest) != NULL)
		return false;
	add_digest(t, digest, account);
	return true;
}

int
account_keys_find(const struct account_keys *t, const char *key, size_t len)
{
	uint8_t digest[DIGEST_LEN];
	const struct entry *e;

	digest_key(t, key, len, digest);
	e = find_digest(t, digest);
	return e != NULL ? e->account : ACCOUNT_KEY_UNKNOWN;
}

unsigned
account_keys_count(const struct account_keys *t)
{
	return HASH_COUNT(t->entries);
}
