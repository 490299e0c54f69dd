#include "home_owner_call.h"

#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../coordination/retry.h"
#include "owner.h"
#include "placer.h"

#define CALL_TIMEOUT_MS 3000
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 800
/** An attempt number has the home shard's epoch in its upper 32 bits. */
#define EPOCH_SHIFT 32

struct member_ref *
member_ref_new(struct shard *home, struct member *m)
{
	struct member_ref *ref = xcalloc(1, sizeof(*ref));

	ref->home = home;
	ref->epoch = home->held_epoch;
	ref->attempt = m->attempt;
	str_copy(ref->id, m->entry->id, sizeof(ref->id));
	ref->member = m->index;
	return ref;
}

struct member *
member_ref_find(const struct member_ref *ref)
{
	struct entry *e;

	if ((ref->home->state != SHARD_OWNED &&
		ref->home->state != SHARD_RELEASING) ||
	    ref->home->held_epoch != ref->epoch)
		return NULL;
	e = ledger_find(&ref->home->ledger, ref->id);
	if (e == NULL || e->state == ENTRY_ENDED)
		return NULL;
	return &e->members[ref->member];
}

void
member_key(const struct member *m, char key[TASK_KEY_LEN])
{
	snprintf(key, TASK_KEY_LEN, "%s#%u", m->entry->id, m->index);
}

/*
 * Marks the call as answered and returns its member; NULL when the member can't
 * be found any more or a later call replaced this one.
 */
static struct member *
finish_call(struct member_ref *ref)
{
	struct member *m = member_ref_find(ref);

	if (m == NULL || m->attempt != ref->attempt)
		return NULL;
	m->call_pending = false;
	return m;
}

static void
place_done(const Cc__PlaceReply *r, void *arg)
{
	struct member_ref *ref = arg;
	struct member *m = finish_call(ref);

	if (r->error == CC_ENOTOWNER || r->error == CC_ENOTSENT)
		owner_refresh_shards(ref->home->node);
	if (m != NULL && m->state == MEMBER_RUNNING) {
		home_check_answer(ref->home->node, m, r);
	} else if (m != NULL && m->state == MEMBER_SITED) {
		if (m->entry->cancelled && r->error != CC_OK)
			home_call_owner_later(ref->home->node, m);
		else
			home_place_answer(ref->home->node, m, r);
	}
	free(ref);
}

static void
place_reply(int err, const Cc__Frame *f, void *arg)
{
	Cc__PlaceReply r = CC__PLACE_REPLY__INIT;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_PLACE_REPLY) {
		place_done(f->place_reply, arg);
		return;
	}
	r.error = err == CC_ENOTSENT ? CC_ENOTSENT : CC_EUNAVAIL;
	place_done(&r, arg);
}

static void
stop_done(int err, uint64_t epoch, void *arg)
{
	struct member_ref *ref = arg;
	struct member *m = finish_call(ref);

	if (m != NULL && m->state != MEMBER_ENDED)
		home_stop_answer(ref->home->node, m, err, epoch);
	free(ref);
}

static void
stop_reply(int err, const Cc__Frame *f, void *arg)
{
	if (err == CC_OK && f->body_case == CC__FRAME__BODY_STOP_REPLY)
		stop_done(
		    f->stop_reply->error, f->stop_reply->shard_epoch, arg);
	else
		stop_done(CC_EUNAVAIL, 0, arg);
}

static void
call_place(struct node *n, struct member *m, struct shard *target)
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
		m->maybe_received = true;
		placer_place(
		    n->placer, &p, place_done, member_ref_new(home, m));
		return;
	}
	f.body_case = CC__FRAME__BODY_PLACE;
	f.place = &p;
	if (peer_net_up(n->peers, target->owner))
		m->maybe_received = true;
	peer_call(n->peers, target->owner, &f, CALL_TIMEOUT_MS, place_reply,
	    member_ref_new(home, m));
}

static void
call_stop(struct node *n, struct member *m, struct shard *target)
{
	struct shard *home = node_home(n, m->entry->id);
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Stop s = CC__STOP__INIT;

	s.id = m->entry->id;
	s.member = m->index;
	s.shard = m->shard;
	s.attempt = m->attempt;
	if (target->state == SHARD_OWNED) {
		placer_stop(n->placer, &s, stop_done, member_ref_new(home, m));
		return;
	}
	f.body_case = CC__FRAME__BODY_STOP;
	f.stop = &s;
	peer_call(n->peers, target->owner, &f, CALL_TIMEOUT_MS, stop_reply,
	    member_ref_new(home, m));
}

void
home_call_owner(struct node *n, struct member *m)
{
	struct shard *target = &n->shards[m->shard];
	struct shard *home = node_home(n, m->entry->id);

	if (m->call_pending)
		return;
	/* Later calls have higher numbers, also those of a new home. */
	m->attempt = m->attempt >> EPOCH_SHIFT == home->held_epoch
	    ? m->attempt + 1
	    : home->held_epoch << EPOCH_SHIFT;
	m->call_pending = true;
	if (m->entry->cancelled)
		call_stop(n, m, target);
	else
		call_place(n, m, target);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct member_ref *ref = arg;
	struct member *m = member_ref_find(ref);

	(void)fd;
	(void)what;
	if (m != NULL && !m->call_pending && ref->home->state == SHARD_OWNED &&
	    (m->state == MEMBER_SITED ||
		(m->entry->cancelled && m->state == MEMBER_RUNNING)))
		home_call_owner(ref->home->node, m);
	free(ref);
}

void
home_call_owner_later(struct node *n, struct member *m)
{
	struct member_ref *ref = member_ref_new(node_home(n, m->entry->id), m);
	struct timeval tv;
	uint32_t rnd;
	int64_t ms;

	evutil_secure_rng_get_bytes(&rnd, sizeof(rnd));
	ms = retry_backoff_ms(1, RETRY_BASE_MS, RETRY_MAX_MS, rnd);
	tv = (struct timeval){ms / 1000, (ms % 1000) * 1000};
	event_base_once(n->base, -1, EV_TIMEOUT, on_retry, ref, &tv);
}
