#include "tombstone.h"

#include <stdlib.h>

#include "../base/xalloc.h"

bool
tombstone_pass(
    struct tombstones *t, const char *key, uint64_t attempt, int64_t now)
{
	struct tombstone *s;

	HASH_FIND_STR(t->by_key, key, s);
	if (s != NULL && attempt <= s->attempt)
		return false;
	if (s != NULL)
		HASH_DEL(t->by_key, s);
	else
		s = xcalloc(1, sizeof(*s));
	str_copy(s->key, key, sizeof(s->key));
	s->attempt = attempt;
	s->seen_ms = now;
	HASH_ADD_STR(t->by_key, key, s);
	return true;
}

void
tombstones_expire(struct tombstones *t, int64_t now)
{
	struct tombstone *s, *tmp;

	HASH_ITER(hh, t->by_key, s, tmp)
	{
		if (now - s->seen_ms < TOMBSTONE_KEEP_MS)
			return;
		HASH_DEL(t->by_key, s);
		free(s);
	}
}

void
tombstones_done(struct tombstones *t)
{
	struct tombstone *s, *tmp;

	HASH_ITER(hh, t->by_key, s, tmp)
	{
		HASH_DEL(t->by_key, s);
		free(s);
	}
}
