/**
 * @file Links between daemons: length-prefixed protobuf frames over TCP.
 *
 * Each host connects to every other one. Calls are sent on the link that this
 * host dialled, and the replies arrive on the same link. A handshake comes
 * first, in which both ends prove that they have the shared key; its proof is
 * an HMAC over the nonces of both. A link on which nothing arrives for
 * several heartbeats is closed and dialled again.
 */
#ifndef PEER_NET_H
#define PEER_NET_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "../protocol/peer.pb-c.h"
#include "../state/settings.h"
#include "call_table.h"

struct peer_net;

/** A call from a peer; the reply may be sent later. */
struct peer_request {
	uint64_t link; /**< serial number of the link that it arrived on */
	uint64_t id;   /**< 0: no reply is expected */
	char host[64]; /**< of the caller */
};

typedef void (*peer_request_fn)(
    const struct peer_request *rq, const Cc__Frame *f, void *arg);
/** Listens on the peer port; NULL when it cannot be bound. */
struct peer_net *peer_net_new(struct event_base *base, const struct settings *s,
    const char *incarnation, peer_request_fn fn, void *arg);
void peer_net_delete(struct peer_net *n);
/**
 * Keeps a link to a host. @p host may be empty for a seed, whose name the
 * handshake gives.
 */
void peer_net_add(
    struct peer_net *n, const char *host, const char *addr, uint16_t port);
/** Closes the link to the host and dials it no more. */
void peer_net_remove(struct peer_net *n, const char *host);
/** Whether the link that this host dialled to @p host is up. */
bool peer_net_up(const struct peer_net *n, const char *host);
/** Writes the names of the hosts whose link is up. @return their number. */
int peer_net_hosts(const struct peer_net *n, char (*out)[64], int max);

/** Sends a call; @p fn is called once, when it is answered or has failed. */
void peer_call(struct peer_net *n, const char *host, Cc__Frame *f,
    int64_t timeout_ms, peer_reply_fn fn, void *arg);
/** Sends a frame without a reply. @return CC_ENOTSENT without a link. */
int peer_send(struct peer_net *n, const char *host, Cc__Frame *f);
/** Sends a frame without a reply on the link with that serial number, such as
 * the link of a request. @return CC_ENOTSENT when that link is down. */
int peer_send_link(struct peer_net *n, uint64_t link, Cc__Frame *f);
/** Serial number of the link to @p host; 0: no link is up. */
uint64_t peer_net_link(const struct peer_net *n, const char *host);
/** Replies to a request, if its link is still up. */
void peer_reply(
    struct peer_net *n, const struct peer_request *rq, Cc__Frame *f);
/** Bytes of frames sent and received over all links. */
void peer_net_traffic(
    const struct peer_net *n, uint64_t *sent, uint64_t *received);

#endif
