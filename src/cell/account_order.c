#include "account_order.h"

#include <stdlib.h>

#include "../base/xalloc.h"
#include "../coordination/fair_share.h"
#include "account_cap.h"
#include "cell_internal.h"

/** Interval at which the order of accounts is found anew. */
#define UPDATE_MS 100

/* Whether some runner could hold a task of the step. */
static bool
fits_some_runner(const struct cell *c, const struct step *s)
{
	struct resources size = step_task_size(s->spec);

	return size.cpu <= c->largest.cpu && size.mem_mb <= c->largest.mem_mb &&
	    size.gpu <= c->largest.gpu;
}

/* Adds the starts that a step needs, unless its account's cap or its size keeps
 * them back. */
static void
add_waiting(struct cell *c, const struct step *s)
{
	double cpu = (double)step_pending_starts(s) * s->spec->cpu;

	if (!account_cap_allows(c, s) || !fits_some_runner(c, s))
		return;
	c->waiting_cpu += cpu;
	c->waiting_core_ms += cpu * s->spec->estimate_ms / 1000;
}

static void
count_waiting(struct cell *c)
{
	const struct step *s;

	c->waiting_cpu = c->waiting_core_ms = 0;
	TAILQ_FOREACH (s, &c->steps, link)
		add_waiting(c, s);
}

static void
sum_runners(struct cell *c)
{
	const struct runner *r;

	c->total = c->largest = (struct resources){0, 0, 0};
	c->free_cpu = 0;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (!runner_takes_work(r))
			continue;
		c->total.cpu += r->info.cpu;
		c->total.mem_mb += r->info.mem_mb;
		c->total.gpu += r->info.gpu;
		c->largest = resources_max(&c->largest,
		    &(struct resources){
			r->info.cpu, r->info.mem_mb, r->info.gpu});
		if (r->info.cpu > r->used_cpu)
			c->free_cpu += r->info.cpu - r->used_cpu;
	}
}

void
account_order_update(struct cell *c)
{
	int n = 0, max = (int)HASH_COUNT(c->accounts);
	struct fair_share *list;
	struct account *a;

	if (max == 0 || c->ports.now() - c->account_order_ms < UPDATE_MS)
		return;
	c->account_order_ms = c->ports.now();
	sum_runners(c);
	count_waiting(c);
	list = xcalloc((size_t)max, sizeof(*list));
	for (a = c->accounts; a != NULL; a = a->hh.next)
		list[n++] = (struct fair_share){.weight = a->weight,
		    .held = a->held,
		    .active = a->nwaiting > 0 || a->nruns > 0};
	fair_share_decide(list, n, &c->total);
	n = 0;
	for (a = c->accounts; a != NULL; a = a->hh.next)
		a->above_share = list[n++].above;
	free(list);
}
