#include "lease.h"

void
lease_sent(struct lease *l, int64_t now)
{
	l->sent_ms = now;
}

void
lease_renewed(
    struct lease *l, const struct lease_terms *t, uint64_t epoch, uint64_t beat)
{
	l->epoch = epoch;
	l->beat = beat;
	l->valid_until = l->sent_ms + t->hold_ms;
	l->held = true;
}

void
lease_lost(struct lease *l)
{
	l->held = false;
	l->valid_until = 0;
}

bool
lease_valid(const struct lease *l, int64_t now, int64_t guard_ms)
{
	return l->held && now + guard_ms < l->valid_until;
}

/*
 * An unchanged beat keeps the time at which it was first seen. The host may
 * have renewed at any time until the row was answered, so the time of a new
 * beat is that of the answer, not that of the request.
 */
void
lease_watch_observe(
    struct lease_watch *w, uint64_t epoch, uint64_t beat, int64_t now)
{
	if (w->seen && w->epoch == epoch && w->beat == beat)
		return;
	w->seen = true;
	w->epoch = epoch;
	w->beat = beat;
	w->since_ms = now;
}

bool
lease_watch_lapsed(
    const struct lease_watch *w, const struct lease_terms *t, int64_t now)
{
	return w->seen && now - w->since_ms > t->take_ms;
}
