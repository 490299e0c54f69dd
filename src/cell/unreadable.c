#include "unreadable.h"

#include <stdlib.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"

bool
unreadable_has(const struct unreadable_job *list, const char *id)
{
	const struct unreadable_job *u;

	HASH_FIND_STR(list, id, u);
	return u != NULL;
}

void
unreadable_add(
    struct unreadable_job **list, const char *id, int part, const char *key)
{
	struct unreadable_job *u;

	kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", key);
	if (unreadable_has(*list, id))
		return;
	u = xcalloc(1, sizeof(*u));
	str_copy(u->id, id, sizeof(u->id));
	u->part = part;
	HASH_ADD_STR(*list, id, u);
}

static void
drop(struct unreadable_job **list, struct unreadable_job *u)
{
	HASH_DEL(*list, u);
	free(u);
}

void
unreadable_drop_part(struct unreadable_job **list, int part)
{
	struct unreadable_job *u, *tmp;

	HASH_ITER(hh, *list, u, tmp)
	{
		if (u->part == part)
			drop(list, u);
	}
}

void
unreadable_drop_all(struct unreadable_job **list)
{
	struct unreadable_job *u, *tmp;

	HASH_ITER(hh, *list, u, tmp)
	{
		drop(list, u);
	}
}
