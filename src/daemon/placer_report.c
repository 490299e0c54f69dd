#include "placer_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home.h"
#include "owner.h"
#include "worker_watch.h"

struct confirm_call {
	struct placer *placer;
	char key[TASK_KEY_LEN];
};

static void
confirmed(int err, void *arg)
{
	struct confirm_call *c = arg;
	struct placer *p = c->placer;
	struct reservation *r = worker_pool_reservation(&p->node->pool, c->key);

	if (r != NULL && r->state == FINISHED) {
		r->confirming = false;
		r->since_ms = clock_boot_ms();
		if (err == CC_OK) {
			if (!r->lost)
				watch_ack(r->worker->watch, r->key, r->attempt);
			worker_release(&p->node->pool, r);
		}
	}
	free(c);
}

static void
confirm_reply(int err, const Cc__Frame *f, void *arg)
{
	if (err != CC_OK)
		owner_refresh_shards(
		    ((struct confirm_call *)arg)->placer->node);
	if (err == CC_OK)
		err = f->body_case == CC__FRAME__BODY_ACK ? f->ack->error
							  : CC_EPROTO;
	confirmed(err, arg);
}

void
placer_report_end(struct placer *p, struct reservation *r)
{
	struct node *n = p->node;
	struct confirm_call *c;
	struct shard *home;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Ended m = CC__ENDED__INIT;
	char id[TASK_KEY_LEN];
	char *mark;

	if (r->confirming)
		return;
	str_copy(id, r->key, sizeof(id));
	mark = strrchr(id, '#');
	if (mark == NULL)
		return;
	*mark = '\0';
	r->confirming = true;
	c = xcalloc(1, sizeof(*c));
	c->placer = p;
	str_copy(c->key, r->key, sizeof(c->key));
	home = node_home(n, id);
	m.id = id;
	m.member = (uint32_t)strtoul(mark + 1, NULL, 10);
	m.home = (uint32_t)home->index;
	m.worker = r->worker->name;
	m.exit_status = r->exit_status;
	m.run_ms = r->run_ms;
	m.lost = r->lost;
	if (home->state == SHARD_OWNED) {
		home_member_ended(n, &m, confirmed, c);
		return;
	}
	f.body_case = CC__FRAME__BODY_ENDED;
	f.ended = &m;
	peer_call(
	    n->peers, home->owner, &f, CONFIRM_TIMEOUT_MS, confirm_reply, c);
}

static int
count_quarantined(const struct worker_pool *pool)
{
	int i, n = 0;

	for (i = 0; i < pool->count; i++)
		n += pool->workers[i]->health.state != HEALTH_OK;
	return n;
}

static void
update_worker_health(
    struct placer *p, struct worker *w, const struct reservation *r)
{
	struct worker_pool *pool = &p->node->pool;
	uint64_t task = XXH64(r->key, strlen(r->key), 0);

	if (r->exit_status == 0) {
		health_success(&w->health);
	} else if (r->run_ms < HEALTH_EARLY_MS && r->state != STOPPING &&
	    health_failure(&w->health, task, clock_boot_ms(),
		count_quarantined(pool), pool->count)) {
		p->node->stats.quarantines++;
		kvlog(KVLOG_WARN, "quarantine", "worker=%s term_ms=%" PRId64,
		    w->name, w->health.term_ms);
	}
	worker_update_slot(pool, w);
}

void
placer_task_ended(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, int exit_status, uint64_t run_ms)
{
	struct reservation *r = worker_pool_reservation(&p->node->pool, key);

	if (r == NULL || r->worker != w || r->attempt != attempt) {
		/* An earlier run, whose end its home has confirmed. */
		watch_ack(w->watch, key, attempt);
		return;
	}
	if (r->state == FINISHED)
		return;
	r->exit_status = exit_status;
	r->run_ms = run_ms;
	update_worker_health(p, w, r);
	placer_set_state(r, FINISHED);
	worker_uncharge(&p->node->pool, r);
	placer_report_end(p, r);
	home_schedule_placement(p->node->home);
}

void
placer_task_lost(struct placer *p, struct reservation *r)
{
	if (r->state == FINISHED || r->state == RESERVED)
		return;
	kvlog(KVLOG_WARN, "task_lost", "key=%s worker=%s", r->key,
	    r->worker->name);
	r->lost = true;
	r->run_ms = 0;
	placer_set_state(r, FINISHED);
	worker_uncharge(&p->node->pool, r);
	placer_report_end(p, r);
}

void
placer_task_seen(struct placer *p, struct worker *w, const char *key,
    uint64_t attempt, const char *class_name, const struct size *size)
{
	struct reservation *r = worker_pool_reservation(&p->node->pool, key);

	if (r != NULL && (r->worker != w || attempt < r->attempt)) {
		kvlog(KVLOG_ERROR, "task_twice", "key=%s worker=%s", key,
		    w->name);
		return;
	}
	if (r == NULL) {
		r = worker_adopt(&p->node->pool, w, key, size);
		str_copy(r->class_name, class_name, sizeof(r->class_name));
	}
	r->attempt = attempt;
	if (r->state != FINISHED && r->state != STOPPING && r->state != RUNNING)
		placer_set_state(r, RUNNING);
}
