/** @file Benchmark of a cell leader's decisions by the number of runners. */
#ifndef CELL_BENCH_H
#define CELL_BENCH_H

/**
 * Prints, for a cell of @p n runners, the processor time per start in us, and
 * the starts and the advice calls per second of virtual time.
 */
void cell_bench(int n);
/**
 * Prints the processor time in us of a placement pass with 10,000 waiting tasks
 * that have a preferred rack, and of one without: while some wait for their
 * rack, when the forecast lets none wait, and after the end of all waits.
 */
void near_bench(void);
/**
 * Prints the same for 10,000 jobs that were submitted at once by this number of
 * client accounts, 0: without accounts; and the processor time per pass.
 */
void cell_bench_waiting(int naccounts);

#endif
