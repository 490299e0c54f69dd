/** @file What the files of a cell need of each other. */
#ifndef CELL_PARTS_H
#define CELL_PARTS_H

#include "../coordination/placing.h"
#include "../coordination/urgency.h"
#include "cell.h"

/* commit.c */
void cell_mark_dirty(struct cell *c, struct job *j);
/** Sends the next commit when one is due and none is under way. */
void cell_commit(struct cell *c);
void cell_commit_drop(struct cell *c);
/** Whether the store has failed for long enough to refuse new work. */
bool cell_store_down(const struct cell *c);
/** Answers and frees every waiter of a job. */
void job_answer(struct job *j, const struct cell_answer *a);

/** Counts a refusal. @return ms until the caller should come back. */
uint32_t cell_count_refusal(
    struct cell *c, const char *id, const Cc__JobRow *row);

/* load.c */
void cell_load(struct cell *c);
/** Repeats a read that failed. */
void cell_load_retry(struct cell *c);
/** The lead is over; a read under way ends without effect. */
void cell_load_drop(struct cell *c);

/* jobs.c */
struct job *cell_job(struct cell *c, const char *id);
void cell_add_job(struct cell *c, struct job *j);
/** Puts the steps that have become ready on the list. */
void cell_list_steps(struct cell *c, struct occurrence *o);
void cell_list_step(struct cell *c, struct step *s);
void cell_end_job(struct cell *c, struct job *j, enum job_state state);
void cell_forget_job(struct cell *c, struct job *j);
void cell_create_occurrences(struct cell *c);
/** Takes the terms of the job's queue from the configuration. */
void cell_apply_queue(struct cell *c, struct job *j);

/* ends.c */
/** A run has ended or is lost; applies what that means to its task. */
void cell_run_ended(
    struct cell *c, struct run *run, enum run_end how, const char *saved);
/** An end that no known run belongs to. */
void cell_unknown_run_ended(struct cell *c, const struct end_seen *e);
void task_set_saved(struct task *t, const char *saved);

/* orders.c */
void cell_start(struct cell *c, struct runner *r, struct task *t,
    uint32_t number, const char *ticket, bool is_copy);
void cell_stop(struct cell *c, struct run *run, const char *why);
void cell_stop_job(struct cell *c, struct job *j, const char *why);
void cell_resend_stops(struct cell *c, struct runner *r);
/** Notes a runner's clock; one that went back tells of a new incarnation. */
void cell_update_clock(struct cell *c, struct runner *r, int64_t clock_ms);

/* runners.c */
struct runner *cell_runner(struct cell *c, const char *id);
/** The next pass sends what is due to the runner. */
void cell_mark_runner_due(struct cell *c, struct runner *r);
/** Its row in the store is to be written. */
void cell_mark_row_stale(struct cell *c, const struct runner *r);
/** The row of the store that the runner is in. */
int runner_row(const struct runner *r);
/** Takes it off all lists and frees it. */
void cell_drop_runner(struct cell *c, struct runner *r);
/** No start goes to the runner until a commit has opened it again. */
void cell_close_runner(struct cell *c, struct runner *r);
/** A runner that the registry has lacked for long enough has left. */
void cell_check_missing(struct cell *c, struct runner *r, int64_t now);
/** Forgets a runner that left the registry and holds nothing. */
void cell_forget_runner(struct cell *c, struct runner *r, int64_t now);

/* lists.c */
/** A run that lists lack this often in a row is gone. */
#define LIST_MISSES_MAX 2
/** Applies the answer to a hold that was sent at @p sent_ms. */
void cell_take_lists(struct cell *c, struct runner *r,
    const struct hold_result *h, int64_t sent_ms);

/* holds.c */
/** Sends what is due to the runners that need it soon. */
void cell_process_due_runners(struct cell *c);
/** The same for all runners, with what only time brings about. */
void cell_check_all_runners(struct cell *c);
void cell_hold(struct cell *c, struct runner *r);
/** Reads a runner's lists at once where an order to it is open. */
void cell_poll_runner(struct cell *c, struct runner *r);
/** The run's start is open and the runner doesn't list it: a stop settles it.
 */
void cell_abort_start(struct cell *c, struct run *run);
void cell_avoid_runner(struct cell *c, struct runner *r);
void cell_runner_reset(struct cell *c, struct runner *r);
void cell_check_adopted(struct cell *c);

/* drain.c */
/** Moves work off runners that are about to leave. */
void cell_drain(struct cell *c);

/* place.c */
/** Work of one pass stops after this long, so that renewals are on time. */
#define PASS_MS 20
void cell_place(struct cell *c);
/** Whether the step may be given runners at all. */
bool cell_may_start(const struct cell *c, const struct step *s);
/** Room for a candidate a runner, until the next call. */
struct candidate *cell_scratch(struct cell *c);
uint32_t cell_next_run(const struct cell *c, const struct task *t);
struct urgency step_urgency(const struct step *s, int64_t now);

/* late.c */
/** Gives late work its share: one step at a time goes before all others. */
void cell_boost_expired(struct cell *c);

/* copies.c */
/** Marks tasks of speculative steps whose run is late or out of sight. */
void cell_request_copies(struct cell *c);
/** Starts copies where the step has a place for them. */
void cell_place_copies(struct cell *c, struct step *s, int64_t now);
/** Tasks of the step that look for a place. */
uint32_t step_pending_starts(const struct step *s);

/* pace.c */
/** Whether latency-sensitive and best-effort work meet there. */
bool runner_is_mixed(const struct runner *r);
/** Adapts the pace of best-effort work to the tails last seen. */
void cell_pace(struct cell *c, struct runner *r);

/* preempt.c */
#define PREEMPT_RUNNERS_MAX 64
void cell_preempt(struct cell *c);

/* advice.c */
/** Asks for the steps that are ready. */
void cell_ask_advice(struct cell *c);
/** Asks for steps that become ready soon. */
void cell_prefetch_advice(struct cell *c);
void cell_advice_done(struct cell *c);
/** A runner that a step may start on, with the ticket for it. */
struct candidate {
	struct runner *runner;
	const char *ticket; /**< "" when none is needed */
	uint32_t slots;
	double score;
};
/** Runners with room and, where needed, a valid ticket; @p out has room for
 * all runners. */
int step_candidates(struct cell *c, const struct step *s,
    const struct placing_want *w, struct candidate *out);
/** Runners that the step may start on, room aside. */
int step_granted_runners(
    struct cell *c, const struct step *s, struct runner **out, int max);
/** False when it needs tickets and has none, of whatever age. */
bool step_may_have_candidates(const struct step *s);
void step_advice_free(struct step *s);
void step_ticket_refused(struct step *s, const struct runner *r);

#endif
