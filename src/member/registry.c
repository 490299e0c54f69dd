/* The leader reads the registry of runners. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "parts.h"

/** The list is read this often, and less often the longer it is. */
#define READ_EVERY_MS 500
#define READ_RUNNER_MS 2
#define READ_EVERY_MAX_MS 2000
#define PAGE_ROWS 500

struct reading {
	struct member *member;
	struct runner_info *infos;
	int n;
	char from[RUNNER_ID_LEN + 2];
};

static void read_page(struct reading *r);

static void
reading_free(struct reading *r)
{
	r->member->registry_open = false;
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
	for (i = 0; i < res->nrows; i++)
		if (m->ports.registry_decode(&res->rows[i], &r->infos[r->n]))
			r->n++;
	if (res->has_more && res->nrows > 0) {
		str_copy(r->from, res->rows[res->nrows - 1].key,
		    sizeof(r->from) - 1);
		strcat(r->from, "!");
		read_page(r);
		return;
	}
	cell_set_runners(&m->cell, r->infos, r->n);
	reading_free(r);
}

static void
read_page(struct reading *r)
{
	struct member *m = r->member;

	m->ports.store->ops->list(m->ports.store, m->ports.registry_table,
	    m->ports.registry_part, r->from, PAGE_ROWS, on_page, r);
}

static int64_t
read_every_ms(const struct member *m)
{
	int64_t ms = READ_RUNNER_MS * (int64_t)HASH_COUNT(m->cell.runners);

	if (ms > READ_EVERY_MAX_MS)
		return READ_EVERY_MAX_MS;
	return ms > READ_EVERY_MS ? ms : READ_EVERY_MS;
}

void
member_registry_tick(struct member *m)
{
	int64_t now = clock_boot_ms();
	struct reading *r;

	if (!member_leads(m) || m->cell.phase != CELL_SERVING ||
	    m->registry_open || now - m->registry_ms < read_every_ms(m))
		return;
	m->registry_ms = now;
	m->registry_open = true;
	r = xcalloc(1, sizeof(*r));
	r->member = m;
	read_page(r);
}
