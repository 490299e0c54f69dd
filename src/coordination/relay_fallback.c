#include "relay_fallback.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../base/xalloc.h"
#include "../ports/ports.h"

/** Consecutive unanswered calls before the next relay is tried. */
#define UNANSWERED_MAX 3
/** Number of choices; after the last one the first choice is used again. */
#define CHOICES_MAX 4

struct relay_fallback {
	UT_hash_handle hh;
	char runner[RUNNER_ID_LEN];
	int choice;
	int unanswered;
};

static struct relay_fallback *
find(const struct relay_fallbacks *d, const char *runner)
{
	struct relay_fallback *t;

	HASH_FIND_STR(d->list, runner, t);
	return t;
}

void
relay_fallbacks_done(struct relay_fallbacks *d)
{
	struct relay_fallback *t, *tmp;

	HASH_ITER(hh, d->list, t, tmp)
	{
		HASH_DEL(d->list, t);
		free(t);
	}
}

int
relay_fallbacks_choice(const struct relay_fallbacks *d, const char *runner)
{
	const struct relay_fallback *t = find(d, runner);

	return t != NULL ? t->choice : 0;
}

bool
relay_fallbacks_note(
    struct relay_fallbacks *d, const char *runner, bool answered)
{
	struct relay_fallback *t = find(d, runner);

	if (answered) {
		if (t != NULL)
			t->unanswered = 0;
		return false;
	}
	if (t == NULL) {
		t = xcalloc(1, sizeof(*t));
		str_copy(t->runner, runner, sizeof(t->runner));
		HASH_ADD_STR(d->list, runner, t);
	}
	if (++t->unanswered < UNANSWERED_MAX)
		return false;
	t->unanswered = 0;
	t->choice = (t->choice + 1) % CHOICES_MAX;
	return true;
}
