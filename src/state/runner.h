/**
 * @file Runners of a cell as its leader sees them: the runs on each and the
 * capacity that they hold, clock and lease, and how reliable the runner is.
 *
 * A hold is the call that renews the lease of all runs on a runner. It returns
 * the runner's lists: of the runs there, and of the runs that have ended.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../ports/ports.h"
#include "job.h"

/** Slowest rate of a runner's steady clock, in percent of this host's. */
#define CLOCK_RATE_MIN_PCT 98

enum run_state {
	RUN_STARTING, /**< the start order has no answer yet */
	RUN_RUNNING,
	RUN_STOPPING,
	RUN_UNSURE, /**< may have started; a stop order resolves it */
};

struct run {
	TAILQ_ENTRY(run) link; /**< in the runner's list of runs */
	struct runner *runner;
	struct task *task; /**< NULL: no task needs the run; to be stopped */
	char name[TASK_NAME_LEN];
	uint32_t number;
	enum run_state state;
	bool is_copy;
	int64_t cpu; /**< capacity that it holds, in thousandths of a core */
	int64_t mem_mb;
	int64_t gpu;
	struct account *account;  /**< that holds it; NULL: none */
	struct resources charged; /**< what it holds of the account's cap */
	bool apart;	      /**< its runner is kept for it while its task is
			       * in doubt */
	bool unsized;	      /**< the capacity that it holds isn't known */
	int64_t ordered_ms;   /**< first start order sent, or run adopted */
	bool inherited;	      /**< an earlier leader started it; its age isn't
			       * known */
	int64_t confirmed_ms; /**< when it was first known to run; 0: not yet */
	int64_t until_ms;     /**< lease end in the newest start order, on the
				 runner's clock */
	/** When the last start order went unanswered, until the runner's lists
	 * show its effect; 0: none did. */
	int64_t start_unanswered_ms;
	int64_t stop_sent_ms;  /**< last stop order; 0: none was sent */
	bool stop_answer_lost; /**< the last stop order had no answer */
	/** When the runner accepted the stop; 0: not yet. */
	int64_t stop_accepted_ms;
	int orders;	  /**< start orders sent */
	int open_orders;  /**< start orders that may yet take effect */
	int missed_lists; /**< consecutive lists of runs that lack it */
	/** Its runner was restarted since the order. */
	bool restarted;
	bool crash_noted; /**< the end of its runner's incarnation was noted */
	enum end_cause cause; /**< by what it ends, set before its end */
	int percent;	      /**< pace last ordered, in percent of full pace */
	int load; /**< as last reported: tail latency in ms of a task with such
		     a target, else processor use */
	char *ticket; /**< NULL: the start needs none */
};

/** A run that may have been at fault for a crash of its runner: the runner is
 * silent, or has ended and may have drained. */
struct unsettled_run {
	TAILQ_ENTRY(unsettled_run) link; /**< in the runner's list */
	char task[TASK_NAME_LEN];
	struct task_crash crash; /**< as it counts if it was a crash */
	int64_t born_ms;	 /**< incarnation of the runner */
	int64_t lost_ms;      /**< contact with that incarnation had broken */
	bool ended;	      /**< the incarnation has ended */
	enum crash_sign sign; /**< by what that is known */
};

struct runner {
	UT_hash_handle hh;
	TAILQ_ENTRY(runner) due_link;
	bool due; /**< on the list of runners that the next pass sends to */
	struct runner_info info;
	TAILQ_HEAD(run_list, run) runs;
	int nruns;
	TAILQ_HEAD(unsettled_list, unsettled_run) unsettled;
	int napart; /**< runs for which it is, or was, kept */
	/** Runs of unknown size; no task fits while there are any. */
	int nunsized;
	int64_t used_cpu; /**< thousandths of a core */
	int64_t used_mem_mb;
	int64_t used_gpu;
	/** Thousandths of a core that steps with an advice call under way about
	 * this runner are likely to take here. */
	int64_t advice_pending_cpu;
	/** Part of advice_pending_cpu, of steps with quick calls. */
	int64_t quick_advice_pending_cpu;
	bool listed;		/**< in the newest list of the registry */
	int64_t listed_born_ms; /**< start of the incarnation in that list */
	/** Start of the last incarnation that is known to be over while none
	 * was known yet to follow; 0: none. */
	int64_t dead_born_ms;
	int64_t unlisted_since_ms; /**< since when it isn't listed; 0: it is */
	uint64_t fence;	   /**< fencing token of orders to it; raised when it
			    * restarts and when its lease lapses */
	bool stored_open;  /**< stored as open: start orders may be sent */
	bool commit_opens; /**< the commit under way stores it as open */
	/** Its row says, or may say, that this leader hasn't heard it: it gets
	 * no lease until a commit has stored otherwise. */
	bool stored_unheard;
	bool commit_hears; /**< the commit under way stores otherwise */
	/** By the row of the leader before, when leases of leaders before that
	 * are over, on the store's clock; 0: it doesn't say. */
	int64_t unheard_until_ms;
	bool in_row;	     /**< a row of runners was sent with it, or read */
	uint64_t row_digest; /**< digest of what that row says about it */
	/** The runner's row says closed as this leader read it, and the runner
	 * has not answered a hold since: it has at most the runs of the row. */
	bool stored_closed;
	/** Another incarnation answers at its address: it has ended, and all
	 * its runs with it. */
	bool gone;
	bool known;	 /**< this leader knows all runs that it may have */
	bool adopted;	 /**< this leader has read the lists of the present
			  * incarnation */
	bool shows_born; /**< its lists show its incarnation's start */
	int64_t restarted_ms; /**< when it was found restarted; 0: never */
	int64_t clock_ms;     /**< newest reading of the runner's clock */
	int64_t clock_at_ms;  /**< local time when it arrived; 0: none did */
	int64_t lease_ms;     /**< latest possible lease end, on that clock */
	uint64_t last_end;    /**< number of the last run end processed */
	uint64_t last_end_in_commit; /**< last end that the commit under way
					covers */
	uint64_t last_end_stored;    /**< last end whose effects are stored */
	int64_t lists_clock_ms;	     /**< runner's clock in its newest lists */
	bool hold_pending; /**< a hold is under way, polls not counted */
	int64_t hold_sent_ms;
	/** A poll is under way: a second hold, which returns the lists at once
	 * and renews no lease. */
	bool polling;
	int64_t poll_sent_ms;
	/** The last renewal of the lease was sent after the last answer to a
	 * hold. */
	bool renewal_unanswered;
	int64_t order_sent_ms; /**< last order that may extend the lease */
	int64_t last_hold_answer_ms; /**< last answer to a hold; 0: none */
	int64_t silent_since_ms;     /**< when it was found silent, as its holds
					have no answer; 0: it answers */
	int hold_errors;	     /**< consecutive failed holds */
	int64_t lost_ms;	     /**< when the first of them failed */
	/** The contact ended with the connection, as it does when the runner's
	 * process ends; behind a cut, holds are left unanswered. */
	bool closed_connection;
	int64_t drain_since_ms; /**< when it last began to drain */
	/** The incarnation that last drained, as the registry shows it; 0: none
	 * did. */
	int64_t drained_born_ms;
	int pace_percent; /**< pace of best-effort runs, percent of full pace */
	/** Last change of the pace; 0: the pace is full. */
	int64_t pace_changed_ms;
	double speed; /**< moving average of the ratio of estimated to measured
			 run time */
	int samples;  /**< run times in that average */
	int failures; /**< failed runs since the last success, each of another
			 job than the failure before */
	double failure_rate; /**< moving average of the share of failed runs */
	char failed_job[JOB_ID_LEN]; /**< job of the last failure; "": none
				       since the last success */
	int64_t avoid_until_ms;	     /**< gets no new work before this time */
	/** Length of the last backoff, which the next one doubles; 0: none
	 * since the last success or restart. */
	int64_t avoid_ms;
};

struct runner *runner_new(const struct runner_info *info);
/** The runner must have no runs left; its unsettled runs are freed. */
void runner_delete(struct runner *r);
/**
 * Adds a run, which takes its capacity on the runner at once. The size of a run
 * without a task is unknown.
 */
struct run *run_new(
    struct runner *r, struct task *t, const char *name, uint32_t number);
/** Keeps the runner for the run until that shows whether its task crashes
 * runners. */
void run_keep_apart(struct run *run);
void runner_free_unsettled(struct unsettled_run *u, struct runner *r);
/** Frees the run and its capacity; no task may refer to it any more. */
void run_delete(struct run *run);
/** The run of that task and number; NULL when the runner has none. */
struct run *runner_run(
    const struct runner *r, const char *task, uint32_t number);

/** Address for orders to the runner; valid as long as the runner. */
struct target runner_target(const struct runner *r);
/** Start of the incarnation that orders are bound to; 0: the runner's lists
 * don't show it, so that an answer can't tell whom a connection reaches. */
int64_t runner_bound_born_ms(const struct runner *r);
/** Whether a task of the step fits beside the present runs. */
bool runner_fits(const struct runner *r, const Cc__StepSpec *s);
/** Whether a task of the step would fit on the empty runner. */
bool runner_fits_empty(const struct runner *r, const Cc__StepSpec *s);
bool runner_has_label(const struct runner *r, const char *label);
/** Whether the runner is kept for a run whose task is in doubt. */
bool runner_is_apart(const struct runner *r, int64_t now);
/** Whether the runner has a run whose task is in doubt. */
bool runner_has_doubtful(const struct runner *r, int64_t now);
/** Number of runs of this step on the runner. */
uint32_t runner_count_runs(const struct runner *r, const struct step *s);

/** Whether the runner takes work: listed, neither gone nor draining, and not
 * silent. */
bool runner_takes_work(const struct runner *r);
/** Lower bound of the runner's clock at @p now; it may run 2% slow. */
int64_t runner_clock_min(const struct runner *r, int64_t now);
/** Estimate of the runner's clock at @p now. */
int64_t runner_clock(const struct runner *r, int64_t now);
/** Time since the runner answered a hold of this leader, ms; -1: never. */
long long runner_heard_ms_ago(const struct runner *r, int64_t now);
/** Time since the runner was found silent, ms; 0: it isn't. */
long long runner_silent_ms(const struct runner *r, int64_t now);
/** Estimated time until its latest lease ends, ms; 0 when its clock isn't
 * known. */
long long runner_lease_left_ms(const struct runner *r, int64_t now);
/** Whether every lease sent to this incarnation has certainly lapsed. */
bool runner_lapsed(const struct runner *r, int64_t now);

#endif
