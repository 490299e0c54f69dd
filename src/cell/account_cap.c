#include "account_cap.h"

/* Whether runs of the job may exist that this leader doesn't know. */
static bool
may_run_unseen(const struct cell *c, const struct job *j)
{
	return j->inherited && j->account != NULL &&
	    account_is_limited(j->account) &&
	    (!job_ended(j) || j->ended_ms >= c->lead_since_ms);
}

/* Tasks of the step that may have a run which isn't known. */
static int64_t
unseen_tasks(const struct step *s)
{
	int64_t tasks = (int64_t)s->spec->count - s->ndone;

	/* A speculative task may have two. */
	if (s->spec->speculative)
		tasks *= 2;
	return tasks - s->nheld;
}

static void
add_unseen(struct job *j)
{
	struct resources size;
	uint32_t i;
	size_t k;

	for (i = 0; i < j->noccurrences; i++)
		for (k = 0; k < j->row->n_steps; k++) {
			const struct step *s = &j->occurrences[i]->steps[k];

			size = step_task_size(s->spec);
			size = resources_times(&size, unseen_tasks(s));
			resources_add(&j->account->unseen, &size);
		}
}

void
account_cap_update(struct cell *c)
{
	struct account *a;
	struct job *j;

	for (a = c->accounts; a != NULL; a = a->hh.next)
		a->unseen = (struct resources){0, 0, 0};
	if (!c->adopting || c->accounts == NULL)
		return;
	for (j = c->jobs; j != NULL; j = j->hh.next)
		if (may_run_unseen(c, j))
			add_unseen(j);
}

bool
account_cap_allows(const struct cell *c, const struct step *s)
{
	const struct account *a = s->occurrence->job->account;
	struct resources size = step_task_size(s->spec);

	if (!s->spec->gang)
		return account_fits(a, &size);
	size = resources_times(&size, s->spec->count);
	return account_fits_gang(a, &size, c->terms.quota_excess);
}
