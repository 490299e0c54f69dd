/**
 * @file Talks with one worker: renews the leases of its tasks and hears of
 * their ends, by a long poll.
 *
 * After a poll that failed, the next ones renew nothing, so that the tasks'
 * leases run out within a known time; once they must have run out, everything
 * on the worker counts as lost. A worker that an earlier owner may still renew
 * is not given up before that owner is known to have stopped.
 */
#ifndef WATCH_H
#define WATCH_H

#include "node.h"

struct watch;

struct watch *watch_new(struct node *n, struct worker *w);
/** NULL is allowed. */
void watch_delete(struct watch *w);
/** Lets the worker forget an ended run with the next poll. */
void watch_ack(struct watch *w, const char *key, uint64_t attempt);
/** Polls the full list soon. */
void watch_hurry(struct watch *w);
/** Whether no task can run on a worker that does not answer. */
bool watch_empty(const struct watch *w);

#endif
