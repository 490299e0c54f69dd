#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/base/names.h"
#include "../../src/base/xalloc.h"
#include "../../src/coordination/answer_wait.h"
#include "row_check.h"

#define TICK_MS 25
#define GANG_TIMEOUT_MS 3000
/** The store's clock at the start of the world. */
#define STORE_CLOCK_START_MS 7000000
#define STORE_LATENCY_MS 4
#define ORDER_LATENCY_MS 3
/** From a transaction whose answer a cut stops until its caller gives up. */
#define STORE_TIMEOUT_MS 1000
#define STOP_GRACE_MS 400
#define MAX_HOLD_MS 10000
/** A task that has crashed this many runners may be started twice more. */
#define CRASHES_MAX 3
/** Causes that fail a job: failed runs of a task, or runs of a task that were
 * alive when their runner crashed. */
#define FAILED_ENDS_MIN 3
#define CRASHED_RUNS_MIN 2
#define CRASH_AFTER_MS 10  /* from the start to the crash */
#define CRASH_DOWN_MS 2500 /* until the runner is back, by default */
/** A start beyond a capacity that was reduced is a violation after this time.
 */
#define REDUCED_AFTER_MS 3500
/** Characters of an id that a runner keeps when it is back under another. */
#define ID_PREFIX_LEN 2
#define RUNNER_CPU 16000 /* thousandths of a core */
#define RUNNER_MEM_MB 65536
#define ROWS_MAX 4096
#define PARTS_MAX 16
#define CONDITIONS_MAX 16
#define JOBS_MAX 512
#define STARTS_MAX 8192
#define REGISTRY_INTERVAL_MS 500
#define ADVICE_DECISION_MS 25.0
/** Queue whose starts need a ticket. */
#define ADVISED "advised"
#define TICKET_LEN 300
/** Largest value that the store accepts unless a test sets another limit. */
#define MAX_ROW_BYTES 65536
#define MAX_TXN_ENTRIES 100
/** A cell is expected to know an end this long after a runner reported it. */
#define REPORT_GRACE_MS 100
/** A runner that is ready and answers is open to work after this time without a
 * fault. So a task whose turn has come doesn't wait for longer (LOST: 3 s). */
#define OPEN_WITHIN_MS 3000
/** Interval of the comparison of stored rows with the leader's state. */
#define ROW_CHECK_MS 100
/** As the default of the settings. */
#define QUOTA_EXCESS 0.1
#define QUOTA_WINDOW_MS 5000
/** Interval at which an order that a cut holds back tries its path again. */
#define HELD_RETRY_MS 60

struct order_event;

/** The accounts of one version of the configuration. */
struct account_list {
	struct world_account accounts[WORLD_ACCOUNTS_MAX];
	int n;
	uint64_t version;
};

struct event {
	struct event *next;
	int64_t at;
	uint64_t serial;
	void (*fn)(struct world *w, void *arg);
	void *arg;
	void (*drop)(void *arg); /**< frees an argument that wasn't used */
};

struct stored_row {
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
	int64_t ends_at; /**< INT64_MAX: runs until it is stopped */
	bool fails;
	bool crashes_runner; /**< the runner crashes at the end */
	bool gang;
	int64_t
	    gang_timeout_at; /**< an incomplete gang times out then; else 0 */
	int64_t stops_at;    /**< a stop order takes effect then; 0: no order */
};

struct ended_run {
	struct ended_run *next;
	uint64_t number;
	char task[TASK_NAME_LEN];
	uint32_t run;
	enum run_end how;
	int64_t ended_ms;
	bool acknowledged;
	bool reported; /**< an answer to a hold has carried it */
	/** The runner's lease was over between the end and its
	 * acknowledgement: the end doesn't count as known to a cell. */
	bool lapsed;
};

/** Highest run of a task that was stopped or has ended at the runner, which
 * refuses starts up to this run. */
struct run_tombstone {
	struct run_tombstone *next;
	char task[TASK_NAME_LEN];
	uint32_t run;
};

struct world_runner {
	struct world *world;
	int index;
	char id[RUNNER_ID_LEN];
	struct live_run *runs;
	struct ended_run *ends;
	struct run_tombstone *tombstones;
	uint64_t end_count;
	uint64_t fence;
	int64_t lease_until_ms;
	int64_t born_ms;
	int64_t up_at; /**< the runner is down until then */
	int64_t cpu;   /**< thousandths of a core */
	int64_t former_cpu;
	int64_t resized_ms; /**< last change of cpu */
	bool hides_born;    /**< its lists don't show born_ms */
	bool refuses;	    /**< connections to it are refused */
	bool ends_silently; /**< its end resets no connection */
	int replaced;	    /**< times that it came back under another id */
	bool cut;
	bool cut_from[WORLD_CELLS_MAX]; /**< cells that can't reach it */
	bool unlisted;			/**< the registry lacks its entry */
	int clock_pct; /**< rate of its clock, percent of the world's */
	int answer_delay_ms;
	int fail_share;	   /**< runs that fail, in thousandths */
	double slowdown;   /**< factor on the run time of its runs */
	int64_t leaves_at; /**< 0: it doesn't drain */
	int64_t away_ms; /**< time until it is back; INT64_MAX: it stays away */
	int64_t calm_since_ms;	     /**< no fault since then */
	struct order_event *waiting; /**< hold that waits for a run to end */
};

struct task_record {
	bool done_acknowledged; /**< a run ended done, and a cell acknowledged
				   that */
	/** Lowest fence of a hold that acknowledged a done end of a run whose
	 * runner's lease was over by then; 0: none did. */
	uint64_t lapsed_done_fence;
	bool done_seen; /**< a run ended done, acknowledged or not */
	int failures;
	int64_t reported_ms; /**< an answer reported a done end; 0: none did */
	int64_t started_ms;  /**< last start; 0: none */
	int crashes;	     /**< of runners under the task */
	int late_starts;     /**< after CRASHES_MAX crashes */
	int failed_ends;     /**< runs that ended as failed */
	int crashed_runs;    /**< that ran when their runner crashed, by
			      * whatever cause */
};

struct world_job {
	char id[JOB_ID_LEN];
	char queue[64];
	char account[32]; /**< "": none */
	struct world_step steps[8];
	int nsteps;
	bool accepted;
	bool refused;
	bool canceled;
	bool long_running;
	int64_t submitted_ms;
	int64_t accepted_ms;
	int64_t completed_ms;
	bool shown_failed;
	struct task_record *tasks; /**< @c width entries for each step */
	uint32_t width;		   /**< most tasks of a step */
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
	uint32_t cut_parts; /**< bit mask of parts that it can't reach */
	int64_t paused_until;
	int64_t pause_next_ms; /**< paused for so long from its next order on;
				* 0: it isn't */
	bool wants_pass;
	int interval_ms;   /**< least time between ticks; 0: no limit */
	int64_t ticked_ms; /**< last tick */
	int incarnation;
	struct account_list accounts; /**< of its configuration */
	/** Start of each runner's incarnation that answered this cell last. */
	int64_t connected_born_ms[WORLD_RUNNERS_MAX];
	struct rtt rtt;
	struct answer_wait waits[WORLD_RUNNERS_MAX];
};

/** Starts of a task. */
struct start_count {
	char task[TASK_NAME_LEN];
	int n;
	int runner;
	uint32_t run; /**< highest run number started */
	/** Whether the number that is lower by the bit's index was
	 * started. */
	uint64_t started;
};

struct world {
	int64_t now;
	uint64_t serial;
	uint32_t rng;
	struct event *events;
	struct world_faults faults;
	struct stored_row rows[ROWS_MAX];
	int nrows;
	uint64_t version;
	struct account_list accounts; /**< of the newest configuration */
	uint64_t refused_rows; /**< rows of runners last refused as too large */
	struct world_runner runners[WORLD_RUNNERS_MAX];
	int nrunners;
	struct world_cell cells[WORLD_CELLS_MAX];
	int leader;
	const char *dropped_queue; /**< not in the configuration; NULL: none */
	uint32_t generation;
	struct world_job jobs[JOBS_MAX];
	int njobs;
	int violations;
	int exceeded; /**< of them, starts after too many crashes */
	bool verbose;
	int advice_calls;
	int hold_calls;
	size_t max_row_bytes;
	int store_latency_ms;
	struct part_queue {
		char part[16];
		int64_t free_at; /**< end of its last transaction */
	} parts[PARTS_MAX];
	bool fixed_timeouts;
	bool holds_back;
	bool cuts_refuse;
	bool disturbed;
	int64_t registry_lag_ms;
	int64_t crash_down_ms;
	struct registry_list {
		struct runner_info infos[WORLD_RUNNERS_MAX];
		int n;
		uint64_t version;
		int64_t read_ms;
	} registry; /**< what cells get while the registry is behind */
	struct start_count starts[STARTS_MAX];
	int nstarts;
};

/* The clock functions of a cell's ports take no argument. */
static struct world *current;

static int64_t
port_now(void)
{
	return current->now;
}

static uint32_t
random_below(struct world *w, uint32_t n)
{
	w->rng = w->rng * 1664525u + 1013904223u;
	return (w->rng >> 8) % n;
}

static bool
chance(struct world *w, int thousandths)
{
	return thousandths > 0 && (int)random_below(w, 1000) < thousandths;
}

static void
report_violation(struct world *w, const char *what, const char *name)
{
	w->violations++;
	w->exceeded += strcmp(what, "crashes-exceeded") == 0;
	if (w->verbose)
		printf("BROKEN %s %s at %lld\n", what, name, (long long)w->now);
}

static void
trace(const struct world *w, const char *what, const char *task, uint32_t run,
    const struct world_runner *r, uint64_t fence)
{
	if (w->verbose)
		printf("  %lld %s %s run=%u runner=%s fence=%llu\n",
		    (long long)w->now, what, task, run, r->id,
		    (unsigned long long)fence);
}

static void
trace_hold(const struct world *w, const char *what,
    const struct world_runner *r, const struct hold_order *h, int64_t ms)
{
	if (w->verbose)
		printf(
		    "  %lld hold %s runner=%s until=%lld wait=%lld seen=%llu "
		    "ms=%lld fence=%llu\n",
		    (long long)w->now, what, r->id, (long long)h->until_ms,
		    (long long)h->wait_ms, (unsigned long long)h->seen,
		    (long long)ms, (unsigned long long)h->fence);
}

static void
add_event_dropping(struct world *w, int64_t delay,
    void (*fn)(struct world *, void *), void *arg, void (*drop)(void *))
{
	struct event *e = xcalloc(1, sizeof(*e)), **p = &w->events;

	e->at = w->now + delay;
	e->serial = ++w->serial;
	e->fn = fn;
	e->arg = arg;
	e->drop = drop;
	while (*p != NULL && (*p)->at <= e->at)
		p = &(*p)->next;
	e->next = *p;
	*p = e;
}

static void
add_event(struct world *w, int64_t delay, void (*fn)(struct world *, void *),
    void *arg)
{
	add_event_dropping(w, delay, fn, arg, free);
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

static struct task_record *
task_record_of(const struct world_job *j, uint32_t step, uint32_t index)
{
	return &j->tasks[step * j->width + index];
}

/* Runners */

static bool
runner_up(const struct world_runner *r)
{
	return r->world->now >= r->up_at;
}

static bool
is_path_cut(const struct world_cell *c, const struct world_runner *r)
{
	return r->cut || r->cut_from[c - r->world->cells];
}

/* Whether the end of the runner's process resets the cell's connections to it.
 */
static bool
shows_end(const struct world_cell *c, const struct world_runner *r)
{
	return !r->ends_silently && !is_path_cut(c, r);
}

static bool
reaches(const struct world_cell *c, const struct world_runner *r)
{
	return runner_up(r) && !is_path_cut(c, r);
}

static int64_t
runner_clock_now(const struct world_runner *r)
{
	return (r->world->now - r->born_ms) * r->clock_pct / 100 + 1;
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
static void order_unref(void *order);
static void record_done_run(struct world *w, const char *task);
static void end_gang_member(
    struct world_runner *r, struct live_run *l, int64_t arg);
static int for_each_member(struct world *w, const char *task, uint32_t run,
    void (*fn)(struct world_runner *r, struct live_run *l, int64_t arg),
    int64_t arg);

static void
wake_hold(struct world_runner *r)
{
	struct order_event *h = r->waiting;

	if (h == NULL)
		return;
	r->waiting = NULL;
	add_event_dropping(
	    r->world, ORDER_LATENCY_MS, answer_hold, h, order_unref);
}

static void
add_tombstone(struct world_runner *r, const char *task, uint32_t run)
{
	struct run_tombstone *b;

	for (b = r->tombstones; b != NULL; b = b->next)
		if (strcmp(b->task, task) == 0)
			break;
	if (b == NULL) {
		b = xcalloc(1, sizeof(*b));
		str_copy(b->task, task, sizeof(b->task));
		b->next = r->tombstones;
		r->tombstones = b;
	}
	b->run = run > b->run ? run : b->run;
}

static uint32_t
tombstone_run(const struct world_runner *r, const char *task)
{
	const struct run_tombstone *b;

	for (b = r->tombstones; b != NULL; b = b->next)
		if (strcmp(b->task, task) == 0)
			return b->run;
	return 0;
}

static struct task_record *
record_of_run(struct world *w, const struct live_run *l)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, l->task, &ref);

	return task_record_of(j, ref.step, ref.index);
}

static void
end_live_run(struct world_runner *r, struct live_run *l, enum run_end how)
{
	struct live_run **p = &r->runs;
	struct ended_run *e = xcalloc(1, sizeof(*e));

	while (*p != l)
		p = &(*p)->next;
	*p = l->next;
	e->number = ++r->end_count;
	e->ended_ms = r->world->now;
	str_copy(e->task, l->task, sizeof(e->task));
	e->run = l->number;
	e->how = how;
	trace(r->world, how == END_DONE ? "done" : "end", l->task, l->number, r,
	    (uint64_t)how);
	if (how == END_DONE)
		record_done_run(r->world, l->task);
	if (how == END_FAILED)
		record_of_run(r->world, l)->failed_ends++;
	e->next = r->ends;
	r->ends = e;
	add_tombstone(r, l->task, l->number);
	if (l->gang && how != END_DONE)
		for_each_member(
		    r->world, l->task, l->number, end_gang_member, 0);
	free(l);
	wake_hold(r);
}

/* Calls fn, unless it is NULL, for each live member of a gang's run.
 * @return the number of live members. */
static int
for_each_member(struct world *w, const char *task, uint32_t run,
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
start_gang_member(struct world_runner *r, struct live_run *l, int64_t ends_at)
{
	(void)r;
	l->ends_at = ends_at;
	l->gang_timeout_at = 0;
}

static void
end_gang_member(struct world_runner *r, struct live_run *l, int64_t arg)
{
	(void)arg;
	l->gang = false;
	end_live_run(r, l, END_PEER_ENDED);
}

/* The members of a gang begin their work when all of them have started. */
static void
join_gang(struct world *w, struct live_run *l, uint32_t count, uint32_t ms)
{
	l->gang = true;
	l->ends_at = INT64_MAX;
	l->gang_timeout_at = w->now + GANG_TIMEOUT_MS;
	if (for_each_member(w, l->task, l->number, NULL, 0) == (int)count)
		for_each_member(
		    w, l->task, l->number, start_gang_member, w->now + ms);
}

static void
clear_runner(struct world_runner *r)
{
	struct live_run *l;
	struct ended_run *e;
	struct run_tombstone *b;

	while ((l = r->runs) != NULL) {
		r->runs = l->next;
		free(l);
	}
	while ((e = r->ends) != NULL) {
		r->ends = e->next;
		free(e);
	}
	while ((b = r->tombstones) != NULL) {
		r->tombstones = b->next;
		free(b);
	}
}

/* An end that was acknowledged after the runner's lease was over doesn't count
 * for leaders before the one that acknowledged it: they may not know it. */
static void
record_acknowledged_done(
    struct task_record *t, const struct ended_run *e, uint64_t fence)
{
	if (!e->lapsed)
		t->done_acknowledged = true;
	else if (t->lapsed_done_fence == 0 || fence < t->lapsed_done_fence)
		t->lapsed_done_fence = fence;
}

/* Records an end that a cell has acknowledged: from then on the cell must act
 * on it, since the runner forgets the end. */
static void
record_acknowledged_end(struct world *w, struct ended_run *e, uint64_t fence)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, e->task, &ref);
	uint32_t i;

	if (e->acknowledged || j == NULL || j->long_running)
		return;
	e->acknowledged = true;
	if (w->verbose)
		printf("  %lld acknowledged %s run=%u how=%d\n",
		    (long long)w->now, e->task, e->run, (int)e->how);
	if (e->how == END_FAILED)
		task_record_of(j, ref.step, ref.index)->failures++;
	if (e->how != END_DONE)
		return;
	if (!e->lapsed && !j->steps[ref.step].speculative &&
	    task_record_of(j, ref.step, ref.index)->started_ms > e->ended_ms)
		report_violation(w, "started-after-done", e->task);
	record_acknowledged_done(
	    task_record_of(j, ref.step, ref.index), e, fence);
	if (j->steps[ref.step].gang)
		for (i = 0; i < j->steps[ref.step].count; i++)
			record_acknowledged_done(
			    task_record_of(j, ref.step, i), e, fence);
}

static void
acknowledge_ends(struct world_runner *r, uint64_t seen)
{
	struct ended_run **p = &r->ends, *e;

	while ((e = *p) != NULL) {
		if (e->number > seen) {
			p = &e->next;
			continue;
		}
		record_acknowledged_end(r->world, e, r->fence);
		*p = e->next;
		free(e);
	}
}

static bool
has_other_live_run(struct world *w, const struct world_runner *here,
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

/* Whether all tasks of the step have ended done, on whichever runner. */
static bool
step_is_done(const struct world_job *j, int step)
{
	uint32_t i;

	for (i = 0; i < j->steps[step].count; i++)
		if (!task_record_of(j, (uint32_t)step, i)->done_seen)
			return false;
	return true;
}

static void
record_done_run(struct world *w, const char *task)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, task, &ref);
	uint32_t i;

	if (j == NULL)
		return;
	task_record_of(j, ref.step, ref.index)->done_seen = true;
	if (j->steps[ref.step].gang)
		for (i = 0; i < j->steps[ref.step].count; i++)
			task_record_of(j, ref.step, i)->done_seen = true;
}

/* Whether a runner reported the task as done longer than REPORT_GRACE_MS ago,
 * in an answer that may have been slow to arrive. */
static bool
done_was_reported(const struct world *w, const struct world_job *j,
    const struct task_ref *ref)
{
	int64_t at = task_record_of(j, ref->step, ref->index)->reported_ms;

	return !w->disturbed && at != 0 && w->now - at > REPORT_GRACE_MS;
}

/* The capacity that starts are judged by; a reduction counts after a while. */
static int64_t
cpu_limit(const struct world_runner *r)
{
	bool counts = r->world->now - r->resized_ms > REDUCED_AFTER_MS;

	return counts || r->cpu > r->former_cpu ? r->cpu : r->former_cpu;
}

/* Whether the sender of a start with this fence must know that the task is
 * done. */
static bool
is_known_done(const struct task_record *t, uint64_t fence)
{
	return t->done_acknowledged ||
	    (t->lapsed_done_fence != 0 && fence >= t->lapsed_done_fence);
}

/* Cap of the account, thousandths of a core; INT64_MAX: none. */
static int64_t
cap_of(const struct account_list *list, const char *account)
{
	int i;

	for (i = 0; i < list->n; i++)
		if (strcmp(list->accounts[i].name, account) == 0 &&
		    list->accounts[i].cap_cpu > 0)
			return list->accounts[i].cap_cpu;
	return INT64_MAX;
}

/* Highest cap of the newest configuration, that of the leading cell, and the
 * sender's when it sent the start. */
static int64_t
highest_cap(const struct world *w, const char *account, int64_t sent_cap)
{
	int64_t cap = cap_of(&w->accounts, account), leaders;

	if (w->leader >= 0) {
		leaders = cap_of(&w->cells[w->leader].accounts, account);
		cap = leaders > cap ? leaders : cap;
	}
	return sent_cap > cap ? sent_cap : cap;
}

/* What the account's live runs use, thousandths of a core. */
static int64_t
account_cpu(struct world *w, const char *account)
{
	const struct live_run *l;
	const struct world_job *j;
	struct task_ref ref;
	int64_t sum = 0;
	int i;

	for (i = 0; i < w->nrunners; i++)
		for (l = w->runners[i].runs; l != NULL; l = l->next) {
			j = job_of(w, l->task, &ref);
			if (j != NULL && strcmp(j->account, account) == 0)
				sum += l->cpu;
		}
	return sum;
}

/* Whether the account is above its cap with one more task, which may exceed the
 * limit itself. */
static bool
exceeds_cap(struct world *w, const char *account, int64_t sent_cap)
{
	int64_t cap = highest_cap(w, account, sent_cap);

	return cap != INT64_MAX &&
	    (double)account_cpu(w, account) > (double)cap * (1 + QUOTA_EXCESS);
}

/* The ticket for a runner: long, and only its end tells it from others. */
static void
format_ticket(char ticket[TICKET_LEN], const char *runner)
{
	memset(ticket, 't', TICKET_LEN);
	snprintf(ticket + TICKET_LEN / 2, TICKET_LEN / 2, "%s", runner);
}

static bool
has_ticket(const struct world_job *j, const struct world_runner *r,
    const struct start_order *o)
{
	char ticket[TICKET_LEN];

	if (strcmp(j->queue, ADVISED) != 0)
		return o->ticket[0] == '\0';
	format_ticket(ticket, r->id);
	return strcmp(o->ticket, ticket) == 0;
}

static void
check_start(struct world *w, struct world_runner *r, struct world_job *j,
    const struct task_ref *ref, const struct start_order *o, int64_t sent_cap)
{
	const struct world_step *s = &j->steps[ref->step];

	if (!s->speculative && has_other_live_run(w, r, o->task, o->run))
		report_violation(w, "started-while-running", o->task);
	if (!s->speculative &&
	    is_known_done(task_record_of(j, ref->step, ref->index), o->fence))
		report_violation(w, "started-after-done", o->task);
	if (!s->speculative && done_was_reported(w, j, ref))
		report_violation(w, "started-after-done-reported", o->task);
	if (task_record_of(j, ref->step, ref->index)->failures >= 3)
		report_violation(w, "attempts-exceeded", o->task);
	if (task_record_of(j, ref->step, ref->index)->crashes >= CRASHES_MAX &&
	    ++task_record_of(j, ref->step, ref->index)->late_starts > 2)
		report_violation(w, "crashes-exceeded", o->task);
	if (j->refused && !j->accepted)
		report_violation(w, "refused-job-started", o->task);
	if (s->after >= 0 && !step_is_done(j, s->after))
		report_violation(w, "started-before-earlier-step", o->task);
	if (used_cpu(r) + s->cpu > cpu_limit(r))
		report_violation(w, "cpu-exceeded", o->task);
	if (exceeds_cap(w, j->account, sent_cap))
		report_violation(w, "cap-exceeded", o->task);
	if (!has_ticket(j, r, o))
		report_violation(w, "started-without-ticket", o->task);
}

/* Notes a run number. A run and its copy may overtake each other, so where
 * copies are allowed a number may be lower than one before, but not the same.
 * @return whether the number is new. */
static bool
note_run_number(struct start_count *s, uint32_t run, bool copies)
{
	uint32_t lower = s->run - run;
	bool is_new = run > s->run;

	if (is_new) {
		s->started =
		    run - s->run < 64 ? s->started << (run - s->run) : 0;
		s->started |= 1;
		s->run = run;
	} else if (copies && lower < 64) {
		is_new = (s->started >> lower & 1) == 0;
		s->started |= 1ULL << lower;
	}
	return is_new;
}

static void
count_start(struct world *w, const struct start_order *o, int runner, bool late,
    bool copies)
{
	int i;

	for (i = 0; i < w->nstarts; i++)
		if (strcmp(w->starts[i].task, o->task) == 0)
			break;
	if (i == w->nstarts) {
		if (w->nstarts == STARTS_MAX)
			return;
		str_copy(w->starts[w->nstarts++].task, o->task, TASK_NAME_LEN);
	}
	if (!note_run_number(&w->starts[i], o->run, copies) && !late)
		report_violation(w, "run-number-reused", o->task);
	w->starts[i].n++;
	w->starts[i].runner = runner;
}

/* A longer lease than the longest is shortened to it. */
static void
extend_lease(struct world_runner *r, int64_t until_ms)
{
	int64_t most = runner_clock_now(r) + MAX_HOLD_MS;

	if (until_ms > most)
		until_ms = most;
	if (until_ms > r->lease_until_ms)
		r->lease_until_ms = until_ms;
}

static enum order_result
do_start(struct world *w, struct world_runner *r, const struct start_order *o,
    int64_t sent_cap, bool late)
{
	struct task_ref ref;
	struct world_job *j = job_of(w, o->task, &ref);
	struct live_run *l;

	if (o->fence < r->fence) {
		trace(w, "refused", o->task, o->run, r, r->fence);
		return ORDER_FENCED;
	}
	r->fence = o->fence;
	for (l = r->runs; l != NULL; l = l->next)
		if (strcmp(l->task, o->task) == 0 && l->number == o->run)
			return ORDER_OK;
	extend_lease(r, o->until_ms);
	if (o->run <= tombstone_run(r, o->task))
		return ORDER_OLD;
	if (o->until_ms <= runner_clock_now(r))
		return ORDER_LATE;
	if (j == NULL) {
		report_violation(w, "unknown-job-started", o->task);
		return ORDER_INVALID;
	}
	trace(w, "start", o->task, o->run, r, o->fence);
	check_start(w, r, j, &ref, o, sent_cap);
	task_record_of(j, ref.step, ref.index)->started_ms = w->now;
	count_start(w, o, r->index, late, j->steps[ref.step].speculative);
	l = xcalloc(1, sizeof(*l));
	str_copy(l->task, o->task, sizeof(l->task));
	l->number = o->run;
	l->cpu = j->steps[ref.step].cpu;
	l->fails = chance(w, r->fail_share) || chance(w, w->faults.run_fails);
	l->ends_at = j->steps[ref.step].long_running
	    ? INT64_MAX
	    : w->now + (int64_t)(j->steps[ref.step].ms * r->slowdown);
	if (l->fails && r->fail_share > 0)
		l->ends_at = w->now + 20;
	l->crashes_runner = j->steps[ref.step].crashes_runner && ref.index == 0;
	if (l->crashes_runner)
		l->ends_at = w->now + CRASH_AFTER_MS;
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
	add_tombstone(r, task, run);
	for (l = r->runs; l != NULL; l = l->next)
		if (strcmp(l->task, task) == 0 && l->number == run &&
		    l->stops_at == 0)
			l->stops_at = r->world->now +
			    random_below(r->world, STOP_GRACE_MS);
	return ORDER_OK;
}

/* Ends the runner's process; the next one knows nothing of before. */
static void
end_process(struct world *w, struct world_runner *r, int64_t away_ms)
{
	clear_runner(r);
	wake_hold(r);
	r->fence = 0;
	r->lease_until_ms = 0;
	r->end_count = 0;
	r->up_at = away_ms == INT64_MAX ? INT64_MAX : w->now + away_ms;
	r->born_ms = r->up_at;
}

static void
leave(struct world *w, struct world_runner *r)
{
	trace(w, "leave", "", 0, r, 0);
	end_process(w, r, r->away_ms);
	if (r->away_ms != INT64_MAX)
		r->leaves_at = 0;
}

static void
note_lapse(struct world_runner *r)
{
	struct ended_run *e;

	if (runner_clock_now(r) < r->lease_until_ms)
		return;
	for (e = r->ends; e != NULL; e = e->next)
		e->lapsed = true;
}

static void
crash_under(struct world *w, struct world_runner *r, const struct live_run *l)
{
	record_of_run(w, l)->crashes++;
	trace(w, "crashes", l->task, l->number, r, 0);
	world_runner_replace(w, r->index, w->crash_down_ms);
}

static void
runner_tick(struct world *w, struct world_runner *r)
{
	struct live_run *l, *next;

	if (!runner_up(r))
		return;
	if (r->leaves_at != 0 && w->now >= r->leaves_at) {
		leave(w, r);
		return;
	}
	note_lapse(r);
	for (l = r->runs; l != NULL; l = next) {
		next = l->next;
		if (l->crashes_runner && w->now >= l->ends_at) {
			crash_under(w, r, l);
			return;
		}
		if (l->stops_at != 0 && w->now >= l->stops_at)
			end_live_run(r, l, END_STOPPED);
		else if (w->now >= l->ends_at)
			end_live_run(r, l, l->fails ? END_FAILED : END_DONE);
		else if (runner_clock_now(r) >= r->lease_until_ms)
			end_live_run(r, l, END_LAPSED);
		else if (l->gang_timeout_at != 0 &&
		    w->now >= l->gang_timeout_at)
			end_live_run(r, l, END_GANG_TIMEOUT);
		else
			continue;
		/* The end of a gang member may have removed other runs from
		 * the list. */
		next = r->runs;
	}
}

void
world_runner_crash(struct world *w, int i, int64_t down_ms)
{
	struct world_runner *r = &w->runners[i];
	const struct live_run *l;

	trace(w, "crash", "", 0, r, 0);
	for (l = r->runs; l != NULL; l = l->next)
		record_of_run(w, l)->crashed_runs++;
	end_process(w, r, down_ms);
	r->leaves_at = 0;
}

void
world_runner_replace(struct world *w, int i, int64_t down_ms)
{
	struct world_runner *r = &w->runners[i];

	world_runner_crash(w, i, down_ms);
	snprintf(r->id + ID_PREFIX_LEN, sizeof(r->id) - ID_PREFIX_LEN, "%d",
	    ++r->replaced);
}

void
world_runner_end_silently(struct world *w, int i, bool silently)
{
	w->runners[i].ends_silently = silently;
}

void
world_set_crash_down(struct world *w, int64_t ms)
{
	w->crash_down_ms = ms;
}

void
world_runner_resize(struct world *w, int i, int64_t cpu)
{
	struct world_runner *r = &w->runners[i];

	r->former_cpu = r->cpu;
	r->cpu = cpu;
	r->resized_ms = w->now;
}

void
world_runner_refuse(struct world *w, int i, bool refuses)
{
	w->runners[i].refuses = refuses;
}

void
world_runner_hide_born(struct world *w, int i)
{
	w->runners[i].hides_born = true;
}

void
world_runner_cut(struct world *w, int i, bool cut)
{
	w->runners[i].cut = cut;
}

void
world_path_cut(struct world *w, int cell, int runner, bool cut)
{
	w->runners[runner].cut_from[cell] = cut;
}

void
world_cell_set_interval(struct world *w, int i, int interval_ms)
{
	w->cells[i].interval_ms = interval_ms;
}

void
world_runner_set_delay(struct world *w, int r, int ms)
{
	w->runners[r].answer_delay_ms = ms;
}

void
world_runner_drain(struct world *w, int i, int64_t left_ms)
{
	w->runners[i].leaves_at = w->now + left_ms;
	w->runners[i].away_ms = INT64_MAX;
}

void
world_runner_restart(struct world *w, int i, int64_t left_ms, int64_t down_ms)
{
	w->runners[i].leaves_at = w->now + left_ms;
	w->runners[i].away_ms = down_ms;
}

void
world_runner_slowdown(struct world *w, int r, double factor)
{
	w->runners[r].slowdown = factor;
}

void
world_runner_fail_share(struct world *w, int r, int thousandths)
{
	w->runners[r].fail_share = thousandths;
}

/* Pauses of cells */

static bool
cell_paused(const struct world_cell *c)
{
	return c->world->now < c->paused_until;
}

/* Begins a pause that is due. @return ms until the cell's calls leave it. */
static int64_t
pause_delay(struct world_cell *c)
{
	int64_t now = c->world->now;

	if (c->pause_next_ms > 0)
		c->paused_until = now + c->pause_next_ms;
	c->pause_next_ms = 0;
	return cell_paused(c) ? c->paused_until - now : 0;
}

/* Puts an event off that a paused cell can't handle. @return whether it did. */
static bool
put_off_dropping(struct world_cell *c, void (*fn)(struct world *, void *),
    void *arg, void (*drop)(void *))
{
	if (!cell_paused(c))
		return false;
	add_event_dropping(
	    c->world, c->paused_until - c->world->now, fn, arg, drop);
	return true;
}

static bool
put_off(struct world_cell *c, void (*fn)(struct world *, void *), void *arg)
{
	return put_off_dropping(c, fn, arg, free);
}

/* Calls to runners */

enum order_kind {
	KIND_START,
	KIND_STOP,
	KIND_HOLD
};

struct order_event {
	int refs; /**< events and waiting runners that refer to it */
	struct world_cell *cell;
	int incarnation;
	struct world_runner *runner;
	char id[RUNNER_ID_LEN]; /**< of the incarnation that it is for */
	enum order_kind kind;
	char task[TASK_NAME_LEN];
	char ticket[TICKET_LEN];
	struct start_order start;
	struct hold_order hold;
	order_fn fn;
	hold_fn hold_fn;
	void *arg;
	bool answer_lost; /**< carried out, but the cell gets no answer */
	bool timed_out;	  /**< the cell was told that there is no answer yet */
	bool over;	  /**< the cell takes no answer any more */
	uint64_t serial;
	int64_t sent_ms;
	int64_t sent_cap;    /**< the account's, as the sender had it */
	int64_t late_ms;     /**< wait for a late answer after the time-out */
	int64_t answered_by; /**< start of the incarnation that answers */
	/** Start of the incarnation that received a hold or an order whose
	 * answer is lost. */
	int64_t born_ms;
	struct order_answer answer;
};

static void
order_unref(void *order)
{
	struct order_event *o = order;

	if (--o->refs == 0)
		free(o);
}

/* Calls fn with the order after the delay; fn releases the order. */
static void
add_order_event(struct world *w, int64_t delay,
    void (*fn)(struct world *, void *), struct order_event *o)
{
	o->refs++;
	add_event_dropping(w, delay, fn, o, order_unref);
}

static bool
cell_waits(const struct order_event *o)
{
	return o->cell->alive && o->cell->incarnation == o->incarnation;
}

/* Puts an event of the order off as put_off() does. */
static bool
put_off_order(struct order_event *o, void (*fn)(struct world *, void *))
{
	return put_off_dropping(o->cell, fn, o, order_unref);
}

/* Whether a cut that holds orders back keeps the answer from the cell. */
static bool
is_answer_cut(const struct order_event *o)
{
	return o->cell->world->holds_back &&
	    o->answer.result != ORDER_NOT_SENT && !reaches(o->cell, o->runner);
}

static struct answer_wait *
wait_of(const struct order_event *o)
{
	return &o->cell->waits[o->runner->index];
}

/* As in the adapter. */
static int64_t
order_timeout_ms(const struct order_event *o)
{
	if (o->cell->world->fixed_timeouts)
		return ORDER_TIMEOUT_MIN_MS;
	if (o->kind == KIND_HOLD)
		return answer_wait_hold_ms(wait_of(o), &o->cell->rtt);
	return answer_wait_order_ms(wait_of(o), &o->cell->rtt);
}

static void
deliver_order_answer(struct world *w, void *arg)
{
	struct order_event *o = arg;
	double ms = (double)(w->now - o->sent_ms);

	if (put_off_order(o, deliver_order_answer))
		return;
	if (o->over || is_answer_cut(o)) {
		order_unref(o);
		return;
	}
	o->over = true;
	if (o->answer.result != ORDER_NOT_SENT) {
		rtt_sample(&o->cell->rtt, ms);
		answer_wait_sample(wait_of(o), ms);
	}
	if (cell_waits(o)) {
		if (o->answer.clock_ms != 0)
			o->cell->connected_born_ms[o->runner->index] =
			    o->answered_by;
		o->fn(&o->answer, o->arg);
	}
	order_unref(o);
}

static void
time_out_order(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct order_answer a = {.result = ORDER_UNKNOWN};

	if (put_off_order(o, time_out_order))
		return;
	if (!o->over) {
		o->over = true;
		rtt_timed_out(&o->cell->rtt, o->sent_ms, w->now);
		if (cell_waits(o))
			o->fn(&a, o->arg);
	}
	order_unref(o);
}

static void
reset_order(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct order_answer a = {.result = ORDER_UNKNOWN};

	(void)w;
	if (put_off_order(o, reset_order))
		return;
	if (!o->over) {
		o->over = true;
		if (cell_waits(o))
			o->fn(&a, o->arg);
	}
	order_unref(o);
}

/* A copy of the order that is carried out and not answered. */
static struct order_event *
unanswered_copy(const struct order_event *o)
{
	struct order_event *copy = xmemdup(o, sizeof(*o));

	copy->refs = 0;
	copy->start.task = copy->task;
	copy->start.ticket = copy->ticket;
	copy->answer_lost = true;
	copy->born_ms = o->runner->born_ms;
	return copy;
}

/* Keeps an order that a cut holds back until its path is there again. */
static void
hold_back(struct world *w, const struct order_event *o,
    void (*fn)(struct world *, void *))
{
	if (w->holds_back && runner_up(o->runner))
		add_order_event(w,
		    HELD_RETRY_MS + random_below(w, HELD_RETRY_MS), fn,
		    unanswered_copy(o));
}

/* Start of the runner's present incarnation, as its lists show it; 0: they
 * don't. */
static int64_t
shown_born_ms(const struct world_runner *r)
{
	return r->hides_born ? 0 : r->born_ms + 1;
}

/* Whether an order bound to the incarnation of that start, or to none, may take
 * effect on the present one. */
static bool
is_bound_to(const struct world_runner *r, int64_t born_ms)
{
	return born_ms == 0 || born_ms == shown_born_ms(r);
}

static void
do_order(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;

	/* A process that ends loses the orders it hasn't carried out. */
	if (o->answer_lost && o->born_ms != r->born_ms) {
		order_unref(o);
		return;
	}
	if (!reaches(o->cell, r)) {
		hold_back(w, o, do_order);
		if (!runner_up(r) && !o->answer_lost && shows_end(o->cell, r))
			add_order_event(w, ORDER_LATENCY_MS, reset_order, o);
		order_unref(o);
		return;
	}
	if (strcmp(o->id, r->id) != 0)
		o->answer.result = ORDER_OTHER_INCARNATION;
	else if (o->kind == KIND_START && !is_bound_to(r, o->start.born_ms))
		o->answer.result = ORDER_RESTARTED;
	else if (o->kind == KIND_START)
		o->answer.result =
		    do_start(w, r, &o->start, o->sent_cap, o->answer_lost);
	else
		o->answer.result =
		    do_stop(r, o->task, o->start.run, o->start.fence);
	o->answer.clock_ms = runner_clock_now(r);
	o->answered_by = r->born_ms;
	if (!o->answer_lost)
		add_order_event(w, ORDER_LATENCY_MS + r->answer_delay_ms,
		    deliver_order_answer, o);
	order_unref(o);
}

/* Random delay of an order, since orders on several connections overtake each
 * other. */
static int64_t
transit_delay(struct world *w, const struct world_runner *r)
{
	return r->answer_delay_ms > 0
	    ? (int64_t)random_below(w, (uint32_t)r->answer_delay_ms)
	    : 0;
}

/* The order is carried out, and its answer lost. */
static void
lose_answer(struct world *w, const struct order_event *o)
{
	bool late = random_below(w, 2) == 0;

	add_order_event(w,
	    late ? 2000 + random_below(w, 10000) : ORDER_LATENCY_MS, do_order,
	    unanswered_copy(o));
}

static bool
is_refused(const struct order_event *o)
{
	return o->runner->refuses ||
	    (o->cell->world->cuts_refuse && !reaches(o->cell, o->runner));
}

static void
send_order(struct world *w, struct order_event *o)
{
	int64_t delay = pause_delay(o->cell);

	if (is_refused(o)) {
		o->answer.result = ORDER_NOT_SENT;
		add_order_event(w, 1, deliver_order_answer, o);
		return;
	}
	add_order_event(w, order_timeout_ms(o), time_out_order, o);
	if (chance(w, w->faults.order_refused)) {
		o->answer.result = ORDER_UNHEALTHY;
		add_order_event(w, ORDER_LATENCY_MS, deliver_order_answer, o);
	} else if (chance(w, w->faults.order_dropped)) {
		return;
	} else if (chance(w, w->faults.order_late) ||
	    chance(w, w->faults.order_lost)) {
		lose_answer(w, o);
	} else {
		add_order_event(w,
		    delay + ORDER_LATENCY_MS + transit_delay(w, o->runner),
		    do_order, o);
	}
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
		if (strncmp(w->runners[i].id, id, ID_PREFIX_LEN) == 0)
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
	str_copy(o->id, t->id, sizeof(o->id));
	o->sent_ms = c->world->now;
	o->serial = ++c->world->serial;
	return o;
}

static void
port_start(struct runner_port *p, const struct target *t,
    const struct start_order *s, bool fresh, order_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);
	const struct world_job *j;
	struct task_ref ref;

	(void)fresh;
	j = job_of(o->cell->world, s->task, &ref);
	o->sent_cap = cap_of(&o->cell->accounts, j != NULL ? j->account : "");
	o->kind = KIND_START;
	o->start = *s;
	str_copy(o->task, s->task, sizeof(o->task));
	o->start.task = o->task;
	str_copy(o->ticket, s->ticket, sizeof(o->ticket));
	o->start.ticket = o->ticket;
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
	add_order_event(o->cell->world, order_timeout_ms(o), time_out_order, o);
	add_order_event(
	    o->cell->world, ORDER_LATENCY_MS, deliver_order_answer, o);
}

/* Gives the cell the answer of a hold, or the lack of one. */
static void
report_hold(struct order_event *o, const struct hold_result *r)
{
	o->over = !r->more;
	if (cell_waits(o))
		o->hold_fn(r, o->arg);
}

static void
give_up_late_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct hold_result r = {.result = ORDER_UNKNOWN};

	if (put_off_order(o, give_up_late_hold))
		return;
	trace_hold(w, "given-up", o->runner, &o->hold, w->now - o->sent_ms);
	if (!o->over) {
		answer_wait_late_over(wait_of(o));
		report_hold(o, &r);
	}
	order_unref(o);
}

/* The hold's connection ends with the runner's process. */
static void
reset_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct hold_result r = {.result = ORDER_UNKNOWN, .closed = true};

	(void)w;
	if (put_off_order(o, reset_hold))
		return;
	if (!o->over) {
		if (o->timed_out)
			answer_wait_late_over(wait_of(o));
		else
			answer_wait_hold_unanswered(wait_of(o), false);
		report_hold(o, &r);
	}
	order_unref(o);
}

static void
time_out_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct hold_result r = {.result = ORDER_UNKNOWN};

	if (put_off_order(o, time_out_hold))
		return;
	if (!o->over) {
		trace_hold(
		    w, "timed-out", o->runner, &o->hold, w->now - o->sent_ms);
		r.more = o->late_ms > 0;
		o->timed_out = true;
		answer_wait_hold_unanswered(wait_of(o), r.more);
		if (o->hold.wait_ms == 0)
			rtt_timed_out(&o->cell->rtt, o->sent_ms, w->now);
		if (r.more)
			add_order_event(w, o->late_ms, give_up_late_hold, o);
		report_hold(o, &r);
	}
	order_unref(o);
}

/* Records the time of an answer to a hold, as the adapter does. */
static void
note_hold(struct order_event *o)
{
	double ms = (double)(o->cell->world->now - o->sent_ms);

	if (o->timed_out) {
		answer_wait_late_over(wait_of(o));
		answer_wait_sample(wait_of(o), ms - (double)o->hold.wait_ms);
	} else if (o->hold.wait_ms == 0) {
		rtt_sample(&o->cell->rtt, ms);
		answer_wait_sample(wait_of(o), ms);
	}
	answer_wait_hold_answered(wait_of(o));
}

/* Records that the runner reported its ends, whether or not the answer arrives
 * before the time-out. */
static void
record_reported_ends(struct world *w, const struct world_runner *r)
{
	struct ended_run *e;
	struct task_ref ref;
	struct world_job *j;

	for (e = r->ends; e != NULL; e = e->next) {
		j = job_of(w, e->task, &ref);
		if (e->reported || e->how != END_DONE || j == NULL)
			continue;
		e->reported = true;
		task_record_of(j, ref.step, ref.index)->reported_ms = w->now;
	}
}

struct hold_reply {
	struct hold_result result;
	struct run_seen runs[256];
	struct end_seen ends[512];
	char names[512][TASK_NAME_LEN];
	struct order_event *order;
};

static void
drop_hold_reply(void *reply)
{
	struct hold_reply *k = reply;

	order_unref(k->order);
	free(k);
}

static void
deliver_hold_answer(struct world *w, void *arg)
{
	struct hold_reply *k = arg;
	struct order_event *o = k->order;

	if (put_off_dropping(o->cell, deliver_hold_answer, k, drop_hold_reply))
		return;
	if (!o->over) {
		trace_hold(
		    w, "answered", o->runner, &o->hold, w->now - o->sent_ms);
		note_hold(o);
		if (cell_waits(o))
			o->cell->connected_born_ms[o->runner->index] =
			    o->born_ms;
		report_hold(o, &k->result);
	}
	drop_hold_reply(k);
}

static void
answer_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;
	const struct live_run *l;
	const struct ended_run *e;
	struct hold_reply *k;
	uint64_t n;
	int names = 0;

	if (!reaches(o->cell, r) || o->born_ms != r->born_ms) {
		if (o->born_ms != r->born_ms && shows_end(o->cell, r))
			add_order_event(w, ORDER_LATENCY_MS, reset_hold, o);
		order_unref(o);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->order = o;
	k->result = (struct hold_result){.result = o->answer.result,
	    .clock_ms = runner_clock_now(r),
	    .born_ms = shown_born_ms(r),
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
	if (r->answer_delay_ms > 0)
		record_reported_ends(w, r);
	trace_hold(w, "listed", r, &o->hold, w->now - o->sent_ms);
	if (r->answer_delay_ms == 0)
		deliver_hold_answer(w, k);
	else
		add_event_dropping(w, r->answer_delay_ms, deliver_hold_answer,
		    k, drop_hold_reply);
}

/** Ends the wait of a hold, unless it was answered before. */
struct hold_timer {
	struct world_runner *runner;
	uint64_t serial; /**< of the hold */
};

static void
hold_expired(struct world *w, void *arg)
{
	struct hold_timer *t = arg;

	(void)w;
	if (t->runner->waiting != NULL &&
	    t->runner->waiting->serial == t->serial)
		wake_hold(t->runner);
	free(t);
}

static void
hold_unserved(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct hold_result r = {.result = o->answer.result};

	(void)w;
	/* The connections before ended with the process. */
	r.closed = r.result == ORDER_NOT_SENT && !runner_up(o->runner) &&
	    shows_end(o->cell, o->runner);
	if (put_off_order(o, hold_unserved))
		return;
	if (!o->over) {
		if (o->answer.result == ORDER_NOT_SENT)
			answer_wait_hold_unanswered(wait_of(o), false);
		else
			note_hold(o);
		report_hold(o, &r);
	}
	order_unref(o);
}

/* Carries out what a hold says of one incarnation. On a new connection, which
 * may lead to another one, that is left out, as is the wait. */
static void
serve_bound(struct order_event *o, struct world_runner *r)
{
	if (o->cell->connected_born_ms[r->index] != r->born_ms ||
	    !is_bound_to(r, o->hold.born_ms)) {
		o->hold.seen = 0;
		o->hold.wait_ms = 0;
		return;
	}
	extend_lease(r, o->hold.until_ms);
	acknowledge_ends(r, o->hold.seen);
}

static void
apply_hold(struct world_runner *r, struct order_event *o)
{
	r->fence = o->hold.fence;
	serve_bound(o, r);
}

/* A hold that was held back: nobody waits for its answer. */
static void
do_late_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;

	if (o->born_ms == r->born_ms && !reaches(o->cell, r))
		hold_back(w, o, do_late_hold);
	else if (o->born_ms == r->born_ms && strcmp(o->id, r->id) == 0 &&
	    o->hold.fence >= r->fence)
		apply_hold(r, o);
	order_unref(o);
}

static void
do_hold(struct world *w, void *arg)
{
	struct order_event *o = arg;
	struct world_runner *r = o->runner;
	struct hold_timer *t;

	if (!reaches(o->cell, r)) {
		hold_back(w, o, do_late_hold);
		if (!runner_up(r) && shows_end(o->cell, r))
			add_order_event(w, ORDER_LATENCY_MS, reset_hold, o);
		order_unref(o);
		return;
	}
	o->answer.result = ORDER_OK;
	o->born_ms = r->born_ms;
	if (strcmp(o->id, r->id) != 0) {
		o->answer.result = ORDER_OTHER_INCARNATION;
		add_order_event(w, ORDER_LATENCY_MS, hold_unserved, o);
		order_unref(o);
		return;
	}
	if (o->hold.fence < r->fence) {
		o->answer.result = ORDER_FENCED;
	} else {
		apply_hold(r, o);
	}
	if (o->hold.wait_ms > 0 && r->ends == NULL && r->waiting == NULL) {
		r->waiting = o;
		t = xcalloc(1, sizeof(*t));
		t->runner = r;
		t->serial = o->serial;
		add_event(w, o->hold.wait_ms, hold_expired, t);
		return;
	}
	add_order_event(w, ORDER_LATENCY_MS, answer_hold, o);
	order_unref(o);
}

static void
port_hold(struct runner_port *p, const struct target *t,
    const struct hold_order *h, bool fresh, hold_fn fn, void *arg)
{
	struct order_event *o = order_event(p, t);
	struct world *w = o->cell->world;
	int64_t delay = pause_delay(o->cell);

	(void)fresh;
	w->hold_calls++;
	trace_hold(w, "sent", o->runner, h, 0);
	o->hold = *h;
	o->hold_fn = fn;
	o->arg = arg;
	o->kind = KIND_HOLD;
	o->answer.result = ORDER_NOT_SENT;
	if (is_refused(o)) {
		add_order_event(w, 1, hold_unserved, o);
		return;
	}
	if (!w->fixed_timeouts)
		o->late_ms = answer_wait_late_ms(wait_of(o));
	add_order_event(w, h->wait_ms + order_timeout_ms(o), time_out_hold, o);
	if (!chance(w, w->faults.order_dropped))
		add_order_event(w,
		    delay + ORDER_LATENCY_MS + transit_delay(w, o->runner),
		    do_hold, o);
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
	struct stored_row writes[100];
	struct stored_row removes[100];
	char table[32];
	char part[16];
	char from[64];
	int limit;
	store_fn fn;
	void *arg;
	bool answer_lost;
	int err;
	uint64_t version; /**< of an answer that was put off */
};

static struct stored_row *
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
put_stored(struct world *w, const struct stored_row *s)
{
	struct stored_row *r = find_stored(w, s->table, s->part, s->key);

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
		const struct stored_row *s =
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
	struct store_result r = {.err = e->err, .version = e->version};

	(void)w;
	if (put_off(e->cell, store_error, e))
		return;
	if (cell_alive(e->cell, e->incarnation))
		e->fn(&r, e->arg);
	free_store_event(e);
}

static bool
within_limits(const struct world *w, const struct store_event *e)
{
	int i;

	if (e->txn.nwrites + e->txn.nremoves + e->txn.nconditions >
	    MAX_TXN_ENTRIES)
		return false;
	for (i = 0; i < e->txn.nwrites; i++)
		if (e->writes[i].len > w->max_row_bytes)
			return false;
	return true;
}

/* Notes which rows of runners the transaction writes or fails to write. */
static void
note_runner_rows(struct world *w, const struct store_event *e, bool refused)
{
	uint64_t bit;
	int i;

	for (i = 0; i < e->txn.nwrites; i++) {
		if (strncmp(e->writes[i].key, RUNNERS_PREFIX,
			strlen(RUNNERS_PREFIX)) != 0)
			continue;
		bit = 1ULL << atoi(e->writes[i].key + strlen(RUNNERS_PREFIX));
		w->refused_rows &= ~bit;
		if (refused)
			w->refused_rows |= bit;
	}
}

static bool
cut_from_part(const struct world_cell *c, const char *part)
{
	return c->cut_store || (c->cut_parts >> (part[1] - '0') & 1) != 0;
}

static void
do_txn(struct world *w, void *arg)
{
	struct store_event *e = arg;
	struct row rows[CONDITIONS_MAX];
	struct store_result r = {.rows = rows, .nrows = e->txn.nconditions};
	struct stored_row *s;
	int i;

	r.err = conditions_hold(w, e, rows) ? CC_OK : CC_ECONFLICT;
	if (!within_limits(w, e)) {
		r.err = CC_EINVAL;
		r.nrows = 0;
		note_runner_rows(w, e, true);
	}
	if (r.err == CC_OK) {
		note_runner_rows(w, e, false);
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
	if (w->holds_back && cut_from_part(e->cell, e->part) &&
	    !e->answer_lost) {
		e->err = CC_ETIMEOUT;
		add_event(w, STORE_TIMEOUT_MS, store_error, e);
		return;
	}
	/* A paused cell gets this answer later, or none that a conflict shows.
	 */
	e->version = r.version;
	e->err = r.err == CC_ECONFLICT ? CC_ETIMEOUT : r.err;
	if (!e->answer_lost && put_off(e->cell, store_error, e))
		return;
	if (!e->answer_lost && cell_alive(e->cell, e->incarnation))
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
add_unanswered_txn(struct world *w, const struct store_event *e,
    const struct store_txn *t, int64_t delay)
{
	struct store_event *copy = xmemdup(e, sizeof(*e));

	memset(copy->writes, 0, sizeof(copy->writes));
	copy_txn(copy, t);
	copy->answer_lost = true;
	add_event(w, delay, do_txn, copy);
}

/* Queues a transaction behind the others of its part. @return ms until it is
 * done. */
static int64_t
enqueue_txn(struct world *w, const char *part)
{
	struct part_queue *q = w->parts;

	while (q->part[0] != '\0' && strcmp(q->part, part) != 0)
		if (++q == w->parts + PARTS_MAX)
			abort();
	str_copy(q->part, part, sizeof(q->part));
	if (q->free_at < w->now)
		q->free_at = w->now;
	q->free_at += w->store_latency_ms / 2;
	return q->free_at - w->now + w->store_latency_ms -
	    w->store_latency_ms / 2;
}

/* A transaction that the cut refuses at once, or that has no answer and may be
 * done late. */
static void
cut_txn(struct world *w, struct store_event *e, const struct store_txn *t,
    int64_t timeout_ms)
{
	if (w->cuts_refuse) {
		e->err = CC_EUNAVAIL;
		add_event(w, STORE_LATENCY_MS, store_error, e);
		return;
	}
	if (w->holds_back && random_below(w, 2) == 0)
		add_unanswered_txn(w, e, t, 1000 + random_below(w, 11000));
	add_event(w, timeout_ms, store_error, e);
}

static void
port_txn(struct store *s, const struct store_txn *t, int64_t timeout_ms,
    store_fn fn, void *arg)
{
	struct store_event *e = store_event(s, fn, arg);
	struct world *w = e->cell->world;

	copy_txn(e, t);
	e->err = CC_ETIMEOUT;
	if (cut_from_part(e->cell, t->part)) {
		cut_txn(w, e, t, timeout_ms);
	} else if (chance(w, w->faults.store_refused)) {
		e->err = CC_EUNAVAIL;
		add_event(w, STORE_LATENCY_MS, store_error, e);
	} else if (chance(w, w->faults.store_lost)) {
		add_unanswered_txn(w, e, t, STORE_LATENCY_MS);
		add_event(w, timeout_ms, store_error, e);
	} else if (chance(w, w->faults.store_late)) {
		add_unanswered_txn(w, e, t, 1000 + random_below(w, 5000));
		add_event(w, timeout_ms, store_error, e);
	} else {
		add_event(w, pause_delay(e->cell) + enqueue_txn(w, t->part),
		    do_txn, e);
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
	struct row *rows;
	struct store_result r = {.err = CC_OK};
	int i;

	if (put_off(e->cell, do_list, e))
		return;
	rows = xcalloc((size_t)w->nrows + 1, sizeof(*rows));
	r.rows = rows;

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
	r.has_more = r.nrows > e->limit;
	r.nrows = r.has_more ? e->limit : r.nrows;
	r.last_key = r.nrows > 0 ? rows[r.nrows - 1].key : NULL;
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

	e->limit = limit;
	str_copy(e->part, part, sizeof(e->part));
	str_copy(e->table, table, sizeof(e->table));
	str_copy(e->from, from, sizeof(e->from));
	e->err = CC_EUNAVAIL;
	add_event(e->cell->world, STORE_LATENCY_MS,
	    cut_from_part(e->cell, part) ? store_error : do_list, e);
}

static const struct store_ops store_ops = {port_txn, port_list, NULL};

/* Advice service: allows every other runner, by the second letter of its id */

struct advice_event {
	struct world_cell *cell;
	int incarnation;
	char *ids[128];
	int n;
	advice_fn fn;
	void *arg;
};

static void
deliver_advice(struct world *w, void *arg)
{
	struct advice_event *e = arg;
	struct advice_row rows[128];
	char tickets[128][TICKET_LEN];
	int i, n = 0;

	(void)w;
	for (i = 0; i < e->n; i++) {
		if (e->ids[i][1] % 2 != 0)
			continue;
		format_ticket(tickets[n], e->ids[i]);
		rows[n] = (struct advice_row){e->ids[i], tickets[n]};
		n++;
	}
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
	add_event(c->world, 30, deliver_advice, e);
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
make_config(const struct account_list *list)
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
	    {.name = ADVISED,
		.service = "s",
		.target_latency_ms = 250,
		.priority = 0,
		.max_attempts = 3,
		.stretch = 1.5,
		.advice = {.needed = true,
		    .decision_ms = ADVICE_DECISION_MS,
		    .runner_ms = 0.3,
		    .validity_ms = 2500}},
	};
	struct config *c = config_new();
	size_t i;
	int k;

	c->version = 1 + list->version;
	for (i = 0; i < sizeof(queues) / sizeof(queues[0]); i++)
		if (current->dropped_queue == NULL ||
		    strcmp(queues[i].name, current->dropped_queue) != 0)
			config_add_queue(c, &queues[i]);
	c->has_accounts = list->n > 0;
	for (k = 0; k < list->n; k++) {
		char name[32];

		str_copy(name, list->accounts[k].name, sizeof(name));
		config_add_account(c,
		    &(struct account_terms){.name = name,
			.weight = list->accounts[k].weight,
			.cap = {.cpu = list->accounts[k].cap_cpu}});
	}
	return c;
}

static void
init_cell(struct world *w, int i)
{
	struct world_cell *c = &w->cells[i];
	struct cell_terms terms = {.max_hold_ms = MAX_HOLD_MS,
	    .lease_ms = 4500,
	    .lead_lease_ms = 6000,
	    .start_ms = 2500,
	    .hold_wait_ms = 1200,
	    .stop_grace_ms = STOP_GRACE_MS,
	    .status_ms = 120000,
	    .remote_factor = 3,
	    .quota_excess = QUOTA_EXCESS,
	    .quota_window_ms = QUOTA_WINDOW_MS};
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
	c->accounts = w->accounts;
	cell_set_config(&c->cell, make_config(&c->accounts));
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
	w->max_row_bytes = MAX_ROW_BYTES;
	w->store_latency_ms = STORE_LATENCY_MS;
	w->leader = -1;
	w->crash_down_ms = CRASH_DOWN_MS;
	for (i = 0; i < nrunners; i++) {
		w->runners[i].world = w;
		w->runners[i].index = i;
		w->runners[i].slowdown = 1.0;
		w->runners[i].clock_pct = 100;
		w->runners[i].cpu = RUNNER_CPU;
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
	/* The events that are left are freed without a call to any cell. */
	for (i = 0; i < WORLD_CELLS_MAX; i++)
		w->cells[i].alive = false;
	while ((e = w->events) != NULL) {
		w->events = e->next;
		e->drop(e->arg);
		free(e);
	}
	for (i = 0; i < w->nrunners; i++) {
		clear_runner(&w->runners[i]);
		if (w->runners[i].waiting != NULL)
			order_unref(w->runners[i].waiting);
	}
	for (i = 0; i < w->nrows; i++)
		free(w->rows[i].value);
	for (i = 0; i < w->njobs; i++)
		free(w->jobs[i].tasks);
	free(w);
}

void
world_set_max_row_bytes(struct world *w, size_t bytes)
{
	w->max_row_bytes = bytes;
}

void
world_set_store_latency(struct world *w, int ms)
{
	w->store_latency_ms = ms;
}

void
world_use_fixed_timeouts(struct world *w)
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

/* Reads the registry; while it is behind, what it showed before stays. */
static void
read_registry(struct world *w)
{
	struct runner_info *infos = w->registry.infos;
	char rack[16];
	int i, n = 0;

	if (w->now - w->registry.read_ms < w->registry_lag_ms)
		return;
	w->registry.read_ms = w->now;

	for (i = 0; i < w->nrunners; i++) {
		struct world_runner *r = &w->runners[i];
		struct runner_info *in = &infos[n];

		if (!runner_up(r) || r->unlisted)
			continue;
		memset(in, 0, sizeof(*in));
		str_copy(in->id, r->id, sizeof(in->id));
		in->service = "s";
		str_copy(in->addr, "127.0.0.1", sizeof(in->addr));
		snprintf(rack, sizeof(rack), "rack%d", i / 4);
		in->rack = names_get(rack);
		in->port = (uint16_t)(i + 1);
		in->cpu = r->cpu;
		in->mem_mb = RUNNER_MEM_MB;
		in->born_ms = r->born_ms + 1;
		in->draining = r->leaves_at != 0;
		in->remaining_ms = in->draining ? r->leaves_at - w->now : -1;
		n++;
	}
	w->registry.n = n;
	w->registry.version = w->version;
}

static void
feed_registry(struct world *w, struct world_cell *c)
{
	read_registry(w);
	cell_set_runners(
	    &c->cell, w->registry.infos, w->registry.n, w->registry.version);
}

static void
feed_config(const struct world *w, struct world_cell *c)
{
	if (c->accounts.version == w->accounts.version)
		return;
	c->accounts = w->accounts;
	cell_set_config(&c->cell, make_config(&c->accounts));
}

static bool
tick_is_due(struct world_cell *c)
{
	int64_t now = c->world->now;

	if (c->interval_ms > 0 && now - c->ticked_ms < c->interval_ms)
		return false;
	c->ticked_ms = now;
	return true;
}

/* Whether nothing keeps the leader from opening the runner. */
static bool
runner_is_calm(const struct world *w, const struct world_cell *c,
    const struct world_runner *r)
{
	static const struct world_faults none;

	return c->cell.phase == CELL_SERVING && !c->cut_store &&
	    c->cut_parts == 0 && !cell_paused(c) && !r->unlisted &&
	    w->registry_lag_ms == 0 && c->interval_ms == 0 &&
	    w->store_latency_ms <= STORE_LATENCY_MS &&
	    memcmp(&w->faults, &none, sizeof(none)) == 0 && reaches(c, r) &&
	    r->leaves_at == 0 && r->answer_delay_ms == 0 && !r->unlisted;
}

/* An entry that a test itself gave the cell may say that the runner drains. */
static bool
has_later_entry(const struct world *w, const struct runner *r)
{
	return r != NULL && r->info.version > w->version;
}

static void
check_runner_opens(
    struct world *w, const struct world_cell *c, struct world_runner *r)
{
	const struct runner *known;

	HASH_FIND_STR(c->cell.runners, r->id, known);
	if (!runner_is_calm(w, c, r) || w->refused_rows != 0 ||
	    has_later_entry(w, known)) {
		r->calm_since_ms = w->now;
		return;
	}
	if (w->now - r->calm_since_ms <= OPEN_WITHIN_MS)
		return;
	if (known != NULL && known->stored_open && known->adopted &&
	    runner_takes_work(known))
		return;
	report_violation(w, "ready-runner-not-open", r->id);
	r->calm_since_ms = w->now;
}

static void
check_leader(struct world *w, struct world_cell *c)
{
	const char *id = NULL;
	int i;

	if (c->cell.phase == CELL_SERVING && w->now % ROW_CHECK_MS == 0)
		id = row_check(w, &c->cell, ~w->refused_rows);
	if (id != NULL)
		report_violation(w, "runner-row-outdated", id);
	for (i = 0; i < w->nrunners; i++)
		check_runner_opens(w, c, &w->runners[i]);
}

static void
reset_calm(struct world *w)
{
	int i;

	for (i = 0; i < w->nrunners; i++)
		w->runners[i].calm_since_ms = w->now;
}

static void
tick_cells(struct world *w)
{
	int i;

	for (i = 0; i < WORLD_CELLS_MAX; i++) {
		struct world_cell *c = &w->cells[i];

		if (w->leader == i && cell_paused(c))
			reset_calm(w);
		if (!c->alive || cell_paused(c))
			continue;
		if (w->now % REGISTRY_INTERVAL_MS == 0 && !c->cut_store) {
			feed_registry(w, c);
			feed_config(w, c);
		}
		if (!tick_is_due(c))
			continue;
		cell_tick(&c->cell);
		if (w->leader == i)
			check_leader(w, c);
	}
}

static void
pass_cells(struct world *w)
{
	int i;

	for (i = 0; i < WORLD_CELLS_MAX; i++) {
		if (!w->cells[i].alive || !w->cells[i].wants_pass ||
		    cell_paused(&w->cells[i]) || w->cells[i].interval_ms > 0)
			continue;
		w->cells[i].wants_pass = false;
		cell_pass(&w->cells[i].cell);
	}
}

/* Whether a task of the step has failed as often as allowed, or two runners
 * have crashed under one; a gang fails as one. */
static bool
step_may_fail(const struct world_job *j, int step)
{
	int failed = 0;
	uint32_t i;

	for (i = 0; i < j->steps[step].count; i++) {
		const struct task_record *t =
		    task_record_of(j, (uint32_t)step, i);

		failed = j->steps[step].gang ? failed + t->failed_ends
					     : t->failed_ends;
		if (failed >= FAILED_ENDS_MIN ||
		    t->crashed_runs >= CRASHED_RUNS_MIN)
			return true;
	}
	return false;
}

static bool
job_may_fail(const struct world_job *j)
{
	int i;

	for (i = 0; i < j->nsteps; i++)
		if (step_may_fail(j, i))
			return true;
	return false;
}

static void
check_failed(struct world *w, struct world_job *j)
{
	if (j->shown_failed)
		return;
	j->shown_failed = true;
	if (!job_may_fail(j))
		report_violation(w, "failed-without-cause", j->id);
}

static void
record_completions(struct world *w)
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
		cell_get(&w->cells[w->leader].cell,
		    &(struct cell_caller){j->queue, j->account}, j->id, &a);
		if (a.error == CC_OK && a.state == JOB_COMPLETED)
			j->completed_ms = w->now;
		if (a.error == CC_OK && a.state == JOB_FAILED)
			check_failed(w, j);
	}
}

/* When the lease of the runner's runs is over; after @p t when there is none.
 */
static int64_t
lapse_time(const struct world_runner *r, int64_t t)
{
	int64_t ms = (r->lease_until_ms - 1) * 100;

	if (r->runs == NULL)
		return t + 1;
	return r->born_ms + (ms + r->clock_pct - 1) / r->clock_pct;
}

/* Time of the next tick, event, end of a run or of a lease, at most @p end. */
static int64_t
next_time(const struct world *w, int64_t end)
{
	int64_t t = (w->now / TICK_MS + 1) * TICK_MS;
	const struct live_run *l;
	int i;

	t = end < t ? end : t;
	if (w->events != NULL && w->events->at < t)
		t = w->events->at;
	for (i = 0; i < w->nrunners; i++) {
		if (lapse_time(&w->runners[i], t) < t)
			t = lapse_time(&w->runners[i], t);
		for (l = w->runners[i].runs; l != NULL; l = l->next)
			t = l->ends_at < t ? l->ends_at : t;
	}
	return t > w->now ? t : w->now + 1;
}

static void
advance(struct world *w, int64_t end)
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
		record_completions(w);
}

void
world_run(struct world *w, int64_t ms)
{
	int64_t end = w->now + ms;

	current = w;
	while (w->now < end)
		advance(w, end);
}

void
world_drop_queue(struct world *w, const char *name)
{
	int i;

	current = w;
	w->dropped_queue = name;
	for (i = 0; i < WORLD_CELLS_MAX; i++)
		cell_set_config(
		    &w->cells[i].cell, make_config(&w->cells[i].accounts));
}

/* Writes the rows of a claim as a member does, but without waiting until the
 * previous leader's row is unchanged. */
void
world_claim(struct world *w, int i)
{
	struct cell_claim claim = {
	    .sent_ms = w->now, .store_clock_ms = w->now + STORE_CLOCK_START_MS};
	struct stored_row rows[2] = {
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
	reset_calm(w);
	if (w->cells[i].cell.phase != CELL_IDLE)
		cell_resign(&w->cells[i].cell);
	claim.fence = claim.commit_version = w->version;
	claim.generation = w->generation++;
	cell_lead(&w->cells[i].cell, &claim);
}

void
world_cell_restart(struct world *w, int i)
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

void
world_cut_parts(struct world *w, int i, uint32_t parts)
{
	w->cells[i].cut_parts = parts;
}

void
world_cell_pause(struct world *w, int i, int64_t ms)
{
	w->cells[i].pause_next_ms = ms;
}

void
world_hold_back(struct world *w)
{
	w->holds_back = true;
}

void
world_disturb(struct world *w)
{
	w->disturbed = true;
}

void
world_refuse_cuts(struct world *w)
{
	w->cuts_refuse = true;
}

void
world_registry_lag(struct world *w, int64_t ms)
{
	w->registry_lag_ms = ms;
}

void
world_runner_list(struct world *w, int i, bool listed)
{
	w->runners[i].unlisted = !listed;
}

void
world_runner_set_clock(struct world *w, int i, int pct)
{
	w->runners[i].clock_pct = pct;
}

int
world_leader(const struct world *w)
{
	return w->leader;
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
	if (!s->cancels && (a->error == CC_EBUSY || a->error == CC_ERATE))
		j->refused = true;
	if (s->cancels && a->error == CC_OK)
		j->canceled = true;
	free(s);
}

static Cc__JobRow *
make_job_row(const char *queue, const char *account,
    const struct world_step *steps, int n)
{
	Cc__JobRow *row = xcalloc(1, sizeof(*row));
	int i;

	cc__job_row__init(row);
	row->queue = xstrdup(queue);
	row->account = xstrdup(account);
	row->spec = xstrdup("spec");
	row->steps = xcalloc((size_t)n, sizeof(*row->steps));
	for (i = 0; i < n; i++) {
		Cc__StepSpec *s = xcalloc(1, sizeof(*s));

		cc__step_spec__init(s);
		s->count = steps[i].count;
		s->cpu = steps[i].cpu;
		s->mem_mb = steps[i].mem_mb > 0 ? steps[i].mem_mb : 100;
		s->gpu = steps[i].gpu;
		if (steps[i].rack != NULL)
			s->preferred_rack = xstrdup(steps[i].rack);
		s->same_rack = steps[i].same_rack;
		s->estimate_ms = steps[i].ms;
		s->gang = steps[i].gang;
		s->long_running = steps[i].long_running;
		s->checkpoints = steps[i].checkpoints;
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
world_set_accounts(struct world *w, const struct world_account *list, int n)
{
	memcpy(w->accounts.accounts, list, (size_t)n * sizeof(*list));
	w->accounts.n = n;
	w->accounts.version++;
}

void
world_submit(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n)
{
	world_submit_as(w, id, queue, "", steps, n);
}

static void
submit(struct world *w, const char *id, const char *queue, const char *account,
    const struct world_step *steps, int n, Cc__JobRow *row)
{
	struct world_job *j = find_job(w, id);
	int i;

	current = w;
	if (w->leader < 0) {
		cc__job_row__free_unpacked(row, NULL);
		return;
	}
	if (j == NULL) {
		j = &w->jobs[w->njobs++];
		str_copy(j->id, id, sizeof(j->id));
		str_copy(j->queue, queue, sizeof(j->queue));
		str_copy(j->account, account, sizeof(j->account));
		j->submitted_ms = w->now;
		j->nsteps = n;
		memcpy(j->steps, steps, (size_t)n * sizeof(*steps));
		for (i = 0; i < n; i++) {
			j->long_running |= steps[i].long_running;
			if (steps[i].count > j->width)
				j->width = steps[i].count;
		}
		j->tasks = xcalloc((size_t)n * j->width, sizeof(*j->tasks));
	}
	/* A refused job that is submitted again may be accepted. */
	j->refused = false;
	cell_submit(&w->cells[w->leader].cell, id, row, on_answer,
	    submit_arg(w, id, false));
}

void
world_submit_as(struct world *w, const char *id, const char *queue,
    const char *account, const struct world_step *steps, int n)
{
	submit(w, id, queue, account, steps, n,
	    make_job_row(queue, account, steps, n));
}

void
world_submit_in(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n, int64_t in_ms)
{
	Cc__JobRow *row = make_job_row(queue, "", steps, n);

	row->repeat_count = 1;
	row->start_at_ms = w->now + in_ms;
	row->interval_ms = 1000;
	submit(w, id, queue, "", steps, n, row);
}

void
world_cancel(struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	current = w;
	if (w->leader < 0)
		return;
	cell_cancel(&w->cells[w->leader].cell,
	    &(struct cell_caller){"", j != NULL ? j->account : ""}, id,
	    on_answer, submit_arg(w, id, true));
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

	return j != NULL && j->accepted ? j->accepted_ms - j->submitted_ms : -1;
}

int64_t
world_complete_ms(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->completed_ms != 0
	    ? j->completed_ms - j->submitted_ms
	    : -1;
}

void
world_read_runners(const struct world *w, struct world_row *out)
{
	const size_t n = strlen(RUNNERS_PREFIX);
	const struct stored_row *r;
	int i;

	memset(out, 0, RUNNERS_ROWS * sizeof(*out));
	for (i = 0; i < w->nrows; i++) {
		r = &w->rows[i];
		if (strncmp(r->key, RUNNERS_PREFIX, n) == 0)
			out[atoi(r->key + n)] =
			    (struct world_row){r->value, r->len};
	}
}

struct world_row
world_read_row(const struct world *w, const char *key)
{
	struct world_row row = {0};
	int i;

	for (i = 0; i < w->nrows; i++)
		if (strcmp(w->rows[i].key, key) == 0 &&
		    strcmp(w->rows[i].part, CELL_PART) == 0)
			row = (struct world_row){
			    w->rows[i].value, w->rows[i].len};
	return row;
}

void
world_write_row(struct world *w, const char *key, const void *value, size_t len)
{
	struct stored_row r = {
	    .table = CELL_TABLE, .part = CELL_PART, .len = len};

	str_copy(r.key, key, sizeof(r.key));
	r.value = xmemdup(value, len);
	w->version++;
	put_stored(w, &r);
	free(r.value);
}

int
world_violations(const struct world *w)
{
	return w->violations;
}

void
world_set_verbose(struct world *w, bool verbose)
{
	w->verbose = verbose;
}

bool
world_all_jobs_ended(struct world *w)
{
	int i, state;

	for (i = 0; i < w->njobs; i++) {
		if (!w->jobs[i].accepted || w->jobs[i].long_running)
			continue;
		state = world_state(w, w->jobs[i].id);
		if (state < (int)JOB_COMPLETED) {
			if (w->verbose)
				printf("not ended: %s state=%d\n",
				    w->jobs[i].id, state);
			return false;
		}
	}
	return true;
}

int
world_live_runs(const struct world *w, const char *id)
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
world_start_count(const struct world *w, const char *task)
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
world_hold_calls(const struct world *w)
{
	return w->hold_calls;
}

int
world_crashes_exceeded(const struct world *w)
{
	return w->exceeded;
}

bool
world_may_fail(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && job_may_fail(j);
}

bool
world_shown_failed(const struct world *w, const char *id)
{
	const struct world_job *j = find_job(w, id);

	return j != NULL && j->shown_failed;
}
