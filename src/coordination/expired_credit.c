#include "expired_credit.h"

/** Share of the cell's cores that accrues as credit. */
#define LATE_WORK_SHARE 0.05
/** Credit is capped at the amount that accrues in this time. */
#define CREDIT_MAX_MS 2000

bool
expired_credit_available(struct expired_credit *t, double cores, int64_t now)
{
	double max = LATE_WORK_SHARE * cores * CREDIT_MAX_MS;

	if (t->updated_ms != 0)
		t->credit +=
		    LATE_WORK_SHARE * cores * (double)(now - t->updated_ms);
	t->updated_ms = now;
	if (t->credit > max)
		t->credit = max;
	return t->credit >= 0;
}

void
expired_credit_spend(struct expired_credit *t, double core_ms)
{
	t->credit -= core_ms;
}
