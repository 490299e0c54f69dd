/**
 * @file A runner port that sends a leader's orders to runners through relays:
 * other hosts of the cell, which share the load.
 *
 * It wraps the port that calls runners directly. While the relay plan has
 * relays, an order joins the next batch for its runner's relay; otherwise this
 * host sends it directly. A relay makes no decisions: orders carry the leader's
 * fencing token, so a runner handles an order that a relay has delayed like one
 * that the leader itself sent late. An order without an answer from its relay
 * may have been carried out: its result is unknown.
 */
#ifndef RELAY_PORT_H
#define RELAY_PORT_H

#include <event2/event.h>

#include "../coordination/relay_plan.h"
#include "../ports/ports.h"
#include "../protocol/peer.pb-c.h"
#include "../transport/peer_net.h"

struct relay_port;

struct relay_counters {
	uint64_t batches;
	uint64_t orders;     /**< orders sent through relays */
	uint64_t direct;     /**< orders sent directly to the runner */
	uint64_t unanswered; /**< orders that ended without an answer */
	uint64_t suspected;  /**< times that a relay was found silent */
};

struct relay_port *relay_port_new(struct event_base *base,
    struct peer_net *peers, struct runner_port *direct);
void relay_port_delete(struct relay_port *p);
/** The port as an interface; valid until relay_port_delete(). */
struct runner_port *relay_port_ops(struct relay_port *p);
/**
 * Chooses the relays. A silent relay is left out until it acknowledges a batch
 * or has a new link.
 * @param hosts candidates; the array is reordered
 * @param own number of runners that this host can serve by itself
 * @param nrunners number of runners of the cell
 */
void relay_port_set_relays(struct relay_port *p, struct relay_host *hosts,
    int n, double own, unsigned nrunners);
/** To be called every 25 ms: ends orders past their deadline, and stops using
 * silent relays. */
void relay_port_tick(struct relay_port *p);
/** Handles a frame of answers from a relay. */
void relay_port_answers(
    struct relay_port *p, const char *host, const Cc__RelayAnswers *a);
/** Number of relays in use; 0 when this host sends all orders directly. */
int relay_port_relays(const struct relay_port *p);
const struct relay_counters *relay_port_counters(const struct relay_port *p);

#endif
