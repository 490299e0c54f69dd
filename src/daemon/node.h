/**
 * @file State of one daemon: its modules and configuration, the shards, and the
 * other hosts as known from the table and from heartbeats.
 */
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
	SHARD_OTHER,	 /**< not owned by this host */
	SHARD_CLAIMING,	 /**< the claim was sent to the table */
	SHARD_LOADING,	 /**< claimed; the ledger is being read */
	SHARD_OWNED,	 /**< serves requests */
	SHARD_RELEASING, /**< finishes its open calls, then is released */
};

struct shard {
	struct node *node;
	int index;
	enum shard_state state;
	/* the row, as last read from the table */
	char owner[HOST_NAME_LEN];
	uint64_t owner_epoch; /**< epoch of the owner's lease */
	uint64_t epoch; /**< shard epoch; rises with each change of owner */
	uint64_t snapshot_seq; /**< last batch in the snapshot; 0: none */
	bool row_exists;
	int64_t unowned_since_ms; /**< last time that the shard had an owner */
	/* valid while this host owns the shard */
	uint64_t held_epoch; /**< shard epoch under which this host owns it */
	char previous_owner[HOST_NAME_LEN]; /**< owner before this host */
	uint64_t previous_epoch; /**< epoch of the previous owner's lease */
	struct journal journal;
	struct ledger ledger;
	bool writing;	      /**< a transaction on the row is under way */
	bool loading;	      /**< the ledger is being read */
	uint64_t load_number; /**< answers to an earlier load are dropped */
};

/** Classes and teams in the usage report of one host. */
#define USAGE_ROWS_MAX 384

/** A host, as known from the table and from its heartbeats. */
struct peer_host {
	char name[HOST_NAME_LEN];
	char zone[64];
	char addr[ADDR_LEN];
	uint64_t addr_epoch; /**< lease epoch for which the address was read */
	uint16_t peer_port;
	uint16_t operator_port;
	uint64_t epoch; /**< epoch of the host's lease */
	bool expired;	/**< another host ended the lease */
	bool leaving;
	bool present; /**< found in the table by the newest read */
	int64_t live_since_ms;
	struct lease_watch watch;
	/* from its heartbeats */
	int64_t last_beat_ms; /**< when the last heartbeat arrived */
	uint64_t conf_version;
	uint32_t runner_free;
	uint32_t runner_queue;
	bool beat_leaving;
	int64_t conf_took_ms; /**< from the apply until in force on the host */
	int nshards;
	int64_t usage_ms; /**< when the last usage report arrived */
	int nusage;
	struct {
		char key[80];  /**< "class/NAME" or "team/NAME" */
		uint32_t cpus; /**< in use by requests whose home is the host */
	} usage[USAGE_ROWS_MAX];
};

/**
 * Free capacity on a shard's workers: the owner's last report, less what this
 * host has assigned to the shard since.
 */
struct shard_capacity {
	uint64_t epoch;	       /**< shard epoch */
	struct size free;      /**< maximum over the workers, per resource */
	uint32_t largest_cpus; /**< most free processors on one worker */
	int64_t reported_ms;   /**< when the report arrived */
};

/** The classes' configuration that is in force on this host. */
struct conf {
	uint64_t version;
	char *text;
	struct classes classes;
	bool known; /**< version is known; version 0: none was ever applied */
	int64_t in_force_wall_ms;
	int64_t applied_wall_ms; /**< when the operator applied it */
	char who[64];		 /**< operator who applied it */
};

struct placer;
struct router;
struct hostlist;
struct owner;
struct home;
struct conf_sync;
struct http_server;
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
	struct shard_capacity *shard_capacities; /**< by shard index */
	struct peer_host hosts[PLAN_HOSTS_MAX];
	int nhosts;
	struct worker_pool pool;
	struct owner *owner;
	struct home *home;
	struct placer *placer;
	struct router *router;
	struct hostlist *hostlist;
	struct conf_sync *conf_sync;
	struct http_server *server;
	struct oper *oper;
	struct beats *beats;
	struct request_cost *request_cost;
	int64_t started_ms;
	int64_t table_ok_ms; /**< when the table last answered */
	bool leaving;	     /**< a graceful shutdown is under way */
	int64_t leave_ms;    /**< when the shutdown began */
	struct event *leave_timer;
};

/**
 * @return NULL, with a message on standard error, when a port cannot be bound.
 */
struct node *node_new(struct event_base *base, const struct settings *s);
void node_delete(struct node *n);
/**
 * Begins a graceful shutdown. The event loop ends when all open requests are
 * answered and the shards are released, or after 60 seconds.
 */
void node_leave(struct node *n);

/** Returns the home shard of a request: the one that keeps it. */
struct shard *node_home(struct node *n, const char *id);
/** @return the host of this name, or NULL. */
struct peer_host *node_host(struct node *n, const char *name);
/**
 * Finds a host or adds it.
 * @return NULL when there are too many hosts, or the name is empty.
 */
struct peer_host *node_host_get(struct node *n, const char *name);
/** Whether the table answered within the last 4 seconds. */
bool node_table_up(const struct node *n);
/** Whether the lease outlasts the guard time, so that tasks may be started. */
bool node_may_start(const struct node *n);

#endif
