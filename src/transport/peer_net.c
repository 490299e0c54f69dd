#include "peer_net.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "peer_auth.h"

#define FRAME_MAX_BYTES (66u << 20)
/** Largest frame of a peer that has not authenticated itself yet. */
#define HANDSHAKE_FRAME_MAX_BYTES 1024u
/** A frame follows its length, in network byte order. */
#define FRAME_HEADER_LEN 4
#define TICK_MS 250
/** A link on which nothing arrived for this long is closed. */
#define SILENCE_TIMEOUT_MS 3000
#define HANDSHAKE_TIMEOUT_MS 2000
#define REDIAL_DELAY_MS 500
/** TCP_USER_TIMEOUT: longest time that sent data may stay unacknowledged. */
#define USER_TIMEOUT_MS 3000
#define LINKS_MAX 2500

enum link_state {
	LINK_HELLO, /**< waits for the peer's Hello, with its nonce */
	LINK_AUTH,  /**< waits for the peer's Auth, with its HMAC */
	LINK_UP
};

struct link {
	TAILQ_ENTRY(link) link;
	UT_hash_handle hh; /**< by serial number */
	struct peer_net *net;
	struct bufferevent *bev;
	struct peer *peer; /**< NULL for a link that the other end dialled */
	enum link_state state;
	uint64_t serial;
	char host[64]; /**< name of the other end, from its Hello */
	uint8_t nonce[PEER_NONCE_LEN];
	uint8_t other_nonce[PEER_NONCE_LEN];
	int64_t last_recv_ms;
	int64_t created_ms;
};

struct peer {
	TAILQ_ENTRY(peer) link;
	UT_hash_handle hh; /**< by host, once its name is known */
	char host[64];	   /**< empty while not known */
	char addr[48];
	uint16_t port;
	struct link *out;  /**< link that this host dialled; NULL: none */
	int64_t redial_ms; /**< not dialled before this time */
};

struct peer_net {
	struct event_base *base;
	const struct settings *settings;
	char incarnation[32];
	struct evconnlistener *listener;
	struct event *tick;
	TAILQ_HEAD(link_list, link) links;
	TAILQ_HEAD(peer_list, peer) peers;
	struct link *by_serial;
	struct peer *by_host;
	struct call_table calls;
	uint64_t next_serial;
	int nlinks;
	peer_request_fn fn;
	void *arg;
	uint64_t sent;
	uint64_t received;
};

/* A host name belongs to one peer; another one that had it loses it. */
static void
peer_set_host(struct peer_net *n, struct peer *p, const char *host)
{
	struct peer *other;

	if (strcmp(p->host, host) == 0)
		return;
	if (p->host[0] != '\0')
		HASH_DEL(n->by_host, p);
	str_copy(p->host, host, sizeof(p->host));
	HASH_FIND_STR(n->by_host, host, other);
	if (other != NULL) {
		HASH_DEL(n->by_host, other);
		other->host[0] = '\0';
	}
	HASH_ADD_STR(n->by_host, host, p);
}

static void
send_frame(struct link *l, Cc__Frame *f)
{
	size_t len = cc__frame__get_packed_size(f);
	uint8_t *buf = xmalloc(FRAME_HEADER_LEN + len);
	uint32_t head = htonl((uint32_t)len);

	memcpy(buf, &head, FRAME_HEADER_LEN);
	cc__frame__pack(f, buf + FRAME_HEADER_LEN);
	evbuffer_add(
	    bufferevent_get_output(l->bev), buf, FRAME_HEADER_LEN + len);
	l->net->sent += FRAME_HEADER_LEN + len;
	free(buf);
}

static void
send_hello(struct link *l)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Hello h = CC__HELLO__INIT;

	h.host = (char *)l->net->settings->host;
	h.incarnation = l->net->incarnation;
	h.nonce.data = l->nonce;
	h.nonce.len = sizeof(l->nonce);
	f.body_case = CC__FRAME__BODY_HELLO;
	f.hello = &h;
	send_frame(l, &f);
}

/* Computes the HMAC that this end sends (@p mine) or that it expects. */
static void
compute_mac(const struct link *l, bool mine, uint8_t mac[PEER_MAC_LEN])
{
	bool dialler = (l->peer != NULL) == mine;

	peer_auth_mac(l->net->settings->key, dialler ? "dialler" : "listener",
	    mine ? l->nonce : l->other_nonce, mine ? l->other_nonce : l->nonce,
	    mine ? l->net->settings->host : l->host, mac);
}

static void
send_auth(struct link *l)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Auth a = CC__AUTH__INIT;
	uint8_t mac[PEER_MAC_LEN];

	compute_mac(l, true, mac);
	a.mac.data = mac;
	a.mac.len = sizeof(mac);
	f.body_case = CC__FRAME__BODY_AUTH;
	f.auth = &a;
	send_frame(l, &f);
}

static void
link_delete(struct link *l, const char *why)
{
	struct peer_net *n = l->net;
	struct peer *p = l->peer;
	uint64_t serial = l->serial;

	if (l->state == LINK_UP)
		kvlog(KVLOG_INFO, "peer_down", "peer=%s why=%s dialled=%d",
		    l->host, why, p != NULL);
	if (p != NULL) {
		p->out = NULL;
		p->redial_ms = clock_boot_ms() + REDIAL_DELAY_MS;
	}
	TAILQ_REMOVE(&n->links, l, link);
	HASH_DEL(n->by_serial, l);
	n->nlinks--;
	bufferevent_free(l->bev);
	free(l);
	call_table_fail(&n->calls, serial);
}

static bool
check_auth(const struct link *l, const Cc__Auth *a)
{
	uint8_t mac[PEER_MAC_LEN];

	compute_mac(l, false, mac);
	return a->mac.len == sizeof(mac) &&
	    CRYPTO_memcmp(a->mac.data, mac, sizeof(mac)) == 0;
}

/* The dialling end sends its Auth first. @return whether the Hello is valid. */
static bool
handle_hello(struct link *l, const Cc__Frame *f)
{
	if (f->body_case != CC__FRAME__BODY_HELLO ||
	    f->hello->nonce.len != PEER_NONCE_LEN || f->hello->host[0] == '\0')
		return false;
	str_copy(l->host, f->hello->host, sizeof(l->host));
	memcpy(l->other_nonce, f->hello->nonce.data, PEER_NONCE_LEN);
	if (l->peer != NULL)
		send_auth(l);
	else
		send_hello(l);
	l->state = LINK_AUTH;
	return true;
}

static bool
handle_auth(struct link *l, const Cc__Frame *f)
{
	if (f->body_case != CC__FRAME__BODY_AUTH || !check_auth(l, f->auth)) {
		kvlog(KVLOG_WARN, "peer_refused", "peer=%s why=key", l->host);
		return false;
	}
	if (l->peer == NULL)
		send_auth(l);
	else if (l->peer->host[0] == '\0')
		peer_set_host(l->net, l->peer, l->host);
	l->state = LINK_UP;
	kvlog(KVLOG_INFO, "peer_up", "peer=%s dialled=%d", l->host,
	    l->peer != NULL);
	return true;
}

static bool
handle_frame(struct link *l, const Cc__Frame *f)
{
	struct peer_request rq;

	if (l->state == LINK_HELLO)
		return handle_hello(l, f);
	if (l->state == LINK_AUTH)
		return handle_auth(l, f);
	if (f->reply_to != 0) {
		call_table_reply(&l->net->calls, f);
		return true;
	}
	rq.link = l->serial;
	rq.id = f->id;
	str_copy(rq.host, l->host, sizeof(rq.host));
	l->net->fn(&rq, f, l->net->arg);
	return true;
}

static struct link *
find_link(const struct peer_net *n, uint64_t serial)
{
	struct link *l;

	HASH_FIND(hh, n->by_serial, &serial, sizeof(serial), l);
	return l;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;
	struct peer_net *n = l->net;
	struct evbuffer *in = bufferevent_get_input(bev);
	uint64_t serial = l->serial;
	uint32_t len;
	Cc__Frame *f;
	bool ok;

	/* A frame that takes long to arrive is no silence. */
	l->last_recv_ms = clock_boot_ms();
	while (evbuffer_get_length(in) >= FRAME_HEADER_LEN) {
		evbuffer_copyout(in, &len, FRAME_HEADER_LEN);
		len = ntohl(len);
		if (len > FRAME_MAX_BYTES ||
		    (l->state != LINK_UP && len > HANDSHAKE_FRAME_MAX_BYTES)) {
			link_delete(l, "frame-size");
			return;
		}
		if (evbuffer_get_length(in) < FRAME_HEADER_LEN + len)
			return;
		evbuffer_drain(in, FRAME_HEADER_LEN);
		f = cc__frame__unpack(NULL, len, evbuffer_pullup(in, len));
		evbuffer_drain(in, len);
		n->received += FRAME_HEADER_LEN + len;
		ok = f != NULL && handle_frame(l, f);
		if (f != NULL)
			cc__frame__free_unpacked(f, NULL);
		/* The handler of the frame may have closed the link. */
		if (find_link(n, serial) == NULL)
			return;
		if (!ok) {
			link_delete(l, "protocol");
			return;
		}
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		l->last_recv_ms = clock_boot_ms();
		send_hello(l);
		return;
	}
	link_delete(l, what & BEV_EVENT_EOF ? "closed" : "error");
}

static void
set_options(evutil_socket_t fd)
{
	unsigned ms = USER_TIMEOUT_MS;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static struct link *
link_new(struct peer_net *n, evutil_socket_t fd, struct peer *p)
{
	struct link *l = xcalloc(1, sizeof(*l));

	l->net = n;
	l->peer = p;
	l->serial = ++n->next_serial;
	l->created_ms = l->last_recv_ms = clock_boot_ms();
	RAND_bytes(l->nonce, sizeof(l->nonce));
	l->bev = bufferevent_socket_new(n->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&n->links, l, link);
	HASH_ADD(hh, n->by_serial, serial, sizeof(l->serial), l);
	n->nlinks++;
	return l;
}

static bool
parse_addr(const char *addr, uint16_t port, struct sockaddr_storage *ss,
    socklen_t *len)
{
	struct sockaddr_in *a4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *a6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	if (inet_pton(AF_INET, addr, &a4->sin_addr) == 1) {
		a4->sin_family = AF_INET;
		a4->sin_port = htons(port);
		*len = sizeof(*a4);
		return true;
	}
	a6->sin6_family = AF_INET6;
	a6->sin6_port = htons(port);
	*len = sizeof(*a6);
	return inet_pton(AF_INET6, addr, &a6->sin6_addr) == 1;
}

static void
dial(struct peer_net *n, struct peer *p)
{
	struct sockaddr_storage ss;
	socklen_t len;
	struct link *l;

	p->redial_ms = clock_boot_ms() + REDIAL_DELAY_MS;
	if (!parse_addr(p->addr, p->port, &ss, &len))
		return;
	l = link_new(n, -1, p);
	p->out = l;
	if (bufferevent_socket_connect(
		l->bev, (struct sockaddr *)&ss, (int)len) != 0) {
		link_delete(l, "dial");
		return;
	}
	set_options(bufferevent_getfd(l->bev));
}

static void
on_accept(struct evconnlistener *ls, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct peer_net *n = arg;

	(void)ls;
	(void)sa;
	(void)len;
	if (n->nlinks >= LINKS_MAX) {
		evutil_closesocket(fd);
		return;
	}
	set_options(fd);
	link_new(n, fd, NULL);
}

static bool
link_stale(const struct link *l, int64_t now)
{
	if (l->state != LINK_UP)
		return now - l->created_ms > HANDSHAKE_TIMEOUT_MS;
	return now - l->last_recv_ms > SILENCE_TIMEOUT_MS;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct peer_net *n = arg;
	int64_t now = clock_boot_ms();
	struct link *l, *next;
	struct peer *p;

	(void)fd;
	(void)what;
	for (l = TAILQ_FIRST(&n->links); l != NULL; l = next) {
		next = TAILQ_NEXT(l, link);
		if (link_stale(l, now))
			link_delete(l, "silent");
	}
	TAILQ_FOREACH (p, &n->peers, link)
		if (p->out == NULL && now >= p->redial_ms)
			dial(n, p);
	call_table_expire(&n->calls, now);
}

struct peer_net *
peer_net_new(struct event_base *base, const struct settings *s,
    const char *incarnation, peer_request_fn fn, void *arg)
{
	struct peer_net *n = xcalloc(1, sizeof(*n));
	struct timeval tv = {0, TICK_MS * 1000};
	struct sockaddr_storage ss;
	socklen_t len;

	n->base = base;
	n->settings = s;
	n->fn = fn;
	n->arg = arg;
	str_copy(n->incarnation, incarnation, sizeof(n->incarnation));
	TAILQ_INIT(&n->links);
	TAILQ_INIT(&n->peers);
	if (parse_addr(s->addr, (uint16_t)s->peer_port, &ss, &len))
		n->listener = evconnlistener_new_bind(base, on_accept, n,
		    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		    (struct sockaddr *)&ss, (int)len);
	if (n->listener == NULL) {
		free(n);
		return NULL;
	}
	n->tick = event_new(base, -1, EV_PERSIST, on_tick, n);
	event_add(n->tick, &tv);
	return n;
}

void
peer_net_delete(struct peer_net *n)
{
	struct peer *p;

	while (!TAILQ_EMPTY(&n->links))
		link_delete(TAILQ_FIRST(&n->links), "shutdown");
	while ((p = TAILQ_FIRST(&n->peers)) != NULL) {
		TAILQ_REMOVE(&n->peers, p, link);
		if (p->host[0] != '\0')
			HASH_DEL(n->by_host, p);
		free(p);
	}
	call_table_expire(&n->calls, INT64_MAX);
	evconnlistener_free(n->listener);
	event_free(n->tick);
	free(n);
}

static struct peer *
find_peer(const struct peer_net *n, const char *host)
{
	struct peer *p;

	HASH_FIND_STR(n->by_host, host, p);
	return p;
}

void
peer_net_add(
    struct peer_net *n, const char *host, const char *addr, uint16_t port)
{
	struct peer *p;

	TAILQ_FOREACH (p, &n->peers, link)
		if (strcmp(p->addr, addr) == 0 && p->port == port)
			break;
	if (p == NULL) {
		p = xcalloc(1, sizeof(*p));
		str_copy(p->addr, addr, sizeof(p->addr));
		p->port = port;
		TAILQ_INSERT_TAIL(&n->peers, p, link);
	}
	if (*host != '\0')
		peer_set_host(n, p, host);
}

void
peer_net_remove(struct peer_net *n, const char *host)
{
	struct peer *p = find_peer(n, host);

	if (p == NULL)
		return;
	if (p->out != NULL)
		link_delete(p->out, "removed");
	TAILQ_REMOVE(&n->peers, p, link);
	HASH_DEL(n->by_host, p);
	free(p);
}

bool
peer_net_up(const struct peer_net *n, const char *host)
{
	struct peer *p = find_peer(n, host);

	return p != NULL && p->out != NULL && p->out->state == LINK_UP;
}

int
peer_net_hosts(const struct peer_net *n, char (*out)[64], int max)
{
	struct peer *p;
	int i = 0;

	TAILQ_FOREACH (p, &n->peers, link)
		if (i < max && p->out != NULL && p->out->state == LINK_UP)
			str_copy(out[i++], p->host, 64);
	return i;
}

void
peer_call(struct peer_net *n, const char *host, Cc__Frame *f,
    int64_t timeout_ms, peer_reply_fn fn, void *arg)
{
	struct peer *p = find_peer(n, host);
	bool up = p != NULL && p->out != NULL && p->out->state == LINK_UP;

	f->id = call_table_add(&n->calls, up ? p->out->serial : 0,
	    clock_boot_ms() + timeout_ms, fn, arg);
	if (up)
		send_frame(p->out, f);
}

int
peer_send(struct peer_net *n, const char *host, Cc__Frame *f)
{
	struct peer *p = find_peer(n, host);

	if (p == NULL || p->out == NULL || p->out->state != LINK_UP)
		return CC_ENOTSENT;
	f->id = f->reply_to = 0;
	send_frame(p->out, f);
	return CC_OK;
}

int
peer_send_link(struct peer_net *n, uint64_t link, Cc__Frame *f)
{
	struct link *l = find_link(n, link);

	if (l == NULL)
		return CC_ENOTSENT;
	f->id = f->reply_to = 0;
	send_frame(l, f);
	return CC_OK;
}

uint64_t
peer_net_link(const struct peer_net *n, const char *host)
{
	const struct peer *p = find_peer(n, host);

	if (p == NULL || p->out == NULL || p->out->state != LINK_UP)
		return 0;
	return p->out->serial;
}

void
peer_reply(struct peer_net *n, const struct peer_request *rq, Cc__Frame *f)
{
	struct link *l = find_link(n, rq->link);

	if (l == NULL || rq->id == 0)
		return;
	f->id = 0;
	f->reply_to = rq->id;
	send_frame(l, f);
}

void
peer_net_traffic(const struct peer_net *n, uint64_t *sent, uint64_t *received)
{
	*sent = n->sent;
	*received = n->received;
}
