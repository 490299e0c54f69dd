/** @file What the order of client accounts and their admission rest on: the
 * accounts above their share, and the work and capacity of the cell. */
#ifndef ACCOUNT_ORDER_H
#define ACCOUNT_ORDER_H

#include "cell.h"

/** Finds the accounts above their share, and the work that waits. Called each
 * tick; acts at intervals only, as it looks at all runners and steps. */
void account_order_update(struct cell *c);

#endif
