#include "ledger.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "ledger_pack.h"

#define DAY_MS (24LL * 3600 * 1000)

void
ledger_init(struct ledger *l)
{
	memset(l, 0, sizeof(*l));
}

static void
entry_delete(struct ledger *l, struct entry *e)
{
	struct entry_waiter *w;

	while ((w = TAILQ_FIRST(&e->waiters)) != NULL) {
		TAILQ_REMOVE(&e->waiters, w, link);
		w->fn(NULL, w->arg);
		free(w);
	}
	if (e->state != ENTRY_ENDED)
		l->unsettled--;
	HASH_DEL(l->entries, e);
	free(e->members);
	free(e->answer);
	free(e);
}

void
ledger_done(struct ledger *l)
{
	struct entry *e, *tmp;
	struct cost_row *c, *ctmp;

	HASH_ITER(hh, l->entries, e, tmp)
	entry_delete(l, e);
	HASH_ITER(hh, l->costs, c, ctmp)
	{
		HASH_DEL(l->costs, c);
		free(c);
	}
}

struct entry *
ledger_find(struct ledger *l, const char *id)
{
	struct entry *e;

	HASH_FIND_STR(l->entries, id, e);
	return e;
}

static void
members_init(struct entry *e)
{
	uint32_t i;

	e->members = xcalloc(e->count, sizeof(*e->members));
	for (i = 0; i < e->count; i++) {
		e->members[i].entry = e;
		e->members[i].index = i;
		e->members[i].ready.owner = &e->members[i];
	}
}

static struct entry *
apply_accept(struct ledger *l, const Cc__RecAccept *a)
{
	struct entry *e;

	if (ledger_find(l, a->id) != NULL || a->count == 0 ||
	    a->count > GANG_MAX || strlen(a->id) >= TASK_ID_LEN)
		return NULL;
	e = xcalloc(1, sizeof(*e));
	str_copy(e->id, a->id, sizeof(e->id));
	str_copy(e->class_name, a->class_name, sizeof(e->class_name));
	str_copy(e->team, a->team, sizeof(e->team));
	e->size = size_unpack(a->size);
	e->count = a->count;
	e->run_ms = a->run_ms;
	e->body_hash = a->body_hash;
	e->nonce = a->nonce;
	e->routed = a->routed;
	e->repeatable = a->repeatable;
	e->maybe_ran = a->maybe_ran;
	e->accepted_wall_ms = a->wall_ms;
	TAILQ_INIT(&e->waiters);
	members_init(e);
	HASH_ADD_STR(l->entries, id, e);
	l->unsettled++;
	return e;
}

/* A member of a request that has not ended; NULL when there is none. */
static struct member *
live_member(struct ledger *l, const char *id, uint32_t index)
{
	struct entry *e = ledger_find(l, id);

	if (e == NULL || e->state == ENTRY_ENDED || index >= e->count)
		return NULL;
	return &e->members[index];
}

static struct entry *
apply_site(struct ledger *l, const Cc__RecSite *s)
{
	struct member *m = live_member(l, s->id, s->member);

	if (m == NULL || m->state != MEMBER_WAITING)
		return NULL;
	m->state = MEMBER_SITED;
	m->maybe_received = false;
	m->shard = s->shard;
	m->shard_epoch = s->shard_epoch;
	return m->entry;
}

static struct entry *
apply_start(struct ledger *l, const Cc__RecStart *s)
{
	struct member *m = live_member(l, s->id, s->member);

	if (m == NULL || m->state != MEMBER_SITED)
		return NULL;
	m->state = MEMBER_RUNNING;
	str_copy(m->worker, s->worker, sizeof(m->worker));
	m->entry->state = ENTRY_RUNNING;
	if (m->entry->started_wall_ms == 0)
		m->entry->started_wall_ms = s->wall_ms;
	return m->entry;
}

static bool
member_is_assigned(const struct member *m)
{
	return m->state == MEMBER_SITED || m->state == MEMBER_RUNNING;
}

static bool
any_started(const struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_RUNNING ||
		    e->members[i].state == MEMBER_ENDED)
			return true;
	return false;
}

static struct entry *
apply_requeue(struct ledger *l, const Cc__RecRequeue *q)
{
	struct member *m = live_member(l, q->id, q->member);

	if (m == NULL || !member_is_assigned(m))
		return NULL;
	if (q->maybe_ran || m->state == MEMBER_RUNNING)
		m->entry->maybe_ran = true;
	m->state = MEMBER_WAITING;
	m->worker[0] = '\0';
	m->reserved = false;
	if (!any_started(m->entry))
		m->entry->state = ENTRY_WAITING;
	return m->entry;
}

/*
 * Costs are computed from the RecEnd and have no record of their own, so a
 * replay never charges twice.
 */
static void
charge_entry(struct ledger *l, const struct entry *e)
{
	Cc__RecCost c = CC__REC_COST__INIT;

	if (e->outcome == OUTCOME_NOT_RUN)
		return;
	c.day = e->ended_wall_ms / DAY_MS;
	c.class_name = (char *)e->class_name;
	c.team = (char *)e->team;
	c.tasks = e->count;
	c.cpu_ms = e->ran_ms * e->size.cpus;
	c.memory_mb_ms = e->ran_ms * e->size.memory_mb;
	c.accelerator_ms = e->ran_ms * e->size.accelerators;
	ledger_charge(l, &c);
}

static struct entry *
apply_member_end(struct ledger *l, const Cc__RecMemberEnd *r)
{
	struct member *m = live_member(l, r->id, r->member);

	if (m == NULL || !member_is_assigned(m))
		return NULL;
	m->state = MEMBER_ENDED;
	m->entry->state = ENTRY_RUNNING;
	m->entry->ran_ms += r->run_ms;
	if (m->entry->status == 0)
		m->entry->status = r->status;
	return m->entry;
}

static struct entry *
apply_end(struct ledger *l, const Cc__RecEnd *r)
{
	struct entry *e = ledger_find(l, r->id);
	uint32_t i;

	if (e == NULL || e->state == ENTRY_ENDED)
		return NULL;
	e->state = ENTRY_ENDED;
	e->outcome = (enum outcome)r->outcome;
	str_copy(e->reason, r->reason, sizeof(e->reason));
	str_copy(e->content_type, r->content_type, sizeof(e->content_type));
	e->ended_wall_ms = r->wall_ms;
	e->ran_ms = r->run_ms;
	e->status = r->status;
	if (r->answer.len > 0) {
		e->answer = xmemdup(r->answer.data, r->answer.len);
		e->answer_len = r->answer.len;
	}
	for (i = 0; i < e->count; i++)
		e->members[i].state = MEMBER_ENDED;
	l->unsettled--;
	charge_entry(l, e);
	return e;
}

static struct entry *
apply_cancel(struct ledger *l, const Cc__RecCancel *r)
{
	struct entry *e = ledger_find(l, r->id);

	if (e == NULL || e->state == ENTRY_ENDED)
		return NULL;
	e->cancelled = true;
	return e;
}

void
ledger_charge(struct ledger *l, const Cc__RecCost *c)
{
	struct cost_row *row;
	char key[160];

	snprintf(key, sizeof(key), "%lld/%.60s/%.60s", (long long)c->day,
	    c->class_name, c->team);
	HASH_FIND_STR(l->costs, key, row);
	if (row == NULL) {
		row = xcalloc(1, sizeof(*row));
		str_copy(row->key, key, sizeof(row->key));
		row->day = c->day;
		str_copy(
		    row->class_name, c->class_name, sizeof(row->class_name));
		str_copy(row->team, c->team, sizeof(row->team));
		HASH_ADD_STR(l->costs, key, row);
	}
	if (c->absolute)
		row->tasks = row->cpu_ms = row->memory_mb_ms =
		    row->accelerator_ms = row->control_us = 0;
	row->tasks += c->tasks;
	row->cpu_ms += c->cpu_ms;
	row->memory_mb_ms += c->memory_mb_ms;
	row->accelerator_ms += c->accelerator_ms;
	row->control_us += c->control_us;
}

struct entry *
ledger_apply(struct ledger *l, const Cc__Rec *rec)
{
	switch (rec->body_case) {
	case CC__REC__BODY_ACCEPT:
		return apply_accept(l, rec->accept);
	case CC__REC__BODY_SITE:
		return apply_site(l, rec->site);
	case CC__REC__BODY_START:
		return apply_start(l, rec->start);
	case CC__REC__BODY_END:
		return apply_end(l, rec->end);
	case CC__REC__BODY_CANCEL:
		return apply_cancel(l, rec->cancel);
	case CC__REC__BODY_REQUEUE:
		return apply_requeue(l, rec->requeue);
	case CC__REC__BODY_MEMBER_END:
		return apply_member_end(l, rec->member_end);
	case CC__REC__BODY_COST:
		ledger_charge(l, rec->cost);
		return NULL;
	default:
		return NULL;
	}
}

int
ledger_replay(
    struct ledger *l, const uint8_t *data, size_t len, uint64_t *commit_id)
{
	Cc__Batch *b = cc__batch__unpack(NULL, len, data);
	size_t i;

	if (b == NULL)
		return CC_EPROTO;
	if (commit_id != NULL)
		*commit_id = b->commit_id;
	for (i = 0; i < b->n_recs; i++)
		ledger_apply(l, b->recs[i]);
	cc__batch__free_unpacked(b, NULL);
	return CC_OK;
}

uint8_t *
ledger_snapshot(const struct ledger *l, size_t *len)
{
	struct batch_builder b;
	const struct entry *e;
	const struct cost_row *c;

	batch_builder_init(&b);
	for (e = l->entries; e != NULL; e = e->hh.next)
		batch_add_entry(&b, e);
	for (c = l->costs; c != NULL; c = c->hh.next)
		batch_add_cost(&b, c);
	return batch_builder_finish(&b, 0, len);
}

int
ledger_expire(struct ledger *l, int64_t wall_ms)
{
	struct entry *e, *tmp;
	int n = 0;

	HASH_ITER(hh, l->entries, e, tmp)
	{
		if (e->state != ENTRY_ENDED || e->ending ||
		    e->ended_wall_ms + LEDGER_KEEP_MS > wall_ms)
			continue;
		entry_delete(l, e);
		n++;
	}
	return n;
}
