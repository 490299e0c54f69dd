#include "runner_placement.h"

#include <string.h>

/** Weight of the runner's used share: urgent work is spread over the runners,
 * other work is packed. */
#define SPREAD_WEIGHT 0.1
#define PACK_WEIGHT 0.3
/** Penalty of the runner on which the task failed last. */
#define AVOID_WEIGHT 4.0
/** Weight of the runner's failure rate. */
#define FAIL_WEIGHT 0.5
/** The same weight for a task whose next failure fails its job. */
#define LAST_FAIL_WEIGHT 4.0
/** Penalty of each best-effort run beside a latency-sensitive one. */
#define INTERFERENCE_WEIGHT 1.0
/** Penalty of each run beside a task that should run apart. */
#define SHARED_WEIGHT 10.0

/* The registry may still list the capacity of an earlier incarnation. */
static bool
capacity_is_current(const struct runner *r)
{
	return r->listed_born_ms == 0 || r->info.born_ms == 0 ||
	    r->listed_born_ms == r->info.born_ms;
}

static const char *const refusal_names[PLACING_REFUSALS] = {"taken", "away",
    "closed", "paused", "apart", "service", "label", "rack", "size", "full",
    "beside", "spread"};

const char *
placing_refusal_name(enum placing_refusal why)
{
	return refusal_names[why];
}

/* A new incarnation has seen no fencing token, and another leader may have
 * claimed since the last renewal. */
static bool
is_open(const struct runner *r, const struct placing_want *w)
{
	return r->adopted && r->stored_open && capacity_is_current(r) &&
	    r->restarted_ms <= w->renewed_ms;
}

/* Whether the runner may take tasks of the step, whatever it has free now. */
static enum placing_refusal
check_allowed(const struct runner *r, const struct placing_want *w)
{
	const Cc__StepSpec *s = w->step->spec;

	if (!runner_takes_work(r))
		return PLACING_AWAY;
	if (!is_open(r, w))
		return PLACING_CLOSED;
	if (w->now_ms < r->avoid_until_ms)
		return PLACING_PAUSED;
	if (!w->joins_apart && runner_is_apart(r, w->now_ms))
		return PLACING_APART;
	if (strcmp(r->info.service, w->service) != 0)
		return PLACING_SERVICE;
	if (s->required_label[0] != '\0' &&
	    !runner_has_label(r, s->required_label))
		return PLACING_LABEL;
	if (w->rack != NULL && strcmp(r->info.rack, w->rack) != 0)
		return PLACING_RACK;
	return runner_fits_empty(r, s) ? PLACING_TAKEN : PLACING_SIZE;
}

static bool
may_run_beside(const struct runner *r, const struct placing_want *w)
{
	if (w->beside == BESIDE_NOTHING)
		return r->nruns == 0;
	return w->beside == BESIDE_ANY || !runner_has_doubtful(r, w->now_ms);
}

enum placing_refusal
placing_check(const struct runner *r, const struct placing_want *w)
{
	const Cc__StepSpec *s = w->step->spec;
	enum placing_refusal why = check_allowed(r, w);

	if (why != PLACING_TAKEN)
		return why;
	if (!runner_fits(r, s))
		return PLACING_FULL;
	if (!may_run_beside(r, w))
		return PLACING_BESIDE;
	if (s->max_per_runner > 0 &&
	    runner_count_runs(r, w->step) >= s->max_per_runner)
		return PLACING_SPREAD;
	return PLACING_TAKEN;
}

bool
placing_allowed(const struct runner *r, const struct placing_want *w)
{
	return check_allowed(r, w) == PLACING_TAKEN;
}

bool
placing_feasible(const struct runner *r, const struct placing_want *w)
{
	return placing_check(r, w) == PLACING_TAKEN;
}

static int64_t
fit_count(int64_t room, int64_t size)
{
	return size > 0 ? room / size : INT32_MAX;
}

uint32_t
placing_slots(const struct runner *r, const struct placing_want *w)
{
	const Cc__StepSpec *s = w->step->spec;
	int64_t n = s->best_effort
	    ? INT32_MAX
	    : fit_count(r->info.cpu - r->used_cpu, s->cpu);
	int64_t m = fit_count(r->info.mem_mb - r->used_mem_mb, s->mem_mb);
	uint32_t own;

	n = m < n ? m : n;
	m = fit_count(r->info.gpu - r->used_gpu, s->gpu);
	n = m < n ? m : n;
	if (s->max_per_runner > 0) {
		own = runner_count_runs(r, w->step);
		m = own < s->max_per_runner ? s->max_per_runner - own : 0;
		n = m < n ? m : n;
	}
	return n > 0 ? (uint32_t)n : 0;
}

static double
share_used(const struct runner *r)
{
	double cpu =
	    r->info.cpu > 0 ? (double)r->used_cpu / (double)r->info.cpu : 1.0;
	double mem = r->info.mem_mb > 0
	    ? (double)r->used_mem_mb / (double)r->info.mem_mb
	    : 1.0;

	return cpu > mem ? cpu : mem;
}

/* Best-effort runs on the runner if the step is latency-sensitive, or
 * latency-sensitive runs if the step is best-effort. */
static int
interfering_runs(const struct runner *r, const struct step *step)
{
	bool serves = step->spec->tail_target_ms > 0;
	const struct run *run;
	int n = 0;

	if (!serves && !step->spec->best_effort)
		return 0;
	TAILQ_FOREACH (run, &r->runs, link) {
		if (run->task == NULL)
			continue;
		if (serves)
			n += run->task->step->spec->best_effort;
		else
			n += run->task->step->spec->tail_target_ms > 0;
	}
	return n;
}

double
placing_score(const struct runner *r, const struct placing_want *w)
{
	const Cc__StepSpec *s = w->step->spec;
	double slow = 1.0 / r->speed, used = share_used(r);
	double score = interfering_runs(r, w->step) * INTERFERENCE_WEIGHT +
	    r->failure_rate *
		(w->last_attempt ? LAST_FAIL_WEIGHT : FAIL_WEIGHT);

	if (s->preferred_rack[0] != '\0' &&
	    strcmp(s->preferred_rack, r->info.rack) != 0)
		slow *= w->remote_factor;
	if (w->avoid != NULL && strcmp(w->avoid, r->info.id) == 0)
		score += AVOID_WEIGHT;
	if (w->apart)
		score += r->nruns * SHARED_WEIGHT;
	if (s->long_running)
		return score - slow * 0.5 - used * PACK_WEIGHT;
	if (w->urgent)
		return score + slow + used * SPREAD_WEIGHT;
	return score + slow * 0.5 - used * PACK_WEIGHT;
}
