/**
 * @file Recovery: a new leader reads jobs, their progress and the runners from
 * the store.
 */
#ifndef CELL_LOAD_H
#define CELL_LOAD_H

#include "../state/store_page.h"
#include "store_part.h"
#include "cell_internal.h"

/** Read of one part. */
struct part_load {
	struct load *load;
	int part;
	struct store_page page;
	uint64_t guard; /**< version of the guard row as read; 0: no row */
	bool owned;	/**< the guard row as read is this leader's */
	int64_t guard_timeout_ms; /**< timeout of the next write of the guard
				   * row */
	bool failed;		  /**< the last call failed */
	bool done; /**< all rows are read, and the guard is this leader's */
};

/** Read of all parts. When the leadership ends, it is kept until its calls are
 * answered. */
struct load {
	struct cell *cell; /**< NULL: the load was canceled */
	struct part_load parts[CELL_PARTS];
	int ncalls;		  /**< calls under way */
	Cc__RunnersRow **runners; /**< rows of runners as read */
	int nrunners;		  /**< number of these rows */
};

/** Decodes a row of a job, of progress or of runners; skips other rows. */
void load_row(struct part_load *p, const struct row *row);
/** Discards the jobs of a part before it is read again. */
void load_discard_jobs(struct part_load *p);
/** Adds the runners and jobs to the cell once all rows are read, and binds the
 * runs on closed runners to their tasks. */
void load_apply(struct load *l);
void load_free(struct load *l);

#endif
