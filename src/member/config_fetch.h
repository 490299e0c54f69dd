/**
 * @file Fetches a newer configuration from peers that announced it.
 *
 * The store's watch brings each version; peers bring it to a host whose watch
 * doesn't. One part is under way at a time, so that heartbeats and calls on the
 * same link wait for no more than that, and a part that was lost costs itself
 * alone.
 */
#ifndef CONFIG_FETCH_H
#define CONFIG_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "../protocol/peer.pb-c.h"
#include "../state/config_parts.h"
#include "../transport/peer_net.h"

struct member;

struct config_fetch {
	struct config_parts parts;
	uint64_t announced;	 /**< newest version that a peer announced */
	int64_t behind_since_ms; /**< since when it is newer; 0: it isn't */
	int64_t retry_ms;	 /**< no request before this time */
	bool waiting;		 /**< a request is under way */
	uint32_t turn;	   /**< chooses among peers that have the version */
	uint64_t received; /**< parts */
	uint64_t failures; /**< requests without a usable part */
};

void config_fetch_init(struct config_fetch *f);
void config_fetch_done(struct config_fetch *f);
/** Requests the next part, if the configuration in force is behind the newest
 * one that was announced. */
void config_fetch_tick(struct member *m);
/** Replies to a peer's request. */
void config_fetch_reply(
    struct member *m, const struct peer_request *rq, const Cc__ConfGet *get);

#endif
