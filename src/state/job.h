/**
 * @file Jobs with their occurrences, steps and tasks, and their progress.
 *
 * The specification of a job never changes once the job is accepted; only its
 * progress does. An occurrence is one repetition of a job; it is created when
 * its start time comes.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../protocol/peer.pb-c.h"
#include "resources.h"
#include "task_crashes.h"
#include "task_end.h"

#define JOB_ID_LEN 32
#define JOB_STEPS_MAX 64
#define JOB_TASKS_MAX 20000
#define JOB_OCCURRENCES_MAX 1000
/** The job has no rows in any part of the store. */
#define PART_NONE (-1)

struct account;
struct run;
struct queue;
struct job;
struct occurrence;

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_CANCELED,
};

/** Why a job was ended as failed. */
enum job_failure {
	FAILURE_NONE,
	FAILURE_ATTEMPTS, /**< a task has failed as often as allowed */
	FAILURE_CRASHES,  /**< runners have crashed under a task */
	FAILURES
};

struct task {
	struct step *step;
	uint32_t index;
	bool done;
	uint32_t last_run; /**< highest run number used; 0: never started */
	uint32_t failures;
	uint32_t *failed_runs;	     /**< run numbers of the failures */
	struct task_crashes crashes; /**< of runners under the task */
	struct task_end last_end;    /**< for the log of its next start */
	char avoid[64];		     /**< runner on which it failed last */
	char *saved;		     /**< last checkpoint; NULL for none */
	struct run *run;  /**< a run that is or may be active, or NULL */
	struct run *copy; /**< second run of a speculative task, or NULL */
	bool wants_copy;  /**< a second run is requested, as its run is late or
			     the runner is silent */
	int64_t retry_ms; /**< no start before this time */
};

struct step {
	struct occurrence *occurrence;
	const Cc__StepSpec *spec;
	uint32_t index;
	struct task *tasks;
	uint32_t ndone;
	uint32_t nheld;	  /**< tasks that have a run and are not done */
	uint32_t ncopies; /**< tasks that need a copy */
	int64_t ready_ms; /**< when it became ready; 0: not ready yet */
	int64_t first_start_ms;
	/** End of its wait for a rack, as the last placement pass decided; 0:
	 * it doesn't wait for one. */
	int64_t near_until_ms;
	bool listed;  /**< on the list of steps with tasks to place */
	bool boosted; /**< expired, which is far past its latency objective, but
			 placed before all others now */
	TAILQ_ENTRY(step) link;
	void *advice; /**< state of the advice module, which owns it */
};

struct occurrence {
	struct job *job;
	uint32_t number;
	struct step *steps;
	uint32_t nsteps_done;
};

struct job {
	UT_hash_handle hh;
	char id[JOB_ID_LEN];
	Cc__JobRow *row;
	struct occurrence **occurrences;
	uint32_t noccurrences; /**< created so far */
	uint32_t ndone;	       /**< occurrences that are done */
	enum job_state state;
	enum job_state stored_state; /**< state in the store */
	enum job_failure failure;
	char failed_task[TASK_NAME_LEN]; /**< that failed the job; "": none */
	bool stored;	 /**< the accepted job is in the store */
	bool started;	 /**< some task has started */
	bool inherited;	 /**< accepted under an earlier leader */
	bool dirty;	 /**< its progress must be written */
	uint64_t change; /**< serial number of the change that made it dirty */
	uint32_t stored_rows; /**< rows of progress in the store */
	uint32_t row_tasks;   /**< most tasks in such a row; 0: the default */
	bool in_commit;	      /**< the commit under way includes it */
	int part; /**< part of the store that has its rows, or PART_NONE */
	int64_t accepted_ms;
	int64_t ended_ms;
	int64_t due_ms;		  /**< time of its latency objective */
	int64_t critical_path_ms; /**< estimated duration of the longest chain
				     of dependent steps */
	/** Its queue in the configuration in force; may be NULL. */
	const struct queue *queue;
	struct account *account; /**< client account; NULL: none */
	/** Of a job that ended under an earlier leader: runs that weren't over
	 * by then and aren't known to this leader, and the most that one
	 * holds. */
	uint32_t left_runs;
	/** Runs that may exist and aren't known to this leader yet. */
	uint32_t unseen_runs;
	struct resources left_size;
	bool left_closed; /**< the row of a closed runner has such a run */
	int priority;
	uint32_t max_attempts;
	TAILQ_ENTRY(job) dirty_link; /**< in the cell's list of dirty jobs */
	TAILQ_ENTRY(job) ended_link; /**< in the cell's list of ended jobs */
	TAILQ_ENTRY(job) timed_link; /**< in the cell's list of repeated jobs */
	TAILQ_ENTRY(job) live_link;  /**< in the cell's list of live jobs */
	TAILQ_HEAD(waiter_list, waiter) waiters;
};

/** Takes ownership of @p row. */
struct job *job_new(const char *id, Cc__JobRow *row);
void job_delete(struct job *j);
/** @return CC_OK, or CC_EINVAL with the reason in @p why. */
int job_check(const Cc__JobRow *row, const char **why);

/** Total number of occurrences; at least 1. */
uint32_t job_repeats(const struct job *j);
/** Wall clock time at which an occurrence starts; 0: at once. */
int64_t job_start_wall_ms(const struct job *j, uint32_t number);
/** Creates the next occurrence. */
struct occurrence *job_add_occurrence(struct job *j);

bool job_ended(const struct job *j);
/** Calls @p fn for every task of the occurrences created so far. */
void job_each_task(
    struct job *j, void (*fn)(struct task *t, void *arg), void *arg);
/** Whether all tasks of the steps that it depends on are done. */
bool step_is_ready(const struct step *s);
/** Whether the step has tasks that are neither done nor have a run. */
bool step_has_waiting(const struct step *s);
/** What a task of the step holds, as its client account is charged for it.
 * Best-effort tasks count with their processors, though these aren't reserved.
 */
struct resources step_task_size(const Cc__StepSpec *s);
/** Marks a task done and counts it; for a gang, all tasks of the step. */
void task_set_done(struct task *t);
/** Estimated duration of the critical path over the steps, ms. */
int64_t job_critical_path_ms(const Cc__JobRow *row);
/** Estimated work of all tasks of one occurrence, in core-ms. */
int64_t job_work(const Cc__JobRow *row);

/** Withdraws the request for a second run of the task. */
void task_withdraw_copy_request(struct task *t);
/** Counts a failed run. @return false when it was counted before. */
bool task_add_failure(struct task *t, uint32_t run);

/** Name of a task: "JOB.OCCURRENCE.STEP.INDEX". */
void task_name(const struct task *t, char *buf, size_t len);
/** Name of a step: "JOB.OCCURRENCE.STEP". */
void step_name(const struct step *s, char *buf, size_t len);

/** A parsed task name. */
struct task_ref {
	char id[JOB_ID_LEN]; /**< of the job */
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};
/** Parses a task name. @return whether @p name has the form of one. */
bool task_ref_parse(struct task_ref *ref, const char *name);
/**
 * The task of that name in this job; NULL when there is none. Creates the
 * occurrences up to the task's own.
 */
struct task *job_task(struct job *j, const struct task_ref *ref);

/** Number of store rows that the progress takes, as a row has a size limit. */
uint32_t job_progress_rows(const struct job *j);
/**
 * Packs fewer tasks into each row of progress from now on.
 * @return false when the rows can't be smaller.
 */
bool job_progress_split(struct job *j);
/** Row @p number of the progress; freed with job_progress_free. */
Cc__JobProgress *job_progress(const struct job *j, uint32_t number);
void job_progress_free(Cc__JobProgress *p);
/** Applies row @p number of a stored progress to a new job. */
void job_load_progress(
    struct job *j, const Cc__JobProgress *p, uint32_t number);

const char *job_state_name(enum job_state s);
const char *job_failure_name(enum job_failure f);
/** The reason with that number in a stored or received message; FAILURE_NONE
 * for a number that this version doesn't know. */
enum job_failure job_failure_of(uint32_t number);

#endif
