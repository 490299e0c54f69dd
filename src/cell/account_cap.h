/**
 * @file Caps of client accounts: whether an account may hold what a start
 * takes.
 *
 * A new leader doesn't know what runs on runners that it hasn't adopted. Until
 * it has adopted all of them, or the leases of former leaders are over, it
 * counts for each account the most that may run there: all tasks of inherited
 * jobs that aren't done and have no known run. The former leader may still
 * start these, and no others, as every job is stored before its first start.
 */
#ifndef ACCOUNT_CAP_H
#define ACCOUNT_CAP_H

#include "cell.h"

/** Recomputes what the accounts may hold unseen; called each tick, and when
 * the reason for it begins or ends. */
void account_cap_update(struct cell *c);
/** Whether the step's account may hold one more task of it or, for a gang, all
 * of them. */
bool account_cap_allows(const struct cell *c, const struct step *s);

#endif
