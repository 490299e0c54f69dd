/**
 * @file The leader's state of one relay: the batch of orders to be sent, the
 * job specs that the relay has cached, and the latency of its acknowledgements.
 */
#ifndef RELAY_H
#define RELAY_H

#include <stdbool.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../coordination/relay_plan.h"
#include "../coordination/rtt.h"
#include "../ports/ports.h"
#include "../protocol/peer.pb-c.h"
#include "relay_serve.h"

/** Largest number of unacknowledged batches whose send time is kept. */
#define RELAY_UNACKED_MAX 64

struct sent_spec;

struct relay {
	TAILQ_ENTRY(relay) link;
	char host[RELAY_HOST_LEN];
	uint64_t peer_link; /**< serial of the link of the last batch sent */
	struct sent_spec *specs; /**< specs sent, oldest first */
	Cc__RelayBatch batch;	 /**< to be sent next */
	size_t norders_max;	 /**< allocated length of batch.orders */
	size_t nspecs_max;	 /**< allocated length of batch.specs */
	int64_t sent_ms[RELAY_UNACKED_MAX]; /**< of unacknowledged batches,
					       oldest first */
	int nunacked;
	struct rtt ack_rtt;
	bool silent; /**< its acknowledgement is overdue or its link was lost */
};

struct relay *relay_new(const char *host);
void relay_delete(struct relay *r);
/** Adds an order to the batch. @return the order, in which the caller sets the
 * fields that the verb needs. */
Cc__RelayOrder *relay_add_order(struct relay *r, enum relay_verb verb,
    const struct target *t, uint64_t serial);
/** Adds the spec of a start to the batch unless the relay has it cached.
 * @param force adds it in any case
 * @return its position in the batch, from 1; 0 when the relay has it cached or
 * the order's task name is invalid. */
uint32_t relay_add_spec(
    struct relay *r, const struct start_order *o, bool force);
/** Records that the batch is being sent on this link. On a new link the relay
 * counts as having no spec cached. */
void relay_batch_sent(struct relay *r, uint64_t peer_link);
/** Discards the batch, which could not be sent. Every spec counts as not cached
 * by the relay, so that later orders carry it again. */
void relay_batch_not_sent(struct relay *r);
void relay_batch_clear(struct relay *r);
/** Records the acknowledgement of the oldest batch sent on this link. */
void relay_batch_acked(struct relay *r, uint64_t peer_link);
/** Whether an acknowledgement is overdue. */
bool relay_ack_is_late(const struct relay *r, int64_t now);
/** Age of the oldest unacknowledged batch in ms; 0 when there is none. */
int64_t relay_ack_age_ms(const struct relay *r, int64_t now);

#endif
