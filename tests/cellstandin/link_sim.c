/* Paths between the hosts of different zones, as relays of TCP. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "../../src/base/xalloc.h"
#include "zones.h"

#define HOSTS_MAX 8 /* so that addresses keep their length */

struct path;

struct pair {
	TAILQ_ENTRY(pair) link;
	struct path *path;
	struct bufferevent *ends[2];
	bool dropped; /**< bytes were lost in a cut */
	bool closed;  /**< an end closed while the path held bytes back */
};

/** From the hosts of a zone to one host of another zone. */
struct path {
	struct link_sim *sim;
	struct evconnlistener *listener;
	int from_zone;
	int to_host; /**< counts from 1 */
	bool cut;
	struct bufferevent_rate_limit_group *rate; /**< NULL: no limit */
	TAILQ_HEAD(pair_list, pair) pairs;
};

struct link_sim {
	struct event_base *base;
	struct path paths[ZONES * HOSTS_MAX];
	int npaths;
	uint16_t port;
	bool hold;
};

static void
host_addr(int host, char buf[32])
{
	snprintf(buf, 32, "127.0.0.%d", 70 + host);
}

static void
path_addr(int zone, int host, char buf[32])
{
	snprintf(buf, 32, "127.0.0.%d", 10 * (zone + 1) + host);
}

static void
pair_delete(struct pair *p)
{
	TAILQ_REMOVE(&p->path->pairs, p, link);
	bufferevent_free(p->ends[0]);
	bufferevent_free(p->ends[1]);
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
on_read(struct bufferevent *bev, void *arg)
{
	struct pair *p = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (!p->path->cut) {
		move_bytes(p);
	} else if (!p->path->sim->hold) {
		evbuffer_drain(in, evbuffer_get_length(in));
		p->dropped = true;
	}
}

/* What was sent before an end closed still arrives; the end of the connection
 * doesn't pass a path that is cut. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *p = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	if (p->path->cut) {
		bufferevent_disable(bev, EV_READ | EV_WRITE);
		p->closed = true;
		return;
	}
	move_bytes(p);
	pair_delete(p);
}

static void
address(const char *text, uint16_t port, struct sockaddr_in *out)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons(port);
	inet_pton(AF_INET, text, &out->sin_addr);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct path *x = arg;
	struct pair *p = xcalloc(1, sizeof(*p));
	struct sockaddr_in to;
	char text[32];
	int i, on = 1;

	(void)l;
	(void)sa;
	(void)len;
	host_addr(x->to_host, text);
	address(text, x->sim->port, &to);
	p->path = x;
	p->ends[0] =
	    bufferevent_socket_new(x->sim->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->ends[1] =
	    bufferevent_socket_new(x->sim->base, -1, BEV_OPT_CLOSE_ON_FREE);
	TAILQ_INSERT_TAIL(&x->pairs, p, link);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(p->ends[i], on_read, NULL, on_event, p);
		bufferevent_enable(p->ends[i], EV_READ | EV_WRITE);
		if (x->rate != NULL)
			bufferevent_add_to_rate_limit_group(
			    p->ends[i], x->rate);
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (bufferevent_socket_connect(
		p->ends[1], (struct sockaddr *)&to, sizeof(to)) != 0) {
		pair_delete(p);
		return;
	}
	setsockopt(bufferevent_getfd(p->ends[1]), IPPROTO_TCP, TCP_NODELAY, &on,
	    sizeof(on));
}

static bool
path_open(struct link_sim *l, int zone, int host)
{
	struct path *x = &l->paths[l->npaths++];
	struct sockaddr_in at;
	char text[32];

	x->sim = l;
	x->from_zone = zone;
	x->to_host = host;
	TAILQ_INIT(&x->pairs);
	path_addr(zone, host, text);
	address(text, l->port, &at);
	x->listener = evconnlistener_new_bind(l->base, on_accept, x,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&at, sizeof(at));
	return x->listener != NULL;
}

struct link_sim *
link_sim_new(struct event_base *base, int nhosts, uint16_t port)
{
	struct link_sim *l = xcalloc(1, sizeof(*l));
	int zone, host;

	l->base = base;
	l->port = port;
	for (zone = 0; zone < ZONES; zone++)
		for (host = 1; host <= nhosts && host <= HOSTS_MAX; host++)
			if (zone_of(host) != zone && !path_open(l, zone, host))
				return NULL;
	return l;
}

void
link_sim_cut(struct link_sim *l, int zone, bool hold)
{
	struct path *x;
	int i;

	l->hold = hold;
	for (i = 0; i < l->npaths; i++) {
		x = &l->paths[i];
		x->cut = x->from_zone == zone || zone_of(x->to_host) == zone;
	}
}

static void
limit_path(struct path *x, int bytes_per_s)
{
	struct pair *p;

	x->rate = rate_limit_set(x->sim->base, x->rate, bytes_per_s);
	TAILQ_FOREACH (p, &x->pairs, link) {
		bufferevent_add_to_rate_limit_group(p->ends[0], x->rate);
		bufferevent_add_to_rate_limit_group(p->ends[1], x->rate);
	}
}

void
link_sim_rate(struct link_sim *l, int bytes_per_s)
{
	int i;

	for (i = 0; i < l->npaths; i++)
		limit_path(&l->paths[i], bytes_per_s);
}

static void
heal_path(struct path *x)
{
	struct pair *p, *next;

	x->cut = false;
	for (p = TAILQ_FIRST(&x->pairs); p != NULL; p = next) {
		next = TAILQ_NEXT(p, link);
		move_bytes(p);
		if (p->dropped || p->closed)
			pair_delete(p);
	}
}

void
link_sim_heal(struct link_sim *l)
{
	int i;

	for (i = 0; i < l->npaths; i++)
		if (l->paths[i].cut)
			heal_path(&l->paths[i]);
}

void
link_sim_map_row(int nhosts, int view, char *plain, size_t len)
{
	char own[32], mapped[32], *at;
	int host;

	for (host = 1; host <= nhosts && host <= HOSTS_MAX; host++) {
		if (zone_of(host) == zone_of_view(view))
			continue;
		host_addr(host, own);
		path_addr(zone_of_view(view), host, mapped);
		while ((at = memmem(plain, len, own, strlen(own))) != NULL)
			memcpy(at, mapped, strlen(mapped));
	}
}
