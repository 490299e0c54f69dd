/**
 * @file Client accounts as operators see them at the leader: those that hold or
 * wait most, and all others as one sum.
 *
 * A cell may have 10,000 accounts, and a line of metrics for each would take
 * the leader longer than a scheduling pass.
 */
#ifndef ACCOUNT_STATS_H
#define ACCOUNT_STATS_H

#include "cell.h"

#define ACCOUNT_STATS_MAX 50

struct account_stats {
	/** The accounts shown, the one that holds and waits most first. */
	const struct account *shown[ACCOUNT_STATS_MAX];
	int nshown;
	int nothers;
	/** Sums over the other accounts, without name and cap. */
	struct account others;
};

/** Takes one pass over the accounts, and none over jobs or steps. */
void account_stats_get(const struct cell *c, struct account_stats *out);

#endif
