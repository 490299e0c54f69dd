#include "account_admit.h"

#include "cell_internal.h"

/** A new leader counts jobs that were accepted so lately for their account's
 * rate. */
#define LOADED_MS 1000

/* What is known of the account, for a job at @p now. One that returns
 * earlier than it was told takes nothing from those that are within the rate.
 */
static void
fill_request(struct cell *c, struct account *a, const char *id, int64_t now,
    struct admission_request *q)
{
	int64_t due = retry_after_due(&c->retry_after, id);

	q->has_account = true;
	q->rate = a->weight;
	q->retry_due_in_ms = due > now ? due - now : 0;
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
	if (d->admitted || d->retry_pending)
		return;
	rate_window_add(&a->refusals, c->terms.quota_window_ms, now);
	retry_after_set_due(&c->retry_after, id, now + d->retry_after_ms, now);
}

struct admission
account_admit(
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
account_admit_loaded(struct cell *c, struct job *j)
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
