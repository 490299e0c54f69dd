/**
 * @file Order in which requests are sent to runners, and to which one.
 *
 * One host at a time owns a runner's slots: the one with the highest
 * rendezvous rank for the runner's name. So two hosts never use the same slot,
 * except for a few seconds while the set of hosts changes. The requests wait in
 * one queue, ordered by slack. A class that already uses its share of the slots
 * is skipped while other classes have waiting requests. A part of the slots is
 * reserved for short requests; the observed run time of a class decides whether
 * its requests are short or long.
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
/** Consecutive failures after which a runner gets no requests for
 * RUNNER_AVOID_MS. */
#define RUNNER_FAILURES_MAX 3
#define RUNNER_AVOID_MS 2000
/** A class is long when its mean run time exceeds that of another class by this
 * factor. */
#define ROUTE_LONG_FACTOR 8
/** Percentage of the slots reserved for classes that are not long. */
#define ROUTE_RESERVE_PCT 25

struct runner {
	char name[RUNNER_NAME_LEN];
	char service[RUNNER_NAME_LEN];
	char addr[48];
	uint16_t port;
	int slots;
	int busy;		/**< slots in use */
	int failures;		/**< consecutive */
	int64_t avoid_until_ms; /**< gets no requests before this time */
	bool mine;		/**< this host owns its slots */
	bool leaving;
	bool seen;	 /**< in the newest host list */
	int64_t mean_us; /**< moving average of the run times */
};

/** Requests of one class. */
struct route_class {
	char name[RUNNER_NAME_LEN];
	int64_t share_pct; /**< of the slots */
	int64_t mean_us;   /**< moving average of the run times; 0: unknown */
	int running;
	int waiting;
};

struct route_item {
	struct ready_item ready; /**< first member */
	TAILQ_ENTRY(route_item) link;
	struct route_class *cls;
	char service[RUNNER_NAME_LEN];
	char avoid[RUNNER_NAME_LEN]; /**< runner on which the request failed
					before */
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
/** Removes a runner, unless it still has requests in flight. */
void route_runner_remove(struct route *r, struct runner *rn);
struct route_class *route_class(struct route *r, const char *name);

void route_push(struct route *r, struct route_item *it);
void route_withdraw(struct route *r, struct route_item *it);
/**
 * Takes the next request that can start now off the queue and reserves a slot
 * of its runner.
 * @param out set to the runner
 * @return NULL when no request can start.
 */
struct route_item *route_next(
    struct route *r, int64_t now, struct runner **out);
/** Frees the slot of a request after @p run_us; @p ok: it was answered. */
void route_finished(struct route *r, struct runner *rn, struct route_class *cls,
    int64_t run_us, bool ok, int64_t now);
/** Number of free slots on the runners that this host owns. */
int route_free(const struct route *r);
/**
 * Projected wait of a new request in ms: the number of requests ahead of it,
 * divided by the slots, times the mean run time; -1 when this host owns no
 * usable runner of the service.
 */
int64_t route_projected_wait_ms(
    const struct route *r, const char *service, int64_t now);

#endif
