/** @file What callers and operators see of a request. */
#ifndef VIEW_H
#define VIEW_H

#include <jansson.h>

#include "../state/ledger.h"
#include "../state/ledger_pack.h"

/** A message that points into the entry. */
struct view {
	Cc__TaskView msg;
	Cc__Size size;
	Cc__MemberView *members;
	Cc__MemberView **refs;
};

void view_init(struct view *v, const struct entry *e);
void view_done(struct view *v);
/** As JSON, without the answer's bytes. */
json_t *view_json(const Cc__TaskView *t);

#endif
