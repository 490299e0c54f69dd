/** @file Sends orders to runners for the leader, and the answers back. */
#ifndef RELAY_SERVE_H
#define RELAY_SERVE_H

#include <event2/event.h>

#include "../ports/ports.h"
#include "../protocol/peer.pb-c.h"
#include "../transport/peer_net.h"

/** Kinds of orders in a batch. */
enum relay_verb {
	RELAY_START,
	RELAY_STOP,
	RELAY_HOLD,
	RELAY_PACE,
};

/** A relay keeps a job's spec at least this long. */
#define RELAY_SPEC_CACHE_MS 30000

struct relay_serve;

struct relay_serve *relay_serve_new(struct event_base *base,
    struct peer_net *peers, struct runner_port *runners);
void relay_serve_delete(struct relay_serve *s);
void relay_serve_batch(struct relay_serve *s, const struct peer_request *rq,
    const Cc__RelayBatch *batch);
/** Orders served so far. */
uint64_t relay_serve_orders(const struct relay_serve *s);

#endif
