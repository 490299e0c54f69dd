#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/base/xalloc.h"
#include "../../src/coordination/rtt.h"

#define TICK_MS 25
#define GANG_TIMEOUT_MS 3000
#define STORE_MS 4
#define ORDER_MS 3
#define STOP_GRACE_MS 400
#define RUNNER_CPU 16000
#define RUNNER_MEM 65536
#define ROWS_MAX 4096
#define PARTS_MAX 16
#define CONDITIONS_MAX 16
#define JOBS_MAX 512
#define REGISTRY_MS 500
#define QUICK_CALL_MS 25.0
#define ROW_BYTES 65536
#define TXN_ENTRIES 100
/** An end that an answer has told counts as known so soon after. */
#define LISTED_MS 100

struct order_event;

struct event {
	struct event *next;
	int64_t at;
	uint64_t serial;
	void (*fn)(struct world *w, void *arg);
	void *arg;
};

struct stored {
	char table[32];
	char part[16];
	char key[64];
	uint8_t *value;
	size_t len;
	uint64_t version;
};

struct live_run {
	struct live_run *next;
	char task[TASK_NAME_LEN];
	uint32_t number;
	uint32_t cpu;
	int64_t ends_at; /**< INT64_MAX: lasts */
	bool fails;
	bool gang;
	int64_t alone_at; /**< of a gang that isn't complete; else 0 */
	int64_t stops_at; /**< it was told to stop; 0: it wasn't */
};

struct ended_run {
	struct ended_run *next;
	uint64_t number;
	char task[TASK_NAME_LEN];
	uint32_t run;
	enum run_end how;
	bool noted; /**< an acknowledgement has reached it */
	bool listed;
};

/** Highest run stopped or ended here, of each task. */
struct barred {
	struct barred *next;
	char task[TASK_NAME_LEN];
	uint32_t run;
};

struct world_runner {
	struct world *world;
	int index;
	char id[RUNNER_ID_LEN];
	struct live_run *runs;
	struct ended_run *ends;
	struct barred *barred;
	uint64_t end_count;
	uint64_t fence;
	int64_t until_ms;
	int64_t born_ms;
	int64_t up_at; /**< it is down before this time */
	bool cut;
	int link_ms;
	int fails; /**< share of its runs, in thousandths */
	double slow;
	int64_t drain_until;	     /**< 0: it doesn't drain */
	struct order_event *waiting; /**< a hold that waits for an end */
};

struct task_seen {
	bool done;  /**< it ended done, and that was noted */
	bool ended; /**< a run of it ended done, ever */
	int failures;
	int64_t listed_ms; /**< a done end was told in an answer */
};

struct world_job {
	char id[JOB_ID_LEN];
	char queue[QUEUE_NAME_LEN];
	struct world_step steps[8];
	int n;
	bool accepted;
	bool refused;
	bool canceled;
	bool lasting;
	int64_t since_ms;
	int64_t accepted_ms;
	int64_t completed_ms;
	struct task_seen *tasks; /**< of all steps, each of the same width */
	uint32_t width;
	int submitted_to;
};

struct world_cell {
	struct store store;
	struct runner_port runners;
	struct advice_port advice;
	struct world *world;
	struct cell cell;
	bool alive;
	bool cut_store;
	bool wants_pass;
	int every_ms;	/**< it gets to its work this often; 0: at once */
	int64_t ran_ms; /**< it last did */
	int incarnation;
	int64_t
	    linked[WORLD_RUNNERS_MAX]; /**< incarnation that answered last */
	struct rtt answers;
	int unanswered[WORLD_RUNNERS_MAX]; /**< holds in a row */
};

struct world {
	int64_t now;
	uint64_t serial;
	uint32_t rng;
	struct event *events;
	struct world_faults faults;
	struct stored rows[ROWS_MAX];
	int nrows;
	uint64_t version;
	struct world_runner runners[WORLD_RUNNERS_MAX];
	int nrunners;
	struct world_cell cells[WORLD_CELLS_MAX];
	int leader;
	uint32_t generation;
	struct world_job jobs[JOBS_MAX];
	int njobs;
	int broken;
	bool loud;
	int advice_calls;
	int holds;
	size_t row_bytes;
	int store_ms;
	struct part_queue {
		char part[16];
		int64_t free_at; /**< its transactions are done by then */
	} parts[PARTS_MAX];
	bool fixed_timeouts;
	struct start_count {
		char task[TASK_NAME_LEN];
		int n;
		int runner;
		uint32_t run; /**< the highest */
	} starts[8192];
	int nstarts;
};

/* Cells are told the time by functions without an argument. */
static struct world *current;

static int64_t
port_now(void)
{
	return current->now;
}

static uint32_t
rnd(struct world *w, uint32_t n)
{
	w->rng = w->rng * 1664525u + 1013904223u;
	return (w->rng >> 8) % n;
}

static bool
chance(struct world *w, int thousandths)
{
	return thousandths > 0 && (int)rnd(w, 1000) < thousandths;
}

static void
broke(struct world *w, const char *what, const char *name)
{
	w->broken++;
	if (w->loud)
		printf("BROKEN %s %s at %lld\n", what, name, (long long)w->now);
}

static void
trace(const struct world *w, const char *what, const char *task, uint32_t run,
    const struct world_runner *r, uint64_t fence)
{
	if (w->loud)
		printf("  %lld %s %s run=%u runner=%s fence=%llu\n",
		    (long long)w->now, what, task, run, r->id,
		    (unsigned long long)fence);
}

static void
at(struct world *w, int64_t delay, void (*fn)(struct world *, void *),
    void *arg)
{
	struct event *e = xcalloc(1, sizeof(*e)), **p = &w->events;

	e->at = w->now + delay;
	e->serial = ++w->serial;
	e->fn = fn;
	e->arg = arg;
	while (*p != NULL && (*p)->at <= e->at)
		p = &(*p)->next;
	e->next = *p;
	*p = e;
}

/* Jobs and tasks */

static struct world_job *
find_job(const struct world *w, const char *id)
{
	int i;

	for (i = 0; i < w->njobs; i++)
		if (strcmp(w->jobs[i].id, id) == 0)
			return (struct world_job *)(uintptr_t)&w->jobs[i];
	return NULL;
}

static struct world_job *
job_of(struct world *w, const char *task, struct task_ref *ref)
{
	return task_ref_parse(ref, task) ? find_job(w, ref->id) : NULL;
}

static struct task_seen *
seen_of(const struct world_job *j, uint32_t step, uint32_t index)
{
	return &j->tasks[step * j->width + index];
}

/* Runners */

static bool
runner_up(const struct world_runner *r)
{
	return r->world->now >= r->up_at;
}

static int64_t
runner_clock_now(const struct world_runner *r)
{
	return r->world->now - r->born_ms + 1;
}

static int64_t
used_cpu(const struct world_runner *r)
{
	const struct live_run *l;
	int64_t sum = 0;

	for (l = r->runs; l != NULL; l = l->next)
		sum += l->cpu;
	return sum;
}

static void answer_hold(struct world *w, void *arg);
static void note_done_run(struct world *w, const char *task);
static void break_member(
    struct world_runner *r, struct live_run *l, int64_t arg);
static int each_member(struct world *w, const char *task, uint32_t run,
    void (*fn)(struct world_runner *r, struct live_run *l, int64_t arg),
    int64_t arg);

static void
wake_hold(struct world_runner *r)
{
	struct order_event *h = r->waiting;

	if (h == NULL)
		return;
	r->waiting = NULL;
	at(r->world, ORDER_MS, answer_hold, h);
}

static void
bar(struct world_runner *r, const char *task, uint32_t run)
{
	struct barred *b;

	for (b = r->barred; b != NULL; b = b->next)
		if (strcmp(b->task, task) == 0)
			break;
	if (b == NULL) {
		b = xcalloc(1, sizeof(*b));
		str_copy(b->task, task, sizeof(b->task));
		b->next = r->barred;
		r->barred = b;
	}
	b->run = run > b->run ? run : b->run;
}

static uint32_t
barred_run(const struct world_runner *r, const char *task)
{
	const struct barred *b;

	for (b = r->barred; b != NULL; b = b->next)
		if (strcmp(b->task, task) == 0)
			return b->run;
	return 0;
}

static void
end_live(struct world_runner *r, struct live_run *l, enum run_end how)
{
	struct live_run **p = &r->runs;
	struct ended_run *e = xcalloc(1, sizeof(*e));

	while (*p != l)
		p = &(*p)->next;
	*p = l->next;
	e->number = ++r->end_count;
	str_copy(e->task, l->task, sizeof(e->task));
	e->run = l->number;
	e->how = how;
	trace(r->world, how == END_DONE ? "done" : "end", l->task, l->number, r,
	    (uint64_t)how);
	if (how == END_DONE)
		note_done_run(r->world, l->task);
	e->next = r->ends;
	r->ends = e;
	bar(r, l->task, l->number);
	if (l->gang && how != END_DONE)
		each_member(r->world, l->task, l->number, break_member, 0);
	free(l);
	wake_hold(r);
}

/* The other members of a gang's run: calls fn for each that is live. */
static int
each_member(struct world *w, const char *task, uint32_t run,
    void (*fn)(struct world_runner *r, struct live_run *l, int64_t arg),
    int64_t arg)
{
	size_t prefix = (size_t)(strrchr(task, '.') - task) + 1;
	struct live_run *l, *next;
	char name[TASK_NAME_LEN];
	int i, n = 0;

	str_copy(name, task, sizeof(name));
	for (i = 0; i < w->nrunners; i++)
		for (l = w->runners[i].runs; l != NULL; l = next) {
			next = l->next;
			if (l->number != run ||
			    strncmp(l->task, name, prefix) != 0)
				continue;
			n++;
			if (fn != NULL)
				fn(&w->runners[i], l, arg);
		}
	return n;
}

static void
begin_member(struct world_runner *r, struct live_run *l, int64_t ends_at)
{
	(void)r;
	l->ends_at = ends_at;
	l->alone_at = 0;
}

static void
break_member(struct world_runner *r, struct live_run *l, int64_t arg)
{
	(void)arg;
	l->gang = false;
	end_live(r, l, END_PEER_ENDED);
}

/* A gang works from the moment when all its members are there. */
static void
join_gang(struct world *w, struct live_run *l, uint32_t count, uint32_t ms)
{
	l->gang = true;
	l->ends_at = INT64_MAX;
	l->alone_at = w->now + GANG_TIMEOUT_MS;
	if (each_member(w, l->task, l->number, NULL, 0) == (int)count)
		each_member(w, l->task, l->number, begin_member, w->now + ms);
}

static void
clear_runner(struct world_runner *r)
{
	struct live_run *l;
	struct ended_run *e;
	struct barred *b;

	while ((l = r->runs) != NULL) {
		r->runs = l->next;
		free(l);
	}
	while ((e = r->ends) != NULL) {
		r->ends = e->next;
		free(e);
	}
	while ((b = r->barred) != NULL) {
		r->barred = b->next;
		free(b);
	}
}

/* What an acknowledged end means is settled for good. */
static void
note_end(struct world *w, struct ended_run *e)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, e->task, &ref);
	uint32_t i;

	if (e->noted || j == NULL || j->lasting)
		return;
	e->noted = true;
	if (w->loud)
		printf("  %lld noted %s run=%u how=%d\n", (long long)w->now,
		    e->task, e->run, (int)e->how);
	if (e->how == END_FAILED)
		seen_of(j, ref.step, ref.index)->failures++;
	if (e->how != END_DONE)
		return;
	seen_of(j, ref.step, ref.index)->done = true;
	if (j->steps[ref.step].gang)
		for (i = 0; i < j->steps[ref.step].count; i++)
			seen_of(j, ref.step, i)->done = true;
}

static void
acknowledge(struct world_runner *r, uint64_t seen)
{
	struct ended_run **p = &r->ends, *e;

	while ((e = *p) != NULL) {
		if (e->number > seen) {
			p = &e->next;
			continue;
		}
		note_end(r->world, e);
		*p = e->next;
		free(e);
	}
}

static bool
runs_elsewhere(struct world *w, const struct world_runner *here,
    const char *task, uint32_t number)
{
	const struct live_run *l;
	int i;

	for (i = 0; i < w->nrunners; i++) {
		if (!runner_up(&w->runners[i]))
			continue;
		for (l = w->runners[i].runs; l != NULL; l = l->next)
			if (strcmp(l->task, task) == 0 &&
			    (&w->runners[i] != here || l->number != number))
				return true;
	}
	return false;
}

/* Whether all tasks of the step before have ended done, anywhere. */
static bool
step_ended(const struct world_job *j, int step)
{
	uint32_t i;

	for (i = 0; i < j->steps[step].count; i++)
		if (!seen_of(j, (uint32_t)step, i)->ended)
			return false;
	return true;
}

static void
note_done_run(struct world *w, const char *task)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, task, &ref);
	uint32_t i;

	if (j == NULL)
		return;
	seen_of(j, ref.step, ref.index)->ended = true;
	if (j->steps[ref.step].gang)
		for (i = 0; i < j->steps[ref.step].count; i++)
			seen_of(j, ref.step, i)->ended = true;
}

/* Whether an answer that is only slow has told that the task is done. */
static bool
was_told_done(const struct world *w, const struct world_job *j,
    const struct task_ref *ref)
{
	int64_t at = seen_of(j, ref->step, ref->index)->listed_ms;

	return at != 0 && w->now - at > LISTED_MS;
}

static void
check_start(struct world *w, struct world_runner *r, struct world_job *j,
    const struct task_ref *ref, const struct start_order *o)
{
	const struct world_step *s = &j->steps[ref->step];

	if (!s->speculative && runs_elsewhere(w, r, o->task, o->run))
		broke(w, "twice", o->task);
	if (!s->speculative && seen_of(j, ref->step, ref->index)->done)
		broke(w, "after-done", o->task);
	if (!s->speculative && was_told_done(w, j, ref))
		broke(w, "after-told", o->task);
	if (seen_of(j, ref->step, ref->index)->failures >= 3)
		broke(w, "budget", o->task);
	if (j->refused && !j->accepted)
		broke(w, "refused", o->task);
	if (s->after >= 0 && !step_ended(j, s->after))
		broke(w, "order", o->task);
	if (used_cpu(r) + s->cpu > RUNNER_CPU)
		broke(w, "limit", o->task);
}

static void
count_start(struct world *w, const struct start_order *o, int runner, bool late)
{
	int i;

	for (i = 0; i < w->nstarts; i++)
		if (strcmp(w->starts[i].task, o->task) == 0)
			break;
	if (i == w->nstarts) {
		if (w->nstarts == 8192)
			return;
		str_copy(w->starts[w->nstarts++].task, o->task, TASK_NAME_LEN);
	}
	if (!late && o->run <= w->starts[i].run)
		broke(w, "run-number", o->task);
	if (o->run > w->starts[i].run)
		w->starts[i].run = o->run;
	w->starts[i].n++;
	w->starts[i].runner = runner;
}

static enum order_result
do_start(struct world *w, struct world_runner *r, const struct start_order *o,
    bool late)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, o->task, &ref);
	struct live_run *l;

	if (o->fence < r->fence)
		return ORDER_FENCED;
	r->fence = o->fence;
	for (l = r->runs; l != NULL; l = l->next)
		if (strcmp(l->task, o->task) == 0 && l->number == o->run)
			return ORDER_OK;
	if (o->until_ms > r->until_ms)
		r->until_ms = o->until_ms;
	if (o->run <= barred_run(r, o->task))
		return ORDER_OLD;
	if (o->until_ms <= runner_clock_now(r))
		return ORDER_LATE;
	if (j == NULL) {
		broke(w, "unasked", o->task);
		return ORDER_INVALID;
	}
	trace(w, "start", o->task, o->run, r, o->fence);
	check_start(w, r, j, &ref, o);
	count_start(w, o, r->index, late);
	l = xcalloc(1, sizeof(*l));
	str_copy(l->task, o->task, sizeof(l->task));
	l->number = o->run;
	l->cpu = j->steps[ref.step].cpu;
	l->fails = chance(w, r->fails) || chance(w, w->faults.run_fails);
	l->ends_at = j->steps[ref.step].lasting
	    ? INT64_MAX
	    : w->now + (int64_t)(j->steps[ref.step].ms * r->slow);
	if (l->fails && r->fails > 0)
		l->ends_at = w->now + 20;
	l->next = r->runs;
	r->runs = l;
	if (j->steps[ref.step].gang)
		join_gang(
		    w, l, j->steps[ref.step].count, j->steps[ref.step].ms);
	return ORDER_OK;
}

static enum order_result
do_stop(struct world_runner *r, const char *task, uint32_t run, uint64_t fence)
{
	struct live_run *l;

	if (fence < r->fence)
		return ORDER_FENCED;
	r->fence = fence;
	bar(r, task, run);
	for (l = r->runs; l != NULL; l = l->next)
		if (strcmp(l->task, task) == 0 && l->number == run &&
		    l->stops_at == 0)
			l->stops_at =
			    r->world->now + rnd(r->world, STOP_GRACE_MS);
	return ORDER_OK;
}

static void
runner_tick(struct world *w, struct world_runner *r)
{
	struct live_run *l, *next;

	if (!runner_up(r))
		return;
	if (r->drain_until != 0 && w->now >= r->drain_until) {
		clear_runner(r);
		r->up_at = INT64_MAX;
		return;
	}
	for (l = r->runs; l != NULL; l = next) {
		next = l->next;
		if (l->stops_at != 0 && w->now >= l->stops_at)
			end_live(r, l, END_STOPPED);
		else if (w->now >= l->ends_at)
			end_live(r, l, l->fails ? END_FAILED : END_DONE);
		else if (runner_clock_now(r) >= r->until_ms)
			end_live(r, l, END_LAPSED);
		else if (l->alone_at != 0 && w->now >= l->alone_at)
			end_live(r, l, END_GANG_TIMEOUT);
		else
			continue;
		/* A gang's end may have ended others here. */
		next = r->runs;
	}
}

void
world_runner_crash(struct world *w, int i, int64_t down_ms)
{
	struct world_runner *r = &w->runners[i];

	trace(w, "crash", "", 0, r, 0);
	clear_runner(r);
	r->fence = 0;
	r->until_ms = 0;
	r->end_count = 0;
	r->up_at = w->now + down_ms;
	r->born_ms = r->up_at;
}

void
world_runner_cut(struct world *w, int i, bool cut)
{
	w->runners[i].cut = cut;
}

void
world_slow_cell(struct world *w, int i, int every_ms)
{
	w->cells[i].every_ms = every_ms;
}

void
world_runner_link(struct world *w, int r, int ms)
{
	w->runners[r].link_ms = ms;
}

void
world_runner_drain(struct world *w, int i, int64_t left_ms)
{
	w->runners[i].drain_until = w->now + left_ms;
}

void
world_runner_slow(struct world *w, int r, double factor)
{
	w->runners[r].slow = factor;
}

void
world_runner_fails(struct world *w, int r, int thousandths)
{
	w->runners[r].fails = thousandths;
}

/* Calls to runners */

enum order_kind {
	KIND_START,
	KIND_STOP,
	KIND_HOLD
};

struct order_event {
	struct world_cell *cell;
	int incarnation;
	struct world_runner *runner;
	enum order_kind kind;
	char task[TASK_NAME_LEN];
	char spec[64];
	struct start_order start;
	struct hold_order hold;
	order_fn fn;
	hold_fn hold_fn;
	void *arg;
	bool silent; /**< done late, or its answer is lost */
	int64_t sent_ms;
	int64_t answered_by; /**< incarnation that answers */
	int64_t
	    born_ms; /**< incarnation that received a hold or a silent order */
	struct order_answer answer;
};

static void
give_order_answer(struct world *w, void *arg)
{
	struct order_event *o = arg;

	if (o->answer.result == ORDER_UNKNOWN)
		rtt_overdue(&o->cell->answers, o->sent_ms, w->now);
	if (o->cell->alive && o->cell->incarnation == o->incarnation) {
		if (o->answer.clock_ms != 0)
			o->cell->linked[o->runner->index] = o->answered_by;
		o->fn(&o->answer, o->arg);
	}
	free(o);
}

/* Time after which the adapter gives a call up, beyond its wait. */
static int64_t
timeout_ms(const struct world_cell *c, int unanswered)
{
	int64_t ms = rtt_timeout_ms(
	    &c->answers, ORDER_TIMEOUT_MIN_MS, ORDER_TIMEOUT_MAX_MS);

	if (c->world->fixed_timeouts)
		return ORDER_TIMEOUT_MIN_MS;
	return rtt_patience_ms(ms, unanswered, ORDER_TIMEOUT_MAX_MS);
}

static void
sample(struct world_cell *c, double ms)
{
	rtt_sample(&c->answers, ms);
}

static void
do_order(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;

	/* What a process has received and not yet done dies with it. */
	if (o->silent && o->born_ms != r->born_ms) {
		free(o);
		return;
	}
	if (!runner_up(r) || r->cut) {
		o->answer.result = ORDER_UNKNOWN;
		if (o->silent)
			free(o);
		else
			at(w, ORDER_TIMEOUT_MIN_MS, give_order_answer, o);
		return;
	}
	o->answer.result = o->kind == KIND_START
	    ? do_start(w, r, &o->start, o->silent)
	    : do_stop(r, o->task, o->start.run, o->start.fence);
	o->answer.clock_ms = runner_clock_now(r);
	o->answered_by = r->born_ms;
	if (o->silent) {
		free(o);
	} else if (r->link_ms > timeout_ms(o->cell, 0)) {
		o->answer = (struct order_answer){.result = ORDER_UNKNOWN};
		at(w, timeout_ms(o->cell, 0), give_order_answer, o);
	} else {
		sample(o->cell, ORDER_MS + r->link_ms);
		at(w, ORDER_MS + r->link_ms, give_order_answer, o);
	}
}

/* Orders on several connections overtake each other. */
static int64_t
on_the_way(struct world *w, const struct world_runner *r)
{
	return r->link_ms > 0 ? (int64_t)rnd(w, (uint32_t)r->link_ms) : 0;
}

static void
send_order(struct world *w, struct order_event *o)
{
	struct order_event *copy;

	if (chance(w, w->faults.order_refused)) {
		o->answer.result = ORDER_UNHEALTHY;
		at(w, ORDER_MS, give_order_answer, o);
		return;
	}
	if (chance(w, w->faults.order_dropped)) {
		o->answer.result = ORDER_UNKNOWN;
		at(w, ORDER_TIMEOUT_MIN_MS, give_order_answer, o);
		return;
	}
	if (chance(w, w->faults.order_late) ||
	    chance(w, w->faults.order_lost)) {
		bool late = rnd(w, 2) == 0;

		copy = xmemdup(o, sizeof(*o));
		copy->start.task = copy->task;
		copy->silent = true;
		copy->born_ms = o->runner->born_ms;
		at(w, late ? 2000 + rnd(w, 10000) : ORDER_MS, do_order, copy);
		o->answer.result = ORDER_UNKNOWN;
		at(w, ORDER_TIMEOUT_MIN_MS, give_order_answer, o);
		return;
	}
	at(w, ORDER_MS + on_the_way(w, o->runner), do_order, o);
}

static struct world_cell *
cell_of_runners(struct runner_port *p)
{
	return (struct world_cell *)(void *)((char *)p -
	    offsetof(struct world_cell, runners));
}

static struct world_runner *
find_runner(struct world *w, const char *id)
{
	int i;

	for (i = 0; i < w->nrunners; i++)
		if (strcmp(w->runners[i].id, id) == 0)
			return &w->runners[i];
	abort();
}

static struct order_event *
order_event(struct runner_port *p, const struct target *t)
{
	struct world_cell *c = cell_of_runners(p);
	struct order_event *o = xcalloc(1, sizeof(*o));

	o->cell = c;
	o->incarnation = c->incarnation;
	o->runner = find_runner(c->world, t->id);
	o->sent_ms = c->world->now;
	return o;
}

static void
port_start(struct runner_port *p, const struct target *t,
    const struct start_order *s, bool fresh, order_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);

	(void)fresh;
	o->kind = KIND_START;
	o->start = *s;
	str_copy(o->task, s->task, sizeof(o->task));
	o->start.task = o->task;
	o->fn = fn;
	o->arg = arg;
	send_order(o->cell->world, o);
}

static void
port_stop(struct runner_port *p, const struct target *t, const char *task,
    uint32_t run, uint64_t fence, order_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);

	o->kind = KIND_STOP;
	str_copy(o->task, task, sizeof(o->task));
	o->start.run = run;
	o->start.fence = fence;
	o->fn = fn;
	o->arg = arg;
	send_order(o->cell->world, o);
}

static void
port_pace(struct runner_port *p, const struct target *t, const char *task,
    uint32_t run, int percent, uint64_t fence, order_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);

	(void)task;
	(void)run;
	(void)percent;
	(void)fence;
	o->fn = fn;
	o->arg = arg;
	o->answer.result = ORDER_OK;
	at(o->cell->world, ORDER_MS, give_order_answer, o);
}

static void
hold_error(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct hold_result r = {.result = ORDER_UNKNOWN};

	o->cell->unanswered[o->runner->index]++;
	if (o->hold.wait_ms == 0)
		rtt_overdue(&o->cell->answers, o->sent_ms, w->now);
	if (o->cell->alive && o->cell->incarnation == o->incarnation)
		o->hold_fn(&r, o->arg);
	free(o);
}

/* The runner tells its ends, whether or not the answer is taken. */
static void
list_ends(struct world *w, const struct world_runner *r)
{
	struct ended_run *e;
	struct task_ref ref;
	struct world_job *j;

	for (e = r->ends; e != NULL; e = e->next) {
		j = job_of(w, e->task, &ref);
		if (e->listed || e->how != END_DONE || j == NULL)
			continue;
		e->listed = true;
		seen_of(j, ref.step, ref.index)->listed_ms = w->now;
	}
}

struct held {
	struct hold_result result;
	struct run_seen runs[256];
	struct end_seen ends[512];
	char names[512][TASK_NAME_LEN];
	struct order_event *order;
};

static void
give_hold_answer(struct world *w, void *arg)
{
	struct held *k = arg;
	struct order_event *o = k->order;

	(void)w;
	o->cell->unanswered[o->runner->index] = 0;
	if (o->cell->alive && o->cell->incarnation == o->incarnation) {
		o->cell->linked[o->runner->index] = o->born_ms;
		o->hold_fn(&k->result, o->arg);
	}
	free(o);
	free(k);
}

static void
answer_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;
	const struct live_run *l;
	const struct ended_run *e;
	struct held *k;
	int64_t late;
	uint64_t n;
	int names = 0;

	/* A connection ends with the process at its other end. */
	if (!runner_up(r) || r->cut || o->born_ms != r->born_ms) {
		at(w, ORDER_TIMEOUT_MIN_MS, hold_error, o);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->order = o;
	k->result = (struct hold_result){.result = o->answer.result,
	    .clock_ms = runner_clock_now(r),
	    .born_ms = r->born_ms + 1,
	    .runs = k->runs,
	    .ends = k->ends};
	for (l = r->runs; l != NULL && k->result.nruns < 256; l = l->next) {
		str_copy(k->names[names], l->task, TASK_NAME_LEN);
		k->runs[k->result.nruns++] =
		    (struct run_seen){.task = k->names[names++],
			.run = l->number,
			.saved = "",
			.percent = 100};
	}
	for (n = 1; n <= r->end_count && names < 500; n++)
		for (e = r->ends; e != NULL; e = e->next)
			if (e->number == n && n > o->hold.seen) {
				str_copy(
				    k->names[names], e->task, TASK_NAME_LEN);
				k->ends[k->result.nends++] =
				    (struct end_seen){.number = n,
					.task = k->names[names++],
					.run = e->run,
					.how = e->how,
					.saved = ""};
			}
	if (r->link_ms > 0)
		list_ends(w, r);
	late = timeout_ms(o->cell, o->cell->unanswered[r->index]);
	if (r->link_ms > late) {
		free(k);
		at(w, late, hold_error, o);
		return;
	}
	sample(o->cell, ORDER_MS + r->link_ms);
	if (r->link_ms == 0)
		give_hold_answer(w, k);
	else
		at(w, r->link_ms, give_hold_answer, k);
}

/** Ends the wait of a hold, if it is still that hold which waits. */
struct hold_timer {
	struct world_runner *runner;
	const struct order_event *order;
};

static void
hold_expired(struct world *w, void *arg)
{
	struct hold_timer *t = arg;

	(void)w;
	if (t->runner->waiting == t->order)
		wake_hold(t->runner);
	free(t);
}

static void
do_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;
	struct hold_timer *t;

	if (!runner_up(r) || r->cut) {
		at(w, o->hold.wait_ms + ORDER_TIMEOUT_MIN_MS, hold_error, o);
		return;
	}
	o->answer.result = ORDER_OK;
	o->born_ms = r->born_ms;
	if (o->hold.fence < r->fence) {
		o->answer.result = ORDER_FENCED;
	} else {
		r->fence = o->hold.fence;
		if (o->hold.until_ms > r->until_ms)
			r->until_ms = o->hold.until_ms;
		/* On a new connection nothing is acknowledged. */
		if (o->cell->linked[r->index] == r->born_ms)
			acknowledge(r, o->hold.seen);
		else
			o->hold.seen = 0;
	}
	if (o->hold.wait_ms > 0 && r->ends == NULL && r->waiting == NULL) {
		r->waiting = o;
		t = xcalloc(1, sizeof(*t));
		t->runner = r;
		t->order = o;
		at(w, o->hold.wait_ms, hold_expired, t);
		return;
	}
	at(w, ORDER_MS, answer_hold, o);
}

static void
port_hold(struct runner_port *p, const struct target *t,
    const struct hold_order *h, bool fresh, hold_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);
	struct world *w = o->cell->world;

	(void)fresh;
	w->holds++;
	o->hold = *h;
	o->hold_fn = fn;
	o->arg = arg;
	if (chance(w, w->faults.order_dropped))
		at(w, o->hold.wait_ms + ORDER_TIMEOUT_MIN_MS, hold_error, o);
	else
		at(w, ORDER_MS + on_the_way(w, o->runner), do_hold, o);
}

static const struct runner_ops runner_ops = {
    port_start, port_stop, port_hold, port_pace};

/* The store */

struct store_event {
	struct world_cell *cell;
	int incarnation;
	struct store_txn txn;
	struct row conds[CONDITIONS_MAX];
	char cond_keys[CONDITIONS_MAX][64];
	struct stored writes[100];
	struct stored removes[100];
	char table[32];
	char part[16];
	char from[64];
	store_fn fn;
	void *arg;
	bool silent;
	int err;
};

static struct stored *
find_stored(
    struct world *w, const char *table, const char *part, const char *key)
{
	int i;

	for (i = 0; i < w->nrows; i++)
		if (strcmp(w->rows[i].key, key) == 0 &&
		    strcmp(w->rows[i].part, part) == 0 &&
		    strcmp(w->rows[i].table, table) == 0)
			return &w->rows[i];
	return NULL;
}

static void
put_stored(struct world *w, const struct stored *s)
{
	struct stored *r = find_stored(w, s->table, s->part, s->key);

	if (r == NULL) {
		if (w->nrows == ROWS_MAX)
			abort();
		r = &w->rows[w->nrows++];
		*r = *s;
		r->value = NULL;
	}
	free(r->value);
	r->value = xmemdup(s->value, s->len);
	r->len = s->len;
	r->version = w->version;
}

static void
free_store_event(struct store_event *e)
{
	int i;

	for (i = 0; i < e->txn.nwrites; i++)
		free(e->writes[i].value);
	free(e);
}

static bool
conditions_hold(struct world *w, const struct store_event *e, struct row *rows)
{
	bool hold = true;
	int i;

	for (i = 0; i < e->txn.nconditions; i++) {
		const struct stored *s =
		    find_stored(w, e->conds[i].table, e->part, e->cond_keys[i]);

		rows[i] = e->conds[i];
		rows[i].key = e->cond_keys[i];
		rows[i].version = s != NULL ? s->version : 0;
		rows[i].value = s != NULL ? s->value : NULL;
		rows[i].len = s != NULL ? s->len : 0;
		hold &= rows[i].version == e->conds[i].version;
	}
	return hold;
}

static bool
cell_alive(const struct world_cell *c, int incarnation)
{
	return c->alive && c->incarnation == incarnation;
}

static void
store_error(struct world *w, void *arg)
{
	struct store_event *e = arg;
	struct store_result r = {.err = e->err};

	(void)w;
	if (cell_alive(e->cell, e->incarnation))
		e->fn(&r, e->arg);
	free_store_event(e);
}

static bool
within_limits(const struct world *w, const struct store_event *e)
{
	int i;

	if (e->txn.nwrites + e->txn.nremoves + e->txn.nconditions > TXN_ENTRIES)
		return false;
	for (i = 0; i < e->txn.nwrites; i++)
		if (e->writes[i].len > w->row_bytes)
			return false;
	return true;
}

static void
do_txn(struct world *w, void *arg)
{
	struct store_event *e = arg;
	struct row rows[CONDITIONS_MAX];
	struct store_result r = {.rows = rows, .nrows = e->txn.nconditions};
	struct stored *s;
	int i;

	r.err = conditions_hold(w, e, rows) ? CC_OK : CC_ECONFLICT;
	if (!within_limits(w, e)) {
		r.err = CC_EINVAL;
		r.nrows = 0;
	}
	if (r.err == CC_OK) {
		r.nrows = 0;
		w->version++;
		for (i = 0; i < e->txn.nwrites; i++)
			put_stored(w, &e->writes[i]);
		for (i = 0; i < e->txn.nremoves; i++) {
			s = find_stored(
			    w, e->removes[i].table, e->part, e->removes[i].key);
			if (s == NULL)
				continue;
			free(s->value);
			*s = w->rows[--w->nrows];
		}
	}
	r.version = w->version;
	if (!e->silent && cell_alive(e->cell, e->incarnation))
		e->fn(&r, e->arg);
	free_store_event(e);
}

static struct world_cell *
cell_of_store(struct store *s)
{
	return (struct world_cell *)(void *)((char *)s -
	    offsetof(struct world_cell, store));
}

static void
copy_txn(struct store_event *e, const struct store_txn *t)
{
	int i;

	e->txn = *t;
	str_copy(e->part, t->part, sizeof(e->part));
	for (i = 0; i < t->nconditions; i++) {
		e->conds[i] = t->conditions[i];
		str_copy(e->cond_keys[i], t->conditions[i].key, 64);
	}
	for (i = 0; i < t->nwrites; i++) {
		str_copy(e->writes[i].table, t->writes[i].table, 32);
		str_copy(e->writes[i].part, t->part, 16);
		str_copy(e->writes[i].key, t->writes[i].key, 64);
		e->writes[i].value =
		    xmemdup(t->writes[i].value, t->writes[i].len);
		e->writes[i].len = t->writes[i].len;
	}
	for (i = 0; i < t->nremoves; i++) {
		str_copy(e->removes[i].table, t->removes[i].table, 32);
		str_copy(e->removes[i].key, t->removes[i].key, 64);
	}
}

static struct store_event *
store_event(struct store *s, store_fn fn, void *arg)
{
	struct store_event *e = xcalloc(1, sizeof(*e));

	e->cell = cell_of_store(s);
	e->incarnation = e->cell->incarnation;
	e->fn = fn;
	e->arg = arg;
	return e;
}

static void
silent_copy(struct world *w, const struct store_event *e,
    const struct store_txn *t, int64_t delay)
{
	struct store_event *copy = xmemdup(e, sizeof(*e));

	memset(copy->writes, 0, sizeof(copy->writes));
	copy_txn(copy, t);
	copy->silent = true;
	at(w, delay, do_txn, copy);
}

/* A part does one transaction after another. @return ms until this is done. */
static int64_t
queue_txn(struct world *w, const char *part)
{
	struct part_queue *q = w->parts;

	while (q->part[0] != '\0' && strcmp(q->part, part) != 0)
		if (++q == w->parts + PARTS_MAX)
			abort();
	str_copy(q->part, part, sizeof(q->part));
	if (q->free_at < w->now)
		q->free_at = w->now;
	q->free_at += w->store_ms / 2;
	return q->free_at - w->now + w->store_ms - w->store_ms / 2;
}

static void
port_txn(struct store *s, const struct store_txn *t, int64_t timeout_ms,
    store_fn fn, void *arg)
{
	struct store_event *e = store_event(s, fn, arg);
	struct world *w = e->cell->world;

	copy_txn(e, t);
	e->err = CC_ETIMEOUT;
	if (e->cell->cut_store) {
		at(w, timeout_ms, store_error, e);
	} else if (chance(w, w->faults.store_refused)) {
		e->err = CC_EUNAVAIL;
		at(w, STORE_MS, store_error, e);
	} else if (chance(w, w->faults.store_lost)) {
		silent_copy(w, e, t, STORE_MS);
		at(w, timeout_ms, store_error, e);
	} else if (chance(w, w->faults.store_late)) {
		silent_copy(w, e, t, 1000 + rnd(w, 5000));
		at(w, timeout_ms, store_error, e);
	} else {
		at(w, queue_txn(w, t->part), do_txn, e);
	}
}

static int
by_key(const void *a, const void *b)
{
	return strcmp(
	    ((const struct row *)a)->key, ((const struct row *)b)->key);
}

static void
do_list(struct world *w, void *arg)
{
	struct store_event *e = arg;
	struct row *rows = xcalloc((size_t)w->nrows + 1, sizeof(*rows));
	struct store_result r = {.err = CC_OK, .rows = rows};
	int i;

	for (i = 0; i < w->nrows; i++)
		if (strcmp(w->rows[i].table, e->table) == 0 &&
		    strcmp(w->rows[i].part, e->part) == 0 &&
		    strcmp(w->rows[i].key, e->from) >= 0)
			rows[r.nrows++] = (struct row){.table = e->table,
			    .key = w->rows[i].key,
			    .value = w->rows[i].value,
			    .len = w->rows[i].len,
			    .version = w->rows[i].version};
	qsort(rows, (size_t)r.nrows, sizeof(*rows), by_key);
	r.version = w->version;
	if (cell_alive(e->cell, e->incarnation))
		e->fn(&r, e->arg);
	free(rows);
	free_store_event(e);
}

static void
port_list(struct store *s, const char *table, const char *part,
    const char *from, int limit, store_fn fn, void *arg)
{
	struct store_event *e = store_event(s, fn, arg);

	(void)limit;
	str_copy(e->part, part, sizeof(e->part));
	str_copy(e->table, table, sizeof(e->table));
	str_copy(e->from, from, sizeof(e->from));
	e->err = CC_EUNAVAIL;
	at(e->cell->world, STORE_MS, e->cell->cut_store ? store_error : do_list,
	    e);
}

static const struct store_ops store_ops = {port_txn, port_list, NULL};

/* Advice: every other runner is allowed, by the step's name */

struct advice_event {
	struct world_cell *cell;
	int incarnation;
	char *ids[128];
	int n;
	advice_fn fn;
	void *arg;
};

static void
give_advice(struct world *w, void *arg)
{
	struct advice_event *e = arg;
	struct advice_row rows[128];
	int i, n = 0;

	(void)w;
	for (i = 0; i < e->n; i++)
		if (e->ids[i][1] % 2 == 0)
			rows[n++] = (struct advice_row){e->ids[i], "t"};
	if (cell_alive(e->cell, e->incarnation))
		e->fn(CC_OK, rows, n, 2500, e->arg);
	for (i = 0; i < e->n; i++)
		free(e->ids[i]);
	free(e);
}

static void
port_ask(struct advice_port *p, const char *member, const char *step,
    const char *const *runners, int n, int64_t timeout_ms, advice_fn fn,
    void *arg)
{
	struct world_cell *c = (struct world_cell *)(void *)((char *)p -
	    offsetof(struct world_cell, advice));
	struct advice_event *e = xcalloc(1, sizeof(*e));
	int i;

	(void)member;
	(void)step;
	(void)timeout_ms;
	c->world->advice_calls++;
	e->cell = c;
	e->incarnation = c->incarnation;
	for (i = 0; i < n && i < 128; i++)
		e->ids[e->n++] = xstrdup(runners[i]);
	e->fn = fn;
	e->arg = arg;
	at(c->world, 30, give_advice, e);
}

static const struct advice_ops advice_ops = {port_ask};

/* Cells */

static void
port_wake(void *arg)
{
	((struct world_cell *)arg)->wants_pass = true;
}

static void
port_deposed(void *arg)
{
	cell_resign(&((struct world_cell *)arg)->cell);
}

static struct config *
make_config(void)
{
	static const struct queue queues[] = {
	    {.name = "urgent",
		.service = "s",
		.target_latency_ms = 250,
		.priority = 0,
		.max_attempts = 3,
		.stretch = 1.5},
	    {.name = "batch",
		.service = "s",
		.target_latency_ms = 1200,
		.priority = 2,
		.max_attempts = 3,
		.stretch = 2.2},
	    {.name = "advised",
		.service = "s",
		.target_latency_ms = 250,
		.priority = 0,
		.max_attempts = 3,
		.stretch = 1.5,
		.advice = {.needed = true,
		    .decision_ms = QUICK_CALL_MS,
		    .runner_ms = 0.3,
		    .validity_ms = 2500}},
	};
	struct config *m = xcalloc(1, sizeof(*m));

	m->version = 1;
	m->nqueues = sizeof(queues) / sizeof(queues[0]);
	m->queues = xmemdup(queues, sizeof(queues));
	return m;
}

static void
init_cell(struct world *w, int i)
{
	struct world_cell *c = &w->cells[i];
	struct cell_terms terms = {.max_hold_ms = 10000,
	    .lease_ms = 4500,
	    .start_ms = 2500,
	    .hold_wait_ms = 1200,
	    .stop_grace_ms = STOP_GRACE_MS,
	    .status_ms = 120000,
	    .remote_factor = 3};
	struct cell_ports ports = {.store = &c->store,
	    .runners = &c->runners,
	    .advice = &c->advice,
	    .now = port_now,
	    .wall_now = port_now,
	    .wake = port_wake,
	    .deposed = port_deposed,
	    .arg = c};
	char name[32], hosts[2][64] = {"h0", "h1"};

	snprintf(name, sizeof(name), "cell%d.%d", i, c->incarnation);
	c->store.ops = &store_ops;
	c->runners.ops = &runner_ops;
	c->advice.ops = &advice_ops;
	c->world = w;
	c->alive = true;
	cell_init(&c->cell, &terms, &ports, name);
	cell_set_config(&c->cell, make_config());
	cell_set_hosts(&c->cell, (const char(*)[64])hosts, 2);
}

struct world *
world_new(uint32_t seed, int nrunners)
{
	struct world *w = xcalloc(1, sizeof(*w));
	int i;

	current = w;
	w->now = 1000;
	w->rng = seed * 2654435761u + 1;
	w->nrunners = nrunners;
	w->row_bytes = ROW_BYTES;
	w->store_ms = STORE_MS;
	w->leader = -1;
	for (i = 0; i < nrunners; i++) {
		w->runners[i].world = w;
		w->runners[i].index = i;
		w->runners[i].slow = 1.0;
		snprintf(w->runners[i].id, RUNNER_ID_LEN, "r%c", 'a' + i);
	}
	for (i = 0; i < WORLD_CELLS_MAX; i++)
		init_cell(w, i);
	return w;
}

void
world_delete(struct world *w)
{
	struct event *e;
	int i;

	for (i = 0; i < WORLD_CELLS_MAX; i++)
		if (w->cells[i].alive)
			cell_done(&w->cells[i].cell);
	/* Callbacks free what they carry; no cell is alive to be called. */
	for (i = 0; i < WORLD_CELLS_MAX; i++)
		w->cells[i].alive = false;
	while ((e = w->events) != NULL) {
		w->events = e->next;
		free(e->arg);
		free(e);
	}
	for (i = 0; i < w->nrunners; i++) {
		clear_runner(&w->runners[i]);
		free(w->runners[i].waiting);
	}
	for (i = 0; i < w->nrows; i++)
		free(w->rows[i].value);
	for (i = 0; i < w->njobs; i++)
		free(w->jobs[i].tasks);
	free(w);
}

void
world_row_bytes(struct world *w, size_t most)
{
	w->row_bytes = most;
}

void
world_store_ms(struct world *w, int ms)
{
	w->store_ms = ms;
}

void
world_fixed_timeouts(struct world *w)
{
	w->fixed_timeouts = true;
}

void
world_set_faults(struct world *w, const struct world_faults *f)
{
	w->faults = *f;
}

int64_t
world_now(const struct world *w)
{
	return w->now;
}

struct cell *
world_cell(struct world *w, int i)
{
	return &w->cells[i].cell;
}

static void
feed_registry(struct world *w, struct world_cell *c)
{
	struct runner_info infos[WORLD_RUNNERS_MAX];
	int i, n = 0;

	for (i = 0; i < w->nrunners; i++) {
		struct world_runner *r = &w->runners[i];
		struct runner_info *in = &infos[n];

		if (!runner_up(r))
			continue;
		memset(in, 0, sizeof(*in));
		str_copy(in->id, r->id, sizeof(in->id));
		str_copy(in->service, "s", sizeof(in->service));
		str_copy(in->addr, "127.0.0.1", sizeof(in->addr));
		snprintf(in->rack, sizeof(in->rack), "rack%d", i / 4);
		in->port = 1;
		in->cpu = RUNNER_CPU;
		in->mem_mb = RUNNER_MEM;
		in->born_ms = r->born_ms + 1;
		in->draining = r->drain_until != 0;
		in->remaining_ms = in->draining ? r->drain_until - w->now : -1;
		n++;
	}
	cell_set_runners(&c->cell, infos, n, w->version);
}

static bool
has_processor(struct world_cell *c)
{
	int64_t now = c->world->now;

	if (c->every_ms > 0 && now - c->ran_ms < c->every_ms)
		return false;
	c->ran_ms = now;
	return true;
}

static void
tick_cells(struct world *w)
{
	int i;

	for (i = 0; i < WORLD_CELLS_MAX; i++) {
		struct world_cell *c = &w->cells[i];

		if (!c->alive)
			continue;
		if (w->now % REGISTRY_MS == 0 && !c->cut_store)
			feed_registry(w, c);
		if (has_processor(c))
			cell_tick(&c->cell);
	}
}

static void
pass_cells(struct world *w)
{
	int i;

	for (i = 0; i < WORLD_CELLS_MAX; i++) {
		if (!w->cells[i].alive || !w->cells[i].wants_pass ||
		    w->cells[i].every_ms > 0)
			continue;
		w->cells[i].wants_pass = false;
		cell_pass(&w->cells[i].cell);
	}
}

static void
note_completed(struct world *w)
{
	struct cell_answer a;
	int i;

	if (w->leader < 0 || !w->cells[w->leader].alive)
		return;
	for (i = 0; i < w->njobs; i++) {
		struct world_job *j = &w->jobs[i];

		if (j->completed_ms != 0 || !j->accepted)
			continue;
		a.error = CC_EBUSY;
		cell_get(&w->cells[w->leader].cell, j->queue, j->id, &a);
		if (a.error == CC_OK && a.state == JOB_COMPLETED)
			j->completed_ms = w->now;
	}
}

/* The next moment at which something may happen. */
static int64_t
next_time(const struct world *w, int64_t end)
{
	int64_t t = (w->now / TICK_MS + 1) * TICK_MS;
	const struct live_run *l;
	int i;

	t = end < t ? end : t;
	if (w->events != NULL && w->events->at < t)
		t = w->events->at;
	for (i = 0; i < w->nrunners; i++)
		for (l = w->runners[i].runs; l != NULL; l = l->next)
			t = l->ends_at < t ? l->ends_at : t;
	return t > w->now ? t : w->now + 1;
}

static void
step_on(struct world *w, int64_t end)
{
	struct event *e;
	int i;

	w->now = next_time(w, end);
	while ((e = w->events) != NULL && e->at <= w->now) {
		w->events = e->next;
		e->fn(w, e->arg);
		free(e);
	}
	for (i = 0; i < w->nrunners; i++)
		runner_tick(w, &w->runners[i]);
	if (w->now % TICK_MS == 0)
		tick_cells(w);
	pass_cells(w);
	if (w->now % TICK_MS == 0)
		note_completed(w);
}

void
world_run(struct world *w, int64_t ms)
{
	int64_t end = w->now + ms;

	current = w;
	while (w->now < end)
		step_on(w, end);
}

/* The claim as the member does it, without its wait. */
void
world_claim(struct world *w, int i)
{
	struct stored rows[2] = {
	    {.table = MEMBER_TABLE, .part = CELL_PART, .key = LEADER_KEY},
	    {.table = CELL_TABLE, .part = CELL_PART, .key = COMMIT_KEY},
	};
	Cc__LeaderRow lr = CC__LEADER_ROW__INIT;
	Cc__CommitRow cr = CC__COMMIT_ROW__INIT;
	uint8_t a[128], b[128];

	current = w;
	lr.incarnation = w->cells[i].cell.incarnation;
	cr.incarnation = w->cells[i].cell.incarnation;
	rows[0].value = a;
	rows[0].len = cc__leader_row__pack(&lr, a);
	rows[1].value = b;
	rows[1].len = cc__commit_row__pack(&cr, b);
	w->version++;
	put_stored(w, &rows[0]);
	put_stored(w, &rows[1]);
	w->leader = i;
	if (w->cells[i].cell.phase != CELL_IDLE)
		cell_resign(&w->cells[i].cell);
	cell_lead(&w->cells[i].cell, w->version, w->generation++, w->version);
}

void
world_kill(struct world *w, int i)
{
	struct world_cell *c = &w->cells[i];

	current = w;
	c->incarnation++;
	cell_done(&c->cell);
	init_cell(w, i);
	if (w->leader == i)
		w->leader = -1;
}

void
world_cut_store(struct world *w, int i, bool cut)
{
	w->cells[i].cut_store = cut;
}

/* Callers */

struct submit_arg {
	struct world *world;
	char id[JOB_ID_LEN];
	bool cancels;
};

static void
on_answer(const struct cell_answer *a, void *arg)
{
	struct submit_arg *s = arg;
	struct world_job *j = find_job(s->world, s->id);

	if (!s->cancels && a->error == CC_OK && !j->accepted) {
		j->accepted = true;
		j->accepted_ms = s->world->now;
	}
	if (!s->cancels && a->error == CC_EBUSY)
		j->refused = true;
	if (s->cancels && a->error == CC_OK)
		j->canceled = true;
	free(s);
}

static Cc__JobRow *
make_row(const char *queue, const struct world_step *steps, int n)
{
	Cc__JobRow *row = xcalloc(1, sizeof(*row));
	int i;

	cc__job_row__init(row);
	row->queue = xstrdup(queue);
	row->spec = xstrdup("spec");
	row->steps = xcalloc((size_t)n, sizeof(*row->steps));
	for (i = 0; i < n; i++) {
		Cc__StepSpec *s = xcalloc(1, sizeof(*s));

		cc__step_spec__init(s);
		s->count = steps[i].count;
		s->cpu = steps[i].cpu;
		s->mem_mb = 100;
		s->estimate_ms = steps[i].ms;
		s->gang = steps[i].gang;
		s->long_running = steps[i].lasting;
		s->checkpoints = steps[i].saves;
		s->speculative = steps[i].speculative;
		if (steps[i].after >= 0) {
			s->after = xcalloc(1, sizeof(*s->after));
			s->after[0] = (uint32_t)steps[i].after;
			s->n_after = 1;
		}
		row->steps[row->n_steps++] = s;
	}
	return row;
}

static struct submit_arg *
submit_arg(struct world *w, const char *id, bool cancels)
{
	struct submit_arg *s = xcalloc(1, sizeof(*s));

	s->world = w;
	s->cancels = cancels;
	str_copy(s->id, id, sizeof(s->id));
	return s;
}

void
world_submit(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n)
{
	struct world_job *j = find_job(w, id);
	int i;

	current = w;
	if (w->leader < 0)
		return;
	if (j == NULL) {
		j = &w->jobs[w->njobs++];
		str_copy(j->id, id, sizeof(j->id));
		str_copy(j->queue, queue, sizeof(j->queue));
		j->since_ms = w->now;
		j->n = n;
		memcpy(j->steps, steps, (size_t)n * sizeof(*steps));
		for (i = 0; i < n; i++) {
			j->lasting |= steps[i].lasting;
			if (steps[i].count > j->width)
				j->width = steps[i].count;
		}
		j->tasks = xcalloc((size_t)n * j->width, sizeof(*j->tasks));
	}
	/* A new try of what was refused may be accepted. */
	j->refused = false;
	cell_submit(&w->cells[w->leader].cell, id, make_row(queue, steps, n),
	    on_answer, submit_arg(w, id, false));
}

void
world_cancel(struct world *w, const char *id)
{
	current = w;
	if (w->leader < 0)
		return;
	cell_cancel(
	    &w->cells[w->leader].cell, id, on_answer, submit_arg(w, id, true));
}

int
world_state(struct world *w, const char *id)
{
	const struct job *j;

	current = w;
	if (w->leader < 0)
		return -1;
	HASH_FIND_STR(w->cells[w->leader].cell.jobs, id, j);
	return j != NULL ? (int)j->stored_state : -1;
}

bool
world_accepted(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->accepted;
}

bool
world_refused(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->refused;
}

int64_t
world_accept_ms(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->accepted ? j->accepted_ms - j->since_ms : -1;
}

int64_t
world_took_ms(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->completed_ms != 0 ? j->completed_ms - j->since_ms
						 : -1;
}

int
world_broken(const struct world *w)
{
	return w->broken;
}

void
world_loud(struct world *w, bool loud)
{
	w->loud = loud;
}

bool
world_all_ended(struct world *w)
{
	int i, state;

	for (i = 0; i < w->njobs; i++) {
		if (!w->jobs[i].accepted || w->jobs[i].lasting)
			continue;
		state = world_state(w, w->jobs[i].id);
		if (state < (int)JOB_COMPLETED) {
			if (w->loud)
				printf("not ended: %s state=%d\n",
				    w->jobs[i].id, state);
			return false;
		}
	}
	return true;
}

int
world_at_work(const struct world *w, const char *id)
{
	const struct live_run *l;
	int i, n = 0;

	for (i = 0; i < w->nrunners; i++)
		for (l = w->runners[i].runs; l != NULL; l = l->next)
			n += strncmp(l->task, id, strlen(id)) == 0 &&
			    l->task[strlen(id)] == '.';
	return n;
}

int
world_starts(const struct world *w, const char *task)
{
	int i;

	for (i = 0; i < w->nstarts; i++)
		if (strcmp(w->starts[i].task, task) == 0)
			return w->starts[i].n;
	return 0;
}

const char *
world_runner_of(const struct world *w, const char *task)
{
	int i;

	for (i = 0; i < w->nstarts; i++)
		if (strcmp(w->starts[i].task, task) == 0)
			return w->runners[w->starts[i].runner].id;
	return "";
}

int
world_advice_calls(const struct world *w)
{
	return w->advice_calls;
}

int
world_holds(const struct world *w)
{
	return w->holds;
}
