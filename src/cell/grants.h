/** @file What the advice service has said of a step's runners. */
#ifndef CELL_GRANTS_H
#define CELL_GRANTS_H

#include "parts.h"

enum standing {
	STANDING_UNKNOWN,
	STANDING_DENIED,
	STANDING_ALLOWED,
};

struct grant {
	UT_hash_handle hh;
	char runner[RUNNER_ID_LEN];
	enum standing standing;
	char ticket[TICKET_LEN];
	int64_t expires_ms;
	int64_t born_ms;
};

struct advice {
	struct grant *grants;
	bool asking;
	int64_t asked_ms;
	int64_t retry_ms;
	int answers;
};

/** The advice of a step, made when it has none. */
struct advice *step_advice(struct step *s);
struct grant *grant_find(const struct advice *a, const char *runner);
/** Finds a runner's grant or makes an unknown one. */
struct grant *grant_get(struct advice *a, const char *runner);
/** Tasks of the step that valid tickets give a place now. */
uint32_t granted_slots(
    struct cell *c, const struct step *s, const struct placing_want *w);

#endif
