/*
 * Client side of the operations on requests: sends each to the host that owns
 * the home shard and retries until a reply or the deadline.
 */
#include <event2/util.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home_ops.h"
#include "owner.h"

#define CALL_TIMEOUT_MS 3000
#define RETRY_FOR_MS 10000
#define RETRY_DELAY_MS 250

/** An operation that is sent to its home until a reply or the deadline. */
struct home_call {
	struct node *node;
	uint8_t *packed; /**< the operation, a Frame */
	size_t len;
	int64_t deadline_ms;
	int64_t timeout_ms;
	home_reply_fn fn;
	void *arg;
};

static void send_call(struct home_call *c);

static void
finish(struct home_call *c, const Cc__HomeReply *r)
{
	c->fn(r, c->arg);
	free(c->packed);
	free(c);
}

static bool
error_retryable(int err)
{
	return err == CC_ENOTSENT || err == CC_ENOTOWNER || err == CC_ECONN ||
	    err == CC_ETIMEOUT;
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_call(arg);
}

static void
answered(const Cc__HomeReply *r, void *arg)
{
	struct home_call *c = arg;
	struct timeval tv = {0, RETRY_DELAY_MS * 1000};

	if (error_retryable(r->error))
		owner_refresh_shards(c->node);
	if (error_retryable(r->error) && clock_boot_ms() < c->deadline_ms)
		event_base_once(
		    c->node->base, -1, EV_TIMEOUT, on_retry, c, &tv);
	else
		finish(c, r);
}

static void
peer_answered(int err, const Cc__Frame *f, void *arg)
{
	Cc__HomeReply r = CC__HOME_REPLY__INIT;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_HOME_REPLY) {
		answered(f->home_reply, arg);
		return;
	}
	r.error = err != CC_OK ? err : CC_EPROTO;
	answered(&r, arg);
}

static void
send_call(struct home_call *c)
{
	Cc__Frame *f = cc__frame__unpack(NULL, c->len, c->packed);
	struct shard *s = node_home(c->node, home_frame_id(f));

	if (s->state == SHARD_OWNED)
		home_execute(c->node, f, answered, c);
	else
		peer_call(c->node->peers, s->owner, f, c->timeout_ms,
		    peer_answered, c);
	cc__frame__free_unpacked(f, NULL);
}

static void
call_home(
    struct node *n, Cc__Frame *f, int64_t wait_ms, home_reply_fn fn, void *arg)
{
	struct home_call *c = xcalloc(1, sizeof(*c));

	c->node = n;
	c->len = cc__frame__get_packed_size(f);
	c->packed = xmalloc(c->len);
	cc__frame__pack(f, c->packed);
	c->timeout_ms = CALL_TIMEOUT_MS + wait_ms;
	c->deadline_ms = clock_boot_ms() + RETRY_FOR_MS + wait_ms;
	c->fn = fn;
	c->arg = arg;
	send_call(c);
}

void
home_submit(struct node *n, Cc__RecAccept *a, home_reply_fn fn, void *arg)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Submit m = CC__SUBMIT__INIT;

	evutil_secure_rng_get_bytes(&a->nonce, sizeof(a->nonce));
	m.accept = a;
	f.body_case = CC__FRAME__BODY_SUBMIT;
	f.submit = &m;
	call_home(n, &f, 0, fn, arg);
}

void
home_get(struct node *n, const char *id, uint32_t wait_ms, home_reply_fn fn,
    void *arg)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Get m = CC__GET__INIT;

	m.id = (char *)id;
	m.wait_ms = wait_ms;
	f.body_case = CC__FRAME__BODY_GET;
	f.get = &m;
	call_home(n, &f, wait_ms, fn, arg);
}

void
home_cancel(struct node *n, const char *id, home_reply_fn fn, void *arg)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Cancel m = CC__CANCEL__INIT;

	m.id = (char *)id;
	f.body_case = CC__FRAME__BODY_CANCEL;
	f.cancel = &m;
	call_home(n, &f, 0, fn, arg);
}

void
home_settle(struct node *n, Cc__RecEnd *end, home_reply_fn fn, void *arg)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Settle m = CC__SETTLE__INIT;

	m.end = end;
	f.body_case = CC__FRAME__BODY_SETTLE;
	f.settle = &m;
	call_home(n, &f, 0, fn, arg);
}
