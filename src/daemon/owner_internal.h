/**
 * @file Internal state of the owner module: owner_hosts.c renews this host's
 * lease and reads the other hosts' rows, owner.c claims and releases shards.
 */
#ifndef OWNER_INTERNAL_H
#define OWNER_INTERNAL_H

#include "node.h"
#include "owner.h"

#define WRITE_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 2000

struct owner {
	struct node *node;
	struct event *tick;
	uint64_t row_epoch; /**< lease epoch in this host's row */
	bool row_seen; /**< this host's row was read; a new lease needs it */
	bool renewing;
	bool reading_hosts;
	bool reading_shards;
	bool reading_addresses;
	/** The address of a host with a new lease epoch is not known yet. */
	bool address_missing;
	bool reassigning; /**< some shard changes its owner or has none */
	bool hosts_known;
	bool shards_known;
	bool expiring;	     /**< a write that expires a host is under way */
	bool leave_recorded; /**< the row marks this host as leaving */
	/* boot clock, ms */
	int64_t next_renewal_ms;
	int64_t next_hosts_read_ms;
	int64_t next_shards_read_ms;
	uint64_t beat;		/**< heartbeat counter in the row */
	uint64_t renewal_epoch; /**< lease epoch of the renewal under way */
};

/**
 * Renews the lease when that is due, or registers with a new epoch if no lease
 * is held.
 */
void owner_renew(struct owner *o, int64_t now);
void owner_read_hosts(struct owner *o);
/** Marks a host as expired whose heartbeat counter stopped changing. */
void owner_expire(struct owner *o, struct peer_host *h);

#endif
