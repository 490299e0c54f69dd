/**
 * @file Orders of a leader to runners, sent through other hosts.
 *
 * Stands before the port that speaks to runners. While the plan names relays,
 * an order joins a batch for its runner's relay; otherwise it goes out from
 * here. A relay decides nothing: orders carry the leader's fencing token, so
 * one that comes late does what it would do coming late from the leader. What
 * a relay doesn't answer may have been done.
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
	uint64_t orders;
	uint64_t direct;     /**< orders that went out from here */
	uint64_t unanswered; /**< given up without an answer */
	uint64_t suspected;  /**< relays that fell silent */
};

struct relay_port *relay_port_new(struct event_base *base,
    struct peer_net *peers, struct runner_port *direct);
void relay_port_delete(struct relay_port *p);
struct runner_port *relay_port_ops(struct relay_port *p);
/** Sets the relays; those that fell silent stay out until they are heard. */
void relay_port_set_relays(struct relay_port *p, struct relay_host *hosts,
    int n, double own, unsigned nrunners);
/** Every 25 ms: gives up what has no answer, and silent relays. */
void relay_port_tick(struct relay_port *p);
void relay_port_answers(
    struct relay_port *p, const char *host, const Cc__RelayAnswers *a);
/** Relays in use; 0: none is needed. */
int relay_port_relays(const struct relay_port *p);
const struct relay_counters *relay_port_counters(const struct relay_port *p);

#endif
