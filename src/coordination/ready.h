/**
 * @file Queue of items that wait for a start, ordered by slack.
 *
 * The slack is the time left until the start target of the item's class. A pass
 * offers the items in this order to a callback. The callback skips items whose
 * class already has its share of the cluster, and items that do not fit now,
 * so that later items may start before them.
 */
#ifndef READY_H
#define READY_H

#include <bsd/sys/tree.h>
#include <stdbool.h>
#include <stdint.h>

struct ready_item {
	RB_ENTRY(ready_item) node;
	RB_ENTRY(ready_item) give_up_node;
	int64_t due_ms;	    /**< accepted + the class's start target */
	int64_t give_up_ms; /**< accepted + the class's longest wait */
	uint64_t seq;
	bool queued;
	void *owner;
};

RB_HEAD(ready_tree, ready_item);
RB_HEAD(give_up_tree, ready_item);

struct ready {
	struct ready_tree tree;	     /**< by due_ms */
	struct give_up_tree give_up; /**< by give_up_ms */
	uint64_t next_seq;
	int count;
};

/** What the callback decides about an item. */
enum ready_verdict {
	READY_TAKEN, /**< started; leaves the queue */
	READY_KEEP,  /**< stays in the queue; the pass continues */
	READY_STOP,  /**< stays in the queue; the pass ends */
};

typedef enum ready_verdict (*ready_fn)(struct ready_item *it, void *arg);

void ready_init(struct ready *q);
void ready_add(struct ready *q, struct ready_item *it);
void ready_remove(struct ready *q, struct ready_item *it);
/** Offers up to @p max items to @p fn, those with the least slack first. */
void ready_pass(struct ready *q, int max, ready_fn fn, void *arg);
/** An item whose longest wait is over by @p now, or NULL. */
struct ready_item *ready_overdue(struct ready *q, int64_t now);

#endif
