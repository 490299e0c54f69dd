/**
 * @file How long a leader may act without a renewal of its leadership.
 *
 * A leader that the store doesn't serve isn't told of the next one's claim, and
 * two leaders then act at the same time: each on the runners that it reaches.
 */
#ifndef LEAD_LEASE_H
#define LEAD_LEASE_H

#include "cell.h"

/** Logs once a second that the leadership isn't renewed, with what this leader
 * still does. */
void lead_lease_log(struct cell *c);

#endif
