#include "near_room.h"

#include <stdlib.h>
#include <string.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/near_wait.h"
#include "grants.h"

/** Quantile of the run time at which a run counts as ended. */
#define END_QUANTILE 0.75
/** Interval of the lines on waits, and the most lines in it. */
#define LOG_MS 1000
#define LOG_LINES_MAX 4

/** The end of a run, as it is forecast. */
struct run_release {
	int64_t at_ms;
	int runner; /**< index in the rack */
	struct resources freed;
};

/** A runner of a rack, for one forecast. */
struct slot_state {
	struct resources free;
	uint32_t slots;	    /**< tasks of the step that fit */
	uint32_t max_tasks; /**< tasks of the step that it may take */
};

struct near_rack {
	UT_hash_handle hh;
	char *name;
	struct runner **runners;
	int n, size;
	struct run_release *releases; /**< in the order of their times */
	int nreleases, releases_size;
	uint64_t starts; /**< the cell's counter of starts when releases was
			  * filled; UINT64_MAX: not in this pass */
	struct resources claimed; /**< by steps that wait */
};

struct near_room {
	struct near_rack *racks;
	bool filled; /**< the racks have the runners of this pass */
	struct slot_state *states;
	int nstates;
	int64_t log_ms;
	int lines; /**< since log_ms */
};

/** What a rack will have for a step. */
struct forecast {
	uint32_t slots;	 /**< tasks that fit by the end of the wait */
	int64_t free_ms; /**< when the last of them fits */
};

static struct near_room *
room_of(struct cell *c)
{
	if (c->near_room == NULL)
		c->near_room = xcalloc(1, sizeof(*c->near_room));
	return c->near_room;
}

void
near_room_begin(struct cell *c)
{
	if (c->near_room != NULL)
		c->near_room->filled = false;
}

static void
rack_delete(struct near_room *n, struct near_rack *k)
{
	HASH_DEL(n->racks, k);
	free(k->name);
	free(k->runners);
	free(k->releases);
	free(k);
}

void
near_room_free(struct near_room *n)
{
	struct near_rack *k, *tmp;

	if (n == NULL)
		return;
	HASH_ITER(hh, n->racks, k, tmp)
	rack_delete(n, k);
	free(n->states);
	free(n);
}

static struct near_rack *
rack_find(const struct near_room *n, const char *name)
{
	struct near_rack *k;

	HASH_FIND_STR(n->racks, name, k);
	return k;
}

/* Only for racks of runners: callers may name any number of others. */
static struct near_rack *
rack_get(struct near_room *n, const char *name)
{
	struct near_rack *k = rack_find(n, name);

	if (k != NULL)
		return k;
	k = xcalloc(1, sizeof(*k));
	k->name = xstrdup(name);
	HASH_ADD_KEYPTR(hh, n->racks, k->name, strlen(k->name), k);
	return k;
}

static void
rack_add(struct near_rack *k, struct runner *r)
{
	if (k->n == k->size) {
		k->size = k->size > 0 ? k->size * 2 : 16;
		k->runners =
		    xrealloc(k->runners, (size_t)k->size * sizeof(*k->runners));
	}
	k->runners[k->n++] = r;
}

/* Sorts the runners by rack, once a pass, and drops racks without runners. */
static struct near_room *
filled_room(struct cell *c)
{
	struct near_room *n = room_of(c);
	struct near_rack *k, *tmp;
	struct runner *r;

	if (n->filled)
		return n;
	for (k = n->racks; k != NULL; k = k->hh.next) {
		k->n = 0;
		k->starts = UINT64_MAX;
		k->claimed = (struct resources){0, 0, 0};
	}
	k = NULL;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (k == NULL || strcmp(k->name, r->info.rack) != 0)
			k = rack_get(n, r->info.rack);
		if (k->n == 0)
			k->starts = UINT64_MAX;
		rack_add(k, r);
	}
	HASH_ITER(hh, n->racks, k, tmp)
	{
		if (k->n == 0)
			rack_delete(n, k);
	}
	n->filled = true;
	return n;
}

bool
near_room_matters(const struct step *s)
{
	return s->spec->preferred_rack[0] != '\0' ||
	    (s->spec->gang && s->spec->same_rack);
}

/* Whether the members of the gang run on more than one rack. */
static bool
gang_is_spread(const struct step *s, const char *rack)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++)
		if (s->tasks[i].run != NULL &&
		    strcmp(s->tasks[i].run->runner->info.rack, rack) != 0)
			return true;
	return false;
}

static double
expected_ms(const struct cell *c, const struct run *run)
{
	const struct step *s = run->task->step;
	const char *rack = run->runner->info.rack;
	bool remote = s->spec->preferred_rack[0] != '\0' &&
	    strcmp(s->spec->preferred_rack, rack) != 0;

	if (!remote && s->spec->gang && s->spec->same_rack)
		remote = gang_is_spread(s, rack);
	return s->spec->estimate_ms * (remote ? c->terms.remote_factor : 1.0);
}

/* Upper quantile of the time at which the run ends; NEAR_NEVER: unknown. */
static int64_t
release_ms(struct cell *c, const struct run *run, int64_t now)
{
	double expected, ratio;

	if (run->state == RUN_STOPPING)
		return now + c->terms.stop_grace_ms;
	if (run->state == RUN_UNSURE || run->task == NULL ||
	    run->task->step->spec->long_running ||
	    run->task->step->spec->estimate_ms == 0)
		return NEAR_NEVER;
	expected = expected_ms(c, run);
	if (expected <= 0)
		return NEAR_NEVER;
	ratio = estimate_error_quantile(&c->estimate_error,
	    (double)(now - run->ordered_ms) / expected, END_QUANTILE);
	if (ratio < 0)
		return NEAR_NEVER;
	return run->ordered_ms + (int64_t)(ratio * expected);
}

static int
compare_releases(const void *a, const void *b)
{
	const struct run_release *x = a, *y = b;

	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static void
add_release(struct near_rack *k, const struct run_release *e)
{
	if (k->nreleases == k->releases_size) {
		k->releases_size =
		    k->releases_size > 0 ? k->releases_size * 2 : 64;
		k->releases = xrealloc(k->releases,
		    (size_t)k->releases_size * sizeof(*k->releases));
	}
	k->releases[k->nreleases++] = *e;
}

/* Forecasts the ends of the rack's runs, again after each start. */
static void
fill_releases(struct cell *c, struct near_rack *k, int64_t now)
{
	struct run_release e;
	const struct run *run;

	if (k->starts == c->counters.starts)
		return;
	k->nreleases = 0;
	for (e.runner = 0; e.runner < k->n; e.runner++) {
		TAILQ_FOREACH (run, &k->runners[e.runner]->runs, link) {
			e.at_ms = release_ms(c, run, now);
			e.freed =
			    (struct resources){run->cpu, run->mem_mb, run->gpu};
			if (e.at_ms != NEAR_NEVER)
				add_release(k, &e);
		}
	}
	if (k->nreleases > 1)
		qsort(k->releases, (size_t)k->nreleases, sizeof(*k->releases),
		    compare_releases);
	k->starts = c->counters.starts;
}

/* Times that @p size fits; @p max_tasks when it takes nothing. */
static uint32_t
fit_count(const struct resources *room, const struct resources *size,
    uint32_t max_tasks)
{
	int64_t n = max_tasks, m;

	if (size->cpu > 0 && (m = room->cpu / size->cpu) < n)
		n = m;
	if (size->mem_mb > 0 && (m = room->mem_mb / size->mem_mb) < n)
		n = m;
	if (size->gpu > 0 && (m = room->gpu / size->gpu) < n)
		n = m;
	return n > 0 ? (uint32_t)n : 0;
}

/* What a task reserves on a runner. */
static struct resources
reserved_size(const Cc__StepSpec *s)
{
	return (struct resources){
	    s->best_effort ? 0 : s->cpu, s->mem_mb, s->gpu};
}

static uint32_t
max_tasks_on(struct cell *c, const struct step *s, const struct placing_want *w,
    const struct runner *r)
{
	uint32_t own;

	if (r->nunsized > 0 || !placing_allowed(r, w) ||
	    !step_holds_ticket(c, s, r, w->now_ms))
		return 0;
	if (s->spec->max_per_runner == 0)
		return s->spec->count;
	own = runner_count_runs(r, s);
	return own < s->spec->max_per_runner ? s->spec->max_per_runner - own
					     : 0;
}

/* Forecasts the slots for @p tasks tasks that the rack has before @p end_ms,
 * beyond what other steps have claimed. */
static struct forecast
forecast_rack(struct cell *c, struct near_rack *k, const struct step *s,
    const struct placing_want *w, uint32_t tasks, int64_t end_ms)
{
	struct resources size = reserved_size(s->spec), spare;
	struct forecast f = {0, w->now_ms};
	struct near_room *n = c->near_room;
	uint64_t slots = 0;
	uint32_t fit, after;
	int i;

	if (n->nstates < k->n) {
		n->nstates = k->n;
		n->states =
		    xrealloc(n->states, (size_t)k->n * sizeof(*n->states));
	}
	spare = resources_times(&k->claimed, -1);
	for (i = 0; i < k->n; i++) {
		const struct runner *r = k->runners[i];
		struct slot_state *t = &n->states[i];

		t->free = (struct resources){r->info.cpu - r->used_cpu,
		    r->info.mem_mb - r->used_mem_mb, r->info.gpu - r->used_gpu};
		t->max_tasks = max_tasks_on(c, s, w, r);
		t->slots = fit_count(&t->free, &size, t->max_tasks);
		slots += t->slots;
		if (t->max_tasks > 0)
			resources_add(&spare, &t->free);
	}
	fill_releases(c, k, w->now_ms);
	for (i = 0;; i++) {
		fit = slots < tasks ? (uint32_t)slots : tasks;
		fit = fit_count(&spare, &size, fit);
		if (fit > f.slots && i > 0)
			f.free_ms = k->releases[i - 1].at_ms;
		f.slots = fit > f.slots ? fit : f.slots;
		if (f.slots == tasks || i == k->nreleases ||
		    k->releases[i].at_ms >= end_ms)
			return f;
		struct slot_state *t = &n->states[k->releases[i].runner];

		if (t->max_tasks == 0)
			continue;
		resources_add(&t->free, &k->releases[i].freed);
		resources_add(&spare, &k->releases[i].freed);
		after = fit_count(&t->free, &size, t->max_tasks);
		slots += after - t->slots;
		t->slots = after;
	}
}

/* Estimated time of the later unfinished steps of the occurrence. */
static int64_t
later_ms(const struct step *s)
{
	const struct step *steps = s->occurrence->steps;
	size_t i, n = s->occurrence->job->row->n_steps;
	int64_t sum = 0;

	for (i = s->index + 1; i < n; i++)
		if (steps[i].ndone < steps[i].spec->count)
			sum += steps[i].spec->estimate_ms;
	return sum;
}

/* A step may have waited under an earlier leader if it was ready by the end of
 * adoption: until then, runners report ends that the earlier leader had seen
 * but not stored. The start of its wait isn't stored, so the wait counts from
 * when its job was accepted. */
static int64_t
wait_start_ms(const struct cell *c, const struct step *s)
{
	const struct job *j = s->occurrence->job;

	return j->inherited && s->ready_ms <= c->adopted_ms ? j->accepted_ms
							    : s->ready_ms;
}

static struct near_wait_input
wait_input(const struct cell *c, const struct step *s, int64_t now)
{
	const struct job *j = s->occurrence->job;

	return (struct near_wait_input){.now_ms = now,
	    .ready_ms = wait_start_ms(c, s),
	    .deadline_ms = j->due_ms - later_ms(s),
	    .run_ms = s->spec->estimate_ms,
	    .remote_factor = c->terms.remote_factor,
	    .free_ms = NEAR_NEVER};
}

static void
log_wait(struct cell *c, const struct step *s, const char *rack, uint32_t tasks,
    const struct near_wait_input *in)
{
	struct near_room *n = c->near_room;

	if (in->now_ms - n->log_ms >= LOG_MS) {
		n->log_ms = in->now_ms;
		n->lines = 0;
	}
	if (n->lines++ >= LOG_LINES_MAX)
		return;
	kvlog(KVLOG_INFO, "rack_wait",
	    "job=%s occurrence=%u step=%u tasks=%u rack=%s run_ms=%lld "
	    "remote_factor=%.2f ready_age_ms=%lld due_in_ms=%lld "
	    "free_in_ms=%lld until_in_ms=%lld",
	    s->occurrence->job->id, s->occurrence->number, s->index, tasks,
	    rack, (long long)in->run_ms, in->remote_factor,
	    (long long)(in->now_ms - in->ready_ms),
	    (long long)(in->deadline_ms - in->now_ms),
	    (long long)(in->free_ms - in->now_ms),
	    (long long)(near_wait_end(in) - in->now_ms));
}

/* Claims the capacity of the tasks that wait, and notes the wait. */
static void
claim(struct cell *c, struct step *s, struct near_rack *k, uint32_t tasks,
    const struct near_wait_input *in)
{
	struct resources size = reserved_size(s->spec);

	size = resources_times(&size, tasks);
	resources_add(&k->claimed, &size);
	s->near_until_ms = near_wait_end(in);
	log_wait(c, s, k->name, tasks, in);
}

/* Number of @p tasks that wait for the rack. Sets in->free_ms and doesn't claim
 * the capacity. */
static uint32_t
tasks_to_claim(struct cell *c, struct near_rack *k, const struct step *s,
    const struct placing_want *w, uint32_t tasks, struct near_wait_input *in)
{
	struct forecast f;

	f = forecast_rack(c, k, s, w, tasks, near_wait_end(in));
	in->free_ms = f.slots > 0 ? f.free_ms : NEAR_NEVER;
	return near_wait_decide(in).waits ? f.slots : 0;
}

bool
near_room_is_free(
    struct cell *c, const struct step *s, const struct placing_want *w)
{
	const struct near_rack *k =
	    rack_find(filled_room(c), s->spec->preferred_rack);
	int i;

	if (k == NULL)
		return false;
	for (i = 0; i < k->n; i++)
		if (placing_feasible(k->runners[i], w) &&
		    step_holds_ticket(c, s, k->runners[i], w->now_ms))
			return true;
	return false;
}

uint32_t
near_room_claim_tasks(struct cell *c, struct step *s,
    const struct placing_want *w, uint32_t tasks)
{
	struct near_wait_input in = wait_input(c, s, w->now_ms);
	struct near_rack *k;
	uint32_t n;

	if (w->now_ms >= near_wait_end(&in))
		return 0;
	k = rack_find(filled_room(c), s->spec->preferred_rack);
	if (k == NULL)
		return 0;
	n = tasks_to_claim(c, k, s, w, tasks, &in);
	if (n > 0)
		claim(c, s, k, n, &in);
	return n;
}

bool
near_room_claim_gang(
    struct cell *c, struct step *s, const struct placing_want *w)
{
	struct near_wait_input in = wait_input(c, s, w->now_ms);
	const char *preferred = s->spec->preferred_rack;
	struct near_room *n = filled_room(c);
	struct near_rack *k;

	if (w->now_ms >= near_wait_end(&in))
		return false;
	for (k = n->racks; k != NULL; k = k->hh.next) {
		if (!s->spec->same_rack && strcmp(k->name, preferred) != 0)
			continue;
		if (tasks_to_claim(c, k, s, w, s->spec->count, &in) <
		    s->spec->count)
			continue;
		claim(c, s, k, s->spec->count, &in);
		return true;
	}
	return false;
}

void
near_room_run_done(struct cell *c, const struct run *run, int64_t ms)
{
	double expected;

	/* Members of a gang end together, and some may have ended: on how many
	 * racks it ran isn't known any more. */
	if (run->inherited ||
	    (run->task->step->spec->gang && run->task->step->spec->same_rack))
		return;
	expected = expected_ms(c, run);
	/* An infinite ratio would stay among the errors of estimates. */
	if (expected > 0)
		estimate_error_add(&c->estimate_error, (double)ms / expected);
}
