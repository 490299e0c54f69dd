/** @file Table of the calls to peers that have no reply yet. */
#ifndef CALL_TABLE_H
#define CALL_TABLE_H

#include <stdint.h>

#include "../protocol/peer.pb-c.h"

/**
 * Called once with the result of a call. @p err is CC_OK with the reply in
 * @p f; CC_ENOTSENT when nothing was sent; CC_ETIMEOUT or CC_ECONN when the
 * call may have taken effect.
 */
typedef void (*peer_reply_fn)(int err, const Cc__Frame *f, void *arg);

struct open_call;

struct call_table {
	struct open_call *calls; /**< by id */
	uint64_t last_id;	 /**< id of the newest call */
};

/**
 * Adds a call.
 *
 * @param link Serial number of the link that carries the call. 0: there is no
 *     link, and the next call_table_expire ends the call with CC_ENOTSENT.
 * @return the call's id, never 0.
 */
uint64_t call_table_add(struct call_table *t, uint64_t link,
    int64_t deadline_ms, peer_reply_fn fn, void *arg);
/** Ends the call that @p f replies to, unless it has ended already. */
void call_table_reply(struct call_table *t, const Cc__Frame *f);
/** Ends all calls on a link that went down, with CC_ECONN. */
void call_table_fail(struct call_table *t, uint64_t link);
/**
 * Ends the calls whose deadline has passed at @p now, with CC_ETIMEOUT, and all
 * calls without a link.
 */
void call_table_expire(struct call_table *t, int64_t now);

#endif
