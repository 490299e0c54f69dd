/**
 * @file Which host should own which shard, and which steps this host takes to
 * get there.
 *
 * Pure functions from a view of the table and the hosts to a list of actions.
 * Each action is carried out by a conditional transaction, so a plan from a
 * stale view causes a failed write and no other harm.
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
	bool lapsed;	  /**< its lease was not renewed for the take term */
	bool leaving;	  /**< releases its shards */
	int64_t known_ms; /**< for how long this host has seen it alive */
};

struct plan_shard {
	char owner[HOST_NAME_LEN]; /**< empty: none */
	uint64_t owner_epoch;
	int64_t free_ms; /**< for how long this host has seen it without an
			    owner */
};

/** State of the hosts and shards as this host has read it. */
struct plan_view {
	const char *self;
	uint64_t self_epoch;
	int nhosts;
	int nshards;
	struct plan_host hosts[PLAN_HOSTS_MAX];
	struct plan_shard shards[PLAN_SHARDS_MAX];
};

enum plan_verb {
	PLAN_EXPIRE, /**< end the lapsed lease of a host */
	PLAN_CLAIM,  /**< take over a shard without an owner */
	PLAN_RELEASE /**< give an own shard up for its new owner */
};

struct plan_action {
	enum plan_verb verb;
	int index; /**< index in the view: of the host for PLAN_EXPIRE,
		      otherwise of the shard */
};

/** How long a new host must be known before shards are released to it. */
#define PLAN_SETTLE_MS 2000
/**
 * Additional wait per rank before a host claims a shard that is assigned to
 * another host which has not claimed it.
 */
#define PLAN_RANK_MS 700

/**
 * Distributes the shards evenly over the hosts that are live and not leaving;
 * each shard goes to its highest-ranked host that is not full.
 * @param out for each shard an index into the hosts, or -1 when there is none
 */
void plan_assign(const struct plan_view *v, int out[PLAN_SHARDS_MAX]);
/**
 * Plans the next actions of this host.
 * @param out gets up to @p max actions
 * @return their number.
 */
int plan_decide(const struct plan_view *v, struct plan_action *out, int max);
/** Whether the shard has an owner whose lease has not been ended. */
bool plan_shard_held(const struct plan_view *v, int shard);
/** Rendezvous rank of @p host for @p key; the host with the highest rank is
 * chosen. */
uint64_t plan_rank(const char *key, const char *host);

#endif
