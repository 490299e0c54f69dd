/**
 * @file The operators' HTTP interface, over evhttp.
 *
 * Every request but those for the health answers a challenge with an HMAC of
 * the shared key over the nonce, the method, the path and the body.
 */
#ifndef OPER_API_H
#define OPER_API_H

#include "node.h"

struct oper;

/** NULL when the port cannot be bound. */
struct oper *oper_new(struct node *n);
void oper_delete(struct oper *o);

#endif
