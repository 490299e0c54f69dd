/** @file A new leader's read of jobs, their progress and the runners. */
#ifndef CELL_LOAD_H
#define CELL_LOAD_H

#include "part.h"
#include "parts.h"

/** The read of one part. */
struct part_load {
	struct load *load;
	int part;
	char from[128]; /**< key that the next page begins with */
	uint64_t guard; /**< version of its guard as read; 0: there is none */
	bool owned;	/**< the guard as read is this leader's */
	int64_t
	    claim_timeout_ms; /**< time-out of the next write of the guard */
	bool failed;	      /**< the last call failed */
	bool done;	      /**< read whole, and this leader's */
};

/** Of all parts; it outlives the leadership until its calls are over. */
struct load {
	struct cell *cell; /**< NULL: no longer wanted */
	struct part_load parts[CELL_PARTS];
	int ncalls; /**< under way */
	Cc__RunnersRow **runners;
	int nrunners;
};

/** Takes a row of a job, its progress or of runners. */
void load_row(struct part_load *p, const struct row *row);
/** Forgets the jobs of a part, which is read anew. */
void load_discard_jobs(struct part_load *p);
/** All rows are read: binds runs to tasks, and hands the jobs to the cell. */
void load_apply(struct load *l);
void load_free(struct load *l);

#endif
