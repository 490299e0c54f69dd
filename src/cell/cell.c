/* Life cycle of a cell: start and end of a leadership, configuration, and the
 * order of work in each tick and pass. */
#include "cell.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../state/queue_terms.h"
#include "account_cap.h"
#include "account_order.h"
#include "commit.h"
#include "lead_lease.h"
#include "near_room.h"
#include "wait_log.h"

/** Most accounts whose terms are kept after a configuration without them. */
#define ACCOUNTS_KEPT_MAX 1000

void
cell_init(struct cell *c, const struct cell_terms *t,
    const struct cell_ports *p, const char *incarnation)
{
	memset(c, 0, sizeof(*c));
	c->terms = *t;
	c->ports = *p;
	str_copy(c->incarnation, incarnation, sizeof(c->incarnation));
	retry_after_init(&c->retry_after);
	c->runners_version = 1;
	c->jobs_per_commit = COMMIT_JOBS_MAX;
	c->rows_per_commit = RUNNERS_ROWS;
	TAILQ_INIT(&c->due);
	TAILQ_INIT(&c->steps);
	TAILQ_INIT(&c->dirty);
	TAILQ_INIT(&c->ended);
	TAILQ_INIT(&c->timed);
	TAILQ_INIT(&c->live);
}

static void
drop_runners(struct cell *c)
{
	struct runner *r, *tmp;
	struct run *run;

	HASH_ITER(hh, c->runners, r, tmp)
	{
		while ((run = TAILQ_FIRST(&r->runs)) != NULL)
			run_delete(run);
		cell_drop_runner(c, r);
	}
}

static void
drop_jobs(struct cell *c, const struct cell_answer *a)
{
	struct job *j, *tmp;

	HASH_ITER(hh, c->jobs, j, tmp)
	{
		job_answer(j, a);
		cell_forget_job(c, j);
	}
	HASH_ITER(hh, c->loading, j, tmp)
	{
		HASH_DEL(c->loading, j);
		job_delete(j);
	}
}

void
cell_resign(struct cell *c)
{
	struct cell_answer a = {.error = CC_ENOTOWNER};

	if (c->phase == CELL_IDLE)
		return;
	kvlog(KVLOG_INFO, "resigned", "fence=%llu led_ms=%lld",
	    (unsigned long long)c->fence,
	    (long long)(c->ports.now() - c->lead_since_ms));
	c->phase = CELL_IDLE;
	cell_load_drop(c);
	cell_commit_drop(c);
	drop_jobs(c, &a);
	drop_runners(c);
	unreadable_drop_all(&c->unreadable);
	account_delete_all(&c->accounts);
	near_room_free(c->near_room);
	c->near_room = NULL;
}

void
cell_done(struct cell *c)
{
	cell_resign(c);
	retry_after_done(&c->retry_after);
	cell_advice_done(c);
	free(c->scratch);
	config_delete(c->config);
}

void
cell_lead(struct cell *c, const struct cell_claim *claim)
{
	int64_t now = c->ports.now();

	c->phase = CELL_LOADING;
	c->fence = claim->fence;
	c->generation = claim->generation;
	memset(c->chains, 0, sizeof(c->chains));
	memset(c->parts, 0, sizeof(c->parts));
	c->chains[0].version = c->renewed_version = claim->commit_version;
	c->changes = 1;
	c->ack_change = 0;
	c->stale_rows = c->unreadable_rows = 0;
	c->lead_since_ms = c->committed_ms = c->commit_ms = now;
	c->store_failing_since_ms = c->registry_synced_ms =
	    c->last_unanswered_ms = 0;
	c->registry_gap_ms = 0;
	c->unheard_runners = 0;
	c->account_order_ms = c->adopted_ms = c->free_cpu = 0;
	c->waiting_cpu = c->waiting_core_ms = 0;
	c->total = c->largest = (struct resources){0, 0, 0};
	c->counts_unseen = true;
	lead_lease_begin(c, claim);
	cell_load(c);
}

void
cell_keep_queue(struct config *m, const struct job *j)
{
	if (config_queue(m, j->row->queue) != NULL)
		return;
	if (j->queue != NULL)
		config_add_queue(m, j->queue);
	else if (j->row->terms != NULL)
		queue_terms_add(m, j->row->queue, j->row->terms);
}

static void
apply_config_to_jobs(struct cell *c)
{
	struct job *j;

	for (j = c->jobs; j != NULL; j = j->hh.next)
		cell_apply_queue(c, j);
}

/* Keeps queues that the new configuration lacks while they have live jobs, so
 * that these are finished. */
static void
keep_queues(struct cell *c, struct config *m)
{
	const struct job *j;

	TAILQ_FOREACH (j, &c->live, live_link)
		cell_keep_queue(m, j);
}

/* Keeps the terms of accounts that the new configuration lacks, so that their
 * caps hold for jobs accepted before. Every host does, as it may lead later. */
static void
keep_accounts(const struct cell *c, struct config *m)
{
	struct account_terms t;
	int i, kept = 0;

	for (i = 0; c->config != NULL && i < c->config->naccounts; i++) {
		t = *c->config->accounts[i];
		if (config_account(m, t.name) != NULL ||
		    kept++ == ACCOUNTS_KEPT_MAX)
			continue;
		t.dropped = true;
		config_add_account(m, &t);
	}
}

static void
apply_config_to_accounts(struct cell *c)
{
	const struct account_terms *t;
	struct account *a;

	for (a = c->accounts; a != NULL; a = a->hh.next) {
		t = config_account(c->config, a->name);
		if (t != NULL)
			account_set_terms(a, t);
	}
}

void
cell_set_config(struct cell *c, struct config *m)
{
	keep_queues(c, m);
	keep_accounts(c, m);
	config_delete(c->config);
	c->config = m;
	apply_config_to_accounts(c);
	apply_config_to_jobs(c);
	c->ports.wake(c->ports.arg);
}

void
cell_set_hosts(struct cell *c, const char (*hosts)[64], int n)
{
	lanes_set(&c->lanes, hosts, n);
}

void
cell_tick(struct cell *c)
{
	cell_load_retry(c);
	if (c->phase != CELL_SERVING)
		return;
	cell_commit(c);
	lead_lease_log(c);
	cell_create_occurrences(c);
	cell_check_adopted(c);
	account_cap_update(c);
	account_order_update(c);
	cell_drain(c);
	cell_request_copies(c);
	cell_boost_expired(c);
	cell_preempt(c);
	cell_check_all_runners(c);
	cell_pass(c);
	cell_prefetch_advice(c);
	wait_log(c);
}

void
cell_pass(struct cell *c)
{
	if (c->phase != CELL_SERVING)
		return;
	cell_commit(c);
	cell_place(c);
	cell_ask_advice(c);
	cell_process_due_runners(c);
}
