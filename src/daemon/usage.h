/**
 * @file Processors held by each class and team, over all hosts.
 *
 * Each host counts the started requests of its own shards and tells the others
 * in its beats; so a request counts once, at its home.
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

struct usage {
	struct usage_row *rows;
};

void usage_done(struct usage *u);
/** Counts the requests of this host's shards anew. */
void usage_recount(struct usage *u, struct node *n);
/** Counts a request that was placed since. */
void usage_add(struct usage *u, const struct entry *e);
uint32_t usage_total(
    struct usage *u, struct node *n, const char *kind, const char *name);
void usage_fill(const struct usage *u, Cc__Beat *b);
void usage_free(Cc__Beat *b);

#endif
