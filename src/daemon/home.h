/**
 * @file The home of a request: the owner of the shard that keeps it.
 *
 * The home decides what happens to the members of a request: it assigns each
 * to a shard with enough free capacity, asks that shard's owner to start it,
 * and settles the request. A member is assigned to at most one shard at a
 * time, and the assignment is in the journal before that shard's owner is
 * asked.
 */
#ifndef HOME_H
#define HOME_H

#include "node.h"
#include "journal_record.h"

struct home *home_new(struct node *n);
void home_delete(struct home *h);
/** Resumes the requests of a shard that this host has taken over. */
void home_shard_owned(struct home *h, struct shard *s);
/** Takes the members of a lost shard out of the queue. */
void home_shard_lost(struct home *h, struct shard *s);
/** Whether no start or stop call for a request of the shard is pending. */
bool home_shard_idle(struct home *h, struct shard *s);
/** Schedules a placement pass for the next turn of the event loop. */
void home_schedule_placement(struct home *h);

/** @p err is CC_OK once the report is durable, else CC_ENOTOWNER. */
typedef void (*home_ack_fn)(int err, void *arg);
/** Handles the report that a member ended on a worker or was lost there. */
void home_member_ended(
    struct node *n, const Cc__Ended *e, home_ack_fn fn, void *arg);

/* Used by the operations of home_ops.c. */

/** Queues a member for placement. */
void home_enqueue(struct home *h, struct member *m);
/** Settles a request; its waiters are answered once that is durable. */
void home_settle_entry(
    struct shard *s, struct entry *e, const struct rec_end *end);
/** Stops the members of a request whose cancellation is durable. */
void home_cancel_entry(struct shard *s, struct entry *e);
/**
 * Processors in use by a class or team over all hosts.
 * @param kind "class" or "team"
 */
uint32_t home_usage(struct home *h, const char *kind, const char *name);
/** Adds the usage of this host's requests to a heartbeat. */
void home_fill_beat(struct home *h, Cc__Beat *b);
/** Frees what home_fill_beat() added. */
void home_free_beat(Cc__Beat *b);

#endif
