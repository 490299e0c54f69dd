/** @file What operators read of one daemon, as JSON. */
#ifndef OPER_JSON_H
#define OPER_JSON_H

#include <jansson.h>

#include "node.h"

json_t *oper_json_status(struct node *n);
json_t *oper_json_hosts(struct node *n);
json_t *oper_json_classes(struct node *n);
json_t *oper_json_workers(struct node *n);
json_t *oper_json_runners(struct node *n);

#endif
