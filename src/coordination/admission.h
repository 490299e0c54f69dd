/**
 * @file Whether a job is admitted, by the rate of its client account and
 * the work that waits.
 *
 * Load that it answers: one account sends several times its rate while the
 * cell is full. What is beyond its rate would delay the work of others that are
 * within theirs, so it is refused first, as long as it couldn't be served in
 * time anyway.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** A job, and what is known of its account and the cell. */
struct admission_request {
	bool has_account;
	double rate;	  /**< jobs a second that the account is entitled to
			   */
	double tokens;	  /**< of its token bucket; one for each job */
	uint32_t refused; /**< refused lately: these will return */
	/** It was refused before, and told to return in this time; 0: not. */
	int64_t retry_due_in_ms;
	double waiting_cpu;	/**< of starts that wait, in thousandths of a
				 * core, as all below */
	double waiting_core_ms; /**< their estimated work, core-ms */
	int64_t free_cpu;
	int64_t total_cpu;
	int64_t critical_path_ms;
	int64_t objective_ms;
};

struct admission {
	double tokens; /**< as in the request */
	double rate;   /**< of the account */
	bool admitted;
	bool over_rate;	    /**< beyond the account's rate */
	bool retry_pending; /**< refused until the time that it was told before
			     */
	/** For a refused one: when its account's rate will have room for it and
	 * for those refused before it. */
	int64_t retry_after_ms;
};

/** Jobs that an account of this rate may send at once. */
double admission_burst(double rate);
struct admission admission_decide(const struct admission_request *q);

#endif
