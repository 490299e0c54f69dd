/** @file Settings of one daemon: read once, checked, passed down. */
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
	char addr[ADDR_LEN]; /**< where all three listeners are bound */
	int64_t caller_port;
	int64_t operator_port;
	int64_t peer_port;
	struct endpoint table;
	struct endpoint objects;
	struct endpoint hostlist;
	struct endpoint seeds[SEEDS_MAX];
	int nseeds;
	char key[KEY_LEN]; /**< shared by daemons and operators */
	char log_level[16];
	int64_t shards;
	int64_t lease_hold_ms;
	int64_t lease_take_ms;
	int64_t lease_renew_ms;
	int64_t start_guard_ms; /**< no start this close to the lease's end */
	int64_t worker_lease_ms;
	int64_t worker_watch_ms;
	int64_t hostlist_ms;
	int64_t commit_ms; /**< a shard's mean time between commits when busy */
	int64_t body_max;
	int64_t runner_slots;
	int64_t snapshot_batches;
};

/** Findings on a shared key that is too short and on an unknown level. */
void settings_check_common(
    struct yaml_doc *d, const char *key, const char *log_level);
void settings_parse(
    struct settings *s, const char *text, size_t len, struct findings *fs);
struct lease_terms settings_terms(const struct settings *s);

#endif
