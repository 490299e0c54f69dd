/**
 * @file Client accounts at the leader: what each holds of the cell's resources.
 *
 * The state is derived from the runs that the leader knows, so a new leader
 * builds it from stored rows and the lists of runners.
 */
#ifndef ACCOUNT_H
#define ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "../base/log2_hist.h"
#include "rate_window.h"
#include "resources.h"
#include "token_bucket.h"

/** Terms of an account in the configuration. */
struct account_terms {
	UT_hash_handle hh; /**< in the configuration's accounts, by name */
	char *name;
	/** Share of the cell when all is full, relative to other accounts, and
	 * the rate of jobs a second that the account is entitled to. */
	double weight;
	struct resources cap; /**< most that it may hold; 0: no limit */
	/** Its calls are refused and its tasks wait, as its cap can't be read.
	 */
	bool unreadable;
	/** The configuration lacks it; kept for jobs accepted before. */
	bool dropped;
};

/** Why a job of an account was refused. */
enum account_refusal {
	ACCOUNT_REFUSED_RATE, /**< beyond its rate, and there is no room */
	ACCOUNT_REFUSED_GANG, /**< its cap can't hold a gang of the job */
	ACCOUNT_REFUSED_UNAVAILABLE, /**< for a reason that isn't the account's
				      */
	ACCOUNT_REFUSALS
};

struct account {
	UT_hash_handle hh;
	char *name;
	double weight;
	struct resources cap;
	bool unreadable; /**< as in its terms */
	/** Sizes of all its runs, in whatever state. */
	struct resources held;
	/** Most that it may hold in runs which this leader doesn't know yet,
	 * while it adopts the runners of a former leader. */
	struct resources unseen;
	int nruns;
	bool above_share;	     /**< it holds more than its share */
	struct token_bucket rate;    /**< of jobs */
	struct rate_window refusals; /**< jobs refused for its rate */
	uint32_t nwaiting;	     /**< steps with tasks to start */
	uint64_t refused_total[ACCOUNT_REFUSALS];
	/** Times from accept to first start of its jobs that aren't repeated.
	 */
	struct log2_hist first_start_ms;
};

/** @return the account of that name; NULL when there is none. */
struct account *account_find(struct account *accounts, const char *name);
/** @return the account of that name, which is added without limits when there
 * is none. */
struct account *account_get(struct account **accounts, const char *name);
/** Frees all accounts; no job or run may refer to them any more. */
void account_delete_all(struct account **accounts);
/** Puts the terms of a configuration in force. */
void account_set_terms(struct account *a, const struct account_terms *t);
/** Name of a reason, for metrics. */
const char *account_refusal_name(enum account_refusal why);
/** Counts a step with tasks to start, or takes it off. @p a may be NULL. */
void account_add_waiting(struct account *a);
void account_remove_waiting(struct account *a);
/** Whether the account has a limit of some kind. */
bool account_is_limited(const struct account *a);
/** Counts a run of this size, or takes it off. @p a may be NULL. */
void account_hold(struct account *a, const struct resources *size);
void account_release(struct account *a, const struct resources *size);
/**
 * Whether the account may hold @p size more: it stays within its cap, or it
 * holds nothing, so that a task above the cap can run alone. @p a may be NULL:
 * no account, no limit.
 */
bool account_fits(const struct account *a, const struct resources *size);
/**
 * Whether a gang of this total size may start.
 * @param excess share of the cap by which a gang that runs alone may exceed it
 */
bool account_fits_gang(
    const struct account *a, const struct resources *total, double excess);
/** Whether the account's cap allows a gang of this total size at all. */
bool account_allows_gang(const struct account_terms *t,
    const struct resources *total, double excess);

#endif
