#include "task_view.h"

#include <stdlib.h>

#include "../base/xalloc.h"

static const char *const state_names[] = {"waiting", "running", "ended"};
static const char *const member_state_names[] = {
    "waiting", "starting", "running", "ended"};

void
task_view_init(struct task_view *v, const struct entry *e)
{
	bool ended = e->state == ENTRY_ENDED && !e->ending;
	uint32_t i;

	cc__task_view__init(&v->msg);
	size_pack(&v->size, &e->size);
	v->msg.id = (char *)e->id;
	v->msg.class_name = (char *)e->class_name;
	v->msg.team = (char *)e->team;
	v->msg.size = &v->size;
	v->msg.count = e->count;
	v->msg.state = e->state;
	v->msg.accepted_wall_ms = e->accepted_wall_ms;
	v->msg.started_wall_ms = e->started_wall_ms;
	v->msg.body_hash = e->body_hash;
	if (e->state == ENTRY_ENDED && !ended)
		v->msg.state =
		    e->started_wall_ms > 0 ? ENTRY_RUNNING : ENTRY_WAITING;
	if (ended) {
		v->msg.outcome = e->outcome;
		v->msg.reason = (char *)e->reason;
		v->msg.run_ms = e->ran_ms;
		v->msg.ended_wall_ms = e->ended_wall_ms;
		v->msg.status = e->status;
		v->msg.answer.data = e->answer;
		v->msg.answer.len = e->answer_len;
		v->msg.content_type = (char *)e->content_type;
	}
	v->members = xcalloc(e->count, sizeof(*v->members));
	v->refs = xcalloc(e->count, sizeof(*v->refs));
	for (i = 0; i < e->count; i++) {
		cc__member_view__init(&v->members[i]);
		v->members[i].worker = e->members[i].worker;
		v->members[i].state = e->members[i].state;
		v->refs[i] = &v->members[i];
	}
	v->msg.members = v->refs;
	v->msg.n_members = e->count;
}

void
task_view_done(struct task_view *v)
{
	free(v->members);
	free(v->refs);
}

json_t *
task_view_json(const Cc__TaskView *t)
{
	json_t *members = json_array();
	size_t i;

	for (i = 0; i < t->n_members; i++)
		json_array_append_new(members,
		    json_pack("{s:s,s:s}", "worker", t->members[i]->worker,
			"state", member_state_names[t->members[i]->state & 3]));
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:I,"
			 "s:I,s:I,s:i,s:o}",
	    "id", t->id, "class", t->class_name, "team", t->team, "state",
	    state_names[t->state % 3], "outcome",
	    outcome_name((enum outcome)t->outcome), "reason", t->reason, "cpus",
	    t->size != NULL ? (int)t->size->cpus : 0, "memory_mb",
	    t->size != NULL ? (int)t->size->memory_mb : 0, "accelerators",
	    t->size != NULL ? (int)t->size->accelerators : 0, "count",
	    (int)t->count, "run_ms", (json_int_t)t->run_ms, "accepted_ms",
	    (json_int_t)t->accepted_wall_ms, "started_ms",
	    (json_int_t)t->started_wall_ms, "ended_ms",
	    (json_int_t)t->ended_wall_ms, "exit_status", (int)t->status,
	    "members", members);
}
