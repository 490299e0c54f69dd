/** @file HTTP interface for callers: submits, reads and cancels requests. */
#ifndef CALLER_API_H
#define CALLER_API_H

#include "../transport/http_server.h"

/**
 * Handles one HTTP request; the server_fn that is passed to http_server_new.
 * @param node the struct node
 */
void caller_api_handle(struct server_request *r, void *node);

#endif
