/** @file Lists for operators, gathered from all hosts. */
#ifndef GATHER_H
#define GATHER_H

#include <jansson.h>

#include "node.h"

/**
 * Takes over the reference to the result, whose "missing" names the hosts that
 * did not answer.
 */
typedef void (*gather_fn)(json_t *result, void *arg);

/** Lists requests; empty filters match all. */
void gather_tasks(struct node *n, const char *class_name, const char *state,
    gather_fn fn, void *arg);
/** Sums the costs by day, class and team; days are counted since 1970. */
void gather_costs(
    struct node *n, int64_t from_day, int64_t to_day, gather_fn fn, void *arg);

#endif
