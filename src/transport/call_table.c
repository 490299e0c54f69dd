#include "call_table.h"

#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#include "../base/err.h"
#include "../base/xalloc.h"

struct open_call {
	UT_hash_handle hh;
	struct open_call *next; /**< in a list of calls that end together */
	uint64_t id;
	uint64_t link;
	int64_t deadline_ms;
	peer_reply_fn fn;
	void *arg;
};

uint64_t
call_table_add(struct call_table *t, uint64_t link, int64_t deadline_ms,
    peer_reply_fn fn, void *arg)
{
	struct open_call *c = xcalloc(1, sizeof(*c));

	c->id = ++t->last_id;
	c->link = link;
	c->deadline_ms = link != 0 ? deadline_ms : INT64_MIN;
	c->fn = fn;
	c->arg = arg;
	HASH_ADD(hh, t->calls, id, sizeof(c->id), c);
	return c->id;
}

void
call_table_reply(struct call_table *t, const Cc__Frame *f)
{
	struct open_call *c;

	HASH_FIND(hh, t->calls, &f->reply_to, sizeof(f->reply_to), c);
	if (c == NULL)
		return;
	HASH_DEL(t->calls, c);
	c->fn(CC_OK, f, c->arg);
	free(c);
}

/*
 * Ends calls that are no longer in the table, since their callbacks may add
 * and end other calls.
 */
static void
complete_calls(struct open_call *c, int err)
{
	struct open_call *next;

	for (; c != NULL; c = next) {
		next = c->next;
		c->fn(c->link != 0 ? err : CC_ENOTSENT, NULL, c->arg);
		free(c);
	}
}

static bool
call_matches(const struct open_call *c, uint64_t link, int64_t now)
{
	return link != 0 ? c->link == link : now >= c->deadline_ms;
}

/*
 * Removes the calls of @p link from the table; where @p link is 0, those whose
 * deadline has passed. @return the list of them, oldest first.
 */
static struct open_call *
detach_calls(struct call_table *t, uint64_t link, int64_t now)
{
	struct open_call *c, *tmp, *first = NULL, **last = &first;

	HASH_ITER(hh, t->calls, c, tmp)
	{
		if (!call_matches(c, link, now))
			continue;
		HASH_DEL(t->calls, c);
		*last = c;
		last = &c->next;
	}
	return first;
}

void
call_table_fail(struct call_table *t, uint64_t link)
{
	complete_calls(detach_calls(t, link, 0), CC_ECONN);
}

void
call_table_expire(struct call_table *t, int64_t now)
{
	complete_calls(detach_calls(t, 0, now), CC_ETIMEOUT);
}
