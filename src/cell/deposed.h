/** @file The end of a leadership that another host has taken over. */
#ifndef DEPOSED_H
#define DEPOSED_H

#include "cell.h"

/**
 * Logs and counts what showed the newer leader, and reports it by the port.
 * @p fmt gives further pairs for the line, such as "runner=%s".
 */
void cell_deposed(struct cell *c, enum deposed_by by, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
const char *deposed_by_name(enum deposed_by by);

#endif
