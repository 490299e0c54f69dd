/**
 * @file Operations on requests: submit, get, cancel, settle and list. They run
 * at the home, whichever host the caller reached.
 */
#ifndef HOME_OPS_H
#define HOME_OPS_H

#include "node.h"

/** @p r is valid during the call only; its error says what failed. */
typedef void (*home_fn)(const Cc__HomeReply *r, void *arg);

/*
 * These four are idempotent, and are repeated for some seconds while the
 * home's owner changes or does not answer.
 */
void home_submit(struct node *n, Cc__RecAccept *a, home_fn fn, void *arg);
/** Waits up to @p wait_ms for the request to be settled. */
void home_get(
    struct node *n, const char *id, uint32_t wait_ms, home_fn fn, void *arg);
void home_cancel(struct node *n, const char *id, home_fn fn, void *arg);
void home_settle(struct node *n, Cc__RecEnd *end, home_fn fn, void *arg);
/** The requests of this host's own shards; empty filters match all. */
void home_list(struct node *n, const char *class_name, const char *state,
    home_fn fn, void *arg);
/** The costs of this host's own shards. */
void home_costs(
    struct node *n, int64_t from_day, int64_t to_day, home_fn fn, void *arg);
/** Runs one operation here; CC_ENOTOWNER when the home is elsewhere. */
void home_run(struct node *n, const Cc__Frame *f, home_fn fn, void *arg);
/** The request that an operation is about; empty for none. */
const char *home_frame_id(const Cc__Frame *f);
/** Serves one of these operations for another host. */
void home_serve(
    struct node *n, const struct peer_request *rq, const Cc__Frame *f);

#endif
