#include "late_turn.h"

/** Share of the cell that is put aside. */
#define SHARE 0.05
/** Credit of more than this time is not kept. */
#define KEEP_MS 2000

bool
late_turn_due(struct late_turn *t, double cores, int64_t now)
{
	double most = SHARE * cores * KEEP_MS;

	if (t->at_ms != 0)
		t->credit += SHARE * cores * (double)(now - t->at_ms);
	t->at_ms = now;
	if (t->credit > most)
		t->credit = most;
	return t->credit >= 0;
}

void
late_turn_take(struct late_turn *t, double core_ms)
{
	t->credit -= core_ms;
}
