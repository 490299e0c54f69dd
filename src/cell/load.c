/*
 * Recovery of a new leader: reads all parts of the store in parallel, and
 * claims those that it doesn't own yet.
 *
 * The claim of the leadership has already fenced the first part. Any other
 * part is claimed after its read by a write of its guard row. That write is
 * conditional on the guard row and on the rows of all commit chains as they
 * were read. Its success shows that the read missed no commit and that the
 * previous leader can write to the part no more.
 */
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "account_cap.h"
#include "account_order.h"
#include "deposed.h"

#define PAGE_ROWS 500
/** Timeout of the first write of a guard row, on top of GUARD_TIMEOUT_FACTOR
 * times the average answer time of the store. */
#define GUARD_TIMEOUT_MIN_MS 120
#define GUARD_TIMEOUT_FACTOR 3
/** The timeout doubles with each failed write until it reaches this. */
#define GUARD_TIMEOUT_MAX_MS 4000

static void read_page(struct part_load *p);

static bool
all_done(const struct load *l)
{
	int i;

	for (i = 0; i < CELL_PARTS; i++)
		if (!l->parts[i].done)
			return false;
	return true;
}

/* Runners whose row says closed. */
static int
count_closed(const struct cell *c)
{
	const struct runner *r;
	int n = 0;

	for (r = c->runners; r != NULL; r = r->hh.next)
		n += r->stored_closed;
	return n;
}

static void
part_done(struct part_load *p)
{
	struct load *l = p->load;
	struct cell *c = l->cell;

	p->done = true;
	if (!all_done(l))
		return;
	load_apply(l);
	c->load = NULL;
	load_free(l);
	c->phase = CELL_SERVING;
	c->committed_ms = c->ports.now();
	kvlog(KVLOG_INFO, "leading",
	    "fence=%llu generation=%u jobs=%u runners=%u closed=%d "
	    "load_ms=%lld",
	    (unsigned long long)c->fence, c->generation, HASH_COUNT(c->jobs),
	    HASH_COUNT(c->runners), count_closed(c),
	    (long long)(c->ports.now() - c->lead_since_ms));
	cell_check_adopted(c);
	account_cap_update(c);
	account_order_update(c);
	c->ports.wake(c->ports.arg);
}

static void
part_failed(struct part_load *p, const char *what, int err)
{
	kvlog(KVLOG_WARN, "load_retry", "part=%s call=%s why=%s",
	    part_name(p->part), what, cc_strerror(err));
	p->failed = true;
}

/* Counts an answered call, and frees a canceled load after its last one.
 * @return false when the load was canceled. */
static bool
load_call_done(struct load *l)
{
	l->ncalls--;
	if (l->cell != NULL)
		return true;
	if (l->ncalls == 0)
		load_free(l);
	return false;
}

/* @return false when a newer leader has claimed the part. */
static bool
handle_guard_row(struct part_load *p, const struct row *row)
{
	Cc__GuardRow *g = cc__guard_row__unpack(NULL, row->len, row->value);
	uint64_t own = p->load->cell->fence, fence = 0;

	if (g == NULL) {
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
	} else {
		fence = g->fence;
		cc__guard_row__free_unpacked(g, NULL);
	}
	p->guard = row->version;
	p->owned = fence == own;
	return fence <= own;
}

static void
read_again(struct part_load *p)
{
	struct cell *c = p->load->cell;
	int i;

	load_discard_jobs(p);
	for (i = 0; i < PART_CHAINS; i++)
		c->chains[part_chain(p->part, i)].version = 0;
	store_page_reset(&p->page);
	p->guard = 0;
	p->owned = false;
	read_page(p);
}

static void
part_owned(struct part_load *p)
{
	p->load->cell->parts[p->part].guard = p->guard;
	part_done(p);
}

static void
on_guard_claimed(const struct store_result *r, void *arg)
{
	struct part_load *p = arg;

	if (!load_call_done(p->load))
		return;
	if (r->err == CC_OK) {
		p->guard = r->version;
		part_owned(p);
	} else if (r->err == CC_ECONFLICT) {
		read_again(p);
	} else {
		if (p->guard_timeout_ms < GUARD_TIMEOUT_MAX_MS)
			p->guard_timeout_ms *= 2;
		part_failed(p, "claim", r->err);
	}
}

static void
claim_guard(struct part_load *p)
{
	struct cell *c = p->load->cell;
	Cc__GuardRow g = CC__GUARD_ROW__INIT;
	uint8_t buf[128];
	char keys[PART_CHAINS][CHAIN_KEY_LEN];
	struct row conds[PART_CHAINS + 1];
	struct row row = {.table = CELL_TABLE, .key = GUARD_KEY, .value = buf};
	struct store_txn t = {.part = part_name(p->part),
	    .conditions = conds,
	    .nconditions = PART_CHAINS + 1,
	    .writes = &row,
	    .nwrites = 1};
	int i, chain;

	for (i = 0; i < PART_CHAINS; i++) {
		chain = part_chain(p->part, i);
		conds[i] = (struct row){.table = CELL_TABLE,
		    .key = chain_key(chain, keys[i]),
		    .version = c->chains[chain].version};
	}
	conds[i] = (struct row){
	    .table = CELL_TABLE, .key = GUARD_KEY, .version = p->guard};
	g.incarnation = c->incarnation;
	g.fence = c->fence;
	row.len = cc__guard_row__pack(&g, buf);
	p->load->ncalls++;
	c->ports.store->ops->txn(
	    c->ports.store, &t, p->guard_timeout_ms, on_guard_claimed, p);
}

/* The part's rows are read. The guard row as read may already be this leader's,
 * from a write whose answer was lost. */
static void
part_read_done(struct part_load *p)
{
	if (p->part == PART_FIRST || p->owned)
		part_owned(p);
	else
		claim_guard(p);
}

/* @return false when a newer leader has claimed the part. */
static bool
handle_row(struct part_load *p, const struct row *row)
{
	struct cell *c = p->load->cell;
	int chain = chain_of_key(p->part, row->key);

	if (strcmp(row->key, GUARD_KEY) == 0)
		return handle_guard_row(p, row);
	if (chain < 0)
		load_row(p, row);
	else if (chain != part_chain(PART_FIRST, 0)) /* known from the claim */
		c->chains[chain].version = row->version;
	return true;
}

/* @return false when the leadership was lost. */
static bool
handle_rows(struct part_load *p, const struct store_result *r)
{
	struct cell *c = p->load->cell;
	int i;

	for (i = 0; i < r->nrows; i++) {
		if (handle_row(p, &r->rows[i]))
			continue;
		cell_deposed(c, DEPOSED_BY_GUARD, "part=%s guard=%llu",
		    part_name(p->part), (unsigned long long)p->guard);
		return false;
	}
	return true;
}

static void
on_page(const struct store_result *r, void *arg)
{
	struct part_load *p = arg;

	if (!load_call_done(p->load))
		return;
	if (r->err != CC_OK) {
		part_failed(p, "read", r->err);
		return;
	}
	if (!handle_rows(p, r))
		return;
	if (store_page_next(&p->page, r))
		read_page(p);
	else
		part_read_done(p);
}

static void
read_page(struct part_load *p)
{
	struct store *s = p->load->cell->ports.store;

	p->load->ncalls++;
	s->ops->list(s, CELL_TABLE, part_name(p->part), p->page.from, PAGE_ROWS,
	    on_page, p);
}

void
cell_load(struct cell *c)
{
	struct load *l = xcalloc(1, sizeof(*l));
	int i;

	l->cell = c;
	c->load = l;
	for (i = 0; i < CELL_PARTS; i++) {
		l->parts[i].load = l;
		l->parts[i].part = i;
		l->parts[i].guard_timeout_ms = GUARD_TIMEOUT_MIN_MS +
		    (int64_t)(GUARD_TIMEOUT_FACTOR * c->commit_latency_ms);
		read_page(&l->parts[i]);
	}
}

void
cell_load_retry(struct cell *c)
{
	struct part_load *p;
	int i;

	for (i = 0; i < CELL_PARTS && c->load != NULL; i++) {
		p = &c->load->parts[i];
		if (!p->failed)
			continue;
		p->failed = false;
		if (p->part == PART_FIRST)
			read_page(p);
		else
			read_again(p);
	}
}

void
cell_load_drop(struct cell *c)
{
	struct load *l = c->load;

	c->load = NULL;
	if (l == NULL)
		return;
	l->cell = NULL;
	if (l->ncalls == 0)
		load_free(l);
}
