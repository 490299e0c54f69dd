#include "token_bucket.h"

double
token_bucket_tokens(
    struct token_bucket *b, double rate, double burst, int64_t now)
{
	if (now > b->updated_ms)
		b->used -= (double)(now - b->updated_ms) * rate / 1000.0;
	b->updated_ms = now;
	if (b->used < 0)
		b->used = 0;
	return burst - b->used;
}

void
token_bucket_take(struct token_bucket *b)
{
	b->used += 1.0;
}
