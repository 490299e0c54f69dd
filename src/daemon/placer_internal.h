/**
 * @file Internal state of the placer: placer.c starts and stops members,
 * placer_report.c reports their ends to the homes.
 */
#ifndef PLACER_INTERNAL_H
#define PLACER_INTERNAL_H

#include "../coordination/tombstone.h"
#include "placer.h"

/**
 * Timeout of a report to a home. A report that failed is repeated after a
 * quarter of this time.
 */
#define CONFIRM_TIMEOUT_MS 3000

struct placer {
	struct node *node;
	struct event *tick;
	struct tombstones tombstones; /**< refuse starts that arrive late */
};

/** Sets the state with the current time, and clears the expiry. */
void placer_set_state(struct reservation *r, enum reservation_state st);
/** Reports to the home that a member ended; repeated until it confirms. */
void placer_report_end(struct placer *p, struct reservation *r);

#endif
