/** @file Describes a request to callers and operators, as message and JSON. */
#ifndef TASK_VIEW_H
#define TASK_VIEW_H

#include <jansson.h>

#include "../state/ledger.h"
#include "../state/ledger_pack.h"

/** A message whose texts point into the ledger entry. */
struct task_view {
	Cc__TaskView msg;
	Cc__Size size;
	Cc__MemberView *members;
	Cc__MemberView **refs;
};

/** Fills the view; an outcome that is not durable yet is left out. */
void task_view_init(struct task_view *v, const struct entry *e);
void task_view_done(struct task_view *v);
/** Converts to JSON, without the body of the runner's answer. */
json_t *task_view_json(const Cc__TaskView *t);

#endif
