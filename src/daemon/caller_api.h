/** @file HTTP interface for callers: submits, reads and cancels requests. */
#ifndef CALLER_API_H
#define CALLER_API_H

#include "../transport/http_server.h"

/**
 * Handles one HTTP request; the front_fn that is passed to front_new.
 * @param node the struct node
 */
void caller_api_handle(struct front_request *r, void *node);

#endif
