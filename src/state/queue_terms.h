/**
 * @file The terms of a queue that are stored with each job, so that any later
 * leader can finish the job when the configuration has dropped its queue.
 */
#ifndef QUEUE_TERMS_H
#define QUEUE_TERMS_H

#include "../protocol/peer.pb-c.h"
#include "config.h"

/** @return the terms, to be freed with the row that they are put in */
Cc__QueueTerms *queue_terms_pack(const struct queue *q);
/** Adds a queue of these terms, which no request is routed to. */
void queue_terms_add(
    struct config *c, const char *name, const Cc__QueueTerms *terms);

#endif
