/**
 * @file Costs of repeatable requests, which leave no record of their own.
 *
 * The receiving host counts them by class and team and writes the sums into
 * the journal of one of its shards every few seconds. A host that is killed
 * loses what it counted since.
 */
#ifndef REQUEST_COST_H
#define REQUEST_COST_H

#include "node.h"

struct request_cost;

struct request_cost *request_cost_new(struct node *n);
void request_cost_delete(struct request_cost *c);
/** A repeatable request was answered. */
void request_cost_add(
    struct request_cost *c, const char *class_name, const char *team);
/** Writes what was counted; before a leave. */
void request_cost_flush(struct request_cost *c);

#endif
