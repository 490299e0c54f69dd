/**
 * @file Operations on requests: submit, get, cancel, settle and list. They run
 * at the home of the request; the caller may have reached any host.
 */
#ifndef HOME_OPS_H
#define HOME_OPS_H

#include "node.h"

/** @p r is valid during the call only; its error is CC_OK or why it failed. */
typedef void (*home_reply_fn)(const Cc__HomeReply *r, void *arg);

/*
 * The next four may be called on any host: each is sent to the home of the
 * request. They are idempotent, and are retried for 10 seconds (home_get also
 * for its wait) while the home's owner changes or does not answer.
 */

/** Records a request and, when it is a task, queues its members. */
void home_submit(struct node *n, Cc__RecAccept *a, home_reply_fn fn, void *arg);
/** Reads a request; waits up to @p wait_ms for it to be settled. */
void home_get(struct node *n, const char *id, uint32_t wait_ms,
    home_reply_fn fn, void *arg);
/** Cancels a task; the reply comes when the cancellation is durable. */
void home_cancel(struct node *n, const char *id, home_reply_fn fn, void *arg);
/** Records the outcome of a request that was sent to a runner. */
void home_settle(struct node *n, Cc__RecEnd *end, home_reply_fn fn, void *arg);

/**
 * Lists at most 1000 requests of the shards this host owns; empty filters match
 * all.
 */
void home_list(struct node *n, const char *class_name, const char *state,
    home_reply_fn fn, void *arg);
/**
 * Lists the costs recorded in the shards this host owns: a row for each shard,
 * day, class and team. Days are counted since 1970.
 */
void home_costs(struct node *n, int64_t from_day, int64_t to_day,
    home_reply_fn fn, void *arg);
/**
 * Executes one of the four operations on this host; the reply's error is
 * CC_ENOTOWNER when this host does not own the home shard.
 */
void home_execute(
    struct node *n, const Cc__Frame *f, home_reply_fn fn, void *arg);
/** Id of the request that an operation names; empty for none. */
const char *home_frame_id(const Cc__Frame *f);
/** Serves an operation or a list that another host called. */
void home_serve(
    struct node *n, const struct peer_request *rq, const Cc__Frame *f);

#endif
