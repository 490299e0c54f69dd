/** @file Beats between hosts, and the calls that come in from them. */
#ifndef PEERS_H
#define PEERS_H

#include "node.h"

struct beats;

struct beats *beats_new(struct node *n);
void beats_delete(struct beats *b);
/** Sends a beat to every host now. */
void beats_send(struct node *n, bool with_usage);
/** Serves one call; given to peer_net_new. */
void peers_serve(const struct peer_request *rq, const Cc__Frame *f, void *node);

#endif
