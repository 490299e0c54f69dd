/*
 * Tracks the registry of runners while this host leads.
 *
 * Besides watching the registry, the leader lists it completely at intervals:
 * the watch doesn't report entries that were deleted while the store's history
 * was lost.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../state/store_page.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** Interval of complete listings. */
#define RELIST_INTERVAL_MS 5000
/** Interval of complete listings while a runner in use has no entry. */
#define RELIST_MISSING_MS 500
#define FOLLOW_WAIT_MS 1000
/** Least time between the starts of two watches: runners update their entries
 * all the time. */
#define FOLLOW_MIN_INTERVAL_MS 100
#define PAGE_ROWS 500

/** A complete listing of the registry in flight. */
struct reading {
	struct member *member;
	struct runner_info *infos;
	int n;
	struct store_page page;
	uint64_t version; /**< of the first page */
};

static void read_page(struct reading *r);

static void
reading_free(struct reading *r)
{
	r->member->registry_reading = false;
	free(r->infos);
	free(r);
}

static void
on_page(const struct store_result *res, void *arg)
{
	struct reading *r = arg;
	struct member *m = r->member;
	int i;

	if (res->err != CC_OK || !member_leads(m)) {
		reading_free(r);
		return;
	}
	r->infos = xrealloc(
	    r->infos, (size_t)(r->n + res->nrows + 1) * sizeof(*r->infos));
	if (r->version == 0)
		r->version = res->version;
	for (i = 0; i < res->nrows; i++)
		if (m->ports.registry_decode(&res->rows[i], &r->infos[r->n]))
			r->n++;
	if (store_page_next(&r->page, res)) {
		read_page(r);
		return;
	}
	cell_set_runners(&m->cell, r->infos, r->n, r->version);
	reading_free(r);
}

static void
read_page(struct reading *r)
{
	struct member *m = r->member;

	m->ports.store->ops->list(m->ports.store, m->ports.registry_table,
	    m->ports.registry_part, r->page.from, PAGE_ROWS, on_page, r);
}

static void
on_entry(const struct row *row, void *arg)
{
	struct member *m = arg;
	struct runner_info info;

	if (!row->deleted && m->ports.registry_decode(row, &info))
		cell_runner_listed(&m->cell, &info);
	else
		cell_runner_missing(&m->cell, row->key, row->version);
}

/* Each term as leader starts a new follow, which reports all entries again. */
static void
follow_registry(struct member *m, bool leads)
{
	static const char *parts[2];
	struct follow_options o = {.table = m->ports.registry_table,
	    .parts = parts,
	    .wait_ms = FOLLOW_WAIT_MS,
	    .min_interval_ms = FOLLOW_MIN_INTERVAL_MS};

	parts[0] = m->ports.registry_part;
	if (leads && m->registry == NULL) {
		m->registry_read_ms = clock_boot_ms();
		m->registry =
		    follow_new(m->base, m->ports.store, &o, on_entry, m);
	} else if (!leads && m->registry != NULL) {
		follow_delete(m->registry);
		m->registry = NULL;
	}
}

void
member_registry_tick(struct member *m)
{
	int64_t now = clock_boot_ms();
	bool leads = member_leads(m) && m->cell.phase == CELL_SERVING;
	struct reading *r;

	if (m->registry != NULL && m->registry_fence != m->cell.fence)
		follow_registry(m, false);
	follow_registry(m, leads);
	m->registry_fence = m->cell.fence;
	if (!leads)
		return;
	if (follow_ready(m->registry))
		cell_registry_synced(&m->cell, follow_age_ms(m->registry));
	if (m->registry_reading ||
	    now - m->registry_read_ms < (m->cell.runner_missing
						? RELIST_MISSING_MS
						: RELIST_INTERVAL_MS))
		return;
	m->registry_read_ms = now;
	m->registry_reading = true;
	r = xcalloc(1, sizeof(*r));
	r->member = m;
	read_page(r);
}
