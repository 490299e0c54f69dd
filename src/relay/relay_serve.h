/**
 * @file The relay's side: sends a leader's orders to runners and returns the
 * runners' answers to the leader.
 */
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

/** A relay caches a job's spec for at least this long after its last use. */
#define RELAY_SPEC_CACHE_MS 30000

/** Result of a hold that has timed out and whose late answer may follow; beyond
 * all those of enum order_result. */
#define RELAY_RESULT_LATE 100

struct relay_serve;

struct relay_serve *relay_serve_new(struct event_base *base,
    struct peer_net *peers, struct runner_port *runners);
void relay_serve_delete(struct relay_serve *s);
/** Sends the orders of a batch; answers go back on the request's link. */
void relay_serve_batch(struct relay_serve *s, const struct peer_request *rq,
    const Cc__RelayBatch *batch);
/** Number of orders sent to runners so far. */
uint64_t relay_serve_orders(const struct relay_serve *s);

#endif
