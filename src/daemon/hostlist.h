/**
 * @file The platform's list of workers, runners and entry hosts.
 *
 * The list lags behind reality. A list that cannot be read, or that is empty,
 * changes nothing; a host that is missing from it is gone only after it was
 * missing for some time.
 */
#ifndef HOSTLIST_H
#define HOSTLIST_H

#include "node.h"

enum host_role {
	HOST_WORKER,
	HOST_RUNNER,
	HOST_ENTRY
};

struct host_row {
	UT_hash_handle hh;
	char name[64];
	enum host_role role;
	char addr[48];
	uint16_t port;
	char rack[64];
	char zone[64];
	char service[64];
	struct size size;
	bool leaving;
	bool seen;
	int64_t missing_ms; /**< since when it is missing; 0: it is there */
	int shard;
};

struct hostlist;

struct hostlist *hostlist_new(struct node *n);
void hostlist_delete(struct hostlist *l);
bool hostlist_known(const struct hostlist *l);
/** All rows, linked by hh.next; also those of other roles. */
const struct host_row *hostlist_workers(const struct hostlist *l);
/** Whether the list once had the host and has it no more. */
bool hostlist_gone(const struct hostlist *l, const char *name);
/** Sum over all workers. */
struct size hostlist_total(const struct hostlist *l);
/** Whether any worker's total holds the size; true while unknown. */
bool hostlist_could_hold(const struct hostlist *l, const struct size *need);

#endif
