/**
 * @file Costs of repeatable requests, which have no journal record each.
 *
 * The receiving host counts them by class and team and writes the sums into
 * the journal of one of its shards every 5 seconds. When the host is killed,
 * the counts since the last write are lost.
 */
#ifndef REQUEST_COST_H
#define REQUEST_COST_H

#include "node.h"

struct request_cost;

struct request_cost *request_cost_new(struct node *n);
void request_cost_delete(struct request_cost *c);
/** Counts a repeatable request that a runner answered. */
void request_cost_add(
    struct request_cost *c, const char *class_name, const char *team);
/** Writes the counts now; also called when a graceful shutdown begins. */
void request_cost_flush(struct request_cost *c);

#endif
