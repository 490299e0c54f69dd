/**
 * @file Rows of runners: what the store records of each runner for a later
 * leader.
 *
 * The rows follow from the state in memory. Each tick compares every runner
 * with what its row says, and marks rows that differ as stale, whichever event
 * made the difference; the next commits write them.
 */
#ifndef CELL_RUNNER_ROWS_H
#define CELL_RUNNER_ROWS_H

#include "commit.h"

/** Marks the rows that differ from what was last sent to the store. */
void runner_rows_check(struct cell *c);
/** Stale rows that may be written now, as a bit mask. */
uint64_t runner_rows_writable(const struct cell *c);
/** Adds these rows to the commit; empty rows are removed. */
void runner_rows_add(struct cell *c, struct commit *k, uint64_t rows);
/** Applies a commit that wrote rows of runners. */
void runner_rows_committed(struct cell *c, uint64_t version);
/** Marks the rows of a commit that certainly wasn't done. */
void runner_rows_abandoned(struct cell *c, uint64_t rows);
/** Notes what the row of a runner said when it was loaded. */
void runner_row_loaded(struct runner *r, const Cc__RunnerRow *row);

#endif
