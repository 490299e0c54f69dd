/** @file What the advice service has said of a step's runners. */
#ifndef CELL_GRANTS_H
#define CELL_GRANTS_H

#include "parts.h"

enum grant_state {
	GRANT_UNKNOWN,
	GRANT_DENIED,
	GRANT_ALLOWED,
};

struct grant {
	UT_hash_handle hh;
	TAILQ_ENTRY(grant) link; /**< among the allowed ones */
	char runner[RUNNER_ID_LEN];
	struct runner *cached;	 /**< that runner, as of ... */
	uint64_t cached_version; /**< ... this version of the cell's runners */
	enum grant_state state;
	char ticket[TICKET_LEN];
	int64_t expires_ms;
	int64_t born_ms;
};

struct advice {
	struct grant *grants;
	TAILQ_HEAD(grant_list, grant) allowed;
	int open; /**< calls under way */
	int64_t retry_ms;
	int answers;
};

/** The advice of a step, made when it has none. */
struct advice *step_advice(struct step *s);
struct grant *grant_find(const struct advice *a, const char *runner);
/** Notes that the step may not run there. */
void grant_deny(struct advice *a, const char *runner);
/** Notes a ticket for the runner. */
void grant_allow(struct cell *c, struct advice *a, const char *runner,
    const char *ticket, int64_t expires_ms);
/** Tasks of the step that valid tickets give a place now. */
uint32_t granted_slots(
    struct cell *c, const struct step *s, const struct placing_want *w);

#endif
