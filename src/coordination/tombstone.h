/**
 * @file Remembers the highest attempt seen for each member of a request, so
 * that a repeated or earlier attempt that arrives late is rejected.
 */
#ifndef TOMBSTONE_H
#define TOMBSTONE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/** How long a member is remembered after its last attempt. */
#define TOMBSTONE_KEEP_MS 600000

struct tombstone {
	UT_hash_handle hh;
	char key[80];	  /**< request id and member number */
	uint64_t attempt; /**< highest seen */
	int64_t seen_ms;  /**< when it was seen */
};

struct tombstones {
	struct tombstone *by_key; /**< oldest first */
};

/** Records an attempt. @return false when it or a higher one was seen
 * before. */
bool tombstone_pass(
    struct tombstones *t, const char *key, uint64_t attempt, int64_t now);
void tombstones_expire(struct tombstones *t, int64_t now);
void tombstones_done(struct tombstones *t);

#endif
