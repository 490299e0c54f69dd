/**
 * @file Counts events in a sliding window, in bounded memory.
 *
 * The window is divided into slots, and moves on by whole slots. So it counts
 * events for at least the window's length and at most one slot longer.
 */
#ifndef RATE_WINDOW_H
#define RATE_WINDOW_H

#include <stdint.h>

#define RATE_WINDOW_SLOTS 20

struct rate_window {
	int64_t slot; /**< number of the newest slot, since the clock's start */
	uint32_t counts[RATE_WINDOW_SLOTS + 1];
	uint32_t total;
};

/** Counts one event at @p now. @param window_ms length, at least one ms a slot
 */
void rate_window_add(struct rate_window *w, int64_t window_ms, int64_t now);
/** Number of events in the window that ends at @p now. */
uint32_t rate_window_count(
    struct rate_window *w, int64_t window_ms, int64_t now);

#endif
