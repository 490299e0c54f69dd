#include "ready.h"

#include <stddef.h>

static int
item_cmp(const struct ready_item *a, const struct ready_item *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

static int
give_up_cmp(const struct ready_item *a, const struct ready_item *b)
{
	if (a->give_up_ms != b->give_up_ms)
		return a->give_up_ms < b->give_up_ms ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

RB_PROTOTYPE(ready_tree, ready_item, node, item_cmp)
RB_GENERATE(ready_tree, ready_item, node, item_cmp)
RB_PROTOTYPE(give_up_tree, ready_item, give_up_node, give_up_cmp)
RB_GENERATE(give_up_tree, ready_item, give_up_node, give_up_cmp)

void
ready_init(struct ready *q)
{
	RB_INIT(&q->tree);
	RB_INIT(&q->give_up);
	q->next_seq = 0;
	q->count = 0;
}

void
ready_add(struct ready *q, struct ready_item *it)
{
	if (it->queued)
		return;
	it->seq = q->next_seq++;
	it->queued = true;
	RB_INSERT(ready_tree, &q->tree, it);
	RB_INSERT(give_up_tree, &q->give_up, it);
	q->count++;
}

void
ready_remove(struct ready *q, struct ready_item *it)
{
	if (!it->queued)
		return;
	RB_REMOVE(ready_tree, &q->tree, it);
	RB_REMOVE(give_up_tree, &q->give_up, it);
	it->queued = false;
	q->count--;
}

void
ready_pass(struct ready *q, int max, ready_fn fn, void *arg)
{
	struct ready_item *it, *next;
	enum ready_verdict v;

	for (it = RB_MIN(ready_tree, &q->tree); it != NULL && max > 0;
	     it = next, max--) {
		next = RB_NEXT(ready_tree, &q->tree, it);
		v = fn(it, arg);
		if (v == READY_TAKEN)
			ready_remove(q, it);
		else if (v == READY_STOP)
			return;
	}
}

struct ready_item *
ready_overdue(struct ready *q, int64_t now)
{
	struct ready_item *it = RB_MIN(give_up_tree, &q->give_up);

	return it != NULL && it->give_up_ms <= now ? it : NULL;
}
