/*
 * Measures the processor time of a cell leader's decisions by the number of
 * runners. The cell runs in virtual time on a simulated store, runners and
 * advice service, which answer after fixed delays. Jobs arrive in proportion to
 * the runners, so the processor time per start should stay about the same.
 */
#include "cell_bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../src/base/err.h"
#include "../src/base/names.h"
#include "../src/base/xalloc.h"
#include "../src/cell/cell_internal.h"

/* Times are in ms of virtual time. */
#define CLOCK_STEP_MS 5
#define WARMUP_MS 3000
#define MEASURE_MS 5000
#define ANSWER_DELAY_MS 5  /* of the store and the runners */
#define ADVICE_DELAY_MS 30 /* of the advice service */
#define TASK_RUN_MS 500
#define TASKS_PER_JOB 13
#define JOBS_PER_RUNNER_S 0.06 /* jobs per second and runner */
#define RUNNERS_PER_HOST 8
#define GRANTED_PERCENT 70 /* chance of a ticket for a runner */
#define TICK_MS 25	   /* interval of cell_tick */
#define RUNS_MAX 64	   /* runs in the answer to a hold */
#define RUNNERS_PER_RACK 12
/* The passes with many tasks that wait for a rack. */
#define NEAR_RUNNERS 1100
#define TASKS_PER_RUNNER 4 /* that take all of its processors */
#define WAITING_TASKS 10000
#define WAITING_RUN_MS 1000 /* a remote run never meets the objective */
#define LONG_RUN_MS 4000
#define PASS_REPEATS 15
#define ACCOUNT_NAME_LEN 32
/** Above the rate at which an account submits, so that none is over its rate.
 */
#define ACCOUNT_RATE 1000
#define ACCOUNT_CPU 100000 /* cap, thousandths of a core */
#define WAITING_JOBS 10000 /* of the measurement with accounts */
#define WAITING_RUNNERS 1100
#define WAITING_MS 1000

struct event {
	STAILQ_ENTRY(event) link;
	void (*fn)(struct event *e);
	void *arg; /**< of the callback */
	union {
		store_fn store;
		order_fn order;
		hold_fn hold;
		advice_fn advice;
	} callback;
	int runner; /**< index */
	char task[TASK_NAME_LEN];
	uint32_t run;
	char **runner_ids; /**< runners that an advice call names */
	int nrunner_ids;
};
STAILQ_HEAD(event_list, event);

#define EVENT_RING_SIZE 1024 /* clock steps; longer than any delay */

static struct {
	int64_t now;				 /**< virtual time, ms */
	struct event_list ring[EVENT_RING_SIZE]; /**< by clock step */
	uint64_t version; /**< of the store's last change */
	int n;		  /**< runners */
	int naccounts;	  /**< of the submitted jobs; 0: none */
	uint64_t *ends;	  /**< by runner: number of its last end */
	uint64_t starts;  /**< orders to start a run */
	int64_t run_ms;	  /**< run time of a task */
	struct cell cell;
} sim;

static int64_t
sim_now(void)
{
	return sim.now;
}

/* Calls fn at the first clock step that is more than ms ahead. */
static struct event *
schedule_event(int64_t ms, void (*fn)(struct event *e), void *arg)
{
	struct event *e = xcalloc(1, sizeof(*e));

	e->fn = fn;
	e->arg = arg;
	STAILQ_INSERT_TAIL(
	    &sim.ring[((sim.now + ms) / CLOCK_STEP_MS + 1) % EVENT_RING_SIZE],
	    e, link);
	return e;
}

static void
answer_store(struct event *e)
{
	struct store_result r = {.err = CC_OK, .version = ++sim.version};

	e->callback.store(&r, e->arg);
}

static void
sim_txn(struct store *s, const struct store_txn *t, int64_t timeout_ms,
    store_fn fn, void *arg)
{
	(void)s;
	(void)t;
	(void)timeout_ms;
	schedule_event(ANSWER_DELAY_MS, answer_store, arg)->callback.store = fn;
}

static void
sim_list(struct store *s, const char *table, const char *part, const char *from,
    int limit, store_fn fn, void *arg)
{
	(void)s;
	(void)table;
	(void)part;
	(void)from;
	(void)limit;
	schedule_event(ANSWER_DELAY_MS, answer_store, arg)->callback.store = fn;
}

static int
runner_index(const struct target *t)
{
	return atoi(t->id + 1);
}

static void
answer_order(struct event *e)
{
	struct order_answer a = {.result = ORDER_OK, .clock_ms = sim.now};

	e->callback.order(&a, e->arg);
}

static struct runner *
find_runner(int n)
{
	char id[RUNNER_ID_LEN];

	snprintf(id, sizeof(id), "r%d", n);
	return cell_runner(&sim.cell, id);
}

/* Lists the runs that the cell has on a runner, except those of one task. */
static int
list_runs(
    const struct runner *r, struct run_seen *runs, const char *excluded_task)
{
	struct run *run;
	int n = 0;

	TAILQ_FOREACH (run, &r->runs, link)
		if (n < RUNS_MAX && strcmp(run->name, excluded_task) != 0)
			runs[n++] = (struct run_seen){
			    .task = run->name, .run = run->number, .saved = ""};
	return n;
}

/*
 * Ends a run: passes the end and the runner's other runs to the cell, as the
 * answer to a hold (long poll of a runner) would. The pending hold is not
 * answered earlier for that.
 */
static void
end_run(struct event *e)
{
	struct runner *r = find_runner(e->runner);
	struct end_seen end = {.task = e->task,
	    .run = e->run,
	    .how = END_DONE,
	    .saved = "",
	    .number = ++sim.ends[e->runner]};
	struct run_seen runs[RUNS_MAX];
	struct hold_result h = {.result = ORDER_OK,
	    .clock_ms = sim.now,
	    .born_ms = 1,
	    .runs = runs,
	    .ends = &end,
	    .nends = 1};

	if (r == NULL)
		return;
	h.nruns = list_runs(r, runs, e->task);
	cell_apply_lists(&sim.cell, r, &h, sim.now, false);
}

static void
sim_start(struct runner_port *p, const struct target *t,
    const struct start_order *o, bool fresh, order_fn fn, void *arg)
{
	struct event *e;

	(void)p;
	(void)fresh;
	sim.starts++;
	schedule_event(ANSWER_DELAY_MS, answer_order, arg)->callback.order = fn;
	e = schedule_event(sim.run_ms, end_run, NULL);
	e->runner = runner_index(t);
	e->run = o->run;
	str_copy(e->task, o->task, sizeof(e->task));
}

static void
sim_stop(struct runner_port *p, const struct target *t, const char *task,
    uint32_t run, uint64_t fence, order_fn fn, void *arg)
{
	(void)p;
	(void)t;
	(void)task;
	(void)run;
	(void)fence;
	schedule_event(ANSWER_DELAY_MS, answer_order, arg)->callback.order = fn;
}

static void
answer_hold(struct event *e)
{
	struct hold_result h = {
	    .result = ORDER_OK, .clock_ms = sim.now, .born_ms = 1};
	struct run_seen runs[RUNS_MAX];
	struct runner *r = find_runner(e->runner);

	if (r != NULL)
		h.nruns = list_runs(r, runs, "");
	h.runs = runs;
	e->callback.hold(&h, e->arg);
}

static void
sim_hold(struct runner_port *p, const struct target *t,
    const struct hold_order *o, bool fresh, hold_fn fn, void *arg)
{
	struct event *e =
	    schedule_event(o->wait_ms + ANSWER_DELAY_MS, answer_hold, arg);

	(void)p;
	(void)fresh;
	e->callback.hold = fn;
	e->runner = runner_index(t);
}

static void
answer_advice(struct event *e)
{
	struct advice_row *rows =
	    xcalloc((size_t)e->nrunner_ids, sizeof(*rows));
	int i, n = 0;

	for (i = 0; i < e->nrunner_ids; i++)
		if (rand() % 100 < GRANTED_PERCENT)
			rows[n++] = (struct advice_row){e->runner_ids[i], "t"};
	e->callback.advice(CC_OK, rows, n, 2500, e->arg);
	for (i = 0; i < e->nrunner_ids; i++)
		free(e->runner_ids[i]);
	free(e->runner_ids);
	free(rows);
}

static void
sim_ask(struct advice_port *p, const char *member, const char *step,
    const char *const *runners, int nrunners, int64_t timeout_ms, advice_fn fn,
    void *arg)
{
	struct event *e = schedule_event(ADVICE_DELAY_MS, answer_advice, arg);
	int i;

	(void)p;
	(void)member;
	(void)step;
	(void)timeout_ms;
	e->callback.advice = fn;
	e->runner_ids = xcalloc((size_t)nrunners, sizeof(*e->runner_ids));
	for (i = 0; i < nrunners; i++)
		e->runner_ids[e->nrunner_ids++] = xstrdup(runners[i]);
}

static const struct store_ops store_ops = {sim_txn, sim_list, NULL};
static const struct runner_ops runner_ops = {
    sim_start, sim_stop, sim_hold, NULL};
static const struct advice_ops advice_ops = {sim_ask};
static struct store store = {&store_ops};
static struct runner_port runners = {&runner_ops};
static struct advice_port advice = {&advice_ops};

static void
ignore_notice(void *arg)
{
	(void)arg;
}

static void
ignore_answer(const struct cell_answer *a, void *arg)
{
	(void)a;
	(void)arg;
}

static void
account_name(char name[ACCOUNT_NAME_LEN], int n)
{
	snprintf(name, ACCOUNT_NAME_LEN, "account%d", n);
}

static struct config *
make_config(bool advised)
{
	struct queue queue = {.name = "urgent",
	    .service = "svc",
	    .target_latency_ms = 250,
	    .max_attempts = 3,
	    .stretch = 1.5,
	    .advice = {.needed = advised,
		.decision_ms = 22,
		.runner_ms = 0.3,
		.validity_ms = 2500}};
	struct config *m = config_new();
	char name[ACCOUNT_NAME_LEN];
	int i;

	m->version = 1;
	config_add_queue(m, &queue);
	m->has_accounts = sim.naccounts > 0;
	for (i = 0; i < sim.naccounts; i++) {
		account_name(name, i);
		config_add_account(m,
		    &(struct account_terms){.name = name,
			.weight = ACCOUNT_RATE,
			.cap = {.cpu = ACCOUNT_CPU}});
	}
	return m;
}

static void
set_runners(int n)
{
	struct runner_info *infos = xcalloc((size_t)n, sizeof(*infos));
	char rack[16];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(infos[i].id, sizeof(infos[i].id), "r%d", i);
		str_copy(infos[i].addr, "127.0.0.1", sizeof(infos[i].addr));
		infos[i].port = 1;
		snprintf(rack, sizeof(rack), "k%d", i / RUNNERS_PER_RACK);
		infos[i].service = "svc";
		infos[i].rack = names_get(rack);
		infos[i].cpu = 16000;
		infos[i].mem_mb = 65536;
		infos[i].born_ms = 1;
	}
	cell_set_runners(&sim.cell, infos, n, sim.version);
	free(infos);
}

static void
set_hosts(int n)
{
	char(*hosts)[64] = xcalloc((size_t)n, sizeof(*hosts));
	int i;

	for (i = 0; i < n; i++)
		snprintf(hosts[i], sizeof(hosts[i]), "h%d", i);
	cell_set_hosts(&sim.cell, (const char(*)[64])hosts, n);
	free(hosts);
}

/* Submits a job of one step; @p rack is "" for none. */
static void
submit_step(int serial, uint32_t count, uint32_t estimate_ms, const char *rack)
{
	Cc__JobRow *row = xcalloc(1, sizeof(*row));
	Cc__StepSpec *s = xcalloc(1, sizeof(*s));
	char id[JOB_ID_LEN], name[ACCOUNT_NAME_LEN];

	cc__job_row__init(row);
	cc__step_spec__init(s);
	row->queue = xstrdup("urgent");
	row->spec = xstrdup("work");
	if (sim.naccounts > 0) {
		account_name(name, serial % sim.naccounts);
		row->account = xstrdup(name);
	}
	row->steps = xcalloc(1, sizeof(*row->steps));
	row->steps[row->n_steps++] = s;
	s->count = count;
	s->cpu = 3500;
	s->mem_mb = 100;
	s->estimate_ms = estimate_ms;
	s->preferred_rack = xstrdup(rack);
	s->required_label = xstrdup("");
	s->image = xstrdup("");
	snprintf(id, sizeof(id), "%016x", serial);
	cell_submit(&sim.cell, id, row, ignore_answer, NULL);
}

static void
submit(int serial)
{
	submit_step(serial, TASKS_PER_JOB, TASK_RUN_MS, "");
}

static void
run_due_events(void)
{
	struct event_list *due =
	    &sim.ring[sim.now / CLOCK_STEP_MS % EVENT_RING_SIZE];
	struct event *e;

	while ((e = STAILQ_FIRST(due)) != NULL) {
		STAILQ_REMOVE_HEAD(due, link);
		e->fn(e);
		free(e);
	}
}

static double
cpu_s(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

/*
 * Runs the cell for a span of virtual time with n runners.
 * @param serial number of the last job submitted
 * @param jobs_due jobs to submit; a fraction is kept for the next clock step
 */
static void
simulate(int64_t ms, int n, int *serial, double *jobs_due)
{
	int64_t end = sim.now + ms;

	for (; sim.now < end; sim.now += CLOCK_STEP_MS) {
		run_due_events();
		*jobs_due += JOBS_PER_RUNNER_S * n * CLOCK_STEP_MS / 1000.0;
		for (; *jobs_due >= 1; *jobs_due -= 1)
			submit(++*serial);
		if (sim.now % TICK_MS == 0) {
			cell_registry_synced(&sim.cell, 0);
			cell_tick(&sim.cell);
		} else {
			cell_pass(&sim.cell);
		}
	}
}

static void
start_cell(int n, bool advised, int naccounts)
{
	struct cell_terms terms = {.max_hold_ms = 10000,
	    .lease_ms = 4000,
	    .lead_lease_ms = 6000,
	    .start_ms = 2500,
	    .hold_wait_ms = 1000,
	    .stop_grace_ms = 400,
	    .status_ms = 2000,
	    .remote_factor = 2,
	    .quota_excess = 0.1,
	    .quota_window_ms = 5000};
	struct cell_ports ports = {.store = &store,
	    .runners = &runners,
	    .advice = &advice,
	    .now = sim_now,
	    .wall_now = sim_now,
	    .wake = ignore_notice,
	    .deposed = ignore_notice};
	struct cell_claim claim;
	int i;

	memset(&sim, 0, sizeof(sim));
	sim.now = 1000;
	sim.n = n;
	sim.run_ms = TASK_RUN_MS;
	sim.naccounts = naccounts;
	sim.ends = xcalloc((size_t)n, sizeof(*sim.ends));
	for (i = 0; i < EVENT_RING_SIZE; i++)
		STAILQ_INIT(&sim.ring[i]);
	cell_init(&sim.cell, &terms, &ports, "bench");
	cell_set_config(&sim.cell, make_config(advised));
	set_hosts(n / RUNNERS_PER_HOST + 1);
	sim.version = 1;
	claim = (struct cell_claim){.fence = sim.version,
	    .commit_version = sim.version,
	    .sent_ms = sim.now};
	cell_lead(&sim.cell, &claim);
}

static int
count_waiting(void)
{
	const struct step *s;
	int n = 0;

	TAILQ_FOREACH (s, &sim.cell.steps, link)
		n++;
	return n;
}

void
cell_bench(int n)
{
	int serial = 0;
	double jobs_due = 0, t;
	uint64_t starts, advice_calls;

	start_cell(n, true, 0);
	simulate(50, 0, &serial, &jobs_due);
	set_runners(n);
	simulate(WARMUP_MS, n, &serial, &jobs_due);
	starts = sim.starts;
	advice_calls = sim.cell.counters.advice_calls;
	t = cpu_s();
	simulate(MEASURE_MS, n, &serial, &jobs_due);
	t = cpu_s() - t;
	starts = sim.starts - starts;
	advice_calls = sim.cell.counters.advice_calls - advice_calls;
	printf("cell_us_a_start_%d=%.1f\n", n, t * 1e6 / (double)starts);
	printf("cell_starts_per_s_%d=%.0f\n", n,
	    (double)starts * 1000.0 / MEASURE_MS);
	printf("cell_asks_per_s_%d=%.0f\n", n,
	    (double)advice_calls * 1000.0 / MEASURE_MS);
}

/* Simulates without new jobs. */
static void
simulate_idle(int64_t ms)
{
	int serial = 0;
	double jobs_due = 0;

	simulate(ms, 0, &serial, &jobs_due);
}

static int
compare_times(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Median processor time of a placement pass. Virtual time stands still, so that
 * no pass is cut short. */
static double
pass_us(void)
{
	double v[PASS_REPEATS], t;
	int i;

	for (i = 0; i < PASS_REPEATS; i++) {
		t = cpu_s();
		cell_place(&sim.cell);
		v[i] = (cpu_s() - t) * 1e6;
	}
	qsort(v, PASS_REPEATS, sizeof(v[0]), compare_times);
	return v[PASS_REPEATS / 2];
}

static void
submit_waiting(bool near_data)
{
	char rack[16];
	int i;

	for (i = 0; i < WAITING_TASKS; i++) {
		snprintf(rack, sizeof(rack), "k%d",
		    i % (NEAR_RUNNERS / RUNNERS_PER_RACK));
		submit_step(
		    NEAR_RUNNERS + i, 1, WAITING_RUN_MS, near_data ? rack : "");
	}
}

/* The ends of the runs can't be forecast any more, so that no step waits. */
static void
forget_estimates(void)
{
	const struct runner *r;
	const struct run *run;

	for (r = sim.cell.runners; r != NULL; r = r->hh.next)
		TAILQ_FOREACH (run, &r->runs, link)
			run->task->step->occurrence->job->row->steps[0]
			    ->estimate_ms = 0;
}

static void
measure_pass(bool near_data)
{
	const char *name = near_data ? "" : "_baseline_no_rack";
	int i, steps = 0, waits = 0;
	struct step *s;

	start_cell(NEAR_RUNNERS, false, 0);
	simulate_idle(50);
	set_runners(NEAR_RUNNERS);
	simulate_idle(1000);
	sim.run_ms = LONG_RUN_MS;
	for (i = 0; i < NEAR_RUNNERS; i++)
		submit_step(i, TASKS_PER_RUNNER, TASK_RUN_MS, "");
	simulate_idle(200);
	/* A runner with room that no queue uses, so that steps are looked at.
	 */
	cell_runner_listed(&sim.cell,
	    &(struct runner_info){.id = "x1100",
		.addr = "127.0.0.1",
		.port = 1,
		.service = "other",
		.rack = names_get("x"),
		.cpu = 16000,
		.mem_mb = 65536,
		.born_ms = 1,
		.version = sim.version});
	submit_waiting(near_data);
	/* Simulating the commits would take minutes, a pass each step. */
	TAILQ_FOREACH (s, &sim.cell.steps, link)
		s->occurrence->job->stored = true;
	cell_place(&sim.cell);
	TAILQ_FOREACH (s, &sim.cell.steps, link) {
		steps += cell_may_start(&sim.cell, s);
		waits += s->near_until_ms > sim.now;
	}
	printf("near_pass_steps%s=%d\n", name, steps);
	printf("near_pass_waits%s=%d\n", name, waits);
	printf("near_pass_us%s=%.0f\n", name, pass_us());
	forget_estimates();
	printf("near_pass_us_never%s=%.0f\n", name, pass_us());
	TAILQ_FOREACH (s, &sim.cell.steps, link)
		s->ready_ms -= WAITING_RUN_MS;
	printf("near_pass_us_after%s=%.0f\n", name, pass_us());
}

void
near_bench(void)
{
	measure_pass(false);
	measure_pass(true);
}

void
cell_bench_waiting(int naccounts)
{
	int serial = 0;
	double jobs_due = 0, t;
	uint64_t starts;

	start_cell(WAITING_RUNNERS, true, naccounts);
	simulate(50, 0, &serial, &jobs_due);
	set_runners(WAITING_RUNNERS);
	simulate(WARMUP_MS, 0, &serial, &jobs_due);
	jobs_due = WAITING_JOBS;
	simulate(WARMUP_MS, 0, &serial, &jobs_due);
	starts = sim.starts;
	t = cpu_s();
	simulate(WAITING_MS, 0, &serial, &jobs_due);
	t = cpu_s() - t;
	starts = sim.starts - starts;
	printf("cell_waiting_us_a_start_accounts_%d=%.1f\n", naccounts,
	    t * 1e6 / (double)starts);
	printf("cell_waiting_us_a_pass_accounts_%d=%.1f\n", naccounts,
	    t * 1e6 * CLOCK_STEP_MS / WAITING_MS);
	printf("cell_waiting_starts_accounts_%d=%llu\n", naccounts,
	    (unsigned long long)starts);
	printf(
	    "cell_waiting_steps_accounts_%d=%d\n", naccounts, count_waiting());
}
