/* Calls that a cut path holds back until it is whole again. */
#include "held.h"

#include <stdlib.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

#define TARGET_HEADER "X-Celerycart-Target-Instance"

struct held_call {
	TAILQ_ENTRY(held_call) link;
	struct held_list *list;
	struct evhttp_request *req; /**< NULL: the connection was closed */
	json_t *body;
	char target[64];
	char from[ADDR_TEXT_LEN];
	held_fn fn;
	held_late_fn late;
	void *arg;
};

static void
held_free(struct held_call *h)
{
	TAILQ_REMOVE(h->list, h, link);
	if (h->req != NULL)
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(h->req), NULL, NULL);
	json_decref(h->body);
	free(h);
}

static void
on_closed(struct evhttp_connection *c, void *arg)
{
	struct held_call *h = arg;

	(void)c;
	h->req = NULL;
	if (h->late == NULL)
		held_free(h);
}

void
caller_addr(struct evhttp_request *req, char buf[ADDR_TEXT_LEN])
{
	char *addr = NULL;
	uint16_t port;

	evhttp_connection_get_peer(
	    evhttp_request_get_connection(req), &addr, &port);
	str_copy(buf, addr != NULL ? addr : "", ADDR_TEXT_LEN);
}

void
held_add(struct held_list *list, struct evhttp_request *req, held_fn fn,
    held_late_fn late, void *arg)
{
	struct held_call *h = xcalloc(1, sizeof(*h));
	const char *target = evhttp_find_header(
	    evhttp_request_get_input_headers(req), TARGET_HEADER);

	h->list = list;
	h->req = req;
	h->body = late != NULL ? request_json(req) : NULL;
	str_copy(h->target, target != NULL ? target : "", sizeof(h->target));
	caller_addr(req, h->from);
	h->fn = fn;
	h->late = late;
	h->arg = arg;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_closed, h);
	TAILQ_INSERT_TAIL(list, h, link);
}

static void
serve(struct held_call *h)
{
	struct evhttp_request *req = h->req;
	held_fn fn = h->fn;
	void *arg = h->arg;

	if (req == NULL)
		h->late(h->body, h->target, h->from, arg);
	held_free(h);
	if (req != NULL)
		fn(req, arg);
}

void
held_serve(struct held_list *list)
{
	while (!TAILQ_EMPTY(list))
		serve(TAILQ_FIRST(list));
}

void
held_clear(struct held_list *list)
{
	while (!TAILQ_EMPTY(list))
		held_free(TAILQ_FIRST(list));
}
