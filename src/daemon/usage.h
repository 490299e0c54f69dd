/**
 * @file Processors used by each class and team over all hosts.
 *
 * Each host counts the assigned and the running members of the requests in its
 * own shards and sends the sums with its heartbeats. A request counts only at
 * its home, hence once.
 */
#ifndef USAGE_H
#define USAGE_H

#include "../protocol/peer.pb-c.h"
#include "../state/ledger.h"

struct node;

struct usage_row {
	UT_hash_handle hh;
	char key[80]; /**< "class/NAME" or "team/NAME" */
	uint32_t cpus;
};

/** Usage by the requests whose home is this host. */
struct usage {
	struct usage_row *rows;
};

void usage_done(struct usage *u);
/** Recounts the requests of the shards that this host owns. */
void usage_recount(struct usage *u, struct node *n);
/** Adds a request that was placed after the last recount. */
void usage_add(struct usage *u, const struct entry *e);
/**
 * Processors used over all hosts, by their last reports.
 * @param kind "class" or "team"
 */
uint32_t usage_total(
    struct usage *u, struct node *n, const char *kind, const char *name);
/** Adds the rows to a heartbeat, which then points into @p u. */
void usage_fill_beat(const struct usage *u, Cc__Beat *b);
void usage_free_beat(Cc__Beat *b);

#endif
