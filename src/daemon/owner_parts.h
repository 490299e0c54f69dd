/**
 * @file What the files of the owner share: owner_hosts.c keeps this host's
 * lease and reads the other hosts' rows, owner.c takes and gives up shards.
 */
#ifndef OWNER_PARTS_H
#define OWNER_PARTS_H

#include "node.h"
#include "owner.h"

#define WRITE_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 2000

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

/** Registers with a new epoch, or renews under the one that is held. */
void owner_renew(struct owner *o, int64_t now);
void owner_read_hosts(struct owner *o);
/** Ends the lease of a host whose counter stood still. */
void owner_expire(struct owner *o, struct peer_host *h);

#endif
