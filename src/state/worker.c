#include "worker.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"

#define POOL_INITIAL_CAPACITY 64

void
worker_pool_init(struct worker_pool *p)
{
	memset(p, 0, sizeof(*p));
}

void
worker_pool_done(struct worker_pool *p)
{
	while (p->count > 0)
		worker_pool_remove(p, p->workers[p->count - 1]);
	free(p->workers);
	free(p->slots);
	memset(p, 0, sizeof(*p));
}

struct worker *
worker_pool_find(struct worker_pool *p, const char *name)
{
	struct worker *w;

	HASH_FIND_STR(p->by_name, name, w);
	return w;
}

struct worker *
worker_pool_get(struct worker_pool *p, const char *name)
{
	struct worker *w = worker_pool_find(p, name);

	if (w != NULL)
		return w;
	if (p->count == p->capacity) {
		p->capacity =
		    p->capacity ? p->capacity * 2 : POOL_INITIAL_CAPACITY;
		p->workers = xrealloc(
		    p->workers, (size_t)p->capacity * sizeof(*p->workers));
		p->slots =
		    xrealloc(p->slots, (size_t)p->capacity * sizeof(*p->slots));
	}
	w = xcalloc(1, sizeof(*w));
	str_copy(w->name, name, sizeof(w->name));
	LIST_INIT(&w->reservations);
	w->index = p->count++;
	p->workers[w->index] = w;
	worker_update_slot(p, w);
	HASH_ADD_STR(p->by_name, name, w);
	return w;
}

void
worker_pool_remove(struct worker_pool *p, struct worker *w)
{
	struct reservation *r;
	int last = p->count - 1;

	while ((r = LIST_FIRST(&w->reservations)) != NULL)
		worker_release(p, r);
	p->workers[w->index] = p->workers[last];
	p->slots[w->index] = p->slots[last];
	p->workers[w->index]->index = w->index;
	p->count--;
	HASH_DEL(p->by_name, w);
	free(w);
}

struct reservation *
worker_pool_reservation(struct worker_pool *p, const char *key)
{
	struct reservation *r;

	HASH_FIND_STR(p->by_key, key, r);
	return r;
}

void
worker_update_slot(struct worker_pool *p, struct worker *w)
{
	struct size used = size_max(&w->reserved, &w->observed);
	struct slot *s = &p->slots[w->index];

	s->free = size_left(&w->total, &used);
	s->shard = w->shard;
	s->usable =
	    w->listed && !w->leaving && !w->gone && health_usable(&w->health);
}

static struct reservation *
reservation_new(struct worker_pool *p, struct worker *w, const char *key,
    const struct size *size)
{
	struct reservation *r = xcalloc(1, sizeof(*r));

	str_copy(r->key, key, sizeof(r->key));
	r->size = *size;
	r->worker = w;
	LIST_INSERT_HEAD(&w->reservations, r, link);
	HASH_ADD_STR(p->by_key, key, r);
	r->charged = true;
	size_add(&w->reserved, size);
	worker_update_slot(p, w);
	return r;
}

int
worker_reserve(struct worker_pool *p, struct worker *w, const char *key,
    const struct size *size, struct reservation **out)
{
	struct slot *s = &p->slots[w->index];

	if (worker_pool_reservation(p, key) != NULL)
		return CC_ECONFLICT;
	if (!s->usable || !size_fits(size, &s->free))
		return CC_EBUSY;
	*out = reservation_new(p, w, key, size);
	return CC_OK;
}

struct reservation *
worker_adopt(struct worker_pool *p, struct worker *w, const char *key,
    const struct size *size)
{
	struct reservation *r = worker_pool_reservation(p, key);

	if (r != NULL && r->worker == w)
		return r;
	if (r != NULL)
		return NULL;
	return reservation_new(p, w, key, size);
}

void
worker_uncharge(struct worker_pool *p, struct reservation *r)
{
	if (!r->charged)
		return;
	r->charged = false;
	size_sub(&r->worker->reserved, &r->size);
	worker_update_slot(p, r->worker);
}

void
worker_release(struct worker_pool *p, struct reservation *r)
{
	struct worker *w = r->worker;

	worker_uncharge(p, r);
	LIST_REMOVE(r, link);
	HASH_DEL(p->by_key, r);
	free(r);
	worker_update_slot(p, w);
}
