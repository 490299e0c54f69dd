/**
 * @file Long poll of one worker: renews the leases of its tasks and receives
 * the tasks that started or ended.
 *
 * After a failed poll, further polls renew nothing until one is answered, so
 * that the tasks' leases expire within a known time. Once they must have
 * expired, all tasks of the worker count as lost. A worker whose tasks an
 * earlier owner of the shard may still renew is not given up before that owner
 * is known to have stopped.
 */
#ifndef WORKER_WATCH_H
#define WORKER_WATCH_H

#include "node.h"

struct watch;

struct watch *watch_new(struct node *n, struct worker *w);
/** NULL is allowed. */
void watch_delete(struct watch *w);
/** Tells the worker with the next poll that it may drop an ended run. */
void watch_ack(struct watch *w, const char *key, uint64_t attempt);
/** Cancels the poll under way and requests the full list of tasks. */
void watch_poll_full(struct watch *w);
/**
 * Whether all task leases on a silent worker have expired, so that no task can
 * run there; true for NULL.
 */
bool watch_tasks_expired(const struct watch *w);

#endif
