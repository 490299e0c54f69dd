#include "ledger_pack.h"

#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

/* Protobuf tags of field 2 (recs) and field 1 (commit_id) of a Batch. */
#define TAG_RECS 0x12
#define TAG_COMMIT_ID 0x08
#define VARINT_MAX 10

void
batch_builder_init(struct batch_builder *b)
{
	memset(b, 0, sizeof(*b));
}

void
batch_builder_done(struct batch_builder *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

static uint8_t *
make_room(struct batch_builder *b, size_t n)
{
	if (b->len + n > b->capacity) {
		b->capacity = (b->len + n) * 2;
		b->data = xrealloc(b->data, b->capacity);
	}
	return b->data + b->len;
}

static size_t
put_varint(uint8_t *out, uint64_t v)
{
	size_t n = 0;

	while (v >= 0x80) {
		out[n++] = (uint8_t)(v | 0x80);
		v >>= 7;
	}
	out[n++] = (uint8_t)v;
	return n;
}

void
batch_add(struct batch_builder *b, const Cc__Rec *rec)
{
	size_t len = cc__rec__get_packed_size(rec);
	uint8_t *out = make_room(b, len + 1 + VARINT_MAX);
	size_t n = 0;

	out[n++] = TAG_RECS;
	n += put_varint(out + n, len);
	n += cc__rec__pack(rec, out + n);
	b->len += n;
	b->count++;
}

void
batch_append(struct batch_builder *b, struct batch_builder *src)
{
	if (src->len > 0)
		memcpy(make_room(b, src->len), src->data, src->len);
	b->len += src->len;
	b->count += src->count;
	batch_builder_done(src);
}

uint8_t *
batch_builder_finish(struct batch_builder *b, uint64_t commit_id, size_t *len)
{
	uint8_t *out = make_room(b, 1 + VARINT_MAX), *data;
	size_t n = 0;

	out[n++] = TAG_COMMIT_ID;
	n += put_varint(out + n, commit_id);
	b->len += n;
	data = b->data;
	*len = b->len;
	memset(b, 0, sizeof(*b));
	return data;
}

struct size
size_unpack(const Cc__Size *s)
{
	struct size out = {0, 0, 0};

	if (s != NULL)
		out = (struct size){s->cpus, s->memory_mb, s->accelerators};
	return out;
}

void
size_pack(Cc__Size *out, const struct size *s)
{
	cc__size__init(out);
	out->cpus = s->cpus;
	out->memory_mb = s->memory_mb;
	out->accelerators = s->accelerators;
}

static void
add_accept(struct batch_builder *b, const struct entry *e)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecAccept a = CC__REC_ACCEPT__INIT;
	Cc__Size size;

	size_pack(&size, &e->size);
	a.id = (char *)e->id;
	a.class_name = (char *)e->class_name;
	a.team = (char *)e->team;
	a.size = &size;
	a.count = e->count;
	a.run_ms = e->run_ms;
	a.body_hash = e->body_hash;
	a.nonce = e->nonce;
	a.wall_ms = e->accepted_wall_ms;
	a.routed = e->routed;
	a.repeatable = e->repeatable;
	a.maybe_ran = e->maybe_ran;
	rec.body_case = CC__REC__BODY_ACCEPT;
	rec.accept = &a;
	batch_add(b, &rec);
}

static void
add_end(struct batch_builder *b, const struct entry *e)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecEnd r = CC__REC_END__INIT;

	r.id = (char *)e->id;
	r.outcome = e->outcome;
	r.reason = (char *)e->reason;
	r.wall_ms = e->ended_wall_ms;
	r.run_ms = e->ran_ms;
	r.status = e->status;
	r.answer.data = e->answer;
	r.answer.len = e->answer_len;
	r.content_type = (char *)e->content_type;
	rec.body_case = CC__REC__BODY_END;
	rec.end = &r;
	batch_add(b, &rec);
}

/* The run time of all ended members is in the record of the first of them. */
static void
add_member_end(struct batch_builder *b, const struct member *m)
{
	const struct entry *e = m->entry;
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecMemberEnd r = CC__REC_MEMBER_END__INIT;
	uint32_t i = 0;

	while (e->members[i].state != MEMBER_ENDED)
		i++;
	r.id = (char *)e->id;
	r.member = m->index;
	r.run_ms = i == m->index ? e->ran_ms : 0;
	r.status = e->status;
	rec.body_case = CC__REC__BODY_MEMBER_END;
	rec.member_end = &r;
	batch_add(b, &rec);
}

static void
add_member(struct batch_builder *b, const struct member *m)
{
	const struct entry *e = m->entry;
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecSite site = CC__REC_SITE__INIT;
	Cc__RecStart start = CC__REC_START__INIT;

	if (m->state == MEMBER_WAITING)
		return;
	site.id = start.id = (char *)e->id;
	site.member = start.member = m->index;
	site.shard = m->shard;
	site.shard_epoch = m->shard_epoch;
	rec.body_case = CC__REC__BODY_SITE;
	rec.site = &site;
	batch_add(b, &rec);
	if (m->state == MEMBER_ENDED)
		add_member_end(b, m);
	if (m->state != MEMBER_RUNNING)
		return;
	start.worker = (char *)m->worker;
	start.wall_ms = e->started_wall_ms;
	rec.body_case = CC__REC__BODY_START;
	rec.start = &start;
	batch_add(b, &rec);
}

static void
add_cancel(struct batch_builder *b, const struct entry *e)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecCancel c = CC__REC_CANCEL__INIT;

	c.id = (char *)e->id;
	rec.body_case = CC__REC__BODY_CANCEL;
	rec.cancel = &c;
	batch_add(b, &rec);
}

void
batch_add_entry(struct batch_builder *b, const struct entry *e)
{
	uint32_t i;

	add_accept(b, e);
	if (e->cancelled)
		add_cancel(b, e);
	for (i = 0; e->state != ENTRY_ENDED && i < e->count; i++)
		add_member(b, &e->members[i]);
	if (e->state == ENTRY_ENDED)
		add_end(b, e);
}

void
batch_add_cost(struct batch_builder *b, const struct cost_row *c)
{
	Cc__Rec rec = CC__REC__INIT;
	Cc__RecCost r = CC__REC_COST__INIT;

	r.day = c->day;
	r.class_name = (char *)c->class_name;
	r.team = (char *)c->team;
	r.tasks = c->tasks;
	r.cpu_ms = c->cpu_ms;
	r.memory_mb_ms = c->memory_mb_ms;
	r.accelerator_ms = c->accelerator_ms;
	r.control_us = c->control_us;
	r.absolute = true;
	rec.body_case = CC__REC__BODY_COST;
	rec.cost = &r;
	batch_add(b, &rec);
}
