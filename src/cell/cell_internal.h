/**
 * @file Internal interface of a cell: functions that its source files share.
 *
 * A cell's leader keeps all of its state in `struct cell` (cell.h). Two orders
 * to runners recur below: a start runs a task, and a hold renews the leases of
 * all runs on a runner and returns the runner's lists of runs and ends.
 *
 * After a change of leadership, inherited work is what was accepted under an
 * earlier leader. A runner is adopted once this leader has read its lists. The
 * store records each runner either as open, so that starts may be sent to it,
 * or as closed, with the runs that it may still have; a later leader needn't
 * wait for the lists of a closed one.
 */
#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include "../coordination/runner_placement.h"
#include "../coordination/urgency.h"
#include "cell.h"

/* commit.c: group commits of job progress to the store */

/** Queues the job to be written by one of the next commits. */
void cell_mark_dirty(struct cell *c, struct job *j);
/** Sends commits that are due and repeats those that failed or got no answer.
 */
void cell_commit(struct cell *c);
/** Drops all commits under way; their callers get CC_ETIMEOUT. */
void cell_commit_drop(struct cell *c);
/** Whether the store has failed for long enough to refuse new jobs. */
bool cell_store_down(const struct cell *c);
/** Answers all callers that wait for the job and frees their entries. */
void job_answer(struct job *j, const struct cell_answer *a);

/**
 * Counts a refused job.
 * @return retry-after interval for its caller, ms.
 */
uint32_t cell_count_refusal(
    struct cell *c, const char *id, const Cc__JobRow *row);

/* load.c: recovery of a new leader from the store */

/** Starts to read jobs, their progress and the runners. */
void cell_load(struct cell *c);
/** Repeats reads that failed. */
void cell_load_retry(struct cell *c);
/** Cancels the load when the leadership ends; late answers have no effect. */
void cell_load_drop(struct cell *c);

/* jobs.c: jobs of the cell and the calls of clients */

struct job *cell_job(struct cell *c, const char *id);
/** The client account of that name, with its terms in the configuration. */
struct account *cell_account(struct cell *c, const char *name);
/** Sets the job's client account from its row. */
void cell_bind_account(struct cell *c, struct job *j);
/** Adds a new or loaded job and lists its ready steps. */
void cell_add_job(struct cell *c, struct job *j);
/** Lists the steps that have become ready for placement. */
void cell_list_steps(struct cell *c, struct occurrence *o);
/** Adds the job's queue to the configuration if that lacks it. Earlier pointers
 * to its queues are invalid then. */
void cell_keep_queue(struct config *m, const struct job *j);
/** The task of a job of this cell that a runner's list names; NULL when the job
 * has none of this name. Occurrences that it creates can be placed. */
struct task *cell_job_task(
    struct cell *c, struct job *j, const struct task_ref *ref);
/** Lists the step for placement if it has tasks to start. */
void cell_list_step(struct cell *c, struct step *s);
/** Sets the job's final state and stops its runs. */
void cell_end_job(struct cell *c, struct job *j, enum job_state state);
/** Ends the task's job as failed. */
void cell_fail_job(struct cell *c, const struct task *t, enum job_failure why);
/** Removes the job from memory. */
void cell_forget_job(struct cell *c, struct job *j);
/** Creates the occurrences of repeated jobs that have come due. */
void cell_create_occurrences(struct cell *c);
/** Sets the job's priority, attempts and due time from its queue. */
void cell_apply_queue(struct cell *c, struct job *j);

/* run_ends.c: ends of runs */

/** Applies the end or loss of a run to its task, and deletes the run. */
void cell_run_ended(
    struct cell *c, struct run *run, enum run_end how, const char *saved);
/** Applies the loss of a run. */
void cell_run_lost(struct cell *c, struct run *run, enum end_cause cause);
/** Applies an end that a runner lists for a run unknown to this leader. */
void cell_unknown_run_ended(
    struct cell *c, const struct runner *r, const struct end_seen *e);
/** Keeps the newest checkpoint of a task, for a gang at its first task. */
void task_set_saved(struct task *t, const char *saved);

/* orders.c: start and stop orders */

/**
 * Starts the task on the runner; @p ticket is "" when none is needed.
 * @return false when the client account's cap doesn't allow it.
 */
bool cell_start(struct cell *c, struct runner *r, struct task *t,
    uint32_t number, const char *ticket, bool is_copy);
/** Sends a stop for the run unless one was sent before. */
void cell_stop(struct cell *c, struct run *run, const char *why);
void cell_stop_job(struct cell *c, struct job *j, const char *why);
/** Repeats stops that the runner has not confirmed. */
void cell_resend_stops(struct cell *c, struct runner *r);
/** Records a runner's clock. A clock that went back means that the runner was
 * restarted. */
void cell_update_clock(struct cell *c, struct runner *r, int64_t clock_ms);

/* runners.c: runners and the registry */

struct runner *cell_runner(struct cell *c, const char *id);
/** Puts the runner on the list that the next pass processes. */
void cell_mark_runner_due(struct cell *c, struct runner *r);
/** Marks the store row that holds this runner to be written. */
void cell_mark_row_stale(struct cell *c, const struct runner *r);
/** Index of the store row that holds this runner, below RUNNERS_ROWS. */
int runner_row(const struct runner *r);
/** Whether the registry was read lately enough to start work by the capacities
 * that it showed. */
bool cell_capacities_current(const struct cell *c);
/** Takes the runner off all lists and frees it. */
void cell_drop_runner(struct cell *c, struct runner *r);
/** Marks a runner as unlisted once the registry has lacked it for the grace
 * period. */
void cell_check_missing(struct cell *c, struct runner *r, int64_t now);
/** Deletes a runner that has been missing from the registry for a while and has
 * no runs and no unacknowledged ends. */
void cell_forget_runner(struct cell *c, struct runner *r, int64_t now);

/* reconcile.c: reconciliation with a runner's lists */

/** Lists in a row that must lack a run before it counts as ended. */
#define LIST_MISSES_MAX 2
/**
 * Applies the answer to a hold that was sent at @p sent_ms.
 * @param late it came after the hold's time-out and may be older than what the
 * runner has said since
 */
void cell_apply_lists(struct cell *c, struct runner *r,
    const struct hold_result *h, int64_t sent_ms, bool late);

/* holds.c: lease renewal by holds */

/** Sends holds and repeated stops to the runners on the due list. */
void cell_process_due_runners(struct cell *c);
/** Sends due holds and repeated stops to all runners, ends the runs of silent
 * runners whose leases have expired, and applies the registry's grace periods.
 */
void cell_check_all_runners(struct cell *c);
/** Raises the fencing token for this runner, so that it refuses orders sent
 * before, however late, once it has seen the next hold. Logs @p why. */
void cell_raise_fence(struct cell *c, struct runner *r, const char *why);
/** Sends a hold if one is due. */
void cell_hold(struct cell *c, struct runner *r);
/**
 * Sends a hold if one is due. While a hold waits at the runner and an order's
 * outcome is unknown, sends a second one that returns the lists at once.
 */
void cell_poll_runner(struct cell *c, struct runner *r);
/** Settles a start whose outcome is unknown by stopping its run. */
void cell_abort_start(struct cell *c, struct run *run);
/** Gives the runner no new work for a time that doubles with each call. */
void cell_avoid_runner(struct cell *c, struct runner *r);
/** Ends the runs of a runner at whose address another incarnation answers. */
void cell_runner_gone(struct cell *c, struct runner *r);
/** Resets what is known of a runner that was restarted. */
void cell_runner_reset(struct cell *c, struct runner *r, enum crash_sign sign);
/** Lets inherited work start once no unadopted runner can hold it. */
void cell_check_adopted(struct cell *c);

/* drain.c: runners that are about to leave */

/** Stops work on draining runners so that it is placed elsewhere. */
void cell_drain(struct cell *c);

/* place.c: placement of tasks on runners */

/** Longest time for the work of one pass, so that renewals are on time. */
#define PASS_MS 20
/** Starts waiting tasks in the order of their urgency. */
void cell_place(struct cell *c);
/** Whether tasks of the step may be started at all. */
bool cell_may_start(const struct cell *c, const struct step *s);
/** Buffer with one candidate per runner; the next call reuses it. */
struct candidate *cell_scratch(struct cell *c);
/** Number for the task's next run; higher than any that was used before. */
uint32_t cell_next_run(const struct cell *c, const struct task *t);
struct urgency step_urgency(const struct step *s, int64_t now);

/* expired.c: starvation protection of expired steps */

/** Boosts the expired step of the oldest job while there is credit for it: it
 * is placed before all others, so that expired work doesn't starve. */
void cell_boost_expired(struct cell *c);

/* speculative.c: speculative copies of slow tasks */

/** Requests a copy for tasks of speculative steps whose run is late or whose
 * runner is silent. */
void cell_request_copies(struct cell *c);
/** Starts requested copies where a runner has room. */
void cell_place_copies(struct cell *c, struct step *s, int64_t now);
/** Starts that the step still needs: waiting tasks and requested copies. */
uint32_t step_pending_starts(const struct step *s);

/* pace.c: throttling of best-effort work */

/** Whether latency-sensitive and best-effort work share the runner. */
bool runner_is_mixed(const struct runner *r);
/** Adapts the pace of best-effort work to the newest tail latencies. */
void cell_pace(struct cell *c, struct runner *r);

/* preempt.c: preemption of long work */

/** Most runners considered for the preemption of runs for one step. */
#define PREEMPT_RUNNERS_MAX 64
/** Stops long work for urgent work that finds no room. */
void cell_preempt(struct cell *c);

/* advice.c, grants.c: tickets of the advice service */

/** Asks the advice service for tickets for ready steps. */
void cell_ask_advice(struct cell *c);
/** Asks in advance for steps that will become ready soon. */
void cell_prefetch_advice(struct cell *c);
/** Frees the shares of allowed runners that are kept for each queue. */
void cell_advice_done(struct cell *c);
/** A runner that a step may start on, with the ticket for it. */
struct candidate {
	struct runner *runner;
	const char *ticket; /**< "" when none is needed */
	uint32_t slots;
	double score;
};
/**
 * Finds runners with room and, where needed, a valid ticket.
 * @param out has room for all runners.
 * @return number of candidates.
 */
int step_candidates(struct cell *c, const struct step *s,
    const struct placing_want *w, struct candidate *out);
/** Finds runners that the step may start on, whether or not they have room. */
int step_granted_runners(
    struct cell *c, const struct step *s, struct runner **out, int max);
/** False when the step needs tickets and the advice service has never
 * answered for it. */
bool step_may_have_candidates(const struct step *s);
void step_advice_free(struct step *s);
/** Drops the step's ticket for a runner that refused it. */
void step_ticket_refused(struct step *s, const struct runner *r);

#endif
