/**
 * @file Crashes of runners under a task: whether it is suspected of causing
 * them, and when it is given up.
 *
 * A crash counts once the runner's incarnation is known to be over; silence
 * shows nothing. It is proven when the task's run was surely at work then. Only
 * proven crashes give a task up; the others make it run apart.
 */
#ifndef TASK_CRASHES_H
#define TASK_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

/** What shows that a runner's incarnation is over. */
enum crash_sign {
	CRASH_OTHER_INCARNATION, /**< another one answers at its address */
	CRASH_LISTED_BORN,	 /**< the registry lists a later incarnation */
	CRASH_SHOWN_BORN,	 /**< its lists show a later incarnation */
	CRASH_SHOWN_EARLIER,	 /**< its lists show one that began earlier */
	CRASH_CLOCK_BACK,	 /**< its clock went back */
	CRASH_START_UNBOUND,	 /**< it refused a start that was bound to the
				  * incarnation before */
	CRASH_SIGNS
};

/** A run whose runner crashed. */
struct task_crash {
	uint32_t run;
	bool proven; /**< it was surely at work at the crash */
	bool alone;  /**< it had its runner to itself */
	int64_t age_ms;
};

struct task_crashes {
	uint32_t *runs; /**< numbers of the runs that ended so */
	uint32_t n;
	uint32_t proven; /**< of these, how many surely did */
	uint32_t alone;	 /**< proven ones that had their runner to themselves */
	int64_t age_ms;	 /**< age of the last of them at its end */
	/** A run has outlived earlier crashes: the task doesn't crash each
	 * runner that starts it. Not stored. */
	bool outlived;
	/** Runs on silent runners, which may have crashed; not stored. */
	uint32_t unsettled;
};

const char *crash_sign_name(enum crash_sign s);

void task_crashes_done(struct task_crashes *k);
/**
 * Counts a crash.
 * @return false when that run was counted before or is too old to be at fault.
 */
bool task_crashes_add(struct task_crashes *k, const struct task_crash *crash);
/** Notes that a crash which was counted as not proven is proven. */
void task_crashes_prove(struct task_crashes *k, const struct task_crash *crash);
/** Takes back a crash that was counted as not proven. */
void task_crashes_remove(struct task_crashes *k, uint32_t run);
/** Whether that run was counted. */
bool task_crashes_has(const struct task_crashes *k, uint32_t run);
/** Clears the suspicion. */
void task_crashes_clear(struct task_crashes *k);
/** Clears it as a run has outlived the crashes. */
void task_crashes_outlive(struct task_crashes *k);
/** Whether the task should run apart, so that the next crash has one cause. */
bool task_crashes_suspected(const struct task_crashes *k);
/** Whether the task is suspected, and a run of this age has not shown yet that
 * it isn't at fault. */
bool task_crashes_in_doubt(const struct task_crashes *k, int64_t age_ms);
/**
 * Whether the task waits until it is known whether it has crashed runners, as
 * one more start might be one too many.
 * @param silent the last runner is silent, so that this may take long
 */
bool task_crashes_held(const struct task_crashes *k, bool silent);
/** Whether the task is to be given up. */
bool task_crashes_exceeded(const struct task_crashes *k);
/** Whether a run of @p age_ms shows that the task isn't at fault for a crash
 * under an earlier run, which had the age @p crash_age_ms. */
bool task_crash_outlived_by(int64_t crash_age_ms, int64_t age_ms);
/** Whether a run of this age clears the task: its earlier ones ended sooner. */
bool task_crashes_cleared_by(const struct task_crashes *k, int64_t age_ms);

#endif
