#include "retry_after.h"

#include <stdlib.h>

#include "../base/xalloc.h"

#define DELAY_MIN_MS 1000
#define DELAY_MAX_MS 4000
/** The first delay is the job's latency objective divided by this. */
#define OBJECTIVE_DIVISOR 5
/** Refusals that get the first delay; it doubles with each further one. */
#define FIRST_DELAY_REFUSALS 2
/** Most jobs remembered; the oldest entry is dropped for a new one. */
#define JOBS_MAX 4096
/** A job is forgotten when it was not submitted again for this long. */
#define FORGET_MS 20000

void
retry_after_init(struct retry_after *t)
{
	t->jobs = NULL;
}

static void
forget(struct retry_after *t, struct refusals *r)
{
	HASH_DEL(t->jobs, r);
	free(r);
}

void
retry_after_done(struct retry_after *t)
{
	while (t->jobs != NULL)
		forget(t, t->jobs);
}

static void
evict_old(struct retry_after *t, int64_t now)
{
	while (t->jobs != NULL &&
	    (HASH_COUNT(t->jobs) >= JOBS_MAX ||
		now - t->jobs->last_ms > FORGET_MS))
		forget(t, t->jobs);
}

static struct refusals *
refusals_of(struct retry_after *t, const char *id, int64_t now)
{
	struct refusals *r;

	HASH_FIND_STR(t->jobs, id, r);
	if (r != NULL)
		return r;
	evict_old(t, now);
	r = xcalloc(1, sizeof(*r));
	str_copy(r->id, id, sizeof(r->id));
	HASH_ADD_STR(t->jobs, id, r);
	return r;
}

static int64_t
first_delay_ms(int64_t objective_ms)
{
	int64_t ms = objective_ms / OBJECTIVE_DIVISOR;

	return ms < DELAY_MIN_MS ? DELAY_MIN_MS : ms;
}

uint32_t
retry_after_refused(
    struct retry_after *t, const char *id, int64_t objective_ms, int64_t now)
{
	struct refusals *r = refusals_of(t, id, now);
	int64_t ms = first_delay_ms(objective_ms);
	uint32_t i;

	r->count++;
	r->last_ms = now;
	for (i = FIRST_DELAY_REFUSALS; i < r->count && ms < DELAY_MAX_MS; i++)
		ms *= 2;
	return (uint32_t)(ms > DELAY_MAX_MS ? DELAY_MAX_MS : ms);
}

void
retry_after_set_due(
    struct retry_after *t, const char *id, int64_t due_ms, int64_t now)
{
	struct refusals *r = refusals_of(t, id, now);

	r->due_ms = due_ms;
	r->last_ms = now;
}

int64_t
retry_after_due(const struct retry_after *t, const char *id)
{
	const struct refusals *r;

	HASH_FIND_STR(t->jobs, id, r);
	return r != NULL ? r->due_ms : 0;
}

void
retry_after_accepted(struct retry_after *t, const char *id)
{
	struct refusals *r;

	HASH_FIND_STR(t->jobs, id, r);
	if (r != NULL)
		forget(t, r);
}
