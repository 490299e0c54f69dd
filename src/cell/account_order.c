#include "account_order.h"

#include <stdlib.h>

#include "../base/xalloc.h"
#include "../coordination/fair_share.h"
#include "account_cap.h"
#include "cell_internal.h"

/** A new leader counts jobs that were accepted so lately for their account's
 * rate. */
#define LOADED_MS 1000

/** Interval at which the order of accounts is found anew. */
#define UPDATE_MS 100

/* Adds the starts that a step needs, unless its account's cap keeps them back.
 */
static void
add_waiting(struct cell *c, const struct step *s)
{
	int64_t cpu = (int64_t)step_pending_starts(s) * s->spec->cpu;

	if (!account_cap_allows(c, s))
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

	c->total = (struct resources){0, 0, 0};
	c->free_cpu = 0;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (!runner_takes_work(r))
			continue;
		c->total.cpu += r->info.cpu;
		c->total.mem_mb += r->info.mem_mb;
		c->total.gpu += r->info.gpu;
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
	count_waiting(c);
	sum_runners(c);
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

/* What is known of the account, for a submission at @p now. One that returns
 * earlier than it was told takes nothing from those that are within the rate.
 */
static void
fill_request(struct cell *c, struct account *a, const char *id, int64_t now,
    struct admission_request *q)
{
	int64_t promised = retry_after_promised(&c->retry_after, id);

	q->has_account = true;
	q->rate = a->weight;
	q->promised_in_ms = promised > now ? promised - now : 0;
	q->tokens = token_bucket_tokens(
	    &a->rate, a->weight, admission_burst(a->weight), now);
	q->refused =
	    rate_window_count(&a->refusals, c->terms.quota_window_ms, now);
}

static void
count_decision(struct cell *c, struct account *a, const char *id, int64_t now,
    const struct admission *d)
{
	if (!d->over_rate)
		token_bucket_take(&a->rate);
	if (d->admitted || d->keeps_promise)
		return;
	rate_window_add(&a->refusals, c->terms.quota_window_ms, now);
	retry_after_promise(&c->retry_after, id, now + d->retry_after_ms, now);
}

struct admission
account_order_admit(
    struct cell *c, const char *id, const Cc__JobRow *row, int64_t objective_ms)
{
	int64_t now = c->ports.now();
	struct admission_request q = {.waiting_cpu = c->waiting_cpu,
	    .waiting_core_ms = c->waiting_core_ms,
	    .free_cpu = c->free_cpu,
	    .total_cpu = c->total.cpu,
	    .critical_path_ms = job_critical_path_ms(row),
	    .objective_ms = objective_ms};
	struct account *a = NULL;
	struct admission d;

	if (row->account[0] != '\0')
		a = cell_account(c, row->account);
	if (a != NULL)
		fill_request(c, a, id, now, &q);
	d = admission_decide(&q);
	if (a != NULL)
		count_decision(c, a, id, now, &d);
	return d;
}

void
account_order_loaded(struct cell *c, struct job *j)
{
	struct account *a = j->account;

	if (a == NULL || j->row->over_rate)
		return;
	/* Jobs are read in no order, so older ones count like new ones. */
	if (c->ports.now() - j->accepted_ms <= LOADED_MS &&
	    token_bucket_tokens(&a->rate, a->weight, admission_burst(a->weight),
		c->ports.now()) >= 1.0)
		token_bucket_take(&a->rate);
}
