/**
 * @file Highest attempt seen for each member, so that an earlier one that
 * arrives late is refused.
 */
#ifndef TOMBSTONE_H
#define TOMBSTONE_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define TOMBSTONE_KEEP_MS 600000

struct tombstone {
	UT_hash_handle hh;
	char key[80];
	uint64_t attempt;
	int64_t seen_ms;
};

struct tombstones {
	struct tombstone *by_key; /**< oldest first */
};

/** Notes an attempt; @return false when a higher one was seen before. */
bool tombstone_pass(
    struct tombstones *t, const char *key, uint64_t attempt, int64_t now);
void tombstones_expire(struct tombstones *t, int64_t now);
void tombstones_done(struct tombstones *t);

#endif
