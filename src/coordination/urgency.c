#include "urgency.h"

/** Rank of a boosted step, before all priorities. */
#define BOOSTED_RANK (-1)
/** Added to the priority of a step whose job is late or expired. */
#define LATE_RANK 1000
#define EXPIRED_RANK 2000

struct urgency
urgency_of(const struct urgency_job *j, int64_t now)
{
	int64_t objective = j->due_ms - j->accepted_ms;
	int64_t end = now + j->remaining_ms;
	struct urgency u = {.rank = j->priority, .due_ms = j->due_ms};

	if (j->long_running)
		return u;
	if (j->boosted) {
		u.rank = BOOSTED_RANK;
		return u;
	}
	if (end > j->accepted_ms + OBJECTIVE_EXPIRED_FACTOR * objective)
		u.rank += EXPIRED_RANK;
	else if (now > j->due_ms)
		u.rank += LATE_RANK;
	return u;
}

bool
urgency_is_expired(const struct urgency *u)
{
	return u->rank >= EXPIRED_RANK;
}

int
urgency_compare(const struct urgency *a, const struct urgency *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return 0;
}

int64_t
urgency_objective_ms(
    int64_t critical_path_ms, double stretch, int64_t target_latency_ms)
{
	return (int64_t)((double)critical_path_ms * stretch) +
	    target_latency_ms;
}
