#include "task_end.h"

static const char *const end_names[] = {"done", "failed", "stopped", "lapsed",
    "peer-ended", "gang-timeout", "lost"};

static const char *const cause_names[CAUSE_COUNT] = {"list", "stop-accepted",
    "missed-lists", "restarted", "other-incarnation", "not-sent", "late",
    "refused", "superseded", "lease-clock", "longest-lease", "inherited-over"};

const char *
run_end_name(enum run_end how)
{
	return end_names[how];
}

const char *
end_cause_name(enum end_cause cause)
{
	return cause_names[cause];
}
