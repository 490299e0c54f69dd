/** @file Following the rows of a table that changes all the time. */
#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <stdio.h>

#include "../../src/base/err.h"
#include "../../src/member/follow.h"
#include "unit.h"

#define RUN_MS 450
#define MIN_INTERVAL_MS 100

/** A store in which each watch finds one more change. */
struct busy_store {
	struct store port;
	struct event_base *base;
	uint64_t version;
	int watches;
	store_fn fn;
	void *arg;
};

static int rows_reported;

static void
answer(evutil_socket_t fd, short what, void *arg)
{
	struct busy_store *s = arg;
	struct row row = {.table = "t", .key = "k", .version = ++s->version};
	struct store_result r = {
	    .err = CC_OK, .rows = &row, .nrows = 1, .version = s->version};

	(void)fd;
	(void)what;
	s->fn(&r, s->arg);
}

static void
answer_soon(struct store *p, store_fn fn, void *arg)
{
	struct busy_store *s = (struct busy_store *)p;
	struct timeval tv = {0, 1000};

	s->fn = fn;
	s->arg = arg;
	event_base_once(s->base, -1, EV_TIMEOUT, answer, s, &tv);
}

static void
busy_list(struct store *p, const char *table, const char *part,
    const char *from, int limit, store_fn fn, void *arg)
{
	(void)table;
	(void)part;
	(void)from;
	(void)limit;
	answer_soon(p, fn, arg);
}

static void
busy_watch(struct store *p, const char *table, uint64_t after, int64_t wait_ms,
    store_fn fn, void *arg)
{
	(void)table;
	(void)after;
	(void)wait_ms;
	((struct busy_store *)p)->watches++;
	answer_soon(p, fn, arg);
}

static void
note_row(const struct row *row, void *arg)
{
	(void)row;
	(void)arg;
	rows_reported++;
}

/* A table that always changes must not be watched without pause: watches are
 * MIN_INTERVAL_MS apart, and the row of each answer is reported. */
void
test_follow_busy_table(void)
{
	static const struct store_ops ops = {NULL, busy_list, busy_watch};
	static const char *const parts[] = {"", NULL};
	struct follow_options t = {.table = "t",
	    .parts = parts,
	    .wait_ms = 1000,
	    .min_interval_ms = MIN_INTERVAL_MS};
	struct busy_store s = {.port.ops = &ops, .base = event_base_new()};
	struct timeval tv = {0, RUN_MS * 1000};
	struct follow *f;

	rows_reported = 0;
	f = follow_new(s.base, &s.port, &t, note_row, NULL);
	event_base_loopexit(s.base, &tv);
	event_base_dispatch(s.base);
	CU_ASSERT(s.watches >= 1);
	CU_ASSERT(s.watches <= RUN_MS / MIN_INTERVAL_MS + 1);
	/* The row of each answer was reported. */
	CU_ASSERT(rows_reported >= s.watches);
	follow_delete(f);
	tv.tv_usec = 2 * MIN_INTERVAL_MS * 1000;
	event_base_loopexit(s.base, &tv);
	event_base_dispatch(s.base);
	event_base_free(s.base);
}
