/**
 * @file Links between daemons: length-prefixed protobuf frames over TCP.
 *
 * Each host dials every other one; calls go out on the link that this host
 * dialled and their replies come back on it. Both ends prove with an HMAC over
 * the two nonces that they hold the shared key before any other frame is read.
 * A link that is silent for a few beats is closed and dialled anew.
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

/** A call that came in; the reply may be sent later. */
struct peer_request {
	uint64_t link; /**< serial number of the link it came on */
	uint64_t id;   /**< 0: no reply is wanted */
	char host[64]; /**< of the caller */
};

typedef void (*peer_request_fn)(
    const struct peer_request *rq, const Cc__Frame *f, void *arg);
/** NULL when the port cannot be bound. */
struct peer_net *peer_net_new(struct event_base *base, const struct settings *s,
    const char *incarnation, peer_request_fn fn, void *arg);
void peer_net_delete(struct peer_net *n);
/** Keeps a link to this host; @p host may be empty for a seed. */
void peer_net_add(
    struct peer_net *n, const char *host, const char *addr, uint16_t port);
void peer_net_remove(struct peer_net *n, const char *host);
/** Whether a link to the host is up. */
bool peer_net_up(const struct peer_net *n, const char *host);
/** Names of the hosts with a link that is up; returns their number. */
int peer_net_hosts(const struct peer_net *n, char (*out)[64], int max);

void peer_call(struct peer_net *n, const char *host, Cc__Frame *f,
    int64_t timeout_ms, peer_reply_fn fn, void *arg);
/** Sends a frame that has no reply; CC_ENOTSENT without a link. */
int peer_send(struct peer_net *n, const char *host, Cc__Frame *f);
/** The same, on the link that a request came in on. */
int peer_send_link(struct peer_net *n, uint64_t link, Cc__Frame *f);
/** Serial number of the link to the host that is up; 0: there is none. */
uint64_t peer_net_link(const struct peer_net *n, const char *host);
void peer_reply(
    struct peer_net *n, const struct peer_request *rq, Cc__Frame *f);
void peer_net_traffic(
    const struct peer_net *n, uint64_t *sent, uint64_t *received);

#endif
