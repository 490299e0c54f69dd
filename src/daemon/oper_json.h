/** @file State of one daemon as JSON, for operators. */
#ifndef OPER_JSON_H
#define OPER_JSON_H

#include <jansson.h>

#include "node.h"

json_t *oper_json_status(struct node *n);
json_t *oper_json_hosts(struct node *n);
/** Statistics of each class as counted on this host. */
json_t *oper_json_classes(struct node *n);
/** The workers in the shards that this host owns. */
json_t *oper_json_workers(struct node *n);
/** The runners whose slots this host owns. */
json_t *oper_json_runners(struct node *n);

#endif
