#include "owner_internal.h"

#include <inttypes.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"

static void
put_host_row(
    struct table_tx *tx, const struct node *n, uint64_t epoch, uint64_t beat)
{
	table_tx_put(tx, "host", n->settings->host);
	table_tx_num(tx, "epoch", epoch);
	table_tx_num(tx, "beat", beat);
	table_tx_num(tx, "expired", 0);
	table_tx_num(tx, "leaving", n->leaving);
}

/* A separate row, as it seldom changes and the host's row is read often. */
static void
put_host_address(struct table_tx *tx, const struct settings *s)
{
	table_tx_put(tx, "hostaddr", s->host);
	table_tx_text(tx, "zone", s->zone);
	table_tx_text(tx, "addr", s->addr);
	table_tx_num(tx, "port", (uint64_t)s->peer_port);
	table_tx_num(tx, "operator_port", (uint64_t)s->operator_port);
}

/* The lease has certainly ended, so this host owns no shard any more. */
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
renewal_done(int err, void *arg)
{
	struct owner *o = arg;
	struct node *n = o->node;

	o->renewing = false;
	if (err == CC_OK) {
		n->table_ok_ms = clock_boot_ms();
		if (o->renewal_epoch < o->row_epoch)
			return; /* another host ended the lease meanwhile */
		if (!n->lease.held)
			kvlog(KVLOG_INFO, "lease_taken", "epoch=%" PRIu64,
			    o->renewal_epoch);
		o->row_epoch = o->renewal_epoch;
		lease_renewed(&n->lease, &n->terms, o->renewal_epoch, o->beat);
		o->leave_recorded = n->leaving;
		return;
	}
	/*
	 * Also happens after a registration whose answer was lost: the next
	 * one must read the row first.
	 */
	if (err == CC_ECONFLICT)
		drop_lease(o, "conflict");
	else
		kvlog(KVLOG_WARN, "renewal_failed", "err=%s", cc_strerror(err));
}

void
owner_renew(struct owner *o, int64_t now)
{
	struct node *n = o->node;
	struct table_tx *tx;

	if (o->renewing || now < o->next_renewal_ms ||
	    (!n->lease.held && !o->row_seen))
		return;
	o->next_renewal_ms = now + n->terms.renew_ms;
	o->renewing = true;
	tx = table_tx_new();
	o->renewal_epoch = n->lease.held ? n->lease.epoch : o->row_epoch + 1;
	put_host_row(tx, n, o->renewal_epoch, ++o->beat);
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
	table_write(n->table, tx, NULL, WRITE_TIMEOUT_MS, renewal_done, o);
	table_tx_delete(tx);
}

static void
apply_host_row(struct owner *o, const struct table_item *it, int64_t now)
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
		h->live_since_ms = now;
	if (strcmp(name, n->settings->host) != 0)
		return;
	o->row_seen = true;
	if (h->epoch > o->row_epoch)
		o->row_epoch = h->epoch;
	if (n->lease.held && h->epoch > n->lease.epoch)
		drop_lease(o, "row");
}

static void
apply_host_address(struct node *n, const struct table_item *it)
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
		apply_host_address(o->node, &items[i]);
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
		apply_host_row(o, &items[i], now);
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

static void
expire_done(int err, void *arg)
{
	struct owner *o = arg;

	(void)err;
	o->expiring = false;
	o->next_hosts_read_ms = o->next_shards_read_ms = 0;
}

void
owner_expire(struct owner *o, struct peer_host *h)
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
	table_write(o->node->table, tx, NULL, WRITE_TIMEOUT_MS, expire_done, o);
	table_tx_delete(tx);
}

void
owner_read_hosts(struct owner *o)
{
	o->reading_hosts = true;
	table_query(o->node->table, "host", "", READ_TIMEOUT_MS, hosts_read, o);
}
