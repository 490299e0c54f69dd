/** @file Heartbeats between the daemons, and dispatch of calls from peers. */
#ifndef PEERS_H
#define PEERS_H

#include "node.h"

struct beats;

struct beats *beats_new(struct node *n);
void beats_delete(struct beats *b);
/**
 * Sends a heartbeat to every connected host now.
 * @param with_usage adds the processors used by each class and team
 */
void beats_send(struct node *n, bool with_usage);
/** Handles one call from a peer; the handler for peer_net_new(). */
void peers_serve(const struct peer_request *rq, const Cc__Frame *f, void *node);

#endif
