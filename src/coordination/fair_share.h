/**
 * @file Which client accounts hold more than their share of a full cell.
 *
 * Weighted dominant-resource fairness: an account's share of the cell is the
 * largest of its shares of each resource. It is entitled to its weight among
 * the accounts that hold or want resources; what the others don't use is
 * divided in the same way, so that an idle account's share is lent.
 */
#ifndef FAIR_SHARE_H
#define FAIR_SHARE_H

#include <stdbool.h>

#include "../state/resources.h"

struct fair_share {
	double weight; /**< above 0 */
	struct resources held;
	bool active; /**< holds or wants resources */
	bool above;  /**< result: it holds more than its share */
};

/** Largest share of @p total that @p held takes of any resource. */
double fair_share_dominant(
    const struct resources *held, const struct resources *total);
/** Sets @c above of each of the @p n accounts. */
void fair_share_decide(
    struct fair_share *list, int n, const struct resources *total);

#endif
