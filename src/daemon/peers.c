#include "peers.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "conf_sync.h"
#include "home.h"
#include "home_ops.h"
#include "owner.h"
#include "placer.h"
#include "router.h"

#define BEAT_MS 1000
#define BEAT_TIMEOUT_MS 3000
/** One in this number of heartbeats carries the usage of classes and teams. */
#define USAGE_EVERY 5

struct beats {
	struct node *node;
	struct event *timer;
	unsigned count;
};

struct beat_call {
	struct node *node;
	char host[64];
};

static Cc__ShardLoad *
capacity_report_new(struct node *n, const struct shard *s)
{
	Cc__ShardLoad *l = xcalloc(1, sizeof(*l));
	const struct slot *slot;
	struct size most = {0, 0, 0};
	int i;

	cc__shard_load__init(l);
	for (i = 0; i < n->pool.count; i++) {
		slot = &n->pool.slots[i];
		if (slot->shard == s->index && slot->usable)
			most = size_max(&most, &slot->free);
	}
	l->shard = (uint32_t)s->index;
	l->epoch = s->held_epoch;
	l->free_cpus = l->largest_free_cpus = most.cpus;
	l->free_memory_mb = most.memory_mb;
	l->free_accelerators = most.accelerators;
	return l;
}

static void
fill_shards(struct node *n, Cc__Beat *b)
{
	int i;

	b->shards = xcalloc((size_t)n->nshards, sizeof(*b->shards));
	for (i = 0; i < n->nshards; i++)
		if (n->shards[i].state == SHARD_OWNED)
			b->shards[b->n_shards++] =
			    capacity_report_new(n, &n->shards[i]);
}

static void
beat_acked(int err, const Cc__Frame *f, void *arg)
{
	struct beat_call *c = arg;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_ACK)
		conf_sync_peer_version(
		    c->node->conf_sync, c->host, f->ack->conf_version);
	free(c);
}

static struct beat_call *
beat_call_new(struct node *n, const char *host)
{
	struct beat_call *c = xcalloc(1, sizeof(*c));

	c->node = n;
	str_copy(c->host, host, sizeof(c->host));
	return c;
}

void
beats_send(struct node *n, bool with_usage)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Beat b = CC__BEAT__INIT;
	char hosts[PLAN_HOSTS_MAX][64];
	int i, count = peer_net_hosts(n->peers, hosts, PLAN_HOSTS_MAX);
	size_t k;

	b.host = (char *)n->settings->host;
	b.conf_version = n->conf.known ? n->conf.version : 0;
	b.leaving = n->leaving;
	b.conf_took_ms = n->conf.in_force_wall_ms - n->conf.applied_wall_ms;
	router_fill_beat(n->router, &b);
	fill_shards(n, &b);
	b.has_usage = with_usage;
	if (with_usage)
		home_fill_beat(n->home, &b);
	f.body_case = CC__FRAME__BODY_BEAT;
	f.beat = &b;
	for (i = 0; i < count; i++)
		peer_call(n->peers, hosts[i], &f, BEAT_TIMEOUT_MS, beat_acked,
		    beat_call_new(n, hosts[i]));
	for (k = 0; k < b.n_shards; k++)
		free(b.shards[k]);
	free(b.shards);
	home_free_beat(&b);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct beats *b = arg;

	(void)fd;
	(void)what;
	beats_send(b->node, b->count++ % USAGE_EVERY == 0);
}

struct beats *
beats_new(struct node *n)
{
	struct beats *b = xcalloc(1, sizeof(*b));
	struct timeval tv = {BEAT_MS / 1000, 0};

	b->node = n;
	b->timer = event_new(n->base, -1, EV_PERSIST, on_timer, b);
	event_add(b->timer, &tv);
	return b;
}

void
beats_delete(struct beats *b)
{
	event_free(b->timer);
	free(b);
}

static void
store_usage(struct peer_host *h, const Cc__Beat *b, int64_t now)
{
	size_t i;

	h->usage_ms = now;
	h->nusage = 0;
	for (i = 0; i < b->n_classes && h->nusage < USAGE_ROWS_MAX; i++) {
		str_copy(h->usage[h->nusage].key, b->classes[i]->class_name,
		    sizeof(h->usage[0].key));
		h->usage[h->nusage++].cpus = b->classes[i]->cpus;
	}
}

static void
store_capacity(struct node *n, const Cc__ShardLoad *l, int64_t now)
{
	struct shard_capacity *c;

	if (l->shard >= (uint32_t)n->nshards)
		return;
	c = &n->shard_capacities[l->shard];
	if (l->epoch < c->epoch)
		return;
	if (l->epoch > n->shards[l->shard].epoch)
		owner_refresh_shards(n);
	c->epoch = l->epoch;
	c->free = (struct size){
	    l->free_cpus, l->free_memory_mb, l->free_accelerators};
	c->largest_cpus = l->largest_free_cpus;
	c->reported_ms = now;
}

static void
store_beat(struct node *n, const Cc__Beat *b)
{
	struct peer_host *h = node_host_get(n, b->host);
	int64_t now = clock_boot_ms();
	size_t i;

	if (h == NULL)
		return;
	h->last_beat_ms = now;
	h->conf_version = b->conf_version;
	h->runner_free = b->runner_free;
	h->runner_queue = b->runner_queue;
	h->beat_leaving = b->leaving;
	h->conf_took_ms = b->conf_took_ms;
	h->nshards = (int)b->n_shards;
	if (b->has_usage)
		store_usage(h, b, now);
	for (i = 0; i < b->n_shards; i++)
		store_capacity(n, b->shards[i], now);
	conf_sync_peer_version(n->conf_sync, b->host, b->conf_version);
}

static void
reply_ack(struct node *n, const struct peer_request *rq, int err)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Ack a = CC__ACK__INIT;

	a.error = err;
	a.conf_version = n->conf.version;
	f.body_case = CC__FRAME__BODY_ACK;
	f.ack = &a;
	peer_reply(n->peers, rq, &f);
}

struct pending_reply {
	struct node *node;
	struct peer_request rq;
};

static struct pending_reply *
pending_reply_new(struct node *n, const struct peer_request *rq)
{
	struct pending_reply *s = xcalloc(1, sizeof(*s));

	s->node = n;
	s->rq = *rq;
	return s;
}

static void
send_place_reply(const Cc__PlaceReply *r, void *arg)
{
	struct pending_reply *s = arg;
	Cc__Frame f = CC__FRAME__INIT;

	f.body_case = CC__FRAME__BODY_PLACE_REPLY;
	f.place_reply = (Cc__PlaceReply *)r;
	peer_reply(s->node->peers, &s->rq, &f);
	free(s);
}

static void
send_stop_reply(int err, uint64_t epoch, void *arg)
{
	struct pending_reply *s = arg;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__StopReply r = CC__STOP_REPLY__INIT;

	r.error = err;
	r.shard_epoch = epoch;
	f.body_case = CC__FRAME__BODY_STOP_REPLY;
	f.stop_reply = &r;
	peer_reply(s->node->peers, &s->rq, &f);
	free(s);
}

static void
send_end_ack(int err, void *arg)
{
	struct pending_reply *s = arg;

	reply_ack(s->node, &s->rq, err);
	free(s);
}

void
peers_serve(const struct peer_request *rq, const Cc__Frame *f, void *node)
{
	struct node *n = node;

	switch (f->body_case) {
	case CC__FRAME__BODY_BEAT:
		store_beat(n, f->beat);
		reply_ack(n, rq, CC_OK);
		break;
	case CC__FRAME__BODY_CONF_GET:
		conf_sync_serve(n, rq);
		break;
	case CC__FRAME__BODY_ROUTE:
		router_serve(n, rq, f->route);
		break;
	case CC__FRAME__BODY_PLACE:
		placer_place(n->placer, f->place, send_place_reply,
		    pending_reply_new(n, rq));
		break;
	case CC__FRAME__BODY_STOP:
		placer_stop(n->placer, f->stop, send_stop_reply,
		    pending_reply_new(n, rq));
		break;
	case CC__FRAME__BODY_ENDED:
		home_member_ended(
		    n, f->ended, send_end_ack, pending_reply_new(n, rq));
		break;
	case CC__FRAME__BODY_SUBMIT:
	case CC__FRAME__BODY_GET:
	case CC__FRAME__BODY_CANCEL:
	case CC__FRAME__BODY_SETTLE:
	case CC__FRAME__BODY_LIST_TASKS:
	case CC__FRAME__BODY_COST_GET:
		home_serve(n, rq, f);
		break;
	default:
		reply_ack(n, rq, CC_EPROTO);
	}
}
