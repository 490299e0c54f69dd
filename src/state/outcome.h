/** @file Outcome of a request, as callers see it. */
#ifndef OUTCOME_H
#define OUTCOME_H

enum outcome {
	OUTCOME_NONE,	 /**< not settled yet */
	OUTCOME_DONE,	 /**< it ran; its answer or exit status is known */
	OUTCOME_NOT_RUN, /**< it certainly did not run and will not */
	OUTCOME_UNKNOWN, /**< it may have run */
};

/** "done", "not-run", "unknown" or "none". */
const char *outcome_name(enum outcome o);
/** The outcome with that name, or OUTCOME_NONE. */
enum outcome outcome_of(const char *name);

#endif
