/**
 * @file Which hosts send a leader's orders to which runners.
 *
 * A leader that can't speak to all runners itself gives each to a relay, by
 * rendezvous hashing over hosts weighted by what they can carry: when a host
 * comes or goes, only its own runners move.
 */
#ifndef RELAY_PLAN_H
#define RELAY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define RELAYS_MAX 64
#define RELAY_HOST_LEN 64

struct relay_host {
	char host[RELAY_HOST_LEN];
	double carries; /**< runners that it could speak to */
};

struct relay_plan {
	struct relay_host hosts[RELAYS_MAX];
	int n;		  /**< 0: the leader speaks to all runners itself */
	uint64_t version; /**< rises with each change of the hosts */
};

/** Runners that a host of this size can speak to. */
double relay_carries(double cores, double link_mbps);
/**
 * Chooses the hosts that carry most, until they can carry @p nrunners with
 * something to spare. @p list is put in order.
 */
void relay_plan_set(struct relay_plan *p, struct relay_host *list, int n,
    double own, unsigned nrunners);
/** Takes a host out that doesn't answer. */
void relay_plan_drop(struct relay_plan *p, const char *host);
/**
 * @param nth the host that comes so many places behind the first choice
 * @return the place of the runner's host, or -1 where there is none.
 */
int relay_plan_pick(const struct relay_plan *p, const char *runner, int nth);

#endif
