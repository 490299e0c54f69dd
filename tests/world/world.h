/**
 * @file Simulated environment of cells, in memory and in virtual time.
 *
 * Implements a cell's ports: a store, runners and an advice service. A seeded
 * generator injects faults. Each violation of a guarantee that shows at the
 * runners, such as two live runs of one task or a start that takes an account
 * above its cap, is recorded. So is a stored row
 * of runners that differs from the leader's state without being marked as stale
 * (row_check.h), and a runner that is ready and answers but isn't opened.
 */
#ifndef WORLD_H
#define WORLD_H

#include "../../src/cell/cell.h"

#define WORLD_RUNNERS_MAX 16
#define WORLD_CELLS_MAX 3
#define WORLD_ACCOUNTS_MAX 4

struct world;

/** How often faults occur, in thousandths of the calls or runs. */
struct world_faults {
	int store_lost;	   /**< done, not answered */
	int store_late;	   /**< done 1 to 6 s later, not answered */
	int store_refused; /**< not done, answered so */
	int order_lost;	   /**< done at once or 2 to 12 s later, not answered;
			    * not for holds */
	int order_dropped; /**< not done, not answered; also for holds */
	int order_late;	   /**< the same as order_lost */
	int order_refused; /**< not done, answered so; not for holds */
	int run_fails;	   /**< runs that fail at their end */
};

struct world *world_new(uint32_t seed, int nrunners);
void world_delete(struct world *w);
void world_set_faults(struct world *w, const struct world_faults *f);
/** Virtual time in ms. */
int64_t world_now(const struct world *w);
/** Sets the size in bytes of the largest value that the store accepts. */
void world_set_max_row_bytes(struct world *w, size_t bytes);
/** Sets the latency of a transaction of the store; for half of that time it
 * blocks the other transactions of its part. */
void world_set_store_latency(struct world *w, int ms);
/** Calls to runners time out after ORDER_TIMEOUT_MIN_MS, however long their
 * answers take; by default time-outs follow the answers seen. */
void world_use_fixed_timeouts(struct world *w);
/** Advances the virtual time by @p ms and runs all events due by then. */
void world_run(struct world *w, int64_t ms);

/** The cell with index @p i; each runs on a host of its own. */
struct cell *world_cell(struct world *w, int i);
/** Makes the cell the leader; the previous leader is not notified. */
void world_claim(struct world *w, int i);
/** Restarts the process of the cell, which loses its memory. If it was the
 * leader, no cell leads until the next world_claim. */
void world_cell_restart(struct world *w, int i);
/** The cell can reach neither store nor registry while @p cut is set. */
void world_cut_store(struct world *w, int i, bool cut);
/** The cell can't reach the parts of the store in the bit mask @p parts. */
void world_cut_parts(struct world *w, int i, uint32_t parts);
/** Pauses the process of the cell for @p ms when it sends its next order: that
 * order and all that is meant for the cell wait until then. */
void world_cell_pause(struct world *w, int i, int64_t ms);
/** Cells get lists of the registry that are up to @p ms old. */
void world_registry_lag(struct world *w, int64_t ms);
/** From now on orders that a cut stops are carried out, unanswered, once their
 * path is there again: after newer ones. Transactions that it stops may be done
 * late, and those under way when it begins are done and not answered. */
void world_hold_back(struct world *w);
/** Cuts are near all the time, so an end counts as known when it is
 * acknowledged, not already 100 ms after a runner has listed it: who got that
 * list may lead no more. */
void world_disturb(struct world *w);
/** From now on calls over a path that is cut fail at once, as not sent. */
void world_refuse_cuts(struct world *w);
/** A configuration without the queue is in force; @p name is static text. */
void world_drop_queue(struct world *w, const char *name);
/** Index of the cell that claimed last; -1: none leads. */
int world_leader(const struct world *w);

void world_runner_crash(struct world *w, int r, int64_t down_ms);
/** As world_runner_crash, but it comes back under another id. */
void world_runner_replace(struct world *w, int r, int64_t down_ms);
/** The ends of the runner's process reset no connection, as when its machine
 * loses power: orders and holds under way time out. */
void world_runner_end_silently(struct world *w, int r, bool silently);
/** How long a runner that a task crashed is down; by default 2.5 s, which is
 * less than the leases. */
void world_set_crash_down(struct world *w, int64_t ms);
/** Sets the runner's capacity, thousandths of a core. */
void world_runner_resize(struct world *w, int r, int64_t cpu);
/** Connections to the runner are refused while @p refuses is set. */
void world_runner_refuse(struct world *w, int r, bool refuses);
/** The runner's lists don't show the start of its incarnation; its entry in the
 * registry does. */
void world_runner_hide_born(struct world *w, int r);
/** No cell can reach the runner while @p cut is set; the runner works on. */
void world_runner_cut(struct world *w, int r, bool cut);
/** Whether the registry has the runner's entry. */
void world_runner_list(struct world *w, int r, bool listed);
/** Sets the rate of the runner's clock, in percent; before the first claim. */
void world_runner_set_clock(struct world *w, int r, int pct);
/** This cell can't reach the runner while @p cut is set; others can. */
void world_path_cut(struct world *w, int cell, int runner, bool cut);
/** Delays each answer of the runner by @p ms, and each order to it by a random
 * time below @p ms. */
void world_runner_set_delay(struct world *w, int r, int ms);
/** The cell works only once in @p interval_ms, as on an overloaded processor;
 * 0: without delay. */
void world_cell_set_interval(struct world *w, int i, int interval_ms);
/** The runner drains and leaves after @p left_ms. */
void world_runner_drain(struct world *w, int r, int64_t left_ms);
/** The runner drains for @p left_ms, is down for @p down_ms, and starts again
 * under its id. */
void world_runner_restart(
    struct world *w, int r, int64_t left_ms, int64_t down_ms);

/** A step of a job that a test submits. */
struct world_step {
	uint32_t count;
	uint32_t cpu;	 /**< of each task, thousandths of a core */
	uint32_t ms;	 /**< run time */
	int after;	 /**< index of the step before; -1: none */
	uint32_t mem_mb; /**< of each task; 0: 100 */
	uint32_t gpu;
	/** Rack of the step's data; NULL: none. Runners 0 to 3 are on "rack0",
	 * 4 to 7 on "rack1", and so on. */
	const char *rack;
	bool same_rack; /**< the gang should be on one rack */
	bool gang;
	bool long_running; /**< its tasks run until they are stopped */
	bool checkpoints;
	bool speculative;
	bool crashes_runner; /**< each runner that starts its first task crashes
			      */
};

/** A client account of the configuration. */
struct world_account {
	const char *name; /**< static text */
	int64_t cap_cpu;  /**< thousandths of a core; 0: no cap */
	double weight;
};
/** Puts a configuration with these accounts in the store; a cell that reaches
 * the store has it within 500 ms. */
void world_set_accounts(
    struct world *w, const struct world_account *list, int n);

/** Submits the job to the leading cell, if there is one, and records the
 * answer. */
void world_submit(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n);
/** As world_submit(), for a client account. */
void world_submit_as(struct world *w, const char *id, const char *queue,
    const char *account, const struct world_step *steps, int n);
/** As world_submit(), for a job whose only occurrence is due in @p in_ms. */
void world_submit_in(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n, int64_t in_ms);
void world_cancel(struct world *w, const char *id);
/** State of the job at the leader; -1 when no cell leads or the leader doesn't
 * know the job. */
int world_state(struct world *w, const char *id);
bool world_accepted(const struct world *w, const char *id);
bool world_refused(const struct world *w, const char *id);
/** Virtual ms from submission to the answer that the job is accepted; -1: not
 * yet accepted. */
int64_t world_accept_ms(const struct world *w, const char *id);
/** Virtual ms from submission until the leader showed the job as completed;
 * -1: not yet. */
int64_t world_complete_ms(const struct world *w, const char *id);

/** A stored row; @c value is NULL when there is none. */
struct world_row {
	const void *value;
	size_t len;
};
/** Reads the stored rows of runners; @p out has RUNNERS_ROWS elements. */
void world_read_runners(const struct world *w, struct world_row *out);
/** Reads a row of the first part. */
struct world_row world_read_row(const struct world *w, const char *key);
/** Writes a row of the first part, as another writer would. */
void world_write_row(
    struct world *w, const char *key, const void *value, size_t len);

/** Violations of guarantees so far. */
int world_violations(const struct world *w);
/** Of them, starts of tasks that had crashed too many runners. */
int world_crashes_exceeded(const struct world *w);
/** Prints violations and what the runners do, if @p verbose. */
void world_set_verbose(struct world *w, bool verbose);
/** Whether every accepted job has ended; long-running jobs don't count. */
bool world_all_jobs_ended(struct world *w);
/** Whether a task of the job failed as often as allowed, or two runners crashed
 * under one: the job may be shown as failed. */
bool world_may_fail(const struct world *w, const char *id);
/** Whether the leader has shown the job as failed. */
bool world_shown_failed(const struct world *w, const char *id);
/** Number of live runs of a job's tasks. */
int world_live_runs(const struct world *w, const char *id);
/** How often runners have started the task. */
int world_start_count(const struct world *w, const char *task);
const char *world_runner_of(const struct world *w, const char *task);
int world_advice_calls(const struct world *w);
int world_hold_calls(const struct world *w);
/** Multiplies the run time of runs that start on the runner from now on. */
void world_runner_slowdown(struct world *w, int r, double factor);
/** Share of the runner's runs, in thousandths, that fail 20 ms after their
 * start. */
void world_runner_fail_share(struct world *w, int r, int thousandths);

#endif
