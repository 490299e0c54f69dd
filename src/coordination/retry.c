#include "retry.h"

#define CENTS 100
/** Most doublings; avoids an overflow of the shift. */
#define BACKOFF_STEPS_MAX 20

void
retry_init(struct retry_budget *b)
{
	b->cents = RETRY_CAP_CENTS / 2;
}

void
retry_earn(struct retry_budget *b)
{
	b->cents += RETRY_PCT;
	if (b->cents > RETRY_CAP_CENTS)
		b->cents = RETRY_CAP_CENTS;
}

bool
retry_spend(struct retry_budget *b)
{
	if (b->cents < CENTS)
		return false;
	b->cents -= CENTS;
	return true;
}

int64_t
retry_backoff_ms(int n, int64_t base_ms, int64_t max_ms, uint32_t rnd)
{
	int64_t full = base_ms
	    << (n < BACKOFF_STEPS_MAX ? n : BACKOFF_STEPS_MAX);

	if (full > max_ms)
		full = max_ms;
	return full / 2 + (int64_t)(rnd % (uint32_t)(full / 2 + 1));
}
