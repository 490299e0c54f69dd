/** @file The callers' HTTP interface. */
#ifndef CALLER_API_H
#define CALLER_API_H

#include "../transport/front.h"

/** Handles one request; given to front_new with the node. */
void caller_api(struct front_request *r, void *node);

#endif
