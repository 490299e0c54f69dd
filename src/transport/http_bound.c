#include "http_bound.h"

#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"

#define HEADERS_MAX                                                            \
	(sizeof(((struct http_request *)0)->headers) /                         \
	    sizeof(struct http_header))

/** A bound call that waits for the answer to its first call. */
struct bound_call {
	struct http_pool *pool;
	struct http_bound b; /**< with texts and body of its own */
};

static struct bound_call *
bound_new(struct http_pool *p, const struct http_bound *b)
{
	struct bound_call *k = xcalloc(1, sizeof(*k));
	struct http_request *r = &k->b.call;
	size_t i;

	k->pool = p;
	k->b = *b;
	r->addr = xstrdup(r->addr);
	r->body = xmemdup(r->body, r->len);
	for (i = 0; i < HEADERS_MAX && r->headers[i].name != NULL; i++)
		r->headers[i].value = xstrdup(r->headers[i].value);
	return k;
}

static void
bound_free(struct bound_call *k)
{
	struct http_request *r = &k->b.call;
	size_t i;

	free((void *)(uintptr_t)r->addr);
	free((void *)(uintptr_t)r->body);
	for (i = 0; i < HEADERS_MAX && r->headers[i].name != NULL; i++)
		free((void *)(uintptr_t)r->headers[i].value);
	free(k);
}

static void
on_first(const struct http_answer *a, void *arg)
{
	struct bound_call *k = arg;
	struct http_request *r = &k->b.call;
	int64_t shown = 0;

	if (a->err == CC_OK)
		shown = k->b.shown(a, r->arg);
	if (shown != 0)
		http_pool_note_incarnation(k->pool, shown);
	r->fresh = false;
	if (shown == r->incarnation)
		http_call(k->pool, r);
	else
		k->b.unsent_fn(a, r->arg);
	bound_free(k);
}

void
http_bound_call(struct http_pool *p, const struct http_bound *b)
{
	const struct http_request *r = &b->call;
	struct http_request first = *r;

	if (!r->fresh &&
	    http_pool_reaches(p, r->addr, r->port, r->incarnation)) {
		http_call(p, r);
		return;
	}
	first.path = b->first_path;
	first.body = b->first_body;
	first.len = b->first_len;
	first.incarnation = 0;
	first.fn = on_first;
	first.arg = bound_new(p, b);
	http_call(p, &first);
}
