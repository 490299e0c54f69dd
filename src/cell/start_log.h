/** @file The log line of a start: under what authority it is sent, and why its
 * task had no run. */
#ifndef START_LOG_H
#define START_LOG_H

#include "cell.h"

/**
 * Logs and counts a start.
 * @param last_run number of the task's run before; 0: it had none.
 */
void start_log(struct cell *c, const struct run *run, uint32_t last_run);

#endif
