/** @file One daemon: its parts, and the shards that it may own. */
#ifndef NODE_H
#define NODE_H

#include <event2/event.h>
#include <stdbool.h>

#include "../coordination/lease.h"
#include "../coordination/ready.h"
#include "../coordination/shard_plan.h"
#include "../protocol/table.h"
#include "../state/classes.h"
#include "../state/ledger.h"
#include "../state/settings.h"
#include "../state/worker.h"
#include "../transport/http_call.h"
#include "../transport/peer_net.h"
#include "journal.h"
#include "stats.h"

enum shard_state {
	SHARD_OTHER,
	SHARD_CLAIMING,
	SHARD_LOADING,
	SHARD_OWNED,
	SHARD_RELEASING,
};

struct shard {
	struct node *node;
	int index;
	enum shard_state state;
	/* as last read from the table */
	char owner[HOST_NAME_LEN];
	uint64_t owner_epoch;
	uint64_t epoch;
	uint64_t snap_seq;
	bool exists;
	int64_t free_since_ms;
	/* while owned */
	uint64_t own_epoch; /**< the epoch under which this host owns it */
	char previous[HOST_NAME_LEN]; /**< owner before this host */
	uint64_t previous_epoch;
	struct journal journal;
	struct ledger ledger;
	bool writing;  /**< a transaction on its row is under way */
	bool loading;  /**< its ledger is being read */
	uint64_t load; /**< number of the load, so that a late answer shows */
};

#define USAGE_ROWS_MAX 384

/** Another host as the table and its beats tell. */
struct peer_host {
	char name[HOST_NAME_LEN];
	char zone[64];
	char addr[ADDR_LEN];
	uint64_t addr_epoch; /**< epoch under which the address was read */
	uint16_t peer_port;
	uint16_t operator_port;
	uint64_t epoch;
	bool expired;
	bool leaving;
	bool present; /**< in the newest read */
	int64_t known_since_ms;
	struct lease_watch watch;
	/* from its beats */
	int64_t beat_ms;
	uint64_t conf_version;
	uint32_t runner_free;
	uint32_t runner_queue;
	bool beat_leaving;
	int64_t conf_took_ms; /**< from its apply until in force there */
	int nshards;
	int64_t usage_ms;
	int nusage;
	struct {
		char key[80];
		uint32_t cpus;
	} usage[USAGE_ROWS_MAX];
};

/** What the owner of a shard last said of its room. */
struct shard_load {
	uint64_t epoch;
	struct size free;
	uint32_t largest_cpus;
	int64_t at_ms;
};

struct conf {
	uint64_t version;
	char *text;
	struct classes classes;
	bool known; /**< the version, also 0, was learned from somewhere */
	int64_t in_force_wall_ms;
	int64_t applied_wall_ms; /**< when the operator applied it */
	char who[64];
};

struct placer;
struct router;
struct hostlist;
struct owner;
struct home;
struct conf_sync;
struct front;
struct oper;
struct beats;
struct request_cost;

struct node {
	struct event_base *base;
	const struct settings *settings;
	struct lease_terms terms;
	char incarnation[32];
	struct http_pool *http;
	struct table *table;
	struct peer_net *peers;
	struct lease lease;
	struct conf conf;
	struct stats stats;
	struct shard *shards;
	int nshards;
	struct shard_load *loads;
	struct peer_host hosts[PLAN_HOSTS_MAX];
	int nhosts;
	struct worker_pool pool;
	struct owner *owner;
	struct home *home;
	struct placer *placer;
	struct router *router;
	struct hostlist *hostlist;
	struct conf_sync *conf_sync;
	struct front *front;
	struct oper *oper;
	struct beats *beats;
	struct request_cost *request_cost;
	int64_t started_ms;
	int64_t table_ok_ms; /**< the table last answered */
	bool leaving;
	int64_t leave_ms;
	struct event *leave_timer;
};

/** NULL with a message on standard error when a port cannot be bound. */
struct node *node_new(struct event_base *base, const struct settings *s);
void node_delete(struct node *n);
/** Begins a graceful shutdown; the event loop ends when all is settled. */
void node_leave(struct node *n);

/** The shard that keeps the request of this id. */
struct shard *node_home(struct node *n, const char *id);
struct peer_host *node_host(struct node *n, const char *name);
/** Finds a host or makes one; NULL when there are too many. */
struct peer_host *node_host_get(struct node *n, const char *name);
/** Whether the table answered within the last few seconds. */
bool node_table_up(const struct node *n);
/** Whether this host may start work now. */
bool node_may_start(const struct node *n);

#endif
