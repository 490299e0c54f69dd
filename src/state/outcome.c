#include "outcome.h"

#include <string.h>

static const char *const names[] = {"none", "done", "not-run", "unknown"};

const char *
outcome_name(enum outcome o)
{
	return (unsigned)o < 4 ? names[o] : "none";
}

enum outcome
outcome_of(const char *name)
{
	int i;

	for (i = 1; i < 4; i++)
		if (strcmp(names[i], name) == 0)
			return (enum outcome)i;
	return OUTCOME_NONE;
}
