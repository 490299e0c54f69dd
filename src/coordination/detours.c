#include "detours.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../base/xalloc.h"
#include "../ports/ports.h"

/** Calls in a row without an answer before another relay is tried. */
#define FAILURES_MAX 3
/** Places that are tried before it begins anew. */
#define PLACES 4

struct detour {
	UT_hash_handle hh;
	char runner[RUNNER_ID_LEN];
	int nth;
	int failures;
};

static struct detour *
find(const struct detours *d, const char *runner)
{
	struct detour *t;

	HASH_FIND_STR(d->list, runner, t);
	return t;
}

void
detours_done(struct detours *d)
{
	struct detour *t, *tmp;

	HASH_ITER(hh, d->list, t, tmp)
	{
		HASH_DEL(d->list, t);
		free(t);
	}
}

int
detours_nth(const struct detours *d, const char *runner)
{
	const struct detour *t = find(d, runner);

	return t != NULL ? t->nth : 0;
}

bool
detours_note(struct detours *d, const char *runner, bool answered)
{
	struct detour *t = find(d, runner);

	if (answered) {
		if (t != NULL)
			t->failures = 0;
		return false;
	}
	if (t == NULL) {
		t = xcalloc(1, sizeof(*t));
		str_copy(t->runner, runner, sizeof(t->runner));
		HASH_ADD_STR(d->list, runner, t);
	}
	if (++t->failures < FAILURES_MAX)
		return false;
	t->failures = 0;
	t->nth = (t->nth + 1) % PLACES;
	return true;
}
