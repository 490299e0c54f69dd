#include "request_cost.h"

#include <stdio.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"

#define FLUSH_PERIOD_MS 5000
#define DAY_MS 86400000LL

/** Requests of one class and team since the last write. */
struct request_count {
	UT_hash_handle hh;
	char key[140]; /**< class, '/', team */
	char class_name[CLASS_NAME_LEN];
	char team[CLASS_NAME_LEN];
	uint64_t requests;
};

struct request_cost {
	struct node *node;
	struct event *timer;
	struct request_count *counts;
};

/** A count that is being written to a journal. */
struct count_write {
	struct request_cost *cost;
	struct request_count count;
};

static struct request_count *
count_get(struct request_cost *c, const char *class_name, const char *team)
{
	struct request_count *k;
	char key[140];

	snprintf(key, sizeof(key), "%.64s/%.64s", class_name, team);
	HASH_FIND_STR(c->counts, key, k);
	if (k != NULL)
		return k;
	k = xcalloc(1, sizeof(*k));
	str_copy(k->key, key, sizeof(k->key));
	str_copy(k->class_name, class_name, sizeof(k->class_name));
	str_copy(k->team, team, sizeof(k->team));
	HASH_ADD_STR(c->counts, key, k);
	return k;
}

void
request_cost_add(
    struct request_cost *c, const char *class_name, const char *team)
{
	count_get(c, class_name, team)->requests++;
}

/*
 * When the shard was lost before the write was durable, the count is added
 * again, so that the next flush writes it to another shard.
 */
static void
write_done(int err, void *arg)
{
	struct count_write *w = arg;

	if (err != CC_OK)
		count_get(w->cost, w->count.class_name, w->count.team)
		    ->requests += w->count.requests;
	free(w);
}

static void
write_count(struct request_cost *c, struct shard *s, struct request_count *k)
{
	struct count_write *w = xcalloc(1, sizeof(*w));
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecCost r = CC__REC_COST__INIT;

	w->cost = c;
	w->count = *k;
	k->requests = 0;
	r.day = clock_wall_ms() / DAY_MS;
	r.class_name = w->count.class_name;
	r.team = w->count.team;
	r.tasks = w->count.requests;
	rec.body_case = CC__REC__BODY_COST;
	rec.cost = &r;
	ledger_charge(&s->ledger, &r);
	journal_append(&s->journal, JOURNAL_LAZY, &rec, write_done, w);
}

static struct shard *
own_shard(struct node *n)
{
	int i;

	for (i = 0; i < n->nshards; i++)
		if (n->shards[i].state == SHARD_OWNED)
			return &n->shards[i];
	return NULL;
}

void
request_cost_flush(struct request_cost *c)
{
	struct shard *s = own_shard(c->node);
	struct request_count *k;

	for (k = c->counts; s != NULL && k != NULL; k = k->hh.next)
		if (k->requests > 0)
			write_count(c, s, k);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	request_cost_flush(arg);
}

struct request_cost *
request_cost_new(struct node *n)
{
	struct request_cost *c = xcalloc(1, sizeof(*c));
	struct timeval tv = {FLUSH_PERIOD_MS / 1000, 0};

	c->node = n;
	c->timer = event_new(n->base, -1, EV_PERSIST, on_timer, c);
	event_add(c->timer, &tv);
	return c;
}

void
request_cost_delete(struct request_cost *c)
{
	struct request_count *k, *tmp;

	HASH_ITER(hh, c->counts, k, tmp)
	{
		HASH_DEL(c->counts, k);
		free(k);
	}
	event_free(c->timer);
	free(c);
}
