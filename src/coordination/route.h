/**
 * @file Which runner a request goes to, and in which order requests go.
 *
 * One host at a time owns a runner's slots (its rank for the runner's name is
 * the highest), so a slot is never promised by two hosts, but for the seconds
 * of a change of members. Requests of one service wait in one queue, the one
 * with the least slack first; a class that holds its share of the slots waits
 * while others are waiting. Long requests are kept from the last slots while
 * short ones come: the observed run time of a class says which it is.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "ready.h"

#define RUNNER_NAME_LEN 64
#define ROUTE_CLASSES_MAX 64
#define ROUTE_RUNNERS_MAX 512
/** Failures in a row after which a runner is left alone for a time. */
#define RUNNER_FAILURES 3
#define RUNNER_REST_MS 2000
/** A class is long when its mean run time is this many times the least. */
#define ROUTE_LONG_FACTOR 8
/** Slots kept free of long classes, in percent. */
#define ROUTE_RESERVE_PCT 25

struct runner {
	char name[RUNNER_NAME_LEN];
	char service[RUNNER_NAME_LEN];
	char addr[48];
	uint16_t port;
	int slots;
	int busy;
	int failures; /**< in a row */
	int64_t rest_until_ms;
	bool mine; /**< this host owns its slots */
	bool leaving;
	bool seen;	 /**< stands in the newest host list */
	int64_t mean_us; /**< running mean of its run times */
};

/** What is known of a class's requests. */
struct route_class {
	char name[RUNNER_NAME_LEN];
	int64_t share_pct;
	int64_t mean_us; /**< running mean of observed run times; 0: unknown */
	int running;
	int waiting;
};

struct route_item {
	struct ready_item ready; /**< first member */
	TAILQ_ENTRY(route_item) link;
	struct route_class *cls;
	char service[RUNNER_NAME_LEN];
	char avoid[RUNNER_NAME_LEN]; /**< runner that failed it before */
};

struct route {
	struct runner *runners[ROUTE_RUNNERS_MAX];
	int nrunners;
	struct route_class *classes[ROUTE_CLASSES_MAX];
	int nclasses;
	struct ready queue;
};

void route_init(struct route *r);
void route_done(struct route *r);
struct runner *route_runner(struct route *r, const char *name);
struct runner *route_runner_add(struct route *r, const char *name);
/** Drops a runner that has no request under way. */
void route_runner_remove(struct route *r, struct runner *rn);
struct route_class *route_class(struct route *r, const char *name);

void route_push(struct route *r, struct route_item *it);
void route_withdraw(struct route *r, struct route_item *it);
/**
 * The next request that can go now, taken off the queue, with its runner
 * counted busy; NULL when none can.
 */
struct route_item *route_next(
    struct route *r, int64_t now, struct runner **out);
/** A request left its runner after @p run_us; @p ok: it was answered. */
void route_finished(struct route *r, struct runner *rn, struct route_class *cls,
    int64_t run_us, bool ok, int64_t now);
/** Free slots of own runners. */
int route_free(const struct route *r);
/**
 * Projected wait of a new request in ms: what stands before it, over the
 * slots, at the mean run time; -1 when the service has no usable runner here.
 */
int64_t route_projected_wait_ms(
    const struct route *r, const char *service, int64_t now);

#endif
