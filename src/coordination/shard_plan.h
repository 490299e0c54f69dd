/**
 * @file Which host should own which shard, and what this host does about it.
 *
 * Pure: a view of the table and of the hosts goes in, actions come out. Each
 * action is carried out by a conditional transaction, so a plan made from a
 * stale view costs a failed write and nothing else.
 */
#ifndef SHARD_PLAN_H
#define SHARD_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define HOST_NAME_LEN 64
#define PLAN_HOSTS_MAX 64
#define PLAN_SHARDS_MAX 256

struct plan_host {
	char name[HOST_NAME_LEN];
	uint64_t epoch;
	bool expired;	  /**< its row says that its lease was ended */
	bool lapsed;	  /**< its counter stood still for the take term */
	bool leaving;	  /**< gives up its shards */
	int64_t known_ms; /**< for how long this host has seen it live */
};

struct plan_shard {
	char owner[HOST_NAME_LEN]; /**< empty: nobody */
	uint64_t owner_epoch;
	int64_t free_ms; /**< for how long it was seen without an owner */
};

struct plan_view {
	const char *self;
	uint64_t self_epoch;
	int nhosts;
	int nshards;
	struct plan_host hosts[PLAN_HOSTS_MAX];
	struct plan_shard shards[PLAN_SHARDS_MAX];
};

enum plan_verb {
	PLAN_EXPIRE,
	PLAN_CLAIM,
	PLAN_RELEASE
};

struct plan_action {
	enum plan_verb verb;
	int index; /**< of the host or the shard in the view */
};

/** How long a newcomer must be known before shards are given to it. */
#define PLAN_SETTLE_MS 2000
/** How long each further host waits before it acts in the first one's stead. */
#define PLAN_RANK_MS 700

/**
 * Shares the shards out evenly over the hosts that are live and not leaving,
 * each shard to its highest-ranked host that is not full. @p out gets an
 * index into the hosts, or -1 when there is no host.
 */
void plan_assign(const struct plan_view *v, int out[PLAN_SHARDS_MAX]);
/** Fills @p out, which has room for @p max actions; returns their number. */
int plan_decide(const struct plan_view *v, struct plan_action *out, int max);
/** Whether the host that the shard names still holds it. */
bool plan_shard_held(const struct plan_view *v, int shard);
/** Rank of @p host for @p key; the highest rank of all hosts wins. */
uint64_t plan_rank(const char *key, const char *host);

#endif
