#include "node.h"

#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "../transport/http_server.h"
#include "caller_api.h"
#include "conf_sync.h"
#include "home.h"
#include "hostlist.h"
#include "oper_api.h"
#include "owner.h"
#include "peers.h"
#include "placer.h"
#include "request_cost.h"
#include "router.h"

/** The table counts as down when its last answer is older than this. */
#define TABLE_DOWN_MS 4000
#define LEAVE_TICK_MS 100
/** A graceful shutdown ends after this time even with open requests. */
#define LEAVE_MAX_MS 60000
/** Time for peers and the load balancer to learn of the shutdown. */
#define LEAVE_MIN_MS 1500

struct shard *
node_home(struct node *n, const char *id)
{
	return &n->shards[XXH64(id, strlen(id), 0) % (uint64_t)n->nshards];
}

struct peer_host *
node_host(struct node *n, const char *name)
{
	int i;

	for (i = 0; i < n->nhosts; i++)
		if (strcmp(n->hosts[i].name, name) == 0)
			return &n->hosts[i];
	return NULL;
}

/* Returns a free slot, or that of a host that expired or left the table. */
static struct peer_host *
host_slot(struct node *n)
{
	int i;

	if (n->nhosts < PLAN_HOSTS_MAX)
		return &n->hosts[n->nhosts++];
	for (i = 0; i < n->nhosts; i++)
		if (!n->hosts[i].present || n->hosts[i].expired)
			return &n->hosts[i];
	return NULL;
}

struct peer_host *
node_host_get(struct node *n, const char *name)
{
	struct peer_host *h = node_host(n, name);

	if (h != NULL || *name == '\0')
		return h;
	h = host_slot(n);
	if (h == NULL)
		return NULL;
	memset(h, 0, sizeof(*h));
	str_copy(h->name, name, sizeof(h->name));
	h->live_since_ms = clock_boot_ms();
	return h;
}

bool
node_table_up(const struct node *n)
{
	return clock_boot_ms() - n->table_ok_ms < TABLE_DOWN_MS;
}

bool
node_may_start(const struct node *n)
{
	return lease_valid(
	    &n->lease, clock_boot_ms(), n->settings->start_guard_ms);
}

static void
shards_init(struct node *n)
{
	int i;

	n->nshards = (int)n->settings->shards;
	n->shards = xcalloc((size_t)n->nshards, sizeof(*n->shards));
	n->shard_capacities =
	    xcalloc((size_t)n->nshards, sizeof(*n->shard_capacities));
	for (i = 0; i < n->nshards; i++) {
		n->shards[i].node = n;
		n->shards[i].index = i;
		n->shards[i].unowned_since_ms = n->started_ms;
		journal_init(&n->shards[i].journal, &n->shards[i]);
		ledger_init(&n->shards[i].ledger);
	}
}

static void
add_seeds(struct node *n)
{
	int i;

	for (i = 0; i < n->settings->nseeds; i++)
		if (n->settings->seeds[i].port != n->settings->peer_port ||
		    strcmp(n->settings->seeds[i].addr, n->settings->addr) != 0)
			peer_net_add(n->peers, "", n->settings->seeds[i].addr,
			    (uint16_t)n->settings->seeds[i].port);
}

static bool
listen_all(struct node *n)
{
	n->peers =
	    peer_net_new(n->base, n->settings, n->incarnation, peers_serve, n);
	if (n->peers == NULL)
		return false;
	n->server = http_server_new(n->base, n->settings, caller_api_handle, n);
	if (n->server == NULL)
		return false;
	n->oper = oper_new(n);
	return n->oper != NULL;
}

struct node *
node_new(struct event_base *base, const struct settings *s)
{
	struct node *n = xcalloc(1, sizeof(*n));
	uint64_t rnd;

	n->base = base;
	n->settings = s;
	n->terms = settings_lease_terms(s);
	n->started_ms = clock_boot_ms();
	evutil_secure_rng_get_bytes(&rnd, sizeof(rnd));
	snprintf(n->incarnation, sizeof(n->incarnation), "%016" PRIx64, rnd);
	worker_pool_init(&n->pool);
	shards_init(n);
	if (!listen_all(n)) {
		fprintf(stderr,
		    "celerycartd: cannot listen on %s, ports "
		    "%" PRId64 ", %" PRId64 ", %" PRId64 ": in use, or not an "
		    "address of this host\n",
		    s->addr, s->caller_port, s->operator_port, s->peer_port);
		return NULL;
	}
	n->http = http_pool_new(base, s->addr);
	n->table = table_new(n->http, &s->table);
	n->router = router_new(n);
	n->placer = placer_new(n);
	n->home = home_new(n);
	n->hostlist = hostlist_new(n);
	n->owner = owner_new(n);
	n->conf_sync = conf_sync_new(n);
	n->beats = beats_new(n);
	n->request_cost = request_cost_new(n);
	add_seeds(n);
	return n;
}

void
node_delete(struct node *n)
{
	int i;

	beats_delete(n->beats);
	conf_sync_delete(n->conf_sync);
	owner_delete(n->owner);
	hostlist_delete(n->hostlist);
	for (i = 0; i < n->nshards; i++)
		journal_done(&n->shards[i].journal);
	for (i = 0; i < n->nshards; i++)
		home_shard_lost(n->home, &n->shards[i]);
	request_cost_delete(n->request_cost);
	placer_delete(n->placer);
	worker_pool_done(&n->pool);
	for (i = 0; i < n->nshards; i++)
		ledger_done(&n->shards[i].ledger);
	home_delete(n->home);
	router_delete(n->router);
	oper_delete(n->oper);
	http_server_delete(n->server);
	peer_net_delete(n->peers);
	http_pool_delete(n->http);
	table_delete(n->table);
	classes_done(&n->conf.classes);
	stats_done(&n->stats);
	free(n->conf.text);
	if (n->leave_timer != NULL)
		event_free(n->leave_timer);
	free(n->shards);
	free(n->shard_capacities);
	free(n);
}

/*
 * Stops the event loop once the open requests are answered, their answers are
 * sent, and the shards are released; without a successor for the shards, it
 * waits for requests only.
 */
static void
on_leave_tick(evutil_socket_t fd, short what, void *arg)
{
	struct node *n = arg;
	int64_t since = clock_boot_ms() - n->leave_ms;
	int open = http_server_busy_connections(n->server) +
	    router_open_requests(n->router);

	(void)fd;
	(void)what;
	if (since < LEAVE_MIN_MS)
		return;
	http_server_drain(n->server);
	if (since < LEAVE_MAX_MS &&
	    (open > 0 || (owner_shard_count(n) > 0 && owner_has_successor(n))))
		return;
	kvlog(KVLOG_INFO, "left", "open=%d shards=%d after_ms=%" PRId64, open,
	    owner_shard_count(n), since);
	event_base_loopbreak(n->base);
}

void
node_leave(struct node *n)
{
	struct timeval tv = {0, LEAVE_TICK_MS * 1000};

	if (n->leaving)
		return;
	n->leaving = true;
	n->leave_ms = clock_boot_ms();
	kvlog(KVLOG_INFO, "leaving", "open=%d",
	    http_server_open_requests(n->server));
	request_cost_flush(n->request_cost);
	beats_send(n, false);
	n->leave_timer = event_new(n->base, -1, EV_PERSIST, on_leave_tick, n);
	event_add(n->leave_timer, &tv);
}
