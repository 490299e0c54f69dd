/** @file The end of a task's run as the leader saw it, and by what. */
#ifndef TASK_END_H
#define TASK_END_H

#include <stdint.h>

#include "../ports/ports.h"

/** By what a leader counts a run as ended. */
enum end_cause {
	CAUSE_LISTED,	     /**< the runner lists the end */
	CAUSE_STOP_ACCEPTED, /**< lists lack the run after an accepted stop */
	CAUSE_MISSED_LISTS,  /**< lists lack the run, which was known to run */
	CAUSE_RESTARTED,     /**< as before, after the runner was restarted */
	CAUSE_OTHER_INCARNATION, /**< another one answers at the address */
	CAUSE_NOT_SENT,		 /**< the start was never sent */
	CAUSE_LATE,		 /**< the start was refused as too late */
	CAUSE_REFUSED,	     /**< the start was refused for another reason */
	CAUSE_SUPERSEDED,    /**< a runner lists a later run of the task */
	CAUSE_LEASE_CLOCK,   /**< the lease is over by the runner's clock */
	CAUSE_LONGEST_LEASE, /**< the longest lease is over since the last order
			      */
	CAUSE_INHERITED_OVER, /**< all leases of earlier leaders are over */
	CAUSE_COUNT
};

/** The last end of a task's run that this leader saw. */
struct task_end {
	uint32_t run; /**< number of the run; 0: none has ended */
	enum run_end how;
	enum end_cause cause;
	int64_t at_ms;
};

const char *run_end_name(enum run_end how);
const char *end_cause_name(enum end_cause cause);

#endif
