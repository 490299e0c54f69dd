#include "config_freshness.h"

/** Slowest rate of this host's clock, percent. */
#define CLOCK_RATE_PCT 98

void
config_freshness_init(struct config_freshness *f, int64_t revoke_ms)
{
	*f = (struct config_freshness){.bounded = revoke_ms > 0,
	    .bound_ms = revoke_ms * CLOCK_RATE_PCT / 100};
}

void
config_freshness_set_version(struct config_freshness *f, uint64_t version)
{
	if (version == f->version)
		return;
	f->version = version;
	f->confirmed_ms = 0;
}

void
config_freshness_confirm(struct config_freshness *f, int64_t sent_ms)
{
	if (sent_ms > f->confirmed_ms)
		f->confirmed_ms = sent_ms;
}

void
config_freshness_confirm_peer(struct config_freshness *f, uint64_t version,
    int64_t sent_ms, int64_t age_ms)
{
	if (version == f->version && age_ms >= 0)
		config_freshness_confirm(f, sent_ms - age_ms);
}

int64_t
config_freshness_age_ms(const struct config_freshness *f, int64_t now)
{
	return f->confirmed_ms != 0 ? now - f->confirmed_ms : -1;
}

bool
config_freshness_holds(const struct config_freshness *f, int64_t now)
{
	if (!f->bounded)
		return true;
	return f->confirmed_ms != 0 && now - f->confirmed_ms < f->bound_ms;
}
