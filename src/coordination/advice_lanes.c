#include "advice_lanes.h"

#include <string.h>

#include "../base/xalloc.h"

/** Longest duration of a quick call. */
#define QUICK_CALL_MS 150
/** Calls under way in a quick lane: one is served while one waits. */
#define QUICK_OPEN_MAX 2
/** Share of the hosts that take quick calls, in eighths. */
#define QUICK_EIGHTHS 3
/** Most hosts that take quick calls. */
#define QUICK_LANES_MAX 24

bool
lanes_is_quick(double call_ms)
{
	return call_ms <= QUICK_CALL_MS;
}

static struct lane *
find_lane(struct lanes *l, const char *host)
{
	int i;

	for (i = 0; i < l->n; i++)
		if (strcmp(l->lanes[i].host, host) == 0)
			return &l->lanes[i];
	return NULL;
}

static void
drop_unseen(struct lanes *l)
{
	int i, k = 0;

	for (i = 0; i < l->n; i++)
		if (l->lanes[i].seen)
			l->lanes[k++] = l->lanes[i];
	l->n = k;
}

void
lanes_set(struct lanes *l, const char (*hosts)[64], int n)
{
	struct lane *lane;
	int i;

	for (i = 0; i < l->n; i++)
		l->lanes[i].seen = false;
	for (i = 0; i < n; i++) {
		lane = find_lane(l, hosts[i]);
		if (lane == NULL) {
			if (l->n == LANES_MAX)
				continue;
			lane = &l->lanes[l->n++];
			memset(lane, 0, sizeof(*lane));
			str_copy(lane->host, hosts[i], sizeof(lane->host));
		}
		lane->seen = true;
	}
	drop_unseen(l);
}

static int
quick_lanes(const struct lanes *l)
{
	int n = (l->n * QUICK_EIGHTHS + 7) / 8;

	return n < QUICK_LANES_MAX ? n : QUICK_LANES_MAX;
}

static struct lane *
least_busy(struct lanes *l, int from, int to, int open_max)
{
	struct lane *best = NULL;
	int i;

	for (i = from; i < to; i++) {
		struct lane *lane = &l->lanes[i];

		if (lane->open >= open_max)
			continue;
		if (best == NULL || lane->open < best->open ||
		    (lane->open == best->open &&
			lane->busy_until_ms < best->busy_until_ms))
			best = lane;
	}
	return best;
}

struct lane *
lanes_pick(struct lanes *l, double call_ms)
{
	int quick = quick_lanes(l);

	if (lanes_is_quick(call_ms))
		return least_busy(l, 0, quick, QUICK_OPEN_MAX);
	if (l->n == 1)
		return least_busy(l, 0, 1, 1);
	return least_busy(l, quick, l->n, 1);
}

int
lanes_idle(const struct lanes *l, double call_ms)
{
	bool quick = lanes_is_quick(call_ms) || l->n == 1;
	int i = quick ? 0 : quick_lanes(l);
	int to = quick ? quick_lanes(l) : l->n, n = 0;

	for (; i < to; i++)
		n += l->lanes[i].open == 0;
	return n;
}

void
lane_sent(struct lane *lane, double call_ms, int64_t now)
{
	lane->open++;
	if (lane->busy_until_ms < now)
		lane->busy_until_ms = now;
	lane->busy_until_ms += (int64_t)call_ms;
}

void
lanes_answered(struct lanes *l, const char *host, int64_t now)
{
	struct lane *lane = find_lane(l, host);

	if (lane == NULL || lane->open == 0)
		return;
	if (--lane->open == 0)
		lane->busy_until_ms = now;
}
