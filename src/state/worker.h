/**
 * @file Workers whose shards this host owns, and what is reserved on them.
 *
 * The pool is the only place that grants a worker's capacity. A worker takes
 * new work only while it is usable: its tasks were listed since this host took
 * the shard, it is not leaving and not in quarantine.
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
	RESERVED,  /**< held for a gang; nothing was sent */
	STARTING,  /**< the start was sent, or is about to be */
	UNCERTAIN, /**< the start's answer was lost */
	RUNNING,
	STOPPING,
	FINISHED, /**< ended; the home has not confirmed yet */
};

struct worker;

struct reservation {
	UT_hash_handle hh;
	LIST_ENTRY(reservation) link;
	char key[TASK_KEY_LEN]; /**< task id, '#', member */
	char class_name[WORKER_NAME_LEN];
	struct size size;
	enum reservation_state state;
	struct worker *worker;
	uint64_t attempt;
	int64_t since_ms;   /**< of the state */
	int64_t expires_ms; /**< of a reservation for a gang; 0: never */
	int exit_status;
	uint64_t run_ms;
	bool lost;	 /**< ended because the worker lost it */
	bool confirming; /**< the home was told and has not answered */
	bool charged;	 /**< its size counts on the worker */
	bool acked;	 /**< the home has it; the worker may forget it */
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
	int index; /**< of its slot */
	struct size total;
	struct size reserved; /**< sum of the declared sizes */
	struct size observed; /**< as the worker last reported */
	bool listed;
	bool leaving;
	bool gone;
	struct health health;
	void *watch; /**< the task that talks with this worker */
};

/** What placement looks at: what is left on a worker. */
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
	struct slot *slots; /**< parallel to workers */
	int count;
	int room;
};

void worker_pool_init(struct worker_pool *p);
void worker_pool_done(struct worker_pool *p);
/** Finds a worker or makes one. */
struct worker *worker_pool_get(struct worker_pool *p, const char *name);
struct worker *worker_pool_find(struct worker_pool *p, const char *name);
/** Frees a worker and its reservations. */
void worker_pool_remove(struct worker_pool *p, struct worker *w);
struct reservation *worker_pool_reservation(
    struct worker_pool *p, const char *key);

/** Works the slot out anew after a change of the worker's fields. */
void worker_refresh(struct worker_pool *p, struct worker *w);
/**
 * Reserves room for a task.
 * @return CC_EBUSY when it does not fit or the worker is not usable,
 *     CC_ECONFLICT when the key is reserved somewhere already.
 */
int worker_reserve(struct worker_pool *p, struct worker *w, const char *key,
    const struct size *size, struct reservation **out);
/** Takes in what the worker says it runs, whether it fits or not. */
struct reservation *worker_adopt(struct worker_pool *p, struct worker *w,
    const char *key, const struct size *size);
void worker_release(struct worker_pool *p, struct reservation *r);
/** Gives the room back but keeps the reservation for its report. */
void worker_uncharge(struct worker_pool *p, struct reservation *r);

#endif
