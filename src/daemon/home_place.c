#include "home_internal.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"
#include "../coordination/worker_placement.h"
#include "home_owner_call.h"
#include "hostlist.h"
#include "placer.h"

/** Maximum age of a capacity report; heartbeats bring one each second. */
#define CAPACITY_FRESH_MS 4000

static void
site_durable(int err, void *arg)
{
	struct member_ref *ref = arg;
	struct member *m = member_ref_find(ref);

	if (err == CC_OK && m != NULL && m->state == MEMBER_SITED)
		home_call_owner(ref->home->node, m);
	free(ref);
}

static void
site_member(
    struct shard *home, struct member *m, uint32_t shard, uint64_t epoch)
{
	struct member_ref *ref = member_ref_new(home, m);

	if (rec_site(m, home, shard, epoch, site_durable, ref) != CC_OK)
		free(ref);
}

/* Best fit among the shards of other hosts, by their capacity reports. */
static struct shard_capacity *
best_remote_shard(struct node *n, const struct size *need, int64_t now)
{
	struct shard_capacity *best = NULL, *c;
	int i;

	for (i = 0; i < n->nshards; i++) {
		c = &n->shard_capacities[i];
		if (n->shards[i].state != SHARD_OTHER ||
		    now - c->reported_ms > CAPACITY_FRESH_MS ||
		    !peer_net_up(n->peers, n->shards[i].owner) ||
		    !size_fits(need, &c->free) || need->cpus > c->largest_cpus)
			continue;
		if (best == NULL || c->largest_cpus < best->largest_cpus)
			best = c;
	}
	return best;
}

/** Shard chosen for a member. */
struct site {
	uint32_t shard;
	uint64_t epoch;
	struct reservation *local; /**< NULL: another host owns the shard */
};

static bool
choose_local(
    struct home *h, struct member *m, const char *avoid, struct site *out)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	struct worker *w;
	char key[TASK_KEY_LEN];
	int i;

	if (!node_may_start(n))
		return false;
	i = place_best(&n->pool, SHARD_ANY, avoid, &e->size);
	if (i < 0)
		return false;
	w = n->pool.workers[i];
	member_key(m, key);
	if (worker_reserve(&n->pool, w, key, &e->size, &out->local) != CC_OK)
		return false;
	placer_hold(out->local, e->class_name);
	out->shard = (uint32_t)w->shard;
	out->epoch = n->shards[w->shard].held_epoch;
	return true;
}

/*
 * Chooses a shard with enough free capacity: first one of this host, then one
 * of another host by the capacity reports. The worker on which the member
 * failed before is used only when nothing else has room.
 */
static bool
choose_site(struct home *h, struct member *m, int64_t now, struct site *out)
{
	struct node *n = h->node;
	struct entry *e = m->entry;
	struct shard_capacity *c;

	if (choose_local(h, m, m->avoid, out))
		return true;
	c = best_remote_shard(n, &e->size, now);
	if (c == NULL)
		return m->avoid[0] != '\0' && choose_local(h, m, NULL, out);
	out->local = NULL;
	out->shard = (uint32_t)(c - n->shard_capacities);
	out->epoch = c->epoch;
	size_sub(&c->free, &e->size);
	c->largest_cpus -= e->size.cpus;
	return true;
}

bool
home_within_limits(struct home *h, const struct entry *e)
{
	struct node *n = h->node;
	const struct class_conf *c =
	    classes_find(&n->conf.classes, e->class_name);
	const struct team_conf *t = classes_team(&n->conf.classes, e->team);
	uint64_t need = (uint64_t)e->size.cpus * e->count, used;
	uint64_t total = hostlist_total(n->hostlist).cpus;

	if (c != NULL) {
		used = home_usage(h, "class", e->class_name);
		if (used > 0 &&
		    (used + need) * 100 > total * (uint64_t)c->share_pct)
			return false;
	}
	if (t != NULL && t->quota_cpus > 0) {
		used = home_usage(h, "team", e->team);
		if (used + need > (uint64_t)t->quota_cpus)
			return false;
	}
	return true;
}

enum ready_verdict
home_place_entry(struct home *h, struct entry *e, int64_t now)
{
	struct node *n = h->node;
	struct shard *home = node_home(n, e->id);
	struct site *sites = xcalloc(e->count, sizeof(*sites));
	bool ok = true;
	uint32_t i;

	for (i = 0; i < e->count && ok; i++)
		if (e->members[i].state == MEMBER_WAITING)
			ok = choose_site(h, &e->members[i], now, &sites[i]);
	for (i = 0; i < e->count && !ok; i++)
		if (sites[i].local != NULL)
			worker_release(&n->pool, sites[i].local);
	for (i = 0; i < e->count && ok; i++)
		if (e->members[i].state == MEMBER_WAITING) {
			ready_remove(&h->queue, &e->members[i].ready);
			site_member(home, &e->members[i], sites[i].shard,
			    sites[i].epoch);
		}
	free(sites);
	if (ok)
		usage_add(&h->usage, e);
	return ok ? READY_TAKEN : READY_KEEP;
}
