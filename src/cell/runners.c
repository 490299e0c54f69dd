/* Runners of a cell: added, updated and forgotten as the registry lists them.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/kvlog.h"
#include "cell_internal.h"
#include "crashes.h"

/** Time after which an unlisted runner without runs is forgotten. */
#define FORGET_MS 4000
/** The same time for one whose crash may have been caused by a task: a crashed
 * runner is back after some seconds, which shows the crash. */
#define FORGET_UNSETTLED_MS 15000
/** Time after a store outage or a gap in reads in which the registry may lack
 * live runners. */
#define REGISTRY_GRACE_MS 2500
/** Longest time without the registry for which work is started by the
 * capacities that it showed; a runner's may be smaller by now. */
#define CAPACITY_AGE_MAX_MS 3200

struct runner *
cell_runner(struct cell *c, const char *id)
{
	struct runner *r;

	HASH_FIND_STR(c->runners, id, r);
	return r;
}

void
cell_mark_runner_due(struct cell *c, struct runner *r)
{
	if (r->due)
		return;
	r->due = true;
	TAILQ_INSERT_TAIL(&c->due, r, due_link);
}

void
cell_drop_runner(struct cell *c, struct runner *r)
{
	if (r->due)
		TAILQ_REMOVE(&c->due, r, due_link);
	HASH_DEL(c->runners, r);
	runner_delete(r);
	c->runners_version++;
}

static int64_t
forget_after_ms(const struct runner *r)
{
	return TAILQ_EMPTY(&r->unsettled) ? FORGET_MS : FORGET_UNSETTLED_MS;
}

/* Whether an unlisted runner may be forgotten. While inherited work must not
 * start, only an adopted one may; a runner recorded as open that isn't adopted
 * is kept for the first FORGET_MS of the leadership. */
static bool
may_forget_runner(const struct cell *c, const struct runner *r, int64_t now)
{
	return !r->listed && r->nruns == 0 && !r->hold_pending &&
	    r->last_end <= r->last_end_stored && r->unlisted_since_ms != 0 &&
	    now - r->unlisted_since_ms > forget_after_ms(r) &&
	    (!c->adopting || r->adopted || r->gone) &&
	    (r->adopted || r->gone || !(r->stored_open || r->stored_unheard) ||
		now - c->lead_since_ms > FORGET_MS);
}

void
cell_forget_runner(struct cell *c, struct runner *r, int64_t now)
{
	if (!may_forget_runner(c, r, now))
		return;
	kvlog(KVLOG_INFO, "runner_forgotten",
	    "runner=%s adopted=%d open=%d gone=%d led_ms=%lld fence=%llu",
	    r->info.id, r->adopted, r->stored_open, r->gone,
	    (long long)(now - c->lead_since_ms), (unsigned long long)c->fence);
	cell_mark_row_stale(c, r);
	crashes_forget_runner(c, r);
	cell_drop_runner(c, r);
}

/* The entry is the next incarnation's; whether the end of the one before was a
 * crash is told by that one's, @p before. */
static void
note_restart(struct cell *c, struct runner *r, const struct runner_info *before)
{
	struct runner_info listed = r->info;

	r->info.draining = before->draining;
	r->info.born_ms = before->born_ms;
	cell_runner_reset(c, r, CRASH_LISTED_BORN);
	r->info = listed;
}

static void
update_runner(struct cell *c, struct runner *r, const struct runner_info *in)
{
	bool other_incarnation = in->born_ms != 0 && r->info.born_ms != 0 &&
	    in->born_ms > r->info.born_ms;
	struct runner_info before = r->info;
	int64_t born = r->info.born_ms;

	if (in->draining && !r->info.draining) {
		r->drain_since_ms = c->ports.now();
		kvlog(KVLOG_INFO, "runner_draining",
		    "runner=%s runs=%d remaining_ms=%lld", in->id, r->nruns,
		    (long long)in->remaining_ms);
	}
	if (in->draining)
		r->drained_born_ms = in->born_ms;
	if (strcmp(r->info.addr, in->addr) != 0 || r->info.port != in->port)
		r->gone = false;
	r->info = *in;
	r->listed_born_ms = in->born_ms;
	if (!other_incarnation && born > in->born_ms)
		r->info.born_ms = born;
	if (r->info.born_ms == r->dead_born_ms)
		r->info.born_ms = 0;
	if (other_incarnation)
		note_restart(c, r, &before);
	r->listed = true;
	r->unlisted_since_ms = 0;
}

/* An address belongs to one incarnation at a time: a silent runner that isn't
 * listed any more has ended when a later one is listed at its address. */
static void
end_predecessors(struct cell *c, const struct runner_info *in)
{
	struct runner *r, *tmp;

	HASH_ITER(hh, c->runners, r, tmp)
	{
		if (r->silent_since_ms != 0 && r->unlisted_since_ms != 0 &&
		    r->info.born_ms != 0 && in->born_ms > r->info.born_ms &&
		    r->info.port == in->port &&
		    strcmp(r->info.addr, in->addr) == 0)
			cell_runner_gone(c, r);
	}
}

static void
add_runner(struct cell *c, const struct runner_info *in)
{
	struct runner *r = runner_new(in);

	r->listed = true;
	r->listed_born_ms = in->born_ms;
	r->fence = c->fence;
	/* It may have seen a raised token and been forgotten since. */
	cell_raise_fence(c, r, "found");
	end_predecessors(c, in);
	HASH_ADD_STR(c->runners, info.id, r);
	c->runners_version++;
	cell_mark_runner_due(c, r);
	kvlog(KVLOG_INFO, "runner_found",
	    "runner=%s service=" KVLOG_TEXT " rack=" KVLOG_TEXT
	    " cpu=%lld mem_mb=%lld draining=%d "
	    "born_ms=%lld adopting=%d led_ms=%lld",
	    in->id, in->service, in->rack, (long long)in->cpu,
	    (long long)in->mem_mb, in->draining, (long long)in->born_ms,
	    c->adopting, (long long)(c->ports.now() - c->lead_since_ms));
}

/* Whether what the registry shows may be out of date: it wasn't read for the
 * grace period, or the store fails. */
static bool
registry_outdated(const struct cell *c, int64_t now)
{
	return cell_store_down(c) ||
	    now - c->registry_synced_ms > REGISTRY_GRACE_MS ||
	    c->store_failing_since_ms != 0;
}

bool
cell_capacities_current(const struct cell *c)
{
	return c->ports.now() - c->registry_synced_ms <= CAPACITY_AGE_MAX_MS;
}

void
cell_runner_listed(struct cell *c, const struct runner_info *in)
{
	struct runner *r = cell_runner(c, in->id);

	if (c->phase != CELL_SERVING)
		return;
	if (r == NULL)
		add_runner(c, in);
	else if (in->version >= r->info.version)
		update_runner(c, r, in);
	c->ports.wake(c->ports.arg);
}

void
cell_runner_missing(struct cell *c, const char *id, uint64_t version)
{
	struct runner *r = cell_runner(c, id);

	if (r == NULL || version < r->info.version)
		return;
	r->info.version = version;
	if (r->unlisted_since_ms == 0)
		r->unlisted_since_ms = c->ports.now();
}

void
cell_registry_synced(struct cell *c, int64_t age_ms)
{
	int64_t now = c->ports.now();

	if (registry_outdated(c, now))
		c->registry_gap_ms = now;
	c->registry_synced_ms = now - age_ms;
}

void
cell_set_runners(
    struct cell *c, const struct runner_info *infos, int n, uint64_t version)
{
	int64_t now = c->ports.now();
	struct runner *r;
	int i;

	if (c->phase != CELL_SERVING)
		return;
	for (r = c->runners; r != NULL; r = r->hh.next)
		if (r->unlisted_since_ms == 0 && r->info.version <= version)
			r->unlisted_since_ms = now;
	for (i = 0; i < n; i++)
		cell_runner_listed(c, &infos[i]);
	cell_registry_synced(c, 0);
}

/* Entries may expire during a store outage and reappear soon after it, so the
 * grace period begins at the end of the outage. */
void
cell_check_missing(struct cell *c, struct runner *r, int64_t now)
{
	int64_t since = r->unlisted_since_ms;

	if (!r->listed || since == 0)
		return;
	c->runner_missing = true;
	if (registry_outdated(c, now))
		return;
	if (c->registry_gap_ms > since)
		since = c->registry_gap_ms;
	if (now - since < REGISTRY_GRACE_MS)
		return;
	r->listed = false;
}
