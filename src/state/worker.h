/**
 * @file Workers in the shards that this host owns, and the reservations of
 * their capacity.
 *
 * Only this pool grants a worker's capacity. A worker gets new work only while
 * it is usable: this host has read its list of tasks since it took over the
 * shard, the worker is not leaving or gone, and it is not in quarantine.
 */
#ifndef WORKER_H
#define WORKER_H

#include <sys/queue.h>
#include <uthash.h>

#include "../coordination/quarantine.h"
#include "size.h"

#define WORKER_NAME_LEN 64
#define TASK_KEY_LEN 80

enum reservation_state {
	RESERVED,  /**< no start was sent, as its gang isn't complete */
	STARTING,  /**< the start was sent, or is about to be */
	UNCERTAIN, /**< the start had no answer; it may have taken effect */
	RUNNING,
	STOPPING,
	FINISHED, /**< ended; the home shard has not confirmed yet */
};

struct worker;

struct reservation {
	UT_hash_handle hh;
	LIST_ENTRY(reservation) link;
	char key[TASK_KEY_LEN]; /**< request id, '#', number of the member */
	char class_name[WORKER_NAME_LEN];
	struct size size;
	enum reservation_state state;
	struct worker *worker;
	uint64_t attempt; /**< number of the last Place call */
	int64_t since_ms; /**< last change of the state, or report of its end */
	int64_t expires_ms; /**< of a reservation for a gang; 0: never */
	int exit_status;
	uint64_t run_ms;
	bool lost;	 /**< ended because the worker lost it */
	bool confirming; /**< a report of its end has no answer yet */
	bool charged;	 /**< its size counts in the worker's reserved size */
	bool acked; /**< the home shard has confirmed its end, so the worker
		       may forget it */
};

struct worker {
	UT_hash_handle hh;
	LIST_HEAD(reservation_list, reservation) reservations;
	char name[WORKER_NAME_LEN];
	char rack[WORKER_NAME_LEN];
	char zone[WORKER_NAME_LEN];
	char addr[48];
	uint16_t port;
	int shard;
	int index; /**< in the pool's arrays */
	struct size total;
	struct size reserved; /**< sum of the declared sizes */
	struct size observed; /**< use that the worker last reported */
	bool listed;	      /**< this owner of the shard has read its tasks */
	bool leaving;	      /**< gets no new work; its tasks still run */
	bool gone; /**< not on the host list, or in a shard of another host */
	struct health health;
	void *watch; /**< owned by the daemon's watch module */
};

/** A worker as placement sees it: its free capacity. */
struct slot {
	struct size free;
	int shard;
	bool usable;
};

#define SHARD_ANY (-1)

struct worker_pool {
	struct worker *by_name;
	struct reservation *by_key;
	struct worker **workers;
	struct slot *slots; /**< one for each of workers, by the same index */
	int count;
	int capacity; /**< allocated length of both arrays */
};

void worker_pool_init(struct worker_pool *p);
void worker_pool_done(struct worker_pool *p);
/** Finds a worker or adds it. */
struct worker *worker_pool_get(struct worker_pool *p, const char *name);
struct worker *worker_pool_find(struct worker_pool *p, const char *name);
/** Frees a worker and its reservations. */
void worker_pool_remove(struct worker_pool *p, struct worker *w);
/** The reservation with that key; NULL when there is none. */
struct reservation *worker_pool_reservation(
    struct worker_pool *p, const char *key);

/** Recomputes the worker's slot after a change of its fields. */
void worker_update_slot(struct worker_pool *p, struct worker *w);
/**
 * Reserves capacity for a task.
 * @return CC_OK; CC_EBUSY when the task does not fit or the worker is not
 *     usable; CC_ECONFLICT when there is a reservation with this key already.
 */
int worker_reserve(struct worker_pool *p, struct worker *w, const char *key,
    const struct size *size, struct reservation **out);
/**
 * Adds a reservation for a task that the worker reports, even if it does not
 * fit. @return NULL when another worker has a reservation with this key.
 */
struct reservation *worker_adopt(struct worker_pool *p, struct worker *w,
    const char *key, const struct size *size);
/** Frees the reservation and its capacity. */
void worker_release(struct worker_pool *p, struct reservation *r);
/** Frees the capacity but keeps the reservation, whose end is reported. */
void worker_uncharge(struct worker_pool *p, struct reservation *r);

#endif
