/**
 * @file One cell as its leader runs it: accepts jobs, places their tasks on
 * runners, renews the leases of their runs and commits their progress.
 *
 * A cell does all input and output through ports and takes the time from them,
 * so that tests drive it in memory. Its state in memory can be rebuilt: what
 * must last is in the store (accepted jobs and their progress) or at the
 * runners (what runs, and what has ended and isn't acknowledged yet).
 */
#ifndef CELL_H
#define CELL_H

#include "../coordination/advice_lanes.h"
#include "../coordination/estimate_error.h"
#include "../coordination/expired_credit.h"
#include "../coordination/retry_after.h"
#include "../ports/ports.h"
#include "../state/job.h"
#include "../state/config.h"
#include "../state/runner.h"
#include "unreadable.h"

#define CELL_TABLE "celerycart-jobs"
#define MEMBER_TABLE "celerycart-members"
/** First of the store's parts that hold jobs; it also has the leader's row and
 * the runners. See store_part.h. */
#define CELL_PART "c0"
#define MEMBER_PART "m"
#define LEADER_KEY "leader"
/** Key of the row of a part's first commit chain. Other chains append their
 * number. */
#define COMMIT_KEY "commit"
/** Key of the guard row of all parts but the first; see store_part.h. */
#define GUARD_KEY "guard"
/** Key prefix of the rows of runners, followed by the row's number. Runners are
 * spread over the rows by a hash of their ids. */
#define RUNNERS_PREFIX "runners/"
#define RUNNERS_ROWS 64
#define JOB_PREFIX "j/"
#define PROGRESS_PREFIX "p/"

struct cell_terms {
	int64_t max_hold_ms; /**< longest lease that a runner grants */
	int64_t lease_ms;    /**< lease of a run, renewed by holds */
	/** Longest time after a renewal of its leadership for which a leader
	 * grants leases. The next leader waits for it where it can't reach a
	 * runner. */
	int64_t lead_lease_ms;
	int64_t start_ms; /**< validity of a start order; the runner refuses one
			   * that arrives later */
	int64_t hold_wait_ms;  /**< longest wait of a hold (a long poll) at the
				* runner for the end of a run */
	int64_t stop_grace_ms; /**< longest duration of a stop */
	int64_t status_ms;     /**< retention of ended jobs */
	double remote_factor;  /**< slowdown of a run outside the step's
				* preferred rack, as a factor */
	double quota_excess;   /**< share of its cap by which a client account
				* may exceed it */
	int64_t quota_window_ms; /**< window of the rates of client accounts */
};

struct cell_ports {
	struct store *store;
	struct runner_port *runners;
	struct advice_port *advice;
	int64_t (*now)(void);	   /**< steady clock, ms */
	int64_t (*wall_now)(void); /**< ms since 1970 */
	/** Requests a call of cell_pass soon. */
	void (*wake)(void *arg);
	/** Reports that the leadership is lost. */
	void (*deposed)(void *arg);
	void *arg;
};

enum cell_phase {
	CELL_IDLE, /**< this host doesn't lead */
	CELL_LOADING,
	CELL_SERVING,
};

/** What showed a leader that another host has claimed. */
enum deposed_by {
	DEPOSED_BY_HOLD,   /**< a runner refused a hold */
	DEPOSED_BY_RUNNER, /**< a runner refused a start or stop */
	DEPOSED_BY_COMMIT, /**< a commit's condition failed */
	DEPOSED_BY_GUARD,  /**< a guard row, read while it loaded */
	DEPOSED_BY_ROW,	   /**< the leader's row */
	DEPOSED_BY_BEAT,   /**< a heartbeat */
	DEPOSED_BY_COUNT
};

struct cell_counters {
	uint64_t accepted;
	uint64_t refused;
	uint64_t refused_rate; /**< of refused, beyond their account's rate */
	uint64_t completed;
	uint64_t failed;
	uint64_t canceled;
	uint64_t starts;
	uint64_t starts_after_lapse; /**< of tasks whose last run lapsed */
	uint64_t starts_unheard;     /**< of inherited work that was freed
				      * without all runners */
	uint64_t ends[END_LOST + 1];
	uint64_t lost[CAUSE_COUNT]; /**< of ends[END_LOST] */
	uint64_t fences_raised;
	uint64_t deposed[DEPOSED_BY_COUNT];
	uint64_t commits;
	uint64_t commit_errors;
	uint64_t holds;
	uint64_t advice_calls;
	uint64_t preempted;
	uint64_t failures[FAILURES]; /**< of failed, by the reason */
	uint64_t runner_crashes;
	uint64_t crashes_counted[CRASH_SIGNS]; /**< runs that ended so, for
						* their tasks */
	uint64_t given_up; /**< tasks that crashed too many runners */
	uint64_t copies;
};

struct cell_answer {
	/** CC_OK, CC_ENOENT, CC_EBUSY, CC_ETIMEOUT, CC_ENOTOWNER, CC_EINVAL,
	 * CC_ERATE or CC_EPERM. */
	int error;
	enum job_state state;
	uint32_t pending; /**< for cell_pending(): the number of jobs */
	uint32_t retry_after_ms;
	/** Why the job has failed; FAILURE_NONE: it hasn't, or not known. */
	enum job_failure failure;
	char failed_task[TASK_NAME_LEN]; /**< that failed it; "": not known */
};
typedef void (*cell_fn)(const struct cell_answer *a, void *arg);

/** A caller that waits until its job's change is stored. */
struct waiter {
	TAILQ_ENTRY(waiter) link;
	cell_fn fn;
	void *arg;
	bool cancels; /**< waits for the end of the job, not its acceptance */
};

struct commit;
struct load;

/** Parts of the store that hold jobs. */
#define CELL_PARTS 4
/** Commit chains of a part; each has at most one commit under way. */
#define PART_CHAINS 8
#define COMMIT_CHAINS (CELL_PARTS * PART_CHAINS)

/** A sequence of commits, each conditional on the row that the one before
 * wrote (compare-and-set). */
struct commit_chain {
	uint64_t version;      /**< version of the chain's row; 0: no row */
	struct commit *commit; /**< commit under way; NULL: none */
};

/** State of one part of the store. */
struct part {
	uint64_t guard; /**< version of the guard row; unused for the first */
	int64_t commit_ms; /**< send time of the last commit */
	/** Send time of the newest commit that was answered. */
	int64_t answered_sent_ms;
};

struct candidate;
struct near_room;

TAILQ_HEAD(step_list, step);
TAILQ_HEAD(job_list, job);
TAILQ_HEAD(runner_list, runner);

struct cell {
	struct cell_terms terms;
	struct cell_ports ports;
	enum cell_phase phase;
	uint64_t fence;	     /**< fencing token: version of the leader's row */
	uint32_t generation; /**< number of the claim; base of run numbers */
	char incarnation[32];
	struct config *config;	  /**< in force at this host */
	struct account *accounts; /**< client accounts of jobs */
	/* Kept while there are accounts: */
	struct resources total;	  /**< of the runners that take work */
	int64_t account_order_ms; /**< last time that these were found */
	int64_t free_cpu;	  /**< of these runners */
	struct resources largest; /**< of each, on one of these runners */
	/** Thousandths of a core of starts that wait, without those that a cap
	 * or their size holds back; and their estimated work. Not whole
	 * numbers, as callers' numbers may be very large. */
	double waiting_cpu;
	double waiting_core_ms;
	struct job *jobs;
	struct job *loading; /**< jobs read from the store, on no list yet */
	struct unreadable_job *unreadable; /**< jobs that can't be read */
	struct runner *runners;
	int busy_runners; /**< runners with runs, at the last full check */
	uint64_t runners_version;  /**< rises when a runner is added or freed */
	struct runner_list due;	   /**< runners to process in the next pass */
	struct candidate *scratch; /**< buffer of cell_scratch() */
	size_t nscratch;	   /**< candidates that the buffer holds */
	struct near_room *near_room; /**< forecasts of near_room.h; NULL: none
				      * was needed yet */
	struct estimate_error
	    estimate_error;	    /**< errors of estimates of run times */
	struct step_list steps;	    /**< steps with tasks to place */
	struct job_list dirty;	    /**< jobs to write to the store */
	struct job_list ended;	    /**< ended jobs, oldest first */
	struct job_list live;	    /**< jobs that haven't ended */
	struct job_list timed;	    /**< repeated jobs that haven't ended */
	struct lanes lanes;	    /**< hosts that call the advice service */
	struct queue_share *shares; /**< share of runners that the advice
				     * service allows, by queue */
	char ask_cursor[RUNNER_ID_LEN]; /**< id of the runner that the
					 * candidates of the next advice call
					 * begin with */
	struct expired_credit
	    expired_credit; /**< credit to start expired steps */
	struct retry_after
	    retry_after;       /**< Retry-After delays of refused callers */
	int64_t lead_since_ms; /**< start of this leadership */
	/** All leases that leaders before granted are over by then, so that
	 * inherited work may start whether or not all runners are adopted. */
	int64_t adopt_until_ms;
	/** The same time on the store's clock; 0: that isn't known. */
	int64_t adopt_until_store_ms;
	bool adopting;	     /**< inherited work must not start: it may run
			      * on a runner that isn't adopted yet */
	int64_t adopted_ms;  /**< when adopting ended in this leadership */
	bool counts_unseen;  /**< accounts may hold runs that aren't known */
	int unheard_runners; /**< that weren't heard when it was freed */
	enum deposed_by deposed_by; /**< why the last leadership ended, if it
				     * was deposed */
	struct commit_chain chains[COMMIT_CHAINS];
	struct part parts[CELL_PARTS];
	/** Version of the newest finished commit to the first part; lower than
	 * that of every later claim. */
	uint64_t renewed_version;
	uint64_t commit_seq;  /**< number of this process's last commit */
	uint64_t changes;     /**< number of the last change of a job */
	uint64_t ack_change;  /**< the pending acknowledgement of ends is
			       * done once the changes up to this one are
			       * stored; 0: none is pending */
	struct load *load;    /**< read of jobs and runners under way */
	int64_t commit_ms;    /**< send time of the last commit to any part */
	int64_t committed_ms; /**< time of the last answer that a commit was
			       * done */
	int64_t renewed_ms;   /**< send time of the newest finished commit to
			       * the first part: the leadership's renewal */
	int64_t unrenewed_log_ms; /**< last line on a renewal that is due */
	int64_t wait_log_ms;	  /**< last lines on waiting steps */
	double commit_latency_ms; /**< average answer time of commits */
	int64_t store_failing_since_ms; /**< commits have failed since then; 0:
					 * they don't fail */
	uint64_t stale_rows; /**< rows of runners to write, as a bit mask */
	/** Rows of runners that couldn't be read. Runners that they name may
	 * hold inherited work, so they are not written while that must wait. */
	uint64_t unreadable_rows;
	int jobs_per_commit;	    /**< limit of jobs in a commit */
	int rows_per_commit;	    /**< limit of rows of runners in a commit */
	int64_t last_unanswered_ms; /**< last time that an order got no answer
				     * from a runner that had answered before */
	int64_t registry_synced_ms; /**< registry changes up to this time are
				     * applied; 0: it was never read */
	bool runner_missing;	 /**< the registry lacks a runner that counts as
				  * listed until the grace period is over */
	int64_t registry_gap_ms; /**< time of the last read of the registry that
				  * followed a gap in reads or a store failure
				  */
	struct cell_counters counters;
};

void cell_init(struct cell *c, const struct cell_terms *t,
    const struct cell_ports *p, const char *incarnation);
void cell_done(struct cell *c);
/** A claim of leadership that the store has accepted. */
struct cell_claim {
	uint64_t fence; /**< version of the leader's row */
	uint32_t generation;
	/** Version of the row of the first part's first chain. */
	uint64_t commit_version;
	int64_t sent_ms; /**< when it, or a read that shows it, was sent */
	/** The store's clock in the answer to that; 0: not given. */
	int64_t store_clock_ms;
};
/** Begins to lead: reads jobs and runners from the store, then serves. */
void cell_lead(struct cell *c, const struct cell_claim *claim);
/** Ends the leadership; waiting callers get an answer. */
void cell_resign(struct cell *c);
/** Puts a configuration in force; the cell takes ownership of it. */
void cell_set_config(struct cell *c, struct config *m);
/** Sets the hosts that can call the advice service. */
void cell_set_hosts(struct cell *c, const char (*hosts)[64], int n);
/** Adds or updates a runner from its registry entry. An entry older than the
 * known one is ignored. */
void cell_runner_listed(struct cell *c, const struct runner_info *in);
/** Notes that as of @p version the registry has no readable entry of the
 * runner. */
void cell_runner_missing(struct cell *c, const char *id, uint64_t version);
/** Notes that all registry changes older than @p age_ms have been applied. */
void cell_registry_synced(struct cell *c, int64_t age_ms);
/** Applies a full read of the registry as of @p version: runners that it lacks
 * are missing. */
void cell_set_runners(
    struct cell *c, const struct runner_info *infos, int n, uint64_t version);
/** Whether commits have failed since the last one that was done. */
bool cell_store_fails(const struct cell *c);
/** Whether the store serves this leader so badly that a host which it does
 * serve should take over. */
bool cell_stalled(const struct cell *c);
/** Called every 25 ms: renewals, deadlines, retries and a check of all runners.
 */
void cell_tick(struct cell *c);
/** Sends what is due and places tasks, for a bounded time. */
void cell_pass(struct cell *c);

/** Accepts a job; takes ownership of @p row. Calls @p fn with the answer, for
 * an accepted job once it is stored. */
void cell_submit(
    struct cell *c, const char *id, Cc__JobRow *row, cell_fn fn, void *arg);
/** Who asks about a job. */
struct cell_caller {
	const char *queue;
	const char *account; /**< client account; "": none */
};
/** Reads the state of a job of the queue. A job of another account isn't shown:
 * CC_EPERM. */
void cell_get(struct cell *c, const struct cell_caller *by, const char *id,
    struct cell_answer *a);
/** Cancels a job; calls @p fn once its end is stored, or with CC_EPERM for a
 * job of another account. */
void cell_cancel(struct cell *c, const struct cell_caller *by, const char *id,
    cell_fn fn, void *arg);
/** Counts the runners that are kept for one task each, which must run apart.
 * @param longest_ms set to the age of the oldest such run; 0: there is none */
int cell_runners_apart(const struct cell *c, int64_t *longest_ms);
/** Counts the stored jobs of the queue that haven't started. */
void cell_pending(struct cell *c, const char *queue, struct cell_answer *a);

#endif
