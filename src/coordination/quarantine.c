#include "quarantine.h"

bool
health_usable(const struct health *h)
{
	if (h->state == HEALTH_PROBING)
		return !h->probe_sent;
	return h->state == HEALTH_OK;
}

void
health_success(struct health *h)
{
	h->nfailed = 0;
	h->term_ms = 0;
	h->probe_sent = false;
	h->state = HEALTH_OK;
}

static bool
note_failure(struct health *h, uint64_t task)
{
	int i;

	for (i = 0; i < h->nfailed; i++)
		if (h->failed[i] == task)
			return false;
	if (h->nfailed < HEALTH_DISTINCT_FAILURES)
		h->failed[h->nfailed++] = task;
	return h->nfailed == HEALTH_DISTINCT_FAILURES;
}

static bool
within_cap(int quarantined, int total)
{
	return quarantined == 0 ||
	    (quarantined + 1) * 100 <= total * QUARANTINE_MAX_PCT;
}

bool
health_failure(
    struct health *h, uint64_t task, int64_t now, int quarantined, int total)
{
	bool enough = note_failure(h, task);

	if (h->state == HEALTH_QUARANTINED)
		return false;
	if (h->state == HEALTH_OK &&
	    (!enough || !within_cap(quarantined, total)))
		return false;
	h->term_ms = h->term_ms == 0 ? QUARANTINE_FIRST_MS : h->term_ms * 2;
	if (h->term_ms > QUARANTINE_MAX_MS)
		h->term_ms = QUARANTINE_MAX_MS;
	h->state = HEALTH_QUARANTINED;
	h->until_ms = now + h->term_ms;
	h->probe_sent = false;
	return true;
}

bool
health_tick(struct health *h, int64_t now)
{
	if (h->state != HEALTH_QUARANTINED || now < h->until_ms)
		return false;
	h->state = HEALTH_PROBING;
	h->probe_sent = false;
	h->nfailed = 0;
	return true;
}

void
health_started(struct health *h)
{
	if (h->state == HEALTH_PROBING)
		h->probe_sent = true;
}
