/**
 * @file Which host sends a call to the advice service.
 *
 * The service handles the calls of one host one after the other, so a short
 * call that queues behind a long one waits for all of it. Each host is
 * therefore a lane of its own; some lanes are reserved for quick calls, the
 * others take slow ones.
 */
#ifndef ADVICE_LANES_H
#define ADVICE_LANES_H

#include <stdbool.h>
#include <stdint.h>

#define LANES_MAX 1024

struct lane {
	char host[64];
	int open;	       /**< calls under way */
	int64_t busy_until_ms; /**< expected end of the calls under way */
	bool seen;	       /**< in the newest list of hosts */
};

struct lanes {
	struct lane lanes[LANES_MAX];
	int n;
};

/** Whether a call of this duration goes into the quick lanes. */
bool lanes_is_quick(double call_ms);
/** Sets the hosts that can call the service; lanes of known hosts keep their
 * state. */
void lanes_set(struct lanes *l, const char (*hosts)[64], int n);
/** The lane for a call of this duration; NULL when all are busy. */
struct lane *lanes_pick(struct lanes *l, double call_ms);
/** Number of lanes for calls of this duration without a call under way. */
int lanes_idle(const struct lanes *l, double call_ms);
/** A call with this expected duration was sent through the lane. */
void lane_sent(struct lane *lane, double call_ms, int64_t now);
/** A call sent through this host was answered or given up. */
void lanes_answered(struct lanes *l, const char *host, int64_t now);

#endif
