#include "deposed.h"

#include <stdarg.h>
#include <stdio.h>

#include "../base/kvlog.h"

/** Longest text of the further pairs. */
#define PAIRS_LEN 256

static const char *const names[DEPOSED_BY_COUNT] = {
    "hold", "runner", "commit", "guard", "row", "beat"};

const char *
deposed_by_name(enum deposed_by by)
{
	return names[by];
}

void
cell_deposed(struct cell *c, enum deposed_by by, const char *fmt, ...)
{
	char pairs[PAIRS_LEN];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	kvlog(KVLOG_WARN, "deposed",
	    "fence=%llu generation=%u why=%s renewed_ms_ago=%lld %s",
	    (unsigned long long)c->fence, c->generation, names[by],
	    (long long)(c->ports.now() - c->renewed_ms), pairs);
	c->deposed_by = by;
	c->counters.deposed[by]++;
	c->ports.deposed(c->ports.arg);
}
