/**
 * @file Who asks the advice service for which queue.
 *
 * The service takes one call at a time for each calling host, in turn, so a
 * short call that stands behind a long one waits for all of it. Hosts are
 * split: some are kept for quick calls, the others take slow ones.
 */
#ifndef LANES_H
#define LANES_H

#include <stdbool.h>
#include <stdint.h>

#define LANES_MAX 1024

struct lane {
	char host[64];
	int open;	 /**< calls under way */
	int64_t free_ms; /**< its calls should be answered by then */
	bool seen;
};

struct lanes {
	struct lane lanes[LANES_MAX];
	int n;
};

/** Whether a call of this length belongs into the quick lanes. */
bool lanes_is_quick(double call_ms);
/** Sets the hosts that can ask; lanes of hosts that stay are kept. */
void lanes_set(struct lanes *l, const char (*hosts)[64], int n);
/** The lane for a call now; NULL when it should wait for one. */
struct lane *lanes_pick(struct lanes *l, double call_ms);
/** Lanes for a call of this length that nobody uses now. */
int lanes_idle(const struct lanes *l, double call_ms);
void lane_sent(struct lane *lane, double call_ms, int64_t now);
/** The call in the lane of this host was answered or given up. */
void lanes_answered(struct lanes *l, const char *host, int64_t now);

#endif
