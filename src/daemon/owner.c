#include "owner_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home.h"
#include "node.h"
#include "placer.h"
#include "shard_load.h"

#define TICK_MS 100
#define ACTIONS_MAX 32
/** Interval of reading the shards' rows while no shard changes its owner. */
#define SHARDS_READ_IDLE_MS 10000
/** Delay of the next read when the known rows prove to be out of date. */
#define SHARDS_READ_STALE_MS 200

static bool
row_names_self(const struct node *n, const struct shard *s)
{
	return n->lease.held && strcmp(s->owner, n->settings->host) == 0 &&
	    s->owner_epoch == n->lease.epoch;
}

/* Starts a load after a claim took effect; drops a shard that was lost. */
static void
reconcile(struct node *n, struct shard *s, const char *previous,
    uint64_t previous_epoch)
{
	if (s->state == SHARD_OTHER || s->state == SHARD_CLAIMING) {
		if (!row_names_self(n, s))
			return;
		s->state = SHARD_LOADING;
		s->held_epoch = s->epoch;
		str_copy(
		    s->previous_owner, previous, sizeof(s->previous_owner));
		s->previous_epoch = previous_epoch;
		shard_load_start(s);
		return;
	}
	if (s->epoch > s->held_epoch)
		owner_shard_lost(n, s, "row");
}

static void
apply_shard_row(struct node *n, const struct table_item *it)
{
	struct shard *s;
	char previous[HOST_NAME_LEN];
	uint64_t previous_epoch;
	long i = strtol(table_item_sort(it), NULL, 10);

	if (i < 0 || i >= n->nshards)
		return;
	s = &n->shards[i];
	if (table_item_num(it, "epoch") < s->epoch)
		return;
	str_copy(previous, s->owner, sizeof(previous));
	previous_epoch = s->owner_epoch;
	s->row_exists = true;
	s->epoch = table_item_num(it, "epoch");
	s->owner_epoch = table_item_num(it, "owner_epoch");
	if (s->state == SHARD_OTHER || s->state == SHARD_CLAIMING)
		s->snapshot_seq = table_item_num(it, "snap");
	str_copy(s->owner, table_item_text(it, "owner"), sizeof(s->owner));
	reconcile(n, s, previous, previous_epoch);
}

static void
shards_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct owner *o = arg;
	size_t i;

	o->reading_shards = false;
	if (err != CC_OK)
		return;
	for (i = 0; i < count; i++)
		apply_shard_row(o->node, &items[i]);
	o->shards_known = true;
}

void
owner_put_shard_row(struct table_tx *tx, const struct shard *s,
    const char *host, uint64_t host_epoch, uint64_t epoch,
    uint64_t snapshot_seq)
{
	char sort[16];

	snprintf(sort, sizeof(sort), "%d", s->index);
	table_tx_put(tx, "shard", sort);
	table_tx_text(tx, "owner", host);
	table_tx_num(tx, "owner_epoch", host_epoch);
	table_tx_num(tx, "epoch", epoch);
	table_tx_num(tx, "snap", snapshot_seq);
}

static void
shard_written(int err, void *arg)
{
	struct shard *s = arg;
	struct owner *o = s->node->owner;

	s->writing = false;
	if (err != CC_OK)
		kvlog(KVLOG_INFO, "shard_write", "shard=%d state=%d err=%s",
		    s->index, s->state, cc_strerror(err));
	if (s->state == SHARD_CLAIMING)
		s->state = SHARD_OTHER;
	o->next_shards_read_ms = 0; /* the row shows the result of the write */
}

static void
claim(struct node *n, struct shard *s)
{
	struct table_tx *tx = table_tx_new();

	s->writing = true;
	s->state = SHARD_CLAIMING;
	owner_put_shard_row(tx, s, n->settings->host, n->lease.epoch,
	    s->epoch + 1, s->snapshot_seq);
	/* Fails if a newer snapshot was stored since the row was read. */
	if (s->row_exists) {
		table_tx_if_num(tx, "epoch", s->epoch);
		table_tx_if_num(tx, "snap", s->snapshot_seq);
	} else {
		table_tx_if_absent(tx);
	}
	table_tx_check(tx, "host", n->settings->host);
	table_tx_if_num(tx, "epoch", n->lease.epoch);
	table_write(n->table, tx, NULL, WRITE_TIMEOUT_MS, shard_written, s);
	table_tx_delete(tx);
}

static void
release_row(struct node *n, struct shard *s)
{
	struct table_tx *tx = table_tx_new();

	s->writing = true;
	owner_put_shard_row(tx, s, "", 0, s->held_epoch + 1, s->snapshot_seq);
	table_tx_if_num(tx, "epoch", s->held_epoch);
	table_write(n->table, tx, NULL, WRITE_TIMEOUT_MS, shard_written, s);
	table_tx_delete(tx);
}

static void
fill_plan_view(struct owner *o, struct plan_view *v, int *map, int64_t now)
{
	struct node *n = o->node;
	struct peer_host *h;
	struct plan_host *p;
	int i;

	memset(v, 0, sizeof(*v));
	v->self = n->settings->host;
	v->self_epoch = n->lease.epoch;
	for (i = 0; i < n->nhosts; i++) {
		h = &n->hosts[i];
		if (!h->present)
			continue;
		map[v->nhosts] = i;
		p = &v->hosts[v->nhosts++];
		str_copy(p->name, h->name, sizeof(p->name));
		p->epoch = h->epoch;
		p->expired = h->expired;
		p->leaving = h->leaving;
		p->lapsed = lease_watch_lapsed(&h->watch, &n->terms, now);
		p->known_ms = now - h->live_since_ms;
		if (strcmp(h->name, n->settings->host) == 0) {
			p->lapsed = false;
			p->leaving = n->leaving;
		}
	}
	v->nshards = n->nshards;
	for (i = 0; i < n->nshards; i++) {
		str_copy(v->shards[i].owner, n->shards[i].owner,
		    sizeof(v->shards[i].owner));
		v->shards[i].owner_epoch = n->shards[i].owner_epoch;
		if (plan_shard_held(v, i))
			n->shards[i].unowned_since_ms = now;
		v->shards[i].free_ms = now - n->shards[i].unowned_since_ms;
	}
}

static void
begin_release(struct shard *s)
{
	if (s->state != SHARD_OWNED)
		return;
	kvlog(KVLOG_INFO, "shard_release", "shard=%d", s->index);
	s->state = SHARD_RELEASING;
}

static void
run_action(struct owner *o, const struct plan_action *a, const int *map)
{
	struct node *n = o->node;
	struct shard *s;

	if (a->verb == PLAN_EXPIRE) {
		if (!o->expiring)
			owner_expire(o, &n->hosts[map[a->index]]);
		return;
	}
	s = &n->shards[a->index];
	if (s->writing)
		return;
	if (a->verb == PLAN_RELEASE)
		begin_release(s);
	else if (s->state == SHARD_OTHER)
		claim(n, s);
}

static bool
any_unheld(const struct plan_view *v)
{
	int i;

	for (i = 0; i < v->nshards; i++)
		if (!plan_shard_held(v, i))
			return true;
	return false;
}

static void
run_plan(struct owner *o, int64_t now)
{
	struct node *n = o->node;
	struct plan_view *v;
	struct plan_action actions[ACTIONS_MAX];
	int map[PLAN_HOSTS_MAX];
	int i, count;

	if (!o->hosts_known || !o->shards_known ||
	    !lease_valid(&n->lease, now, 0) ||
	    now - n->table_ok_ms > n->terms.hold_ms)
		return;
	v = xcalloc(1, sizeof(*v));
	fill_plan_view(o, v, map, now);
	count = plan_decide(v, actions, ACTIONS_MAX);
	o->reassigning = count > 0 || any_unheld(v);
	for (i = 0; i < count; i++)
		run_action(o, &actions[i], map);
	free(v);
}

static void
tick_shards(struct node *n)
{
	struct shard *s;
	int i;

	for (i = 0; i < n->nshards; i++) {
		s = &n->shards[i];
		if (s->state == SHARD_LOADING && !s->loading)
			shard_load_start(s);
		if (s->state == SHARD_RELEASING && !s->writing &&
		    journal_idle(&s->journal) &&
		    placer_shard_idle(n->placer, s) &&
		    home_shard_idle(n->home, s))
			release_row(n, s);
	}
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct owner *o = arg;
	struct node *n = o->node;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	if (n->leaving && !o->leave_recorded)
		o->next_renewal_ms = 0;
	owner_renew(o, now);
	if (now >= o->next_hosts_read_ms && !o->reading_hosts) {
		o->next_hosts_read_ms = now + n->terms.renew_ms;
		owner_read_hosts(o);
	}
	if (now >= o->next_shards_read_ms && !o->reading_shards) {
		o->next_shards_read_ms = now +
		    (o->reassigning ? n->terms.renew_ms : SHARDS_READ_IDLE_MS);
		o->reading_shards = true;
		table_query(
		    n->table, "shard", "", READ_TIMEOUT_MS, shards_read, o);
	}
	run_plan(o, now);
	tick_shards(n);
}

struct owner *
owner_new(struct node *n)
{
	struct owner *o = xcalloc(1, sizeof(*o));
	struct timeval tv = {0, TICK_MS * 1000};

	o->node = n;
	o->reassigning = true;
	/* A restarted process must not repeat a counter of an earlier one. */
	o->beat = (uint64_t)clock_wall_ms();
	o->tick = event_new(n->base, -1, EV_PERSIST, on_tick, o);
	event_add(o->tick, &tv);
	return o;
}

void
owner_delete(struct owner *o)
{
	event_free(o->tick);
	free(o);
}

void
owner_shard_lost(struct node *n, struct shard *s, const char *why)
{
	if (s->state == SHARD_OTHER)
		return;
	kvlog(KVLOG_INFO, "shard_lost", "shard=%d why=%s", s->index, why);
	s->state = SHARD_OTHER;
	s->writing = s->loading = false;
	s->unowned_since_ms = clock_boot_ms();
	journal_close(&s->journal);
	home_shard_lost(n->home, s);
	placer_shard_lost(n->placer, s);
	ledger_done(&s->ledger);
	ledger_init(&s->ledger);
}

int
owner_shard_count(const struct node *n)
{
	int i, count = 0;

	for (i = 0; i < n->nshards; i++)
		count += n->shards[i].state != SHARD_OTHER;
	return count;
}

bool
owner_has_successor(const struct node *n)
{
	const struct peer_host *h;
	int64_t now = clock_boot_ms();
	int i;

	for (i = 0; i < n->nhosts; i++) {
		h = &n->hosts[i];
		if (strcmp(h->name, n->settings->host) != 0 && h->present &&
		    !h->expired && !h->leaving &&
		    !lease_watch_lapsed(&h->watch, &n->terms, now))
			return true;
	}
	return false;
}

void
owner_refresh_shards(struct node *n)
{
	int64_t soon = clock_boot_ms() + SHARDS_READ_STALE_MS;

	if (n->owner->next_shards_read_ms > soon)
		n->owner->next_shards_read_ms = soon;
}
