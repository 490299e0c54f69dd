#include "owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../platform/clock.h"
#include "home.h"
#include "node.h"
#include "placer.h"
#include "shard_load.h"

#define TICK_MS 100
#define ACTIONS_MAX 32
#define WRITE_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 2000
/** The shards' rows are read this often while nothing moves. */
#define SHARDS_QUIET_MS 10000
/** And no more often than this when they prove to be stale. */
#define SHARDS_STALE_MS 200

struct owner {
	struct node *node;
	struct event *tick;
	uint64_t row_epoch; /**< of this host's row as last read */
	bool row_seen;
	bool renewing;
	bool reading_hosts;
	bool reading_shards;
	bool reading_addresses;
	bool address_missing;
	bool moving; /**< shards are about to change hands */
	bool hosts_known;
	bool shards_known;
	bool expiring;
	bool leave_told; /**< the row says that this host is leaving */
	int64_t renew_ms;
	int64_t read_ms;
	int64_t shards_ms; /**< when the shards' rows are read next */
	uint64_t beat;
	uint64_t try_epoch; /**< of the renewal under way */
};

static bool
is_leaving(const struct node *n)
{
	return n->leaving;
}

static void
put_host_row(
    struct table_tx *tx, const struct node *n, uint64_t epoch, uint64_t beat)
{
	table_tx_put(tx, "host", n->settings->host);
	table_tx_num(tx, "epoch", epoch);
	table_tx_num(tx, "beat", beat);
	table_tx_num(tx, "expired", 0);
	table_tx_num(tx, "leaving", is_leaving(n));
}

/* What seldom changes stands apart from the row that is read often. */
static void
put_host_address(struct table_tx *tx, const struct settings *s)
{
	table_tx_put(tx, "hostaddr", s->host);
	table_tx_text(tx, "zone", s->zone);
	table_tx_text(tx, "addr", s->addr);
	table_tx_num(tx, "port", (uint64_t)s->peer_port);
	table_tx_num(tx, "operator_port", (uint64_t)s->operator_port);
}

/* The lease ended for certain: all of its shards are gone. */
static void
drop_lease(struct owner *o, const char *why)
{
	struct node *n = o->node;
	int i;

	if (n->lease.held)
		kvlog(KVLOG_WARN, "lease_lost", "epoch=%" PRIu64 " why=%s",
		    n->lease.epoch, why);
	lease_lost(&n->lease);
	o->row_seen = false; /* register only after a new read */
	for (i = 0; i < n->nshards; i++)
		if (n->shards[i].state != SHARD_OTHER)
			owner_shard_lost(n, &n->shards[i], "lease");
}

static void
renewed(int err, void *arg)
{
	struct owner *o = arg;
	struct node *n = o->node;

	o->renewing = false;
	if (err == CC_OK) {
		n->table_ok_ms = clock_boot_ms();
		if (o->try_epoch < o->row_epoch)
			return; /* the lease was ended meanwhile */
		if (!n->lease.held)
			kvlog(KVLOG_INFO, "lease_taken", "epoch=%" PRIu64,
			    o->try_epoch);
		o->row_epoch = o->try_epoch;
		lease_renewed(&n->lease, &n->terms, o->try_epoch, o->beat);
		o->leave_told = is_leaving(n);
		return;
	}
	/* A lost answer of a registration shows as a conflict: read again. */
	if (err == CC_ECONFLICT)
		drop_lease(o, "conflict");
	else
		kvlog(KVLOG_WARN, "renewal_failed", "err=%s", cc_strerror(err));
}

/* Registers with a new epoch, or renews under the one that is held. */
static void
renew(struct owner *o, int64_t now)
{
	struct node *n = o->node;
	struct table_tx *tx;

	if (o->renewing || now < o->renew_ms ||
	    (!n->lease.held && !o->row_seen))
		return;
	o->renew_ms = now + n->terms.renew_ms;
	o->renewing = true;
	tx = table_tx_new();
	o->try_epoch = n->lease.held ? n->lease.epoch : o->row_epoch + 1;
	put_host_row(tx, n, o->try_epoch, ++o->beat);
	if (n->lease.held) {
		table_tx_if_num(tx, "epoch", n->lease.epoch);
	} else {
		if (o->row_epoch > 0)
			table_tx_if_num(tx, "epoch", o->row_epoch);
		else
			table_tx_if_absent(tx);
		put_host_address(tx, n->settings);
	}
	lease_sent(&n->lease, now);
	table_write(n->table, tx, NULL, WRITE_TIMEOUT_MS, renewed, o);
	table_tx_delete(tx);
}

static void
take_host_row(struct owner *o, const struct table_item *it, int64_t now)
{
	struct node *n = o->node;
	const char *name = table_item_sort(it);
	struct peer_host *h = node_host_get(n, name);

	if (h == NULL)
		return;
	h->present = true;
	h->epoch = table_item_num(it, "epoch");
	h->expired = table_item_num(it, "expired") != 0;
	h->leaving = table_item_num(it, "leaving") != 0;
	if (!h->expired && h->addr_epoch != h->epoch)
		o->address_missing = true;
	lease_watch_observe(
	    &h->watch, h->epoch, table_item_num(it, "beat"), now);
	if (h->expired || lease_watch_lapsed(&h->watch, &n->terms, now))
		h->known_since_ms = now;
	if (strcmp(name, n->settings->host) != 0)
		return;
	o->row_seen = true;
	if (h->epoch > o->row_epoch)
		o->row_epoch = h->epoch;
	if (n->lease.held && h->epoch > n->lease.epoch)
		drop_lease(o, "row");
}

static void
take_address(struct node *n, const struct table_item *it)
{
	const char *name = table_item_sort(it);
	struct peer_host *h = node_host(n, name);

	if (h == NULL || h->expired)
		return;
	h->addr_epoch = h->epoch;
	str_copy(h->zone, table_item_text(it, "zone"), sizeof(h->zone));
	str_copy(h->addr, table_item_text(it, "addr"), sizeof(h->addr));
	h->peer_port = (uint16_t)table_item_num(it, "port");
	h->operator_port = (uint16_t)table_item_num(it, "operator_port");
	if (strcmp(name, n->settings->host) != 0)
		peer_net_add(n->peers, name, h->addr, h->peer_port);
}

static void
addresses_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct owner *o = arg;
	size_t i;

	o->reading_addresses = false;
	for (i = 0; err == CC_OK && i < count; i++)
		take_address(o->node, &items[i]);
}

static void
hosts_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct owner *o = arg;
	struct node *n = o->node;
	int64_t now = clock_boot_ms();
	size_t i;
	int h;

	o->reading_hosts = false;
	if (err != CC_OK)
		return;
	n->table_ok_ms = now;
	for (h = 0; h < n->nhosts; h++)
		n->hosts[h].present = false;
	for (i = 0; i < count; i++)
		take_host_row(o, &items[i], now);
	if (o->address_missing && !o->reading_addresses) {
		o->address_missing = false;
		o->reading_addresses = true;
		table_query(n->table, "hostaddr", "", READ_TIMEOUT_MS,
		    addresses_read, o);
	}
	if (!o->row_seen) {
		o->row_seen = true;
		o->row_epoch = 0;
	}
	o->hosts_known = true;
}

static bool
row_is_mine(const struct node *n, const struct shard *s)
{
	return n->lease.held && strcmp(s->owner, n->settings->host) == 0 &&
	    s->owner_epoch == n->lease.epoch;
}

/* Compares the row with what this host holds. */
static void
reconcile(struct node *n, struct shard *s, const char *previous,
    uint64_t previous_epoch)
{
	if (s->state == SHARD_OTHER || s->state == SHARD_CLAIMING) {
		if (!row_is_mine(n, s))
			return;
		s->state = SHARD_LOADING;
		s->own_epoch = s->epoch;
		str_copy(s->previous, previous, sizeof(s->previous));
		s->previous_epoch = previous_epoch;
		shard_load_start(s);
		return;
	}
	if (s->epoch > s->own_epoch)
		owner_shard_lost(n, s, "row");
}

static void
take_shard_row(struct node *n, const struct table_item *it)
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
	s->exists = true;
	s->epoch = table_item_num(it, "epoch");
	s->owner_epoch = table_item_num(it, "owner_epoch");
	if (s->state == SHARD_OTHER || s->state == SHARD_CLAIMING)
		s->snap_seq = table_item_num(it, "snap");
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
		take_shard_row(o->node, &items[i]);
	o->shards_known = true;
}

void
owner_put_shard_row(struct table_tx *tx, const struct shard *s,
    const char *host, uint64_t host_epoch, uint64_t epoch, uint64_t snap_seq)
{
	char sort[16];

	snprintf(sort, sizeof(sort), "%d", s->index);
	table_tx_put(tx, "shard", sort);
	table_tx_text(tx, "owner", host);
	table_tx_num(tx, "owner_epoch", host_epoch);
	table_tx_num(tx, "epoch", epoch);
	table_tx_num(tx, "snap", snap_seq);
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
	o->shards_ms = 0; /* the row tells what became of it */
}

static void
claim(struct node *n, struct shard *s)
{
	struct table_tx *tx = table_tx_new();

	s->writing = true;
	s->state = SHARD_CLAIMING;
	owner_put_shard_row(tx, s, n->settings->host, n->lease.epoch,
	    s->epoch + 1, s->snap_seq);
	/* The snapshot may be newer than the row as it was read. */
	if (s->exists) {
		table_tx_if_num(tx, "epoch", s->epoch);
		table_tx_if_num(tx, "snap", s->snap_seq);
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
	owner_put_shard_row(tx, s, "", 0, s->own_epoch + 1, s->snap_seq);
	table_tx_if_num(tx, "epoch", s->own_epoch);
	table_write(n->table, tx, NULL, WRITE_TIMEOUT_MS, shard_written, s);
	table_tx_delete(tx);
}

static void
expired(int err, void *arg)
{
	struct owner *o = arg;

	(void)err;
	o->expiring = false;
	o->read_ms = o->shards_ms = 0;
}

static void
expire_host(struct owner *o, struct peer_host *h)
{
	struct table_tx *tx = table_tx_new();

	kvlog(KVLOG_WARN, "host_expired", "peer=%s epoch=%" PRIu64, h->name,
	    h->epoch);
	o->expiring = true;
	table_tx_put(tx, "host", h->name);
	table_tx_num(tx, "epoch", h->epoch + 1);
	table_tx_num(tx, "beat", h->watch.beat);
	table_tx_num(tx, "expired", 1);
	table_tx_if_num(tx, "epoch", h->watch.epoch);
	table_tx_if_num(tx, "beat", h->watch.beat);
	table_write(o->node->table, tx, NULL, WRITE_TIMEOUT_MS, expired, o);
	table_tx_delete(tx);
}

static void
fill_view(struct owner *o, struct plan_view *v, int *map, int64_t now)
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
		p->known_ms = now - h->known_since_ms;
		if (strcmp(h->name, n->settings->host) == 0) {
			p->lapsed = false;
			p->leaving = is_leaving(n);
		}
	}
	v->nshards = n->nshards;
	for (i = 0; i < n->nshards; i++) {
		str_copy(v->shards[i].owner, n->shards[i].owner,
		    sizeof(v->shards[i].owner));
		v->shards[i].owner_epoch = n->shards[i].owner_epoch;
		if (plan_shard_held(v, i))
			n->shards[i].free_since_ms = now;
		v->shards[i].free_ms = now - n->shards[i].free_since_ms;
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
carry_out(struct owner *o, const struct plan_action *a, const int *map)
{
	struct node *n = o->node;
	struct shard *s;

	if (a->verb == PLAN_EXPIRE) {
		if (!o->expiring)
			expire_host(o, &n->hosts[map[a->index]]);
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
act(struct owner *o, int64_t now)
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
	fill_view(o, v, map, now);
	count = plan_decide(v, actions, ACTIONS_MAX);
	o->moving = count > 0 || any_unheld(v);
	for (i = 0; i < count; i++)
		carry_out(o, &actions[i], map);
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
		    placer_shard_quiet(n->placer, s) &&
		    home_shard_quiet(n->home, s))
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
	if (is_leaving(n) && !o->leave_told)
		o->renew_ms = 0;
	renew(o, now);
	if (now >= o->read_ms && !o->reading_hosts) {
		o->read_ms = now + n->terms.renew_ms;
		o->reading_hosts = true;
		table_query(
		    n->table, "host", "", READ_TIMEOUT_MS, hosts_read, o);
	}
	if (now >= o->shards_ms && !o->reading_shards) {
		o->shards_ms =
		    now + (o->moving ? n->terms.renew_ms : SHARDS_QUIET_MS);
		o->reading_shards = true;
		table_query(
		    n->table, "shard", "", READ_TIMEOUT_MS, shards_read, o);
	}
	act(o, now);
	tick_shards(n);
}

struct owner *
owner_new(struct node *n)
{
	struct owner *o = xcalloc(1, sizeof(*o));
	struct timeval tv = {0, TICK_MS * 1000};

	o->node = n;
	o->moving = true;
	/* A process that starts anew must not repeat an earlier counter. */
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
	s->free_since_ms = clock_boot_ms();
	journal_close(&s->journal);
	home_shard_lost(n->home, s);
	placer_shard_lost(n->placer, s);
	ledger_done(&s->ledger);
	ledger_init(&s->ledger);
}

int
owner_shards(const struct node *n)
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
owner_stale(struct node *n)
{
	int64_t soon = clock_boot_ms() + SHARDS_STALE_MS;

	if (n->owner->shards_ms > soon)
		n->owner->shards_ms = soon;
}
