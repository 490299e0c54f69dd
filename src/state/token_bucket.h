/** @file Token bucket: a rate limit that allows short bursts. */
#ifndef TOKEN_BUCKET_H
#define TOKEN_BUCKET_H

#include <stdint.h>

struct token_bucket {
	double used; /**< tokens missing from a full bucket */
	int64_t updated_ms;
};

/**
 * Tokens in the bucket at @p now.
 * @param rate tokens a second that flow in
 * @param burst tokens of a full bucket
 */
double token_bucket_tokens(
    struct token_bucket *b, double rate, double burst, int64_t now);
/** Takes one token, which must be there. */
void token_bucket_take(struct token_bucket *b);

#endif
