#include "urgency.h"

struct urgency
urgency_of(const struct urgency_job *j, int64_t now)
{
	int64_t objective = j->due_ms - j->accepted_ms;
	int64_t end = now + j->remaining_ms;
	struct urgency u = {.lateness = LATENESS_NONE,
	    .priority = j->priority,
	    .above_share = j->above_share,
	    .due_ms = j->due_ms};

	if (j->long_running && !j->over_rate)
		return u;
	if (j->boosted)
		u.lateness = LATENESS_BOOSTED;
	else if (!j->long_running &&
	    end > j->accepted_ms + OBJECTIVE_EXPIRED_FACTOR * objective)
		u.lateness = LATENESS_EXPIRED;
	else if (j->over_rate)
		u.lateness = LATENESS_OVER_RATE;
	else if (now > j->due_ms)
		u.lateness = LATENESS_LATE;
	return u;
}

bool
urgency_is_expired(const struct urgency *u)
{
	return u->lateness == LATENESS_EXPIRED;
}

bool
urgency_is_first(const struct urgency *u)
{
	return u->lateness == LATENESS_NONE && u->priority == 0;
}

int
urgency_compare(const struct urgency *a, const struct urgency *b)
{
	if (a->lateness != b->lateness)
		return a->lateness < b->lateness ? -1 : 1;
	/* Boosted steps are served by their due times alone. */
	if (a->lateness != LATENESS_BOOSTED && a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->lateness != LATENESS_BOOSTED && a->above_share != b->above_share)
		return a->above_share ? 1 : -1;
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return 0;
}

static int64_t
objective_part(double ms)
{
	return ms < OBJECTIVE_PART_MAX_MS ? (int64_t)ms : OBJECTIVE_PART_MAX_MS;
}

int64_t
urgency_objective_ms(
    int64_t critical_path_ms, double stretch, int64_t target_latency_ms)
{
	return objective_part((double)critical_path_ms * stretch) +
	    objective_part((double)target_latency_ms);
}
