/** @file Calls to peers that wait for a reply. */
#ifndef CALL_TABLE_H
#define CALL_TABLE_H

#include <stdint.h>

#include "../protocol/peer.pb-c.h"

/**
 * @p err is CC_OK with a frame, CC_ENOTSENT when nothing was sent, or
 * CC_ETIMEOUT or CC_ECONN when the call may have taken effect.
 */
typedef void (*peer_reply_fn)(int err, const Cc__Frame *f, void *arg);

struct open_call;

struct call_table {
	struct open_call *calls; /**< by id */
	uint64_t last_id;
};

/**
 * @param link Serial number of the link that carries the call; 0: none does,
 * and it fails with CC_ENOTSENT when the table is next expired.
 * @return the call's id, never 0.
 */
uint64_t call_table_add(struct call_table *t, uint64_t link,
    int64_t deadline_ms, peer_reply_fn fn, void *arg);
/** Ends the call that the frame replies to, if it is still open. */
void call_table_reply(struct call_table *t, const Cc__Frame *f);
/** The link is down: its calls may have taken effect. */
void call_table_fail(struct call_table *t, uint64_t link);
/** Ends the calls whose deadline is over at @p now. */
void call_table_expire(struct call_table *t, int64_t now);

#endif
