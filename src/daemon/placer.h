/**
 * @file Starts and stops members on the workers of this host's shards.
 *
 * A worker starts whatever it is given, so this is where capacity and single
 * starts are kept. Nothing starts on a worker before its tasks were listed
 * under this host's ownership, nor within the guard time of the lease's end.
 * A start whose answer was lost keeps its room until a list that was made a
 * whole worker lease later shows or does not show the task.
 */
#ifndef PLACER_H
#define PLACER_H

#include "node.h"

typedef void (*place_fn)(const Cc__PlaceReply *r, void *arg);
/** CC_OK: it runs or ran; CC_ENOENT: it was never started in this epoch. */
typedef void (*stop_fn)(int err, uint64_t shard_epoch, void *arg);

struct placer *placer_new(struct node *n);
void placer_delete(struct placer *p);
void placer_place(struct placer *p, const Cc__Place *m, place_fn fn, void *arg);
void placer_stop(struct placer *p, const Cc__Stop *m, stop_fn fn, void *arg);
/** Marks a reservation as held for a member that is about to be placed. */
void placer_hold(struct reservation *r, const char *class_name);
void placer_shard_owned(struct placer *p, struct shard *s);
void placer_shard_lost(struct placer *p, struct shard *s);
/** Whether no start or stop is under way in the shard. */
bool placer_shard_quiet(struct placer *p, struct shard *s);
/** Compares the workers with the host list. */
void placer_hosts_changed(struct placer *p);

/* Used by the watches. */

/** A worker reported one run of a task, told apart by its attempt. */
void placer_task_seen(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, const char *class_name, const struct size *size);
void placer_task_ended(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, int exit_status, uint64_t run_ms);
/** The task is not on its worker any more and was not reported as ended. */
void placer_task_lost(struct placer *p, struct reservation *r);

#endif
