#include "account_stats.h"

#include <string.h>

#include "../coordination/fair_share.h"

struct totals {
	struct resources held; /**< by all accounts, known or not */
	uint64_t waiting;
};

static struct resources
held_or_unseen(const struct account *a)
{
	struct resources r = a->held;

	resources_add(&r, &a->unseen);
	return r;
}

static struct totals
sum_all(const struct cell *c)
{
	struct totals t = {0};
	struct resources held;
	const struct account *a;

	for (a = c->accounts; a != NULL; a = a->hh.next) {
		held = held_or_unseen(a);
		resources_add(&t.held, &held);
		t.waiting += a->nwaiting;
	}
	return t;
}

/* The account's part of what all hold, plus its part of the waiting steps. */
static double
rank_of(const struct account *a, const struct totals *t)
{
	struct resources held = held_or_unseen(a);
	double rank = fair_share_dominant(&held, &t->held);

	if (t->waiting > 0)
		rank += (double)a->nwaiting / (double)t->waiting;
	return rank;
}

static void
add_to_others(struct account_stats *s, const struct account *a)
{
	struct account *o = &s->others;
	int i;

	s->nothers++;
	o->weight += a->weight;
	resources_add(&o->held, &a->held);
	resources_add(&o->unseen, &a->unseen);
	o->nruns += a->nruns;
	o->nwaiting += a->nwaiting;
	for (i = 0; i < ACCOUNT_REFUSALS; i++)
		o->refused_total[i] += a->refused_total[i];
	log2_hist_merge(&o->first_start_ms, &a->first_start_ms);
}

void
account_stats_get(const struct cell *c, struct account_stats *out)
{
	struct totals t = sum_all(c);
	double ranks[ACCOUNT_STATS_MAX], rank;
	const struct account *a;
	int i, n = 0;

	memset(out, 0, sizeof(*out));
	for (a = c->accounts; a != NULL; a = a->hh.next) {
		rank = rank_of(a, &t);
		if (n == ACCOUNT_STATS_MAX && rank <= ranks[n - 1]) {
			add_to_others(out, a);
			continue;
		}
		if (n == ACCOUNT_STATS_MAX)
			add_to_others(out, out->shown[--n]);
		for (i = n++; i > 0 && ranks[i - 1] < rank; i--) {
			ranks[i] = ranks[i - 1];
			out->shown[i] = out->shown[i - 1];
		}
		ranks[i] = rank;
		out->shown[i] = a;
	}
	out->nshown = n;
}
