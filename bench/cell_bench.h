/** @file Cost of a leader's decisions by the number of runners. */
#ifndef CELL_BENCH_H
#define CELL_BENCH_H

/** Prints processor time a start with @p n runners. */
void cell_bench(int n);

#endif
