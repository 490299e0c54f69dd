/** @file Client accounts in the order of service, and at submission. */
#ifndef ACCOUNT_ORDER_H
#define ACCOUNT_ORDER_H

#include "../coordination/admission.h"
#include "cell.h"

/** Finds the accounts above their share, and the work that waits. Called each
 * tick; acts at intervals only, as it looks at all runners and steps. */
void account_order_update(struct cell *c);
/** Decides on a submission, and counts it for its account. */
struct admission account_order_admit(struct cell *c, const char *id,
    const Cc__JobRow *row, int64_t objective_ms);
/** Counts a stored job in its account's window, as of when it was accepted. */
void account_order_loaded(struct cell *c, struct job *j);

#endif
