/**
 * @file Starts and stops members on the workers of this host's shards.
 *
 * A worker accepts every start, so the placer enforces the workers' capacity
 * and that a member is not started twice. Nothing starts on a worker before its
 * tasks were listed under this host's ownership, nor within the guard time
 * before the end of this host's lease.
 *
 * A start whose answer was lost keeps its reservation until the worker lists
 * the task. The task counts as lost when it is absent from a list that was
 * requested after the duration of a worker lease plus the maximum delivery time
 * since the start call failed.
 */
#ifndef PLACER_H
#define PLACER_H

#include "node.h"

typedef void (*place_fn)(const Cc__PlaceReply *r, void *arg);
/**
 * @p err is CC_OK when the worker accepted the stop or the member has ended,
 * CC_ENOENT when the member was never started in this shard epoch, CC_EUNAVAIL
 * when that is not known and CC_ENOTOWNER when this host doesn't own the shard.
 */
typedef void (*stop_fn)(int err, uint64_t shard_epoch, void *arg);

struct placer *placer_new(struct node *n);
void placer_delete(struct placer *p);
/**
 * Starts a member on a worker of a shard, or reserves a worker for it. A call
 * for a member that runs already is answered with its worker.
 */
void placer_place(struct placer *p, const Cc__Place *m, place_fn fn, void *arg);
/** Stops a member, and refuses late starts of this and earlier attempts. */
void placer_stop(struct placer *p, const Cc__Stop *m, stop_fn fn, void *arg);
/** Holds a reservation for a limited time for a member about to be placed. */
void placer_hold(struct reservation *r, const char *class_name);
/** Begins to watch the workers of a shard that this host now owns. */
void placer_shard_owned(struct placer *p, struct shard *s);
/** Drops the workers of a shard and what is known of their tasks. */
void placer_shard_lost(struct placer *p, struct shard *s);
/** Whether no start, stop or report of an end is under way in the shard. */
bool placer_shard_idle(struct placer *p, struct shard *s);
/** Updates the workers from the host list. */
void placer_hosts_changed(struct placer *p);

/* Called by the watches of the workers. */

/** A worker reported a task; @p attempt tells its runs apart. */
void placer_task_seen(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, const char *class_name, const struct size *size);
/** A worker reported that a task ended. */
void placer_task_ended(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, int exit_status, uint64_t run_ms);
/** The task is no longer on its worker and was not reported as ended. */
void placer_task_lost(struct placer *p, struct reservation *r);

#endif
