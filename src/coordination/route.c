#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

/** Most requests examined in one pass over the queue. */
#define PASS_MAX 256
/** Weight of a new value in a moving average: 1/8. */
#define MEAN_SHIFT 3

struct pass {
	struct route *route;
	int64_t now;
	struct route_item *item;
	struct runner *runner;
};

void
route_init(struct route *r)
{
	memset(r, 0, sizeof(*r));
	ready_init(&r->queue);
}

void
route_done(struct route *r)
{
	int i;

	for (i = 0; i < r->nrunners; i++)
		free(r->runners[i]);
	for (i = 0; i < r->nclasses; i++)
		free(r->classes[i]);
	memset(r, 0, sizeof(*r));
}

struct runner *
route_runner(struct route *r, const char *name)
{
	int i;

	for (i = 0; i < r->nrunners; i++)
		if (strcmp(r->runners[i]->name, name) == 0)
			return r->runners[i];
	return NULL;
}

struct runner *
route_runner_add(struct route *r, const char *name)
{
	struct runner *rn;

	if (r->nrunners == ROUTE_RUNNERS_MAX)
		return NULL;
	rn = xcalloc(1, sizeof(*rn));
	str_copy(rn->name, name, sizeof(rn->name));
	r->runners[r->nrunners++] = rn;
	return rn;
}

void
route_runner_remove(struct route *r, struct runner *rn)
{
	int i;

	if (rn->busy > 0)
		return;
	for (i = 0; i < r->nrunners; i++) {
		if (r->runners[i] != rn)
			continue;
		r->runners[i] = r->runners[--r->nrunners];
		free(rn);
		return;
	}
}

struct route_class *
route_class(struct route *r, const char *name)
{
	struct route_class *c;
	int i;

	for (i = 0; i < r->nclasses; i++)
		if (strcmp(r->classes[i]->name, name) == 0)
			return r->classes[i];
	if (r->nclasses == ROUTE_CLASSES_MAX)
		return r->classes[ROUTE_CLASSES_MAX - 1];
	c = xcalloc(1, sizeof(*c));
	str_copy(c->name, name, sizeof(c->name));
	c->share_pct = 100;
	r->classes[r->nclasses++] = c;
	return c;
}

void
route_push(struct route *r, struct route_item *it)
{
	ready_add(&r->queue, &it->ready);
	it->cls->waiting++;
}

void
route_withdraw(struct route *r, struct route_item *it)
{
	if (!it->ready.queued)
		return;
	ready_remove(&r->queue, &it->ready);
	it->cls->waiting--;
}

static bool
runner_usable(const struct runner *rn, const char *service, int64_t now)
{
	return rn->mine && !rn->leaving && rn->avoid_until_ms <= now &&
	    strcmp(rn->service, service) == 0;
}

static void
count_slots(const struct route *r, const char *service, int64_t now, int *total,
    int *busy)
{
	int i;

	*total = *busy = 0;
	for (i = 0; i < r->nrunners; i++) {
		if (!runner_usable(r->runners[i], service, now))
			continue;
		*total += r->runners[i]->slots;
		*busy += r->runners[i]->busy;
	}
}

static bool
others_wait(const struct route *r, const struct route_class *cls)
{
	int i;

	for (i = 0; i < r->nclasses; i++)
		if (r->classes[i] != cls && r->classes[i]->waiting > 0)
			return true;
	return false;
}

static bool
is_long(const struct route *r, const struct route_class *cls)
{
	int i;

	if (cls->mean_us == 0)
		return false;
	for (i = 0; i < r->nclasses; i++)
		if (r->classes[i]->mean_us > 0 &&
		    cls->mean_us > r->classes[i]->mean_us * ROUTE_LONG_FACTOR)
			return true;
	return false;
}

static bool
class_may_start(
    const struct route *r, const struct route_class *cls, int total, int busy)
{
	int reserve = total * ROUTE_RESERVE_PCT / 100;

	if (cls->running > 0 &&
	    (int64_t)(cls->running + 1) * 100 > cls->share_pct * total &&
	    others_wait(r, cls))
		return false;
	if (reserve > 0 && is_long(r, cls))
		return busy < total - reserve;
	return true;
}

static bool
less_loaded(const struct runner *a, const struct runner *b)
{
	int fa = a->busy * b->slots, fb = b->busy * a->slots;

	if (fa != fb)
		return fa < fb;
	return a->mean_us < b->mean_us;
}

static struct runner *
pick_runner(const struct route *r, const struct route_item *it, int64_t now)
{
	struct runner *rn, *best = NULL, *avoided = NULL;
	int i;

	for (i = 0; i < r->nrunners; i++) {
		rn = r->runners[i];
		if (!runner_usable(rn, it->service, now) ||
		    rn->busy >= rn->slots)
			continue;
		if (strcmp(rn->name, it->avoid) == 0)
			avoided = rn;
		else if (best == NULL || less_loaded(rn, best))
			best = rn;
	}
	return best != NULL ? best : avoided;
}

static enum ready_verdict
try_item(struct ready_item *ri, void *arg)
{
	struct route_item *it = (struct route_item *)ri;
	struct pass *p = arg;
	int total, busy;

	if (p->item != NULL)
		return READY_STOP;
	count_slots(p->route, it->service, p->now, &total, &busy);
	if (busy >= total || !class_may_start(p->route, it->cls, total, busy))
		return READY_KEEP;
	p->runner = pick_runner(p->route, it, p->now);
	if (p->runner == NULL)
		return READY_KEEP;
	p->item = it;
	return READY_TAKEN;
}

struct route_item *
route_next(struct route *r, int64_t now, struct runner **out)
{
	struct pass p = {.route = r, .now = now};

	ready_pass(&r->queue, PASS_MAX, try_item, &p);
	if (p.item == NULL)
		return NULL;
	p.item->cls->waiting--;
	p.item->cls->running++;
	p.runner->busy++;
	*out = p.runner;
	return p.item;
}

static void
mean_add(int64_t *mean, int64_t value)
{
	if (*mean == 0)
		*mean = value > 0 ? value : 1;
	else
		*mean += (value - *mean) / (1 << MEAN_SHIFT);
}

void
route_finished(struct route *r, struct runner *rn, struct route_class *cls,
    int64_t run_us, bool ok, int64_t now)
{
	(void)r;
	rn->busy--;
	cls->running--;
	if (ok) {
		rn->failures = 0;
		mean_add(&rn->mean_us, run_us);
		mean_add(&cls->mean_us, run_us);
		return;
	}
	if (++rn->failures >= RUNNER_FAILURES_MAX) {
		rn->avoid_until_ms = now + RUNNER_AVOID_MS;
		rn->failures = 0;
	}
}

int
route_free(const struct route *r)
{
	const struct runner *rn;
	int i, n = 0;

	for (i = 0; i < r->nrunners; i++) {
		rn = r->runners[i];
		if (rn->mine && !rn->leaving && rn->busy < rn->slots)
			n += rn->slots - rn->busy;
	}
	return n;
}

int64_t
route_projected_wait_ms(const struct route *r, const char *service, int64_t now)
{
	int64_t mean = 0;
	int total, busy, i, n = 0;

	count_slots(r, service, now, &total, &busy);
	if (total == 0)
		return -1;
	if (busy + r->queue.count < total)
		return 0;
	for (i = 0; i < r->nrunners; i++) {
		if (r->runners[i]->mean_us == 0)
			continue;
		mean += r->runners[i]->mean_us;
		n++;
	}
	if (n == 0)
		return 0;
	return (mean / n) * (busy + r->queue.count - total + 1) / total / 1000;
}
