/**
 * @file Internal state of the home: home.c has the queue and its timer,
 * home_place.c chooses shards for members, home_answer.c handles the replies
 * of the shards' owners, home_settle.c settles requests.
 */
#ifndef HOME_INTERNAL_H
#define HOME_INTERNAL_H

#include "home.h"
#include "usage.h"

struct home {
	struct node *node;
	struct ready queue; /**< members waiting for placement */
	struct event *tick;
	struct usage usage;
	int64_t next_sweep_ms;
};

/**
 * Whether starting the request keeps its class within its share of all
 * processors and its team within its quota. A class that uses no processors
 * may start one request that is larger than its share.
 */
bool home_within_limits(struct home *h, const struct entry *e);
/** Assigns all waiting members of the request to shards, or none. */
enum ready_verdict home_place_entry(
    struct home *h, struct entry *e, int64_t now);
/**
 * Puts a member that was assigned to a shard back into the queue.
 * @param maybe_ran whether it may have run there
 */
void home_requeue(
    struct home *h, struct shard *home, struct member *m, bool maybe_ran);
/** Settles a request with an outcome and a reason, without an answer. */
void home_settle_as(struct shard *s, struct entry *e, enum outcome o,
    const char *reason, uint64_t run_ms, int status);
/** Settles a cancelled request once it is known which members ran. */
void home_check_cancelled(struct shard *s, struct entry *e);

#endif
