/* A loopback TCP proxy that can delay, reset or silence connections. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "../../src/base/xalloc.h"
#include "soak.h"

#define DELAY_MS 120

struct pair {
	TAILQ_ENTRY(pair) link;
	struct proxy *proxy;
	struct bufferevent *ends[2];
	struct event *timer; /**< forwards delayed bytes */
};

struct proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t to;
	enum proxy_mode mode;
	TAILQ_HEAD(pair_list, pair) pairs;
};

static void
close_hard(struct bufferevent *bev)
{
	struct linger lg = {.l_onoff = 1, .l_linger = 0};

	setsockopt(
	    bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &lg, sizeof(lg));
	bufferevent_free(bev);
}

static void
pair_delete(struct pair *p)
{
	TAILQ_REMOVE(&p->proxy->pairs, p, link);
	close_hard(p->ends[0]);
	close_hard(p->ends[1]);
	event_free(p->timer);
	free(p);
}

static void
move_bytes(struct pair *p)
{
	int i;

	for (i = 0; i < 2; i++)
		bufferevent_write_buffer(
		    p->ends[1 - i], bufferevent_get_input(p->ends[i]));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	move_bytes(arg);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct pair *p = arg;
	struct timeval tv = {0, DELAY_MS * 1000};
	struct evbuffer *in = bufferevent_get_input(bev);

	switch (p->proxy->mode) {
	case PROXY_SILENT:
		evbuffer_drain(in, evbuffer_get_length(in));
		break;
	case PROXY_DELAY:
		evtimer_add(p->timer, &tv);
		break;
	default:
		move_bytes(p);
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *p = arg;

	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
		move_bytes(p);
		pair_delete(p);
	}
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct proxy *x = arg;
	struct pair *p = xcalloc(1, sizeof(*p));
	struct sockaddr_in to = {.sin_family = AF_INET};
	int i;

	(void)l;
	(void)sa;
	(void)len;
	to.sin_port = htons(x->to);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	p->proxy = x;
	p->timer = evtimer_new(x->base, on_timer, p);
	p->ends[0] = bufferevent_socket_new(x->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->ends[1] = bufferevent_socket_new(x->base, -1, BEV_OPT_CLOSE_ON_FREE);
	TAILQ_INSERT_TAIL(&x->pairs, p, link);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(p->ends[i], on_read, NULL, on_event, p);
		bufferevent_enable(p->ends[i], EV_READ | EV_WRITE);
	}
	if (x->mode == PROXY_RESET ||
	    bufferevent_socket_connect(
		p->ends[1], (struct sockaddr *)&to, sizeof(to)) != 0)
		pair_delete(p);
}

struct proxy *
proxy_new(struct event_base *base, uint16_t port, uint16_t to)
{
	struct proxy *x = xcalloc(1, sizeof(*x));
	struct sockaddr_in at = {.sin_family = AF_INET};

	x->base = base;
	x->to = to;
	TAILQ_INIT(&x->pairs);
	at.sin_port = htons(port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	x->listener = evconnlistener_new_bind(base, on_accept, x,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&at, sizeof(at));
	if (x->listener == NULL) {
		free(x);
		return NULL;
	}
	return x;
}

void
proxy_delete(struct proxy *x)
{
	while (!TAILQ_EMPTY(&x->pairs))
		pair_delete(TAILQ_FIRST(&x->pairs));
	evconnlistener_free(x->listener);
	free(x);
}

void
proxy_set(struct proxy *x, enum proxy_mode mode)
{
	x->mode = mode;
	if (mode == PROXY_RESET)
		while (!TAILQ_EMPTY(&x->pairs))
			pair_delete(TAILQ_FIRST(&x->pairs));
}
