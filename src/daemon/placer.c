#include "placer_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/worker_placement.h"
#include "../sys/clock.h"
#include "home.h"
#include "hostlist.h"
#include "worker_watch.h"

#define TICK_MS 250
/** Timeout of a start or stop on a worker. */
#define START_TIMEOUT_MS 2000
/** Lifetime of a reservation that waits for its start. */
#define HOLD_MS 10000
/** Lifetime of a gang member's reservation while the others are reserved. */
#define GANG_HOLD_MS 3000

static int64_t
shard_epoch(const struct placer *p, int shard)
{
	return (int64_t)p->node->shards[shard].held_epoch;
}

/* ---- starts ---- */

struct start_call {
	struct placer *placer;
	place_fn fn;
	void *arg;
	char key[TASK_KEY_LEN];
	uint64_t attempt;
	int shard;
};

static void
reply_place(place_fn fn, void *arg, int err, const char *worker, uint64_t epoch,
    bool reserved)
{
	Cc__PlaceReply r = CC__PLACE_REPLY__INIT;

	r.error = err;
	r.worker = (char *)worker;
	r.shard_epoch = epoch;
	r.reserved = reserved;
	fn(&r, arg);
}

void
placer_set_state(struct reservation *r, enum reservation_state st)
{
	r->state = st;
	r->since_ms = clock_boot_ms();
	r->expires_ms = 0;
}

static void
start_done(const struct http_answer *a, void *arg)
{
	struct start_call *c = arg;
	struct placer *p = c->placer;
	uint64_t epoch = (uint64_t)shard_epoch(p, c->shard);
	struct reservation *r = worker_pool_reservation(&p->node->pool, c->key);
	int err = CC_EUNAVAIL;
	const char *worker = "";

	if (r == NULL || r->state != STARTING || r->attempt != c->attempt) {
		/* A task list settled the start, or the shard was lost. */
		err = r != NULL && r->state == RUNNING ? CC_OK : CC_EUNAVAIL;
		worker = r != NULL ? r->worker->name : "";
	} else if (a->err == CC_OK && a->status / 100 == 2) {
		placer_set_state(r, RUNNING);
		health_started(&r->worker->health);
		worker_update_slot(&p->node->pool, r->worker);
		err = CC_OK;
		worker = r->worker->name;
	} else if (a->err == CC_ENOTSENT ||
	    (a->err == CC_OK && a->status / 100 == 4)) {
		worker_release(&p->node->pool, r);
		err = CC_EBUSY;
	} else {
		placer_set_state(r, UNCERTAIN);
		p->node->stats.starts_uncertain++;
		watch_poll_full(r->worker->watch);
	}
	reply_place(c->fn, c->arg, err, worker, epoch, false);
	free(c);
}

static void
send_start(struct placer *p, struct reservation *r, const Cc__Place *m,
    place_fn fn, void *arg)
{
	struct worker *w = r->worker;
	struct start_call *c;
	json_t *body;
	char *text;
	struct http_request rq = {
	    .addr = w->addr,
	    .port = w->port,
	    .method = EVHTTP_REQ_POST,
	    .path = "/v1/tasks",
	    .content_type = "application/json",
	    .timeout_ms = START_TIMEOUT_MS,
	    .fn = start_done,
	};

	/* The lease is checked a last time right before the request is sent. */
	if (!node_may_start(p->node)) {
		worker_release(&p->node->pool, r);
		reply_place(fn, arg, CC_ENOTOWNER, "", 0, false);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->placer = p;
	c->fn = fn;
	c->arg = arg;
	str_copy(c->key, r->key, sizeof(c->key));
	r->attempt = c->attempt = m->attempt;
	c->shard = w->shard;
	placer_set_state(r, STARTING);
	body = json_pack("{s:s,s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:I}", "key", r->key,
	    "class", r->class_name, "cpus", (int)r->size.cpus, "memory_mb",
	    (int)r->size.memory_mb, "accelerators", (int)r->size.accelerators,
	    "run_ms", (json_int_t)m->run_ms, "attempt", (json_int_t)m->attempt,
	    "lease_ms", (json_int_t)p->node->settings->worker_lease_ms, "epoch",
	    (json_int_t)shard_epoch(p, w->shard));
	text = json_dumps(body, JSON_COMPACT);
	rq.body = text;
	rq.len = strlen(text);
	rq.arg = c;
	http_call(p->node->http, &rq);
	free(text);
	json_decref(body);
}

void
placer_hold(struct reservation *r, const char *class_name)
{
	placer_set_state(r, RESERVED);
	r->expires_ms = r->since_ms + HOLD_MS;
	str_copy(r->class_name, class_name, sizeof(r->class_name));
}

/* Whether no worker of the shard can run a task unknown to this host. */
static bool
shard_tasks_listed(const struct placer *p, int shard)
{
	const struct worker_pool *pool = &p->node->pool;
	int i;

	for (i = 0; i < pool->count; i++)
		if (pool->workers[i]->shard == shard &&
		    !pool->workers[i]->listed &&
		    !watch_tasks_expired(pool->workers[i]->watch))
			return false;
	return hostlist_known(p->node->hostlist);
}

static void
place_existing(struct placer *p, struct reservation *r, const Cc__Place *m,
    place_fn fn, void *arg)
{
	uint64_t epoch = (uint64_t)shard_epoch(p, (int)m->shard);

	switch (r->state) {
	case RESERVED:
		r->attempt = m->attempt;
		if (m->reserve_only) {
			r->expires_ms = clock_boot_ms() + GANG_HOLD_MS;
			reply_place(
			    fn, arg, CC_OK, r->worker->name, epoch, true);
			break;
		}
		send_start(p, r, m, fn, arg);
		break;
	case RUNNING:
	case FINISHED:
		reply_place(fn, arg, CC_OK, r->worker->name, epoch, false);
		break;
	default:
		reply_place(fn, arg, CC_EUNAVAIL, "", epoch, false);
	}
}

static void
place_new(struct placer *p, const Cc__Place *m, const char *key,
    const struct size *need, place_fn fn, void *arg)
{
	struct worker_pool *pool = &p->node->pool;
	uint64_t epoch = (uint64_t)shard_epoch(p, (int)m->shard);
	struct reservation *r;
	int i;

	/*
	 * A member that was assigned under an earlier epoch may run on a worker
	 * that has not listed its tasks yet.
	 */
	if (m->site_epoch != epoch && !shard_tasks_listed(p, (int)m->shard)) {
		reply_place(fn, arg, CC_EUNAVAIL, "", epoch, false);
		return;
	}
	if (!m->repeatable && m->site_epoch != epoch) {
		reply_place(fn, arg, CC_ENOENT, "", epoch, false);
		return;
	}
	i = place_best(pool, (int)m->shard, m->avoid, need);
	if (i < 0)
		i = place_best(pool, (int)m->shard, NULL, need);
	if (i < 0 ||
	    worker_reserve(pool, pool->workers[i], key, need, &r) != CC_OK) {
		reply_place(fn, arg, CC_EBUSY, "", epoch, false);
		return;
	}
	placer_hold(r, m->class_name);
	place_existing(p, r, m, fn, arg);
}

void
placer_place(struct placer *p, const Cc__Place *m, place_fn fn, void *arg)
{
	struct node *n = p->node;
	struct reservation *r;
	struct size need = size_unpack(m->size);
	char key[TASK_KEY_LEN];

	if (m->shard >= (uint32_t)n->nshards ||
	    n->shards[m->shard].state != SHARD_OWNED || !node_may_start(n)) {
		reply_place(fn, arg, CC_ENOTOWNER, "", 0, false);
		return;
	}
	snprintf(key, sizeof(key), "%s#%u", m->id, m->member);
	if (!tombstone_pass(&p->tombstones, key, m->attempt, clock_boot_ms())) {
		reply_place(fn, arg, CC_ECONFLICT, "", 0, false);
		return;
	}
	r = worker_pool_reservation(&n->pool, key);
	if (r != NULL)
		place_existing(p, r, m, fn, arg);
	else
		place_new(p, m, key, &need, fn, arg);
}

/* ---- stops ---- */

struct stop_call {
	struct placer *placer;
	stop_fn fn;
	void *arg;
	char key[TASK_KEY_LEN];
	uint64_t epoch;
};

static void
stop_done(const struct http_answer *a, void *arg)
{
	struct stop_call *c = arg;
	struct reservation *r =
	    worker_pool_reservation(&c->placer->node->pool, c->key);

	if (a->err == CC_OK && a->status / 100 == 2) {
		c->fn(CC_OK, c->epoch, c->arg);
	} else {
		if (r != NULL && r->state == STOPPING)
			r->state = RUNNING;
		c->fn(CC_EUNAVAIL, c->epoch, c->arg);
	}
	free(c);
}

static void
send_stop(struct placer *p, struct reservation *r, uint64_t epoch, stop_fn fn,
    void *arg)
{
	struct stop_call *c = xcalloc(1, sizeof(*c));
	char *escaped = evhttp_uriencode(r->key, -1, 0);
	char *path = xasprintf("/v1/tasks/%s", escaped);
	struct http_request rq = {
	    .addr = r->worker->addr,
	    .port = r->worker->port,
	    .method = EVHTTP_REQ_DELETE,
	    .path = path,
	    .timeout_ms = START_TIMEOUT_MS,
	    .fn = stop_done,
	    .arg = c,
	};

	c->placer = p;
	c->fn = fn;
	c->arg = arg;
	c->epoch = epoch;
	str_copy(c->key, r->key, sizeof(c->key));
	r->state = STOPPING;
	http_call(p->node->http, &rq);
	free(escaped);
	free(path);
}

void
placer_stop(struct placer *p, const Cc__Stop *m, stop_fn fn, void *arg)
{
	struct node *n = p->node;
	struct reservation *r;
	char key[TASK_KEY_LEN];
	uint64_t epoch;

	if (m->shard >= (uint32_t)n->nshards ||
	    n->shards[m->shard].state != SHARD_OWNED) {
		fn(CC_ENOTOWNER, 0, arg);
		return;
	}
	epoch = (uint64_t)shard_epoch(p, (int)m->shard);
	snprintf(key, sizeof(key), "%s#%u", m->id, m->member);
	tombstone_pass(&p->tombstones, key, m->attempt, clock_boot_ms());
	r = worker_pool_reservation(&n->pool, key);
	if (r == NULL) {
		fn(shard_tasks_listed(p, (int)m->shard) ? CC_ENOENT
							: CC_EUNAVAIL,
		    epoch, arg);
		return;
	}
	switch (r->state) {
	case RESERVED:
		worker_release(&n->pool, r);
		home_schedule_placement(n->home);
		fn(CC_ENOENT, epoch, arg);
		break;
	case RUNNING:
		send_stop(p, r, epoch, fn, arg);
		break;
	case FINISHED:
		fn(CC_OK, epoch, arg);
		break;
	default:
		fn(CC_EUNAVAIL, epoch, arg);
	}
}

/* ---- changes of shards and workers ---- */

void
placer_shard_owned(struct placer *p, struct shard *s)
{
	(void)s;
	placer_hosts_changed(p);
}

void
placer_shard_lost(struct placer *p, struct shard *s)
{
	struct worker_pool *pool = &p->node->pool;
	struct worker *w;
	int i;

	for (i = pool->count - 1; i >= 0; i--) {
		w = pool->workers[i];
		if (w->shard != s->index)
			continue;
		watch_delete(w->watch);
		worker_pool_remove(pool, w);
	}
}

bool
placer_shard_idle(struct placer *p, struct shard *s)
{
	struct worker_pool *pool = &p->node->pool;
	struct reservation *r;

	for (r = pool->by_key; r != NULL; r = r->hh.next)
		if (r->worker->shard == s->index &&
		    (r->state == STARTING || r->state == STOPPING ||
			r->confirming))
			return false;
	return true;
}

void
placer_hosts_changed(struct placer *p)
{
	struct node *n = p->node;
	const struct host_row *h;
	struct worker *w;
	int i;

	if (!hostlist_known(n->hostlist))
		return;
	for (i = 0; i < n->pool.count; i++)
		n->pool.workers[i]->gone = true;
	for (h = hostlist_rows(n->hostlist); h != NULL; h = h->hh.next) {
		if (h->role != HOST_WORKER ||
		    n->shards[h->shard].state != SHARD_OWNED)
			continue;
		w = worker_pool_get(&n->pool, h->name);
		str_copy(w->rack, h->rack, sizeof(w->rack));
		str_copy(w->zone, h->zone, sizeof(w->zone));
		str_copy(w->addr, h->addr, sizeof(w->addr));
		w->port = h->port;
		w->shard = h->shard;
		w->leaving = h->leaving;
		w->gone = false;
		if (w->total.cpus == 0)
			w->total = h->size;
		worker_update_slot(&n->pool, w);
		if (w->watch == NULL)
			w->watch = watch_new(n, w);
	}
	for (i = 0; i < n->pool.count; i++)
		worker_update_slot(&n->pool, n->pool.workers[i]);
}

static void
tick_reservations(struct placer *p, int64_t now)
{
	struct reservation *r, *tmp;

	HASH_ITER(hh, p->node->pool.by_key, r, tmp)
	{
		if (r->state == RESERVED && r->expires_ms > 0 &&
		    r->expires_ms <= now)
			worker_release(&p->node->pool, r);
		else if (r->state == FINISHED && !r->confirming &&
		    now - r->since_ms > CONFIRM_TIMEOUT_MS / 4)
			placer_report_end(p, r);
	}
}

static void
tick_workers(struct placer *p, int64_t now)
{
	struct worker_pool *pool = &p->node->pool;
	struct worker *w;
	int i;

	for (i = pool->count - 1; i >= 0; i--) {
		w = pool->workers[i];
		if (health_tick(&w->health, now)) {
			kvlog(KVLOG_INFO, "probe", "worker=%s", w->name);
			worker_update_slot(pool, w);
		}
		if (w->gone && LIST_EMPTY(&w->reservations) &&
		    watch_tasks_expired(w->watch)) {
			watch_delete(w->watch);
			worker_pool_remove(pool, w);
		}
	}
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct placer *p = arg;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	tick_reservations(p, now);
	tick_workers(p, now);
	tombstones_expire(&p->tombstones, now);
}

struct placer *
placer_new(struct node *n)
{
	struct placer *p = xcalloc(1, sizeof(*p));
	struct timeval tv = {0, TICK_MS * 1000};

	p->node = n;
	p->tick = event_new(n->base, -1, EV_PERSIST, on_tick, p);
	event_add(p->tick, &tv);
	return p;
}

void
placer_delete(struct placer *p)
{
	struct worker_pool *pool = &p->node->pool;
	int i;

	for (i = 0; i < pool->count; i++)
		watch_delete(pool->workers[i]->watch);
	event_free(p->tick);
	tombstones_done(&p->tombstones);
	free(p);
}
