#include "runner.h"

#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "account.h"

struct runner *
runner_new(const struct runner_info *info)
{
	struct runner *r = xcalloc(1, sizeof(*r));

	r->info = *info;
	r->speed = 1.0;
	r->pace_percent = 100;
	TAILQ_INIT(&r->runs);
	TAILQ_INIT(&r->unsettled);
	return r;
}

void
runner_delete(struct runner *r)
{
	struct unsettled_run *u;

	while ((u = TAILQ_FIRST(&r->unsettled)) != NULL)
		runner_free_unsettled(u, r);
	free(r);
}

void
runner_free_unsettled(struct unsettled_run *u, struct runner *r)
{
	TAILQ_REMOVE(&r->unsettled, u, link);
	free(u);
}

struct run *
run_new(struct runner *r, struct task *t, const char *name, uint32_t number)
{
	struct run *run = xcalloc(1, sizeof(*run));

	run->runner = r;
	run->task = t;
	run->number = number;
	run->percent = 100;
	str_copy(run->name, name, sizeof(run->name));
	if (t != NULL) {
		const Cc__StepSpec *s = t->step->spec;

		run->cpu = s->best_effort ? 0 : s->cpu;
		run->mem_mb = s->mem_mb;
		run->gpu = s->gpu;
		run->account = t->step->occurrence->job->account;
		run->charged = step_task_size(s);
		account_hold(run->account, &run->charged);
	}
	run->unsized = t == NULL;
	r->nunsized += run->unsized;
	r->used_cpu += run->cpu;
	r->used_mem_mb += run->mem_mb;
	r->used_gpu += run->gpu;
	r->nruns++;
	TAILQ_INSERT_TAIL(&r->runs, run, link);
	return run;
}

void
run_keep_apart(struct run *run)
{
	run->runner->napart += !run->apart;
	run->apart = true;
}

void
run_delete(struct run *run)
{
	struct runner *r = run->runner;

	account_release(run->account, &run->charged);
	r->used_cpu -= run->cpu;
	r->used_mem_mb -= run->mem_mb;
	r->used_gpu -= run->gpu;
	r->nruns--;
	r->nunsized -= run->unsized;
	r->napart -= run->apart;
	TAILQ_REMOVE(&r->runs, run, link);
	free(run->ticket);
	free(run);
}

struct run *
runner_run(const struct runner *r, const char *task, uint32_t number)
{
	struct run *run;

	TAILQ_FOREACH (run, &r->runs, link)
		if (run->number == number && strcmp(run->name, task) == 0)
			return run;
	return NULL;
}

struct target
runner_target(const struct runner *r)
{
	return (struct target){
	    .addr = r->info.addr, .port = r->info.port, .id = r->info.id};
}

int64_t
runner_bound_born_ms(const struct runner *r)
{
	if (!r->shows_born)
		return 0;
	return r->info.born_ms != 0 ? r->info.born_ms : r->dead_born_ms;
}

bool
runner_fits(const struct runner *r, const Cc__StepSpec *s)
{
	int64_t cpu = s->best_effort ? 0 : s->cpu;

	return r->nunsized == 0 && r->used_cpu + cpu <= r->info.cpu &&
	    r->used_mem_mb + s->mem_mb <= r->info.mem_mb &&
	    r->used_gpu + s->gpu <= r->info.gpu;
}

bool
runner_fits_empty(const struct runner *r, const Cc__StepSpec *s)
{
	return (s->best_effort || s->cpu <= r->info.cpu) &&
	    s->mem_mb <= r->info.mem_mb && s->gpu <= r->info.gpu;
}

bool
runner_has_label(const struct runner *r, const char *label)
{
	int i;

	for (i = 0; i < r->info.nlabels; i++)
		if (strcmp(r->info.labels[i], label) == 0)
			return true;
	return false;
}

/* Derived from the task each time: a mark on the run would outlive what it was
 * set for. */
static bool
is_in_doubt(const struct run *run, int64_t now)
{
	return run->task != NULL &&
	    task_crashes_in_doubt(&run->task->crashes, now - run->ordered_ms);
}

bool
runner_is_apart(const struct runner *r, int64_t now)
{
	const struct run *run;

	if (r->napart == 0)
		return false;
	TAILQ_FOREACH (run, &r->runs, link)
		if (run->apart && is_in_doubt(run, now))
			return true;
	return false;
}

bool
runner_has_doubtful(const struct runner *r, int64_t now)
{
	const struct run *run;

	TAILQ_FOREACH (run, &r->runs, link)
		if (is_in_doubt(run, now))
			return true;
	return false;
}

uint32_t
runner_count_runs(const struct runner *r, const struct step *s)
{
	const struct run *run;
	uint32_t n = 0;

	TAILQ_FOREACH (run, &r->runs, link)
		n += run->task != NULL && run->task->step == s;
	return n;
}

bool
runner_takes_work(const struct runner *r)
{
	return r->listed && !r->gone && !r->info.draining &&
	    r->silent_since_ms == 0;
}

int64_t
runner_clock_min(const struct runner *r, int64_t now)
{
	return r->clock_ms + (now - r->clock_at_ms) * CLOCK_RATE_MIN_PCT / 100;
}

int64_t
runner_clock(const struct runner *r, int64_t now)
{
	return r->clock_ms + (now - r->clock_at_ms);
}

long long
runner_heard_ms_ago(const struct runner *r, int64_t now)
{
	return r->last_hold_answer_ms != 0 ? now - r->last_hold_answer_ms : -1;
}

long long
runner_silent_ms(const struct runner *r, int64_t now)
{
	return r->silent_since_ms != 0 ? now - r->silent_since_ms : 0;
}

long long
runner_lease_left_ms(const struct runner *r, int64_t now)
{
	return r->clock_at_ms != 0 ? r->lease_ms - runner_clock(r, now) : 0;
}

bool
runner_lapsed(const struct runner *r, int64_t now)
{
	if (r->clock_at_ms == 0)
		return r->nruns == 0;
	return runner_clock_min(r, now) > r->lease_ms;
}
