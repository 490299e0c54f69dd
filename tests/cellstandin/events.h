/**
 * @file Record of what happens at the runners, one JSON object a line, for a
 * checker that reads it after the test.
 */
#ifndef CELL_EVENTS_H
#define CELL_EVENTS_H

#include <jansson.h>
#include <stdbool.h>

/** Appends events to this file from now on. @return whether it was opened. */
bool events_open(const char *path);
bool events_on(void);
/** Writes the event with its time: "t" by the boot clock, "wall" since 1970,
 * both in ms. Takes ownership of @p e. */
void events_write(json_t *e);

#endif
