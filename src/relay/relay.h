/**
 * @file What a leader knows of one relay: the batch that is being filled, the
 * specs that the relay has, and how soon it confirms what it is sent.
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

/** Batches without a receipt that are timed. */
#define RELAY_UNACKED_MAX 64

struct sent_spec;

struct relay {
	TAILQ_ENTRY(relay) link;
	char host[RELAY_HOST_LEN];
	uint64_t peer_link;	 /**< its link when a batch was last sent */
	struct sent_spec *specs; /**< in the order of their sending */
	Cc__RelayBatch batch;
	size_t norders_max;
	size_t nspecs_max;
	int64_t sent_ms[RELAY_UNACKED_MAX]; /**< of batches unconfirmed */
	int nunacked;
	struct rtt ack_rtt;
	bool silent;
};

struct relay *relay_new(const char *host);
void relay_delete(struct relay *r);
/** Adds an order to the batch; what its verb needs is to be set. */
Cc__RelayOrder *relay_add_order(struct relay *r, enum relay_verb verb,
    const struct target *t, uint64_t serial);
/** Adds the spec of a start unless the relay has it; @p force sends it anyway.
 * @return its place in the batch from 1; 0: the relay has it. */
uint32_t relay_add_spec(
    struct relay *r, const struct start_order *o, bool force);
/** The batch goes out on this link now. */
void relay_batch_sent(struct relay *r, uint64_t peer_link);
/** It didn't go out: the relay has none of it. */
void relay_batch_not_sent(struct relay *r);
void relay_batch_clear(struct relay *r);
/** A batch that went out on this link was confirmed. */
void relay_batch_acked(struct relay *r, uint64_t peer_link);
/** Whether a receipt is late. */
bool relay_ack_is_late(const struct relay *r, int64_t now);
/** Age of the oldest batch without a receipt, ms; 0: there is none. */
int64_t relay_ack_age_ms(const struct relay *r, int64_t now);

#endif
