/** @file Settings of one daemon, read from its file at start and checked. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/finding.h"
#include "../coordination/lease.h"
#include "yaml_doc.h"

#define ADDR_LEN 48
#define KEY_LEN 128
#define SEEDS_MAX 64

struct endpoint {
	char addr[ADDR_LEN];
	int64_t port;
};

struct settings {
	char host[64];
	char zone[64];
	char addr[ADDR_LEN]; /**< that all three listeners bind to */
	int64_t caller_port;
	int64_t operator_port;
	int64_t peer_port;
	struct endpoint table;		  /**< the platform's table service */
	struct endpoint objects;	  /**< the platform's object store */
	struct endpoint hostlist;	  /**< the platform's list of hosts */
	struct endpoint seeds[SEEDS_MAX]; /**< peers to connect to at start */
	int nseeds;
	char key[KEY_LEN]; /**< shared by daemons and operators */
	char log_level[16];
	int64_t shards;
	int64_t lease_hold_ms;	/**< duration of this host's lease */
	int64_t lease_take_ms;	/**< another host's lease, if not renewed for
				   this long, may be taken over */
	int64_t lease_renew_ms; /**< interval of renewals */
	int64_t start_guard_ms; /**< least remaining lease for a start */
	int64_t worker_lease_ms;
	int64_t worker_watch_ms; /**< long poll of a worker's task list */
	int64_t hostlist_ms;	 /**< poll interval of the host list */
	int64_t commit_ms;	 /**< mean interval of a busy shard's commits */
	int64_t body_max;	 /**< largest request body, in bytes */
	int64_t runner_slots;	 /**< concurrent requests on a runner */
	int64_t snapshot_batches; /**< journal batches between snapshots */
};

/** Adds findings on a shared key too short and on an unknown log level. */
void settings_check_common(
    struct yaml_doc *d, const char *key, const char *log_level);
/** Parses and checks @p text; on findings the result must not be used. */
void settings_parse(
    struct settings *s, const char *text, size_t len, struct findings *fs);
struct lease_terms settings_lease_terms(const struct settings *s);

#endif
