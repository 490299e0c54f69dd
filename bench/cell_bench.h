/** @file Benchmark of a cell leader's decisions by the number of runners. */
#ifndef CELL_BENCH_H
#define CELL_BENCH_H

/**
 * Prints, for a cell of @p n runners, the processor time per start in us, and
 * the starts and the advice calls per second of virtual time.
 */
void cell_bench(int n);

#endif
