/**
 * @file What the files of the home share: home.c has the queue and its tick,
 * home_place.c finds a place, home_answer.c takes the answers of the shards'
 * owners, home_settle.c settles.
 */
#ifndef HOME_PARTS_H
#define HOME_PARTS_H

#include "home.h"
#include "usage.h"

struct home {
	struct node *node;
	struct ready queue;
	struct event *tick;
	struct usage usage;
	int64_t sweep_ms;
};

/** Whether the class's share and the team's quota leave room. */
bool home_within_limits(struct home *h, const struct entry *e);
/** Hands out all members that wait, or none. */
enum ready_verdict home_try_entry(struct home *h, struct entry *e, int64_t now);
/** Puts a member that was handed out back into the queue. */
void home_requeue(
    struct home *h, struct shard *home, struct member *m, bool maybe_ran);
void home_settle_as(struct shard *s, struct entry *e, enum outcome o,
    const char *reason, uint64_t run_ms, int status);
/** Settles a cancelled request once every member's part is known. */
void home_check_cancelled(struct shard *s, struct entry *e);

#endif
