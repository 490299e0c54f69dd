#include "account_cap.h"

#include "lead_lease.h"

/* Whether runs of the job may exist that this leader doesn't know. */
static bool
may_run_unseen(const struct cell *c, const struct job *j)
{
	return j->inherited && j->account != NULL && j->left_runs == 0 &&
	    account_is_limited(j->account) &&
	    (!job_ended(j) || j->ended_ms >= c->lead_since_ms);
}

/* Whether runs of a job that ended under an earlier leader may go on unknown:
 * on runners that aren't adopted yet, or on a closed one, which isn't awaited,
 * until its lease is over. */
static bool
may_be_left(const struct cell *c, const struct job *j)
{
	return j->left_runs > 0 && j->account != NULL &&
	    (c->adopting || (j->left_closed && !lead_lease_inherited_over(c)));
}

static void
add_left(struct job *j)
{
	struct resources size = resources_times(&j->left_size, j->left_runs);

	resources_add(&j->account->unseen, &size);
}

/* Runs of a speculative task that may exist and aren't known: of two, one has
 * ended when the task is done. The other one may go on until it is stopped. */
static int64_t
unseen_runs(const struct task *t)
{
	int n = (t->done ? 1 : 2) - (t->run != NULL) - (t->copy != NULL);

	return n > 0 ? n : 0;
}

/* Runs of the step that may exist and aren't known. */
static int64_t
unseen_of_step(const struct step *s)
{
	int64_t sum = 0;
	uint32_t i;

	if (!s->spec->speculative || s->spec->gang) {
		sum = (int64_t)s->spec->count - s->ndone - s->nheld;
		return sum > 0 ? sum : 0;
	}
	for (i = 0; i < s->spec->count; i++)
		sum += unseen_runs(&s->tasks[i]);
	return sum;
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

			int64_t n = unseen_of_step(s);

			size = step_task_size(s->spec);
			size = resources_times(&size, n);
			resources_add(&j->account->unseen, &size);
			j->unseen_runs += (uint32_t)n;
		}
}

void
account_cap_update(struct cell *c)
{
	struct account *a;
	struct job *j;

	for (a = c->accounts; a != NULL; a = a->hh.next)
		a->unseen = (struct resources){0, 0, 0};
	if (c->accounts == NULL || !c->counts_unseen)
		return;
	for (j = c->jobs; j != NULL; j = j->hh.next) {
		j->unseen_runs = 0;
		if (c->adopting && may_run_unseen(c, j))
			add_unseen(j);
		else if (may_be_left(c, j))
			add_left(j);
	}
	c->counts_unseen = !lead_lease_inherited_over(c);
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
