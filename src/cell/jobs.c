/* Jobs of a cell: submit, get and cancel, and their steps and occurrences. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/leader_claim.h"
#include "../state/queue_terms.h"
#include "account_admit.h"
#include "cell_internal.h"

/** Retry-after interval for callers while this host can't answer for sure. */
#define LOADING_RETRY_MS 1000
/**
 * Time after a renewal in which this leader's state is current. Later, another
 * host may lead and know more. No host claims the leadership sooner after a
 * renewal (coordination/leader_claim.h), unless this host reports itself as
 * stalled.
 */
#define STATE_CURRENT_MS (CLAIM_AFTER_MIN_MS - 20)

struct job *
cell_job(struct cell *c, const char *id)
{
	struct job *j;

	HASH_FIND_STR(c->jobs, id, j);
	return j;
}

struct account *
cell_account(struct cell *c, const char *name)
{
	const struct account_terms *t = NULL;
	struct account *a = account_find(c->accounts, name);

	if (a != NULL)
		return a;
	a = account_get(&c->accounts, name);
	if (c->config != NULL)
		t = config_account(c->config, name);
	if (t != NULL)
		account_set_terms(a, t);
	return a;
}

void
cell_bind_account(struct cell *c, struct job *j)
{
	if (j->row->account[0] != '\0')
		j->account = cell_account(c, j->row->account);
}

void
cell_apply_queue(struct cell *c, struct job *j)
{
	const struct queue *q =
	    c->config != NULL ? config_queue(c->config, j->row->queue) : NULL;

	j->queue = q;
	if (q == NULL)
		return;
	j->priority = q->priority;
	j->max_attempts = q->max_attempts;
	j->due_ms = j->accepted_ms +
	    urgency_objective_ms(
		j->critical_path_ms, q->stretch, q->target_latency_ms);
}

void
cell_list_step(struct cell *c, struct step *s)
{
	if (s->listed || step_pending_starts(s) == 0)
		return;
	s->listed = true;
	account_add_waiting(s->occurrence->job->account);
	TAILQ_INSERT_TAIL(&c->steps, s, link);
}

void
cell_list_steps(struct cell *c, struct occurrence *o)
{
	size_t i;

	if (job_ended(o->job))
		return;
	for (i = 0; i < o->job->row->n_steps; i++) {
		struct step *s = &o->steps[i];

		if (!step_is_ready(s))
			continue;
		if (s->ready_ms == 0)
			s->ready_ms = c->ports.now();
		cell_list_step(c, s);
	}
}

static bool
occurrence_due(const struct cell *c, const struct job *j)
{
	if (j->noccurrences >= job_repeats(j))
		return false;
	return j->row->repeat_count == 0 ||
	    c->ports.wall_now() >= job_start_wall_ms(j, j->noccurrences);
}

void
cell_create_occurrences(struct cell *c)
{
	struct job *j;

	TAILQ_FOREACH (j, &c->timed, timed_link)
		while (!job_ended(j) && j->stored && occurrence_due(c, j))
			cell_list_steps(c, job_add_occurrence(j));
}

/* An occurrence that a runner shows before its time was looked at is listed, as
 * one that is created when it is due. */
struct task *
cell_job_task(struct cell *c, struct job *j, const struct task_ref *ref)
{
	uint32_t i = j->noccurrences;
	struct task *t = job_task(j, ref);

	for (; i < j->noccurrences; i++)
		cell_list_steps(c, j->occurrences[i]);
	return t;
}

void
cell_add_job(struct cell *c, struct job *j)
{
	uint32_t i;

	HASH_ADD_STR(c->jobs, id, j);
	cell_apply_queue(c, j);
	if (job_ended(j)) {
		TAILQ_INSERT_TAIL(&c->ended, j, ended_link);
		return;
	}
	TAILQ_INSERT_TAIL(&c->live, j, live_link);
	if (j->row->repeat_count > 0)
		TAILQ_INSERT_TAIL(&c->timed, j, timed_link);
	else if (j->noccurrences == 0)
		job_add_occurrence(j);
	for (i = 0; i < j->noccurrences; i++)
		cell_list_steps(c, j->occurrences[i]);
}

static void
unlist_job(struct cell *c, struct job *j)
{
	uint32_t i;
	size_t k;

	for (i = 0; i < j->noccurrences; i++)
		for (k = 0; k < j->row->n_steps; k++) {
			struct step *s = &j->occurrences[i]->steps[k];

			if (s->listed) {
				TAILQ_REMOVE(&c->steps, s, link);
				account_remove_waiting(j->account);
			}
			s->listed = false;
			step_advice_free(s);
		}
	if (job_ended(j))
		return;
	TAILQ_REMOVE(&c->live, j, live_link);
	if (j->row->repeat_count > 0)
		TAILQ_REMOVE(&c->timed, j, timed_link);
}

static void
detach_run(struct task *t, void *arg)
{
	(void)arg;
	if (t->run != NULL)
		t->run->task = NULL;
	if (t->copy != NULL)
		t->copy->task = NULL;
}

void
cell_end_job(struct cell *c, struct job *j, enum job_state state)
{
	if (job_ended(j))
		return;
	unlist_job(c, j);
	j->state = state;
	j->ended_ms = c->ports.now();
	TAILQ_INSERT_TAIL(&c->ended, j, ended_link);
	cell_mark_dirty(c, j);
	c->counters.completed += state == JOB_COMPLETED;
	c->counters.failed += state == JOB_FAILED;
	c->counters.canceled += state == JOB_CANCELED;
	c->counters.failures[j->failure] += state == JOB_FAILED;
	kvlog(KVLOG_INFO, "job_ended",
	    "id=%s queue=" KVLOG_TEXT
	    " state=%s took_ms=%lld due_in_ms=%lld failure=%s "
	    "task=%s max_attempts=%u inherited=%d fence=%llu",
	    j->id, j->row->queue, job_state_name(state),
	    (long long)(j->ended_ms - j->accepted_ms),
	    (long long)(j->due_ms - j->ended_ms), job_failure_name(j->failure),
	    j->failed_task, j->max_attempts, j->inherited,
	    (unsigned long long)c->fence);
	cell_stop_job(c, j, job_state_name(state));
}

void
cell_fail_job(struct cell *c, const struct task *t, enum job_failure why)
{
	struct job *j = t->step->occurrence->job;

	if (job_ended(j))
		return;
	j->failure = why;
	task_name(t, j->failed_task, sizeof(j->failed_task));
	cell_end_job(c, j, JOB_FAILED);
}

void
cell_forget_job(struct cell *c, struct job *j)
{
	if (j->dirty)
		TAILQ_REMOVE(&c->dirty, j, dirty_link);
	if (job_ended(j))
		TAILQ_REMOVE(&c->ended, j, ended_link);
	else
		unlist_job(c, j);
	job_each_task(j, detach_run, NULL);
	HASH_DEL(c->jobs, j);
	job_delete(j);
}

static void
add_waiter(struct job *j, cell_fn fn, void *arg, bool cancels)
{
	struct waiter *w = xcalloc(1, sizeof(*w));

	w->fn = fn;
	w->arg = arg;
	w->cancels = cancels;
	TAILQ_INSERT_TAIL(&j->waiters, w, link);
}

static int64_t
objective_ms(const struct cell *c, const Cc__JobRow *row)
{
	const struct queue *q =
	    c->config != NULL ? config_queue(c->config, row->queue) : NULL;

	if (q == NULL)
		return 0;
	return urgency_objective_ms(
	    job_critical_path_ms(row), q->stretch, q->target_latency_ms);
}

uint32_t
cell_count_refusal(struct cell *c, const char *id, const Cc__JobRow *row)
{
	c->counters.refused++;
	return retry_after_refused(
	    &c->retry_after, id, objective_ms(c, row), c->ports.now());
}

static void
count_account_refusal(
    struct cell *c, const Cc__JobRow *row, enum account_refusal why)
{
	if (row->account[0] != '\0')
		cell_account(c, row->account)->refused_total[why]++;
}

static void
refuse(struct cell *c, const char *id, const Cc__JobRow *row, const char *why,
    cell_fn fn, void *arg)
{
	struct cell_answer a = {.error = CC_EBUSY,
	    .retry_after_ms = cell_count_refusal(c, id, row)};

	count_account_refusal(c, row, ACCOUNT_REFUSED_UNAVAILABLE);
	kvlog(KVLOG_INFO, "submit_refused",
	    "id=%s why=%s store_down_ms=%lld retry_after_ms=%u", id, why,
	    (long long)(c->ports.now() - c->committed_ms), a.retry_after_ms);
	fn(&a, arg);
}

/* Whether no other host can have taken over, so that the state in memory is
 * current. */
static bool
state_is_current(const struct cell *c)
{
	return c->phase == CELL_SERVING && !cell_stalled(c) &&
	    c->ports.now() - c->renewed_ms < STATE_CURRENT_MS;
}

/* Why the cell takes no new job of this id and queue now; NULL: it does. */
static const char *
why_refused(const struct cell *c, const char *id, const char *queue)
{
	if (unreadable_has(c->unreadable, id))
		return "row-unreadable";
	if (cell_store_down(c))
		return "store-down";
	if (c->config != NULL && config_queue_refused(c->config, queue))
		return "queue-unreadable";
	return NULL;
}

/* Whether the store certainly has no job of that id. */
static bool
certainly_absent(const struct cell *c, const char *id)
{
	return state_is_current(c) && !unreadable_has(c->unreadable, id);
}

/* The terms of the account forbid a gang of the job for good. */
static bool
has_gang_above_cap(const struct cell *c, const Cc__JobRow *row)
{
	const struct account_terms *t =
	    c->config != NULL ? config_account(c->config, row->account) : NULL;
	struct resources total;
	size_t i;

	for (i = 0; t != NULL && i < row->n_steps; i++) {
		if (!row->steps[i]->gang)
			continue;
		total = step_task_size(row->steps[i]);
		total = resources_times(&total, row->steps[i]->count);
		if (!account_allows_gang(t, &total, c->terms.quota_excess))
			return true;
	}
	return false;
}

/* Refuses a job that its account's rate or cap doesn't allow; counts it
 * otherwise. @return whether it is admitted */
static bool
admit(struct cell *c, const char *id, Cc__JobRow *row, cell_fn fn, void *arg)
{
	struct cell_answer above_cap = {.error = CC_EINVAL};
	struct cell_answer later = {.error = CC_ERATE};
	struct admission d;

	if (has_gang_above_cap(c, row)) {
		count_account_refusal(c, row, ACCOUNT_REFUSED_GANG);
		kvlog(KVLOG_INFO, "submit_refused",
		    "id=%s why=gang-above-cap account=" KVLOG_TEXT, id,
		    row->account);
		fn(&above_cap, arg);
		return false;
	}
	d = account_admit(c, id, row, objective_ms(c, row));
	row->over_rate = d.over_rate;
	if (d.over_rate && d.admitted)
		kvlog(KVLOG_INFO, "submit_over_rate",
		    "id=%s account=" KVLOG_TEXT " tokens=%.1f rate=%.2f", id,
		    row->account, d.tokens, d.rate);
	if (d.admitted)
		return true;
	c->counters.refused++;
	c->counters.refused_rate++;
	count_account_refusal(c, row, ACCOUNT_REFUSED_RATE);
	later.retry_after_ms = (uint32_t)d.retry_after_ms;
	kvlog(KVLOG_INFO, "submit_refused",
	    "id=%s why=rate account=" KVLOG_TEXT
	    " tokens=%.1f rate=%.2f waiting_core_ms=%.0f waiting_cpu=%.0f "
	    "free_cpu=%lld retry_after_ms=%u",
	    id, row->account, d.tokens, d.rate, c->waiting_core_ms,
	    c->waiting_cpu, (long long)c->free_cpu, later.retry_after_ms);
	fn(&later, arg);
	return false;
}

/* Whether the job belongs to another client account than the caller. A caller
 * without a key, on a public queue, has none. */
static bool
is_foreign(const struct cell *c, const struct job *j, const char *account)
{
	if (c->config == NULL || !c->config->has_accounts)
		return false;
	return j->row->account[0] != '\0' &&
	    strcmp(j->row->account, account) != 0;
}

static void
store_terms(const struct cell *c, Cc__JobRow *row)
{
	const struct queue *q =
	    c->config != NULL ? config_queue(c->config, row->queue) : NULL;

	if (q != NULL && row->terms == NULL)
		row->terms = queue_terms_pack(q);
}

void
cell_submit(
    struct cell *c, const char *id, Cc__JobRow *row, cell_fn fn, void *arg)
{
	struct cell_answer ok = {.error = CC_OK};
	struct cell_answer forbidden = {.error = CC_EPERM};
	struct cell_answer moved = {.error = CC_ENOTOWNER};
	struct job *j = cell_job(c, id);
	const char *why = why_refused(c, id, row->queue);

	if (c->phase != CELL_SERVING || j != NULL || why != NULL) {
		if (c->phase != CELL_SERVING)
			fn(&moved, arg);
		else if (j != NULL && is_foreign(c, j, row->account))
			fn(&forbidden, arg);
		else if (j != NULL && j->stored)
			fn(&ok, arg);
		else if (j != NULL)
			add_waiter(j, fn, arg, false);
		else
			refuse(c, id, row, why, fn, arg);
		cc__job_row__free_unpacked(row, NULL);
		return;
	}
	if (!admit(c, id, row, fn, arg)) {
		cc__job_row__free_unpacked(row, NULL);
		return;
	}
	row->accepted_wall_ms = c->ports.wall_now();
	store_terms(c, row);
	j = job_new(id, row);
	cell_bind_account(c, j);
	j->accepted_ms = c->ports.now();
	cell_add_job(c, j);
	add_waiter(j, fn, arg, false);
	cell_mark_dirty(c, j);
	c->counters.accepted++;
	kvlog(KVLOG_INFO, "submit",
	    "id=%s queue=" KVLOG_TEXT " account=" KVLOG_TEXT
	    " over_rate=%d steps=%zu tasks=%u chain_ms=%lld objective_ms=%lld",
	    id, row->queue, row->account, row->over_rate, row->n_steps,
	    row->steps[0]->count, (long long)j->critical_path_ms,
	    (long long)(j->due_ms - j->accepted_ms));
	c->ports.wake(c->ports.arg);
}

/* Answers with the stored outcome of a job, which is final. */
static void
answer_outcome(struct cell_answer *a, const struct job *j)
{
	a->error = CC_OK;
	a->state = j->stored_state;
	if (a->state != JOB_FAILED)
		return;
	a->failure = j->failure;
	str_copy(a->failed_task, j->failed_task, sizeof(a->failed_task));
}

void
cell_get(struct cell *c, const struct cell_caller *by, const char *id,
    struct cell_answer *a)
{
	const struct job *j = cell_job(c, id);

	*a = (struct cell_answer){
	    .error = CC_EBUSY, .retry_after_ms = LOADING_RETRY_MS};
	if (j == NULL || !j->stored || strcmp(j->row->queue, by->queue) != 0) {
		if (j == NULL && certainly_absent(c, id))
			a->error = CC_ENOENT;
		return;
	}
	if (is_foreign(c, j, by->account)) {
		a->error = CC_EPERM;
		return;
	}
	if (c->phase != CELL_SERVING)
		return;
	if (j->stored_state >= JOB_COMPLETED) {
		answer_outcome(a, j);
		return;
	}
	a->state = j->started ? JOB_RUNNING : JOB_QUEUED;
	/* Unlike an outcome, this state may be out of date. */
	if (state_is_current(c))
		a->error = CC_OK;
}

void
cell_cancel(struct cell *c, const struct cell_caller *by, const char *id,
    cell_fn fn, void *arg)
{
	struct cell_answer a = {
	    .error = CC_EBUSY, .retry_after_ms = LOADING_RETRY_MS};
	struct job *j = cell_job(c, id);

	if (j == NULL || c->phase != CELL_SERVING) {
		if (certainly_absent(c, id))
			a.error = CC_ENOENT;
		fn(&a, arg);
		return;
	}
	if (is_foreign(c, j, by->account)) {
		a.error = CC_EPERM;
		fn(&a, arg);
		return;
	}
	kvlog(KVLOG_INFO, "cancel", "id=%s state=%s age_ms=%lld", id,
	    job_state_name(j->state),
	    (long long)(c->ports.now() - j->accepted_ms));
	cell_end_job(c, j, JOB_CANCELED);
	if (j->stored_state >= JOB_COMPLETED) {
		a.error = CC_OK;
		a.state = j->stored_state;
		fn(&a, arg);
		return;
	}
	add_waiter(j, fn, arg, true);
	c->ports.wake(c->ports.arg);
}

void
cell_pending(struct cell *c, const char *queue, struct cell_answer *a)
{
	const struct job *j;

	*a = (struct cell_answer){
	    .error = CC_EBUSY, .retry_after_ms = LOADING_RETRY_MS};
	if (!state_is_current(c))
		return;
	a->error = CC_OK;
	TAILQ_FOREACH (j, &c->live, live_link)
		a->pending += j->stored && !j->started &&
		    strcmp(j->row->queue, queue) == 0;
}
