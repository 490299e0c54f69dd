/** @file Retry budget and back-off. */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** Retries allowed for each hundred first attempts. */
#define RETRY_PCT 10
/** Retries that may be saved up, in hundredths. */
#define RETRY_CAP_CENTS 2000

struct retry_budget {
	int cents;
};

void retry_init(struct retry_budget *b);
/** A first attempt succeeded. */
void retry_earn(struct retry_budget *b);
/** Takes one retry; @return false when the budget is used up. */
bool retry_spend(struct retry_budget *b);
/**
 * Wait before attempt @p n (1 is the first retry): exponential from @p base_ms
 * up to @p max_ms, of which half is random. @p rnd is a random number.
 */
int64_t retry_backoff_ms(int n, int64_t base_ms, int64_t max_ms, uint32_t rnd);

#endif
