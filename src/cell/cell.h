/**
 * @file One cell under its leader: jobs, runners, and what is decided on them.
 *
 * A cell reaches the outside through ports only and is told the time, so that
 * tests drive it in memory. All state is derived: what must last is in the
 * store (accepted jobs, their progress) or at the runners (what runs, what
 * has ended and isn't acknowledged yet).
 */
#ifndef CELL_H
#define CELL_H

#include "../coordination/lanes.h"
#include "../coordination/late_turn.h"
#include "../coordination/returns.h"
#include "../ports/ports.h"
#include "../state/job.h"
#include "../state/config.h"
#include "../state/runner.h"

#define CELL_TABLE "celerycart-jobs"
#define MEMBER_TABLE "celerycart-members"
/** Of the store's parts that hold jobs, the one with the leader's row and the
 * runners; see part.h. */
#define CELL_PART "c0"
#define MEMBER_PART "m"
#define LEADER_KEY "leader"
/** Row of a part's first chain; the others' have their number behind. */
#define COMMIT_KEY "commit"
/** In all parts but the first; see part.h. */
#define GUARD_KEY "guard"
/** Runners are spread over rows by their ids; a row's number is behind. */
#define RUNNERS_PREFIX "runners/"
#define RUNNERS_ROWS 64
#define JOB_PREFIX "j/"
#define PROGRESS_PREFIX "p/"

struct cell_terms {
	int64_t max_hold_ms;   /**< longest lease that a runner grants */
	int64_t lease_ms;      /**< of a run at its runner, renewed by holds */
	int64_t start_ms;      /**< a start that arrives later is refused */
	int64_t hold_wait_ms;  /**< a hold waits this long for an end */
	int64_t stop_grace_ms; /**< a stop takes at most this long */
	int64_t status_ms;     /**< ended jobs are known this long */
	double remote_factor;
};

struct cell_ports {
	struct store *store;
	struct runner_port *runners;
	struct advice_port *advice;
	int64_t (*now)(void);	   /**< steady clock, ms */
	int64_t (*wall_now)(void); /**< ms since 1970 */
	/** Asks for a cell_pass soon. */
	void (*wake)(void *arg);
	/** The leadership is lost. */
	void (*deposed)(void *arg);
	void *arg;
};

enum cell_phase {
	CELL_IDLE, /**< another host leads */
	CELL_LOADING,
	CELL_SERVING,
};

struct cell_counters {
	uint64_t accepted;
	uint64_t refused;
	uint64_t completed;
	uint64_t failed;
	uint64_t canceled;
	uint64_t starts;
	uint64_t ends[END_LOST + 1];
	uint64_t commits;
	uint64_t commit_errors;
	uint64_t holds;
	uint64_t advice_calls;
	uint64_t preempted;
	uint64_t copies;
};

struct cell_answer {
	int error; /**< CC_OK, CC_ENOENT, CC_EBUSY, CC_ETIMEOUT, CC_ENOTOWNER */
	enum job_state state;
	uint32_t pending;
	uint32_t retry_after_ms;
};
typedef void (*cell_fn)(const struct cell_answer *a, void *arg);

/** A caller that waits until its job's change is stored. */
struct waiter {
	TAILQ_ENTRY(waiter) link;
	cell_fn fn;
	void *arg;
	bool cancels;
};

struct commit;
struct load;

/** Parts of the store that hold jobs. */
#define CELL_PARTS 4
/** Commits beside each other in a part, while the store is slow. */
#define PART_CHAINS 8
#define COMMIT_CHAINS (CELL_PARTS * PART_CHAINS)

/** Each commit of a chain is conditional on the one before. */
struct commit_chain {
	uint64_t version;      /**< of its row in the store; 0: there is none */
	struct commit *commit; /**< under way */
};

/** What is known of a part of the store. */
struct part {
	uint64_t guard;	   /**< version of its guard's row; not of the first */
	int64_t commit_ms; /**< last commit sent */
	int64_t answered_sent_ms; /**< newest commit with an answer was sent */
};

struct candidate;

TAILQ_HEAD(step_list, step);
TAILQ_HEAD(job_list, job);
TAILQ_HEAD(runner_list, runner);

struct cell {
	struct cell_terms terms;
	struct cell_ports ports;
	enum cell_phase phase;
	uint64_t fence;	     /**< version of the leader's row */
	uint32_t generation; /**< of the claim; starts run numbers */
	char incarnation[32];
	struct config *config; /**< in force at this host */
	struct job *jobs;
	struct job *loading; /**< read from the store, on no list yet */
	struct runner *runners;
	int busy_runners;	   /**< with runs, as of the last sweep */
	uint64_t runners_version;  /**< rises when one comes or goes */
	struct runner_list due;	   /**< to be looked after in the next pass */
	struct candidate *scratch; /**< room for all runners; see place.c */
	size_t nscratch;
	struct step_list steps; /**< with work to place */
	struct job_list dirty;
	struct job_list ended; /**< oldest first */
	struct job_list live;  /**< that haven't ended */
	struct job_list timed; /**< with occurrences to come */
	struct lanes lanes;
	struct queue_share *shares;	/**< of the runners, by queue */
	char ask_cursor[RUNNER_ID_LEN]; /**< choices begin with this runner */
	struct late_turn late;		/**< share of work past its objective */
	struct returns returns;		/**< of callers that were refused */
	int64_t lead_since_ms;		/**< this host leads since */
	int64_t adopt_until_ms;		/**< inherited work waits until then, or
					 *   until all runners are adopted */
	bool blind;
	struct commit_chain chains[COMMIT_CHAINS];
	struct part parts[CELL_PARTS];
	uint64_t store_version; /**< of the newest commit that was done */
	uint64_t commit_seq;  /**< number of the last commit of this process */
	uint64_t changes;     /**< of jobs, so far */
	uint64_t ack_change;  /**< what is being acknowledged is stored when the
			       * changes up to this one are; 0: nothing is */
	struct load *load;    /**< of jobs and runners, under way */
	int64_t commit_ms;    /**< last sent, to any part */
	int64_t committed_ms; /**< last known to be done */
	int64_t renewed_ms;   /**< last commit that was done was sent */
	double answer_ms;     /**< of the store to commits, usually */
	int64_t store_down_ms; /**< since when it fails; 0: it doesn't */
	uint64_t stale_rows;   /**< rows of runners to be written, a bit each */
	int jobs_per_commit;   /**< a commit takes so many jobs at most */
	int64_t last_unanswered_ms; /**< a runner that was well last left an
				     * order unanswered */
	int64_t
	    registry_synced_ms; /**< the registry was last heard of; 0: never */
	bool missing;		/**< it lacks a runner that is in use */
	int64_t registry_gap_ms; /**< it was last heard of after a gap */
	struct cell_counters counters;
};

void cell_init(struct cell *c, const struct cell_terms *t,
    const struct cell_ports *p, const char *incarnation);
void cell_done(struct cell *c);
/** Begins to lead: reads jobs and runners, then serves. */
void cell_lead(struct cell *c, uint64_t fence, uint32_t generation,
    uint64_t commit_version);
/** Leads no longer; waiting callers are answered. */
void cell_resign(struct cell *c);
void cell_set_config(struct cell *c, struct config *m);
void cell_set_hosts(struct cell *c, const char (*hosts)[64], int n);
/** An entry of the registry, of whatever age. */
void cell_runner_listed(struct cell *c, const struct runner_info *in);
/** From this version on the registry has no entry of the runner that can be
 * read. */
void cell_runner_missing(struct cell *c, const char *id, uint64_t version);
/** All changes up to so long ago have been told. */
void cell_registry_heard(struct cell *c, int64_t age_ms);
/** The whole registry as of a version. */
void cell_set_runners(
    struct cell *c, const struct runner_info *infos, int n, uint64_t version);
/** Whether the store has failed the last commit. */
bool cell_store_fails(const struct cell *c);
/** Whether another host should lead, if the store serves it. */
bool cell_stalled(const struct cell *c);
/** Every 25 ms: renewals, time limits, retries, and a look at all runners. */
void cell_tick(struct cell *c);
/** Sends what is due and places what can be placed, for a bounded time. */
void cell_pass(struct cell *c);

/** Takes over @p row. */
void cell_submit(
    struct cell *c, const char *id, Cc__JobRow *row, cell_fn fn, void *arg);
void cell_get(
    struct cell *c, const char *queue, const char *id, struct cell_answer *a);
void cell_cancel(struct cell *c, const char *id, cell_fn fn, void *arg);
void cell_pending(struct cell *c, const char *queue, struct cell_answer *a);

#endif
