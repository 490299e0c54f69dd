#include "home_internal.h"

#include <inttypes.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../sys/clock.h"
#include "home_owner_call.h"

#define REQUEUE_DELAY_MS 100

void
home_requeue(
    struct home *h, struct shard *home, struct member *m, bool maybe_ran)
{
	if (rec_requeue(m, home, maybe_ran, NULL, NULL) != CC_OK)
		return;
	m->retry_ms = clock_boot_ms() + REQUEUE_DELAY_MS;
	home_enqueue(h, m);
}

/*
 * Requeues the reserved members of a gang when another member found no room, so
 * that the whole gang is placed anew.
 */
static void
gang_abort(struct home *h, struct shard *home, struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_SITED &&
		    e->members[i].reserved && !e->members[i].call_pending)
			home_requeue(h, home, &e->members[i], false);
}

/* Starts a gang once each of its members is reserved or started. */
static void
gang_start(struct node *n, struct entry *e)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_WAITING ||
		    (e->members[i].state == MEMBER_SITED &&
			!e->members[i].reserved))
			return;
	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_SITED &&
		    !e->members[i].call_pending)
			home_call_owner(n, &e->members[i]);
}

static void
member_started(
    struct home *h, struct shard *home, struct member *m, const char *worker)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	const struct class_conf *c =
	    classes_find(&n->conf.classes, e->class_name);
	int64_t wait = clock_boot_ms() - e->accepted_ms;

	if (rec_start(m, home, worker) != CC_OK)
		return;
	n->stats.placements++;
	if (n->shards[m->shard].state != SHARD_OWNED)
		n->stats.placements_remote++;
	stats_started(
	    &n->stats, e->class_name, wait, c != NULL ? c->start_within_ms : 0);
	kvlog(KVLOG_INFO, "started",
	    "request=%s member=%u class=%s worker=%s wait_ms=%" PRId64, e->id,
	    m->index, e->class_name, worker, wait);
	if (e->cancelled)
		home_call_owner(n, m);
}

void
home_place_answer(struct node *n, struct member *m, const Cc__PlaceReply *r)
{
	struct home *h = n->home;
	struct entry *e = m->entry;
	struct shard *home = node_home(n, e->id);

	switch (r->error) {
	case CC_OK:
		if (r->reserved) {
			m->reserved = true;
			gang_start(n, e);
		} else {
			m->checked_epoch = r->shard_epoch;
			member_started(h, home, m, r->worker);
		}
		break;
	case CC_EBUSY:
		n->shard_capacities[m->shard].largest_cpus = 0;
		/*
		 * Under another epoch, an earlier owner may have started the
		 * member, and the run was lost.
		 */
		home_requeue(h, home, m, r->shard_epoch != m->shard_epoch);
		if (e->count > 1)
			gang_abort(h, home, e);
		break;
	case CC_ENOTSENT:
		/*
		 * No start call for this assignment has left this host, so the
		 * member can't have started.
		 */
		if (!m->maybe_received && e->count == 1)
			home_requeue(h, home, m, false);
		else
			home_call_owner_later(n, m);
		break;
	case CC_ENOENT:
		/*
		 * The shard has a new owner, which finds the member on no
		 * worker; an earlier owner may have run it.
		 */
		home_settle_as(
		    home, e, OUTCOME_UNKNOWN, "owner-changed", e->ran_ms, 0);
		break;
	default:
		home_call_owner_later(n, m);
	}
}

void
home_stop_answer(struct node *n, struct member *m, int err, uint64_t epoch)
{
	struct shard *home = node_home(n, m->entry->id);

	switch (err) {
	case CC_OK: /* the owner will report the member's end */
		break;
	case CC_ENOENT:
		m->stop =
		    epoch == m->shard_epoch ? STOP_NEVER_RAN : STOP_UNSURE;
		home_check_cancelled(home, m->entry);
		break;
	default:
		home_call_owner_later(n, m);
	}
}

/*
 * A worker and the owner of its shard may be lost together, and then no host
 * reports that the member was lost. So the home asks the shard's new owner.
 */
void
home_check_answer(struct node *n, struct member *m, const Cc__PlaceReply *r)
{
	struct entry *e = m->entry;
	struct shard *home = node_home(n, e->id);

	switch (r->error) {
	case CC_OK:
		m->checked_epoch = r->shard_epoch;
		if (strcmp(r->worker, m->worker) == 0)
			break;
		/* The run was lost, and the new owner started another. */
		if (rec_requeue(m, home, true, NULL, NULL) == CC_OK &&
		    rec_site(m, home, m->shard, r->shard_epoch, NULL, NULL) ==
			CC_OK)
			rec_start(m, home, r->worker);
		break;
	case CC_EBUSY:
		home_requeue(n->home, home, m, true);
		break;
	case CC_ENOENT:
		home_settle_as(
		    home, e, OUTCOME_UNKNOWN, "worker-lost", e->ran_ms, 0);
		break;
	default: /* the next sweep asks again */
		break;
	}
}
