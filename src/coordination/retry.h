/**
 * @file Retry budget and exponential backoff.
 *
 * Each success adds a tenth of a retry to the budget, so that retries can't
 * multiply the load of an overloaded service.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** Retries allowed for each hundred successful attempts. */
#define RETRY_PCT 10
/** Largest budget, in hundredths of a retry. */
#define RETRY_CAP_CENTS 2000

struct retry_budget {
	int cents; /**< hundredths of a retry */
};

/** Starts with half of the largest budget. */
void retry_init(struct retry_budget *b);
/** An attempt succeeded. */
void retry_earn(struct retry_budget *b);
/** Takes one retry; @return false when the budget is used up. */
bool retry_spend(struct retry_budget *b);
/**
 * Wait before attempt @p n (1 is the first retry): exponential from @p base_ms
 * up to @p max_ms, of which half is random. @p rnd is a random number.
 */
int64_t retry_backoff_ms(int n, int64_t base_ms, int64_t max_ms, uint32_t rnd);

#endif
