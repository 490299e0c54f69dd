#include "home_ask.h"

#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../coordination/retry.h"
#include "owner.h"
#include "placer.h"

#define ASK_TIMEOUT_MS 3000
#define AGAIN_BASE_MS 100
#define AGAIN_MAX_MS 800
#define EPOCH_SHIFT 32

struct ask *
ask_new(struct shard *home, struct member *m)
{
	struct ask *a = xcalloc(1, sizeof(*a));

	a->home = home;
	a->epoch = home->own_epoch;
	a->attempt = m->attempt;
	str_copy(a->id, m->entry->id, sizeof(a->id));
	a->member = m->index;
	return a;
}

struct member *
ask_member(const struct ask *a)
{
	struct entry *e;

	if ((a->home->state != SHARD_OWNED &&
		a->home->state != SHARD_RELEASING) ||
	    a->home->own_epoch != a->epoch)
		return NULL;
	e = ledger_find(&a->home->ledger, a->id);
	if (e == NULL || e->state == ENTRY_ENDED)
		return NULL;
	return &e->members[a->member];
}

void
member_key(const struct member *m, char key[TASK_KEY_LEN])
{
	snprintf(key, TASK_KEY_LEN, "%s#%u", m->entry->id, m->index);
}

/* The member that an answer is for; NULL for an answer that came too late. */
static struct member *
take_answer(struct ask *a)
{
	struct member *m = ask_member(a);

	if (m == NULL || m->attempt != a->attempt)
		return NULL;
	m->asking = false;
	return m;
}

static void
placed(const Cc__PlaceReply *r, void *arg)
{
	struct ask *a = arg;
	struct member *m = take_answer(a);

	if (r->error == CC_ENOTOWNER || r->error == CC_ENOTSENT)
		owner_stale(a->home->node);
	if (m != NULL && m->state == MEMBER_RUNNING) {
		home_check_answer(a->home->node, m, r);
	} else if (m != NULL && m->state == MEMBER_SITED) {
		if (m->entry->cancelled && r->error != CC_OK)
			home_ask_later(a->home->node, m);
		else
			home_place_answer(a->home->node, m, r);
	}
	free(a);
}

static void
place_reply(int err, const Cc__Frame *f, void *arg)
{
	Cc__PlaceReply r = CC__PLACE_REPLY__INIT;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_PLACE_REPLY) {
		placed(f->place_reply, arg);
		return;
	}
	r.error = err == CC_ENOTSENT ? CC_ENOTSENT : CC_EUNAVAIL;
	placed(&r, arg);
}

static void
stopped(int err, uint64_t epoch, void *arg)
{
	struct ask *a = arg;
	struct member *m = take_answer(a);

	if (m != NULL && m->state != MEMBER_ENDED)
		home_stop_answer(a->home->node, m, err, epoch);
	free(a);
}

static void
stop_reply(int err, const Cc__Frame *f, void *arg)
{
	if (err == CC_OK && f->body_case == CC__FRAME__BODY_STOP_REPLY)
		stopped(f->stop_reply->error, f->stop_reply->shard_epoch, arg);
	else
		stopped(CC_EUNAVAIL, 0, arg);
}

static void
ask_place(struct node *n, struct member *m, struct shard *target)
{
	struct entry *e = m->entry;
	struct shard *home = node_home(n, e->id);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Place p = CC__PLACE__INIT;
	Cc__Size size;

	size_pack(&size, &e->size);
	p.id = e->id;
	p.member = m->index;
	p.home = (uint32_t)home->index;
	p.shard = m->shard;
	p.size = &size;
	p.run_ms = e->run_ms;
	p.class_name = e->class_name;
	p.attempt = m->attempt;
	p.reserve_only = e->count > 1 && !m->reserved;
	p.repeatable = e->repeatable;
	p.site_epoch = m->shard_epoch;
	p.avoid = m->avoid;
	if (target->state == SHARD_OWNED) {
		m->may_have_got_it = true;
		placer_place(n->placer, &p, placed, ask_new(home, m));
		return;
	}
	f.body_case = CC__FRAME__BODY_PLACE;
	f.place = &p;
	if (peer_net_up(n->peers, target->owner))
		m->may_have_got_it = true;
	peer_call(n->peers, target->owner, &f, ASK_TIMEOUT_MS, place_reply,
	    ask_new(home, m));
}

static void
ask_stop(struct node *n, struct member *m, struct shard *target)
{
	struct shard *home = node_home(n, m->entry->id);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Stop s = CC__STOP__INIT;

	s.id = m->entry->id;
	s.member = m->index;
	s.shard = m->shard;
	s.attempt = m->attempt;
	if (target->state == SHARD_OWNED) {
		placer_stop(n->placer, &s, stopped, ask_new(home, m));
		return;
	}
	f.body_case = CC__FRAME__BODY_STOP;
	f.stop = &s;
	peer_call(n->peers, target->owner, &f, ASK_TIMEOUT_MS, stop_reply,
	    ask_new(home, m));
}

void
home_ask(struct node *n, struct member *m)
{
	struct shard *target = &n->shards[m->shard];
	struct shard *home = node_home(n, m->entry->id);

	if (m->asking)
		return;
	/* A later question always carries a higher number. */
	m->attempt = m->attempt >> EPOCH_SHIFT == home->own_epoch
	    ? m->attempt + 1
	    : home->own_epoch << EPOCH_SHIFT;
	m->asking = true;
	if (m->entry->cancelled)
		ask_stop(n, m, target);
	else
		ask_place(n, m, target);
}

static void
ask_again(evutil_socket_t fd, short what, void *arg)
{
	struct ask *a = arg;
	struct member *m = ask_member(a);

	(void)fd;
	(void)what;
	if (m != NULL && !m->asking && a->home->state == SHARD_OWNED &&
	    (m->state == MEMBER_SITED ||
		(m->entry->cancelled && m->state == MEMBER_RUNNING)))
		home_ask(a->home->node, m);
	free(a);
}

void
home_ask_later(struct node *n, struct member *m)
{
	struct ask *a = ask_new(node_home(n, m->entry->id), m);
	struct timeval tv;
	uint32_t rnd;
	int64_t ms;

	evutil_secure_rng_get_bytes(&rnd, sizeof(rnd));
	ms = retry_backoff_ms(1, AGAIN_BASE_MS, AGAIN_MAX_MS, rnd);
	tv = (struct timeval){ms / 1000, (ms % 1000) * 1000};
	event_base_once(n->base, -1, EV_TIMEOUT, ask_again, a, &tv);
}
