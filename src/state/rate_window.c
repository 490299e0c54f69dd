#include "rate_window.h"

#include <string.h>

#define COUNTS (RATE_WINDOW_SLOTS + 1)

/* Drops the slots that the window has left. */
static void
move_on(struct rate_window *w, int64_t window_ms, int64_t now)
{
	int64_t slot = now * RATE_WINDOW_SLOTS / window_ms;
	int i;

	if (slot - w->slot >= COUNTS || slot < w->slot) {
		memset(w, 0, sizeof(*w));
		w->slot = slot;
	}
	for (; w->slot < slot; w->slot++) {
		i = (int)((w->slot + 1) % COUNTS);
		w->total -= w->counts[i];
		w->counts[i] = 0;
	}
}

void
rate_window_add(struct rate_window *w, int64_t window_ms, int64_t now)
{
	move_on(w, window_ms, now);
	w->counts[w->slot % COUNTS]++;
	w->total++;
}

uint32_t
rate_window_count(struct rate_window *w, int64_t window_ms, int64_t now)
{
	move_on(w, window_ms, now);
	return w->total;
}
