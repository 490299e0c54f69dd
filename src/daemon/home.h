/**
 * @file The home of a request: the owner of the shard that keeps it.
 *
 * The home decides what happens to a request's members: it hands each to a
 * shard with room, asks that shard's owner to start it, and settles the
 * request. A member is handed to one shard at a time, and the journal says so
 * before the owner of that shard is asked.
 */
#ifndef HOME_H
#define HOME_H

#include "node.h"
#include "rec.h"

struct home *home_new(struct node *n);
void home_delete(struct home *h);
void home_shard_owned(struct home *h, struct shard *s);
void home_shard_lost(struct home *h, struct shard *s);
/** Whether no question to another host is under way for the shard. */
bool home_shard_quiet(struct home *h, struct shard *s);
/** Places what waits, soon. */
void home_pump(struct home *h);

typedef void (*home_ack_fn)(int err, void *arg);
/** A member ended, or was lost, on a worker. */
void home_ended(struct node *n, const Cc__Ended *e, home_ack_fn fn, void *arg);

/* Used by the operations of home_ops.c. */

/** Puts a member into the queue of those that wait for a start. */
void home_queue(struct home *h, struct member *m);
/** Settles a request; its waiters are told once that is durable. */
void home_settle_entry(
    struct shard *s, struct entry *e, const struct rec_end *end);
/** Goes on with a request whose cancellation is durable. */
void home_cancel_entry(struct shard *s, struct entry *e);
/** Processors in use by a class or team over all hosts. */
uint32_t home_usage(struct home *h, const char *kind, const char *name);
/** Fills in the usage of this host's requests for a beat. */
void home_fill_beat(struct home *h, Cc__Beat *b);
void home_free_beat(Cc__Beat *b);

#endif
