/**
 * @file Tickets of steps: which runners the advice service has allowed or
 * denied to a step.
 */
#ifndef CELL_GRANTS_H
#define CELL_GRANTS_H

#include "cell_internal.h"

enum grant_state {
	GRANT_UNKNOWN,
	GRANT_DENIED,
	GRANT_ALLOWED,
};

/** The advice service's answer on one runner for one step. */
struct grant {
	UT_hash_handle hh;
	TAILQ_ENTRY(grant) link; /**< in the list of allowed runners */
	char runner[RUNNER_ID_LEN];
	struct runner *cached; /**< the runner at the last look-up; NULL: not in
				* the cell */
	uint64_t cached_version; /**< cell's runners_version at that time */
	enum grant_state state;
	char *ticket; /**< NULL once the runner has refused it */
	int64_t expires_ms;
	int64_t born_ms; /**< start time of the runner incarnation that the
			  * ticket is for; 0: unknown */
};

/** All answers for one step. */
struct advice {
	struct grant *grants; /**< by runner */
	TAILQ_HEAD(grant_list, grant) allowed;
	int open;	  /**< calls under way */
	int64_t retry_ms; /**< no call before this time */
	int answers;	  /**< calls that were answered */
};

/** The advice of a step; created when it has none. */
struct advice *step_advice(struct step *s);
/** The grant for a runner; NULL when there is none. @p a may be NULL. */
struct grant *grant_find(const struct advice *a, const char *runner);
/** Records that the step may not run on the runner. */
void grant_deny(struct advice *a, const char *runner);
/** Records a ticket for the runner. */
void grant_allow(struct cell *c, struct advice *a, const char *runner,
    const char *ticket, int64_t expires_ms);
/** Whether the step needs no ticket for the runner or holds a valid one. */
bool step_holds_ticket(
    struct cell *c, const struct step *s, const struct runner *r, int64_t now);
/** Tasks of the step that fit now on runners with a valid ticket. */
uint32_t granted_slots(
    struct cell *c, const struct step *s, const struct placing_want *w);

#endif
