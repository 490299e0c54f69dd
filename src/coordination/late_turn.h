/**
 * @file A bounded share for work that is past its objective.
 *
 * Such work ranks behind all other, so a crowd that never ends would keep it
 * waiting for good. A part of the cell's processors is put aside for it; when
 * enough has come together, one step is served before all others.
 */
#ifndef LATE_TURN_H
#define LATE_TURN_H

#include <stdbool.h>
#include <stdint.h>

struct late_turn {
	double credit; /**< core-ms put aside; negative: spent ahead */
	int64_t at_ms; /**< credit was counted up to then */
};

/** Whether a step may be served, where the cell has so many cores. */
bool late_turn_due(struct late_turn *t, double cores, int64_t now);
/** A step that takes this many core-ms is served. */
void late_turn_take(struct late_turn *t, double core_ms);

#endif
