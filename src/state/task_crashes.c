#include "task_crashes.h"

#include <stdlib.h>

#include "../base/xalloc.h"

/** Crashes from which on a task runs apart. */
#define SUSPECTED_MIN 2
/** Proven crashes without which a task is never given up. */
#define GIVE_UP_PROVEN_MIN 2
/** Proven crashes of runners that the task had to itself after which it is
 * given up, unless a run of it has outlived earlier ones. */
#define GIVE_UP_ALONE_MIN 2
/** Crashes after which it is given up in any case. */
#define GIVE_UP_MIN 4
/** A run clears the task at this multiple of the age of the last run that ended
 * in a crash, and this much more. */
#define CLEAR_FACTOR 2
#define CLEAR_MS 2000
/** At this age a run clears its task in any case. */
#define CLEAR_MAX_MS 5000

static const char *const sign_names[CRASH_SIGNS] = {"other-incarnation",
    "listed-born", "shown-born", "shown-earlier", "clock-back",
    "start-unbound"};

const char *
crash_sign_name(enum crash_sign s)
{
	return sign_names[s];
}

void
task_crashes_done(struct task_crashes *k)
{
	free(k->runs);
	k->runs = NULL;
}

bool
task_crashes_has(const struct task_crashes *k, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < k->n; i++)
		if (k->runs[i] == run)
			return true;
	return false;
}

/* Whether the run before lived on for much longer than this one: one task
 * crashes its runners at a like age. */
static bool
has_other_cause(const struct task_crashes *k, const struct task_crash *crash)
{
	return k->n > 0 && task_crash_outlived_by(crash->age_ms, k->age_ms);
}

bool
task_crashes_add(struct task_crashes *k, const struct task_crash *crash)
{
	if (task_crashes_has(k, crash->run))
		return false;
	if (task_crashes_cleared_by(k, crash->age_ms))
		task_crashes_outlive(k);
	else if (has_other_cause(k, crash))
		task_crashes_clear(k);
	if (crash->age_ms > CLEAR_MAX_MS)
		return false;
	k->runs = xrealloc(k->runs, (k->n + 1) * sizeof(*k->runs));
	k->runs[k->n++] = crash->run;
	k->proven += crash->proven;
	k->alone += crash->proven && crash->alone;
	k->age_ms = crash->age_ms;
	return true;
}

void
task_crashes_prove(struct task_crashes *k, const struct task_crash *crash)
{
	if (!task_crashes_has(k, crash->run))
		return;
	k->proven++;
	k->alone += crash->alone;
}

void
task_crashes_remove(struct task_crashes *k, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < k->n; i++)
		if (k->runs[i] == run)
			k->runs[i--] = k->runs[--k->n];
}

void
task_crashes_clear(struct task_crashes *k)
{
	struct task_crashes kept = {
	    .unsettled = k->unsettled, .outlived = k->outlived};

	task_crashes_done(k);
	*k = kept;
}

void
task_crashes_outlive(struct task_crashes *k)
{
	task_crashes_clear(k);
	k->outlived = true;
}

bool
task_crashes_suspected(const struct task_crashes *k)
{
	return k->n + k->unsettled >= SUSPECTED_MIN;
}

bool
task_crashes_in_doubt(const struct task_crashes *k, int64_t age_ms)
{
	return task_crashes_suspected(k) && age_ms <= CLEAR_MAX_MS &&
	    !task_crashes_cleared_by(k, age_ms);
}

bool
task_crashes_held(const struct task_crashes *k, bool silent)
{
	uint32_t most = silent ? GIVE_UP_MIN - 1 : GIVE_UP_MIN;

	return k->n + k->unsettled >= most;
}

bool
task_crashes_exceeded(const struct task_crashes *k)
{
	if (k->proven < GIVE_UP_PROVEN_MIN)
		return false;
	return k->n >= GIVE_UP_MIN ||
	    (k->alone >= GIVE_UP_ALONE_MIN && !k->outlived);
}

bool
task_crash_outlived_by(int64_t crash_age_ms, int64_t age_ms)
{
	return age_ms > CLEAR_MAX_MS ||
	    age_ms > crash_age_ms * CLEAR_FACTOR + CLEAR_MS;
}

bool
task_crashes_cleared_by(const struct task_crashes *k, int64_t age_ms)
{
	return k->n > 0 && task_crash_outlived_by(k->age_ms, age_ms);
}
