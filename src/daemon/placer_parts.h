/**
 * @file What the files of the placer share: placer.c starts and stops,
 * placer_report.c tells the homes what ended.
 */
#ifndef PLACER_PARTS_H
#define PLACER_PARTS_H

#include "../coordination/tombstone.h"
#include "placer.h"

/** Longest time for a home to confirm an end. */
#define CONFIRM_TIMEOUT_MS 3000

struct placer {
	struct node *node;
	struct event *tick;
	struct tombstones tombs;
};

void placer_set_state(struct reservation *r, enum reservation_state st);
/** Tells the home that a member ended; repeated until it confirms. */
void placer_report(struct placer *p, struct reservation *r);

#endif
