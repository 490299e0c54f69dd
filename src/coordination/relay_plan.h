/**
 * @file Which hosts relay a leader's orders to which runners.
 *
 * A leader without the capacity to talk to all runners itself assigns each
 * runner to a relay, by rendezvous hashing over hosts weighted by their
 * capacity: when a host is added or removed, only its own runners move.
 */
#ifndef RELAY_PLAN_H
#define RELAY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define RELAYS_MAX 64
#define RELAY_HOST_LEN 64

struct relay_host {
	char host[RELAY_HOST_LEN];
	double capacity; /**< number of runners it can talk to */
};

struct relay_plan {
	struct relay_host hosts[RELAYS_MAX];
	int n;		  /**< 0: the leader talks to all runners itself */
	uint64_t version; /**< incremented with each change of the hosts */
};

/** Number of runners that a host of this size can talk to. */
double relay_capacity(double cores, double link_mbps);
/**
 * Chooses the hosts with the highest capacity until their sum covers
 * @p nrunners with a reserve; none when the leader's capacity suffices.
 * @param list candidates; sorted in place
 * @param own capacity of the leader
 */
void relay_plan_set(struct relay_plan *p, struct relay_host *list, int n,
    double own, unsigned nrunners);
/** Removes a host that doesn't answer. */
void relay_plan_drop(struct relay_plan *p, const char *host);
/**
 * Picks the relay of a runner.
 * @param choice 0 for the first choice, 1 for the second ...
 * @return index into the hosts, or -1 when there are none.
 */
int relay_plan_pick(const struct relay_plan *p, const char *runner, int choice);

#endif
