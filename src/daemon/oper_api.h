/**
 * @file HTTP interface for operators, over evhttp.
 *
 * A client first reads a nonce from /v1/challenge. Every other request, except
 * /healthz, must carry an HMAC with the shared key over such a nonce, the
 * method, the path and the body.
 */
#ifndef OPER_API_H
#define OPER_API_H

#include "node.h"

struct oper;

/** @return NULL when the port cannot be bound */
struct oper *oper_new(struct node *n);
void oper_delete(struct oper *o);

#endif
