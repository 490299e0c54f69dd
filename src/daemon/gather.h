/** @file Reads that gather from all hosts. */
#ifndef GATHER_H
#define GATHER_H

#include <jansson.h>

#include "node.h"

/** Takes the result over; its "missing" names hosts that did not answer. */
typedef void (*gather_fn)(json_t *result, void *arg);

void gather_tasks(struct node *n, const char *class_name, const char *state,
    gather_fn fn, void *arg);
void gather_costs(
    struct node *n, int64_t from_day, int64_t to_day, gather_fn fn, void *arg);

#endif
