/**
 * @file Job, occurrence, step and task, and what has happened to them.
 *
 * A job is accepted whole and never changes; its progress does. Occurrences
 * of a repeated job are made when they are due.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../protocol/peer.pb-c.h"

#define JOB_ID_LEN 32
#define JOB_STEPS_MAX 64
#define JOB_TASKS_MAX 20000
#define JOB_OCCURRENCES_MAX 1000
#define PART_NONE (-1)

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

struct task {
	struct step *step;
	uint32_t index;
	bool done;
	uint32_t last_run; /**< highest run number used; 0: never started */
	uint32_t failures;
	uint32_t *failed_runs; /**< the runs that failed, one each failure */
	char avoid[64];	       /**< runner on which it failed last */
	char *saved;	       /**< last checkpoint; NULL for none */
	struct run *run;       /**< where it is, or may be */
	struct run *copy;      /**< a second run of a speculative task */
	bool wants_copy;       /**< its run is late or its runner silent */
	int64_t retry_ms;      /**< no start before this time */
};

struct step {
	struct occurrence *occurrence;
	const Cc__StepSpec *spec;
	uint32_t index;
	struct task *tasks;
	uint32_t ndone;
	uint32_t nheld;	  /**< tasks that have a run */
	uint32_t ncopies; /**< tasks that want a copy */
	int64_t ready_ms; /**< it became ready; 0: it is not yet */
	int64_t first_start_ms;
	bool listed;  /**< on the list of steps with work to place */
	bool favored; /**< late, and served before all others now */
	TAILQ_ENTRY(step) link;
	void *advice; /**< owned by the module that asks for advice */
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
	uint32_t noccurrences; /**< made so far */
	uint32_t ndone;	       /**< occurrences that are done */
	enum job_state state;
	enum job_state stored_state; /**< what the store has */
	bool stored;		     /**< the accepted job is in the store */
	bool started;		     /**< a task has begun, now or earlier */
	bool inherited;		     /**< accepted under an earlier leader */
	bool dirty;		     /**< its progress is to be written */
	uint64_t change;      /**< number of the change that made it dirty */
	uint32_t stored_rows; /**< rows of progress in the store */
	bool in_commit;	      /**< a commit under way carries it */
	int part; /**< of the store, with its rows; PART_NONE: it has none */
	int64_t accepted_ms;
	int64_t ended_ms;
	int64_t due_ms;	  /**< latency objective, absolute */
	int64_t chain_ms; /**< estimate of its longest chain */
	const struct queue
	    *queue; /**< in the configuration in force; may be NULL */
	int priority;
	uint32_t max_attempts;
	TAILQ_ENTRY(job) dirty_link;
	TAILQ_ENTRY(job) ended_link;
	TAILQ_ENTRY(job) timed_link;
	TAILQ_ENTRY(job) live_link;
	TAILQ_HEAD(waiter_list, waiter) waiters;
};

/** Takes over @p row, which is freed with the job. */
struct job *job_new(const char *id, Cc__JobRow *row);
void job_delete(struct job *j);
/** CC_EINVAL with a text of what is wrong, or CC_OK. */
int job_check(const Cc__JobRow *row, const char **why);

/** Number of occurrences in all; at least 1. */
uint32_t job_repeats(const struct job *j);
/** Wall clock at which an occurrence is due; 0 when it has no time. */
int64_t job_due_wall_ms(const struct job *j, uint32_t number);
/** Makes the next occurrence. */
struct occurrence *job_add_occurrence(struct job *j);

bool job_ended(const struct job *j);
/** Calls @p fn for every task that has been made so far. */
void job_each_task(
    struct job *j, void (*fn)(struct task *t, void *arg), void *arg);
/** Whether the tasks of all earlier steps are done. */
bool step_is_ready(const struct step *s);
/** Whether the step has tasks that are neither done nor held by a run. */
bool step_has_waiting(const struct step *s);
/** Marks a task done and counts it; all tasks of a gang together. */
void task_set_done(struct task *t);
/** Longest chain of estimates over the steps, ms. */
int64_t job_chain_ms(const Cc__JobRow *row);
/** Work of all tasks of one occurrence, core-ms by the estimates. */
int64_t job_work(const Cc__JobRow *row);

/** The task no longer looks for a place for a second run. */
void task_drop_copy_wish(struct task *t);
/** Counts a failure; false when that of this run was counted before. */
bool task_add_failure(struct task *t, uint32_t run);

/** "ID.K.STEP.INDEX". */
void task_name(const struct task *t, char *buf, size_t len);
/** "ID.K.STEP". */
void step_name(const struct step *s, char *buf, size_t len);

struct task_ref {
	char id[JOB_ID_LEN];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};
/** @return whether @p name has the form of a task's name. */
bool task_ref_parse(struct task_ref *ref, const char *name);
/** The task of that name in this job; NULL when there is none. */
struct task *job_task(struct job *j, const struct task_ref *ref);

/** Rows that the progress takes; a row of the store is limited. */
uint32_t job_progress_rows(const struct job *j);
/** One row of the progress; free with job_progress_free. */
Cc__JobProgress *job_progress(const struct job *j, uint32_t number);
void job_progress_free(Cc__JobProgress *p);
/** Sets a fresh job to a stored progress. */
void job_load_progress(
    struct job *j, const Cc__JobProgress *p, uint32_t number);

const char *job_state_name(enum job_state s);

#endif
