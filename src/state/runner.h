/**
 * @file Runners of a cell, the runs on them, and their room.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../ports/ports.h"
#include "job.h"

/** A runner's steady clock runs at least this fast, percent. */
#define CLOCK_RATE_MIN 98

enum run_state {
	RUN_STARTING, /**< ordered, no answer yet */
	RUN_RUNNING,
	RUN_STOPPING,
	RUN_UNSURE, /**< the start's fate is open; a stop settles it */
};

struct run {
	TAILQ_ENTRY(run) link; /**< on its runner */
	struct runner *runner;
	struct task *task; /**< NULL: unknown here, to be stopped */
	char name[TASK_NAME_LEN];
	uint32_t number;
	enum run_state state;
	bool is_copy;
	int64_t cpu; /**< held of the runner's room, thousandths of a core */
	int64_t mem_mb;
	int64_t gpu;
	bool unsized;	      /**< what it holds isn't known */
	int64_t ordered_ms;   /**< first order sent */
	int64_t confirmed_ms; /**< known to run since; 0: not known */
	int64_t until_ms;     /**< of the start order, runner's clock */
	int64_t doubted_ms;   /**< the start had no answer; 0: it isn't open */
	int64_t stop_sent_ms; /**< 0: no stop is asked for */
	bool stop_lost;	      /**< the stop had no answer */
	int64_t stop_ok_ms;   /**< the runner took the stop; 0: not yet */
	int orders;	      /**< starts sent */
	int open_orders;      /**< of these, without an answer so far */
	int misses;	      /**< lists in a row that lack it */
	int percent;	      /**< share at which it may work */
	int load;
	char ticket[TICKET_LEN];
};

struct runner {
	UT_hash_handle hh;
	TAILQ_ENTRY(runner) due_link;
	bool due; /**< on the list of those to be looked after soon */
	struct runner_info info;
	TAILQ_HEAD(run_list, run) runs;
	int nruns;
	int nunsized; /**< runs of unknown size: nothing fits beside them */
	int64_t used_cpu;
	int64_t used_mem_mb;
	int64_t used_gpu;
	int64_t asked_cpu;	 /**< of its free room, what steps that wait for
				  * advice on it are likely to take ... */
	int64_t asked_quick_cpu; /**< ... of these, by quick calls */
	bool listed;		 /**< in the newest list of the registry */
	int64_t listed_born_ms;	 /**< incarnation that the list tells of */
	int64_t missing_ms;	 /**< since when it isn't listed */
	uint64_t fence;	  /**< of orders to it; rises with each incarnation */
	bool recorded;	  /**< open in the store: starts may be sent */
	bool opening;	  /**< the commit under way opens it */
	bool closed;	  /**< as read from the store: it holds at most the runs
			   * that are bound to it */
	bool known;	  /**< all that it may hold is known to this leader */
	bool adopted;	  /**< its lists were read under this leader */
	int64_t clock_ms; /**< runner's clock ... */
	int64_t clock_at_ms;	/**< ... read no later than this time */
	int64_t lease_ms;	/**< latest end of lease given, its clock */
	uint64_t taken;		/**< number of the last end processed */
	uint64_t acking;	/**< in the commit under way */
	uint64_t acked;		/**< what the ends up to it mean is stored */
	int64_t lists_clock_ms; /**< its clock in the newest lists */
	bool holding;		/**< a hold is under way */
	int64_t hold_sent_ms;
	bool looking; /**< a hold beside it, which doesn't wait */
	int64_t look_sent_ms;
	int64_t order_sent_ms;	  /**< last order that may prolong the lease */
	int64_t heard_ms;	  /**< last answer */
	int64_t unheard_since_ms; /**< first failure since; 0: none */
	int hold_errors;	  /**< in a row */
	int64_t drain_since_ms;
	int pace_percent; /**< at which best-effort work may go */
	int64_t paced_ms; /**< last changed; 0: at full pace */
	double speed;	  /**< of its run times to the usual; 1 is usual */
	int samples;
	int failures;	   /**< in a row, of distinct jobs */
	double fail_share; /**< of its last ends; 0: none failed */
	char failed_job[JOB_ID_LEN];
	int64_t avoid_until_ms;
	int64_t avoid_ms; /**< length of the next avoidance */
};

struct runner *runner_new(const struct runner_info *info);
/** Its runs must have been taken away before. */
void runner_delete(struct runner *r);
/** Takes room at once. */
struct run *run_new(
    struct runner *r, struct task *t, const char *name, uint32_t number);
/** Gives the room back; the task must have let go of it. */
void run_delete(struct run *run);
struct run *runner_run(
    const struct runner *r, const char *task, uint32_t number);

/** Where orders to it go; valid as long as the runner. */
struct target runner_target(const struct runner *r);
bool runner_fits(const struct runner *r, const Cc__StepSpec *s);
/** Whether it could hold a task of the step when empty. */
bool runner_could_fit(const struct runner *r, const Cc__StepSpec *s);
bool runner_has_label(const struct runner *r, const char *label);
/** Runs of this step on the runner. */
uint32_t runner_runs_of(const struct runner *r, const struct step *s);

/** Whether work may be sent to it as far as is known now. */
bool runner_open(const struct runner *r);
/** The runner's clock now, at least. Its rate may be 2% slow. */
int64_t runner_clock_least(const struct runner *r, int64_t now);
/** The runner's clock now, about. */
int64_t runner_clock(const struct runner *r, int64_t now);
/** Whether every lease given to this incarnation has certainly lapsed. */
bool runner_lapsed(const struct runner *r, int64_t now);

#endif
