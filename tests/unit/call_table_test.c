/** @file Calls to peers end once each: by a reply, a lost link or a deadline.
 */
#include <CUnit/CUnit.h>
#include <stdbool.h>

#include "../../src/base/err.h"
#include "../../src/transport/call_table.h"
#include "unit.h"

#define LINK 7
#define OTHER_LINK 8
#define DEADLINE_MS 1000

struct call_owner {
	struct call_table *table;
	int n;
	int err;
	bool calls_again;
	bool fails_link;
};

static void
on_reply(int err, const Cc__Frame *f, void *arg)
{
	struct call_owner *s = arg;

	(void)f;
	s->n++;
	s->err = err;
	if (s->calls_again)
		call_table_add(s->table, LINK, DEADLINE_MS, on_reply, arg);
	if (s->fails_link)
		call_table_fail(s->table, LINK);
	s->calls_again = s->fails_link = false;
}

void
test_calls_end_once(void)
{
	struct call_table t = {0};
	struct call_owner replied = {&t}, lost = {&t}, late = {&t},
			  unsent = {&t};
	Cc__Frame f = CC__FRAME__INIT;

	f.reply_to = call_table_add(&t, LINK, DEADLINE_MS, on_reply, &replied);
	call_table_add(&t, LINK, DEADLINE_MS, on_reply, &lost);
	call_table_add(&t, OTHER_LINK, DEADLINE_MS, on_reply, &late);
	call_table_add(&t, 0, DEADLINE_MS, on_reply, &unsent);
	call_table_reply(&t, &f);
	call_table_reply(&t, &f);
	call_table_fail(&t, LINK);
	call_table_expire(&t, DEADLINE_MS - 1);
	CU_ASSERT(replied.n == 1 && replied.err == CC_OK);
	CU_ASSERT(lost.n == 1 && lost.err == CC_ECONN);
	CU_ASSERT(unsent.n == 1 && unsent.err == CC_ENOTSENT);
	CU_ASSERT_EQUAL(late.n, 0);
	call_table_expire(&t, DEADLINE_MS);
	CU_ASSERT(late.n == 1 && late.err == CC_ETIMEOUT);
	CU_ASSERT_PTR_NULL(t.calls);
}

/* While calls expire, one callback adds a call and another fails the link on
 * which further calls are open. Each call must still end once. */
void
test_calls_reentrant_callbacks(void)
{
	struct call_table t = {0};
	struct call_owner first = {.table = &t, .fails_link = true};
	struct call_owner second = {&t},
			  third = {.table = &t, .calls_again = true};

	call_table_add(&t, LINK, DEADLINE_MS, on_reply, &first);
	call_table_add(&t, LINK, DEADLINE_MS, on_reply, &second);
	call_table_add(&t, LINK, DEADLINE_MS, on_reply, &third);
	call_table_expire(&t, DEADLINE_MS);
	CU_ASSERT(first.n == 1 && second.n == 1 && third.n == 1);
	call_table_fail(&t, LINK);
	CU_ASSERT(third.n == 2 && third.err == CC_ECONN);
	CU_ASSERT_PTR_NULL(t.calls);
}
