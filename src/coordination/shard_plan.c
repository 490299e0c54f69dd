#include "shard_plan.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

uint64_t
plan_rank(const char *key, const char *host)
{
	return XXH64(host, strlen(host), XXH64(key, strlen(key), 0));
}

static bool
is_live(const struct plan_host *h)
{
	return !h->expired && !h->lapsed && !h->leaving;
}

static int
host_index(const struct plan_view *v, const char *name)
{
	int i;

	for (i = 0; i < v->nhosts; i++)
		if (strcmp(v->hosts[i].name, name) == 0)
			return i;
	return -1;
}

static int
best_host(const struct plan_view *v, const char *key, const int *load, int cap)
{
	uint64_t rank, best_rank = 0;
	int i, best = -1;

	for (i = 0; i < v->nhosts; i++) {
		if (!is_live(&v->hosts[i]) || load[i] >= cap)
			continue;
		rank = plan_rank(key, v->hosts[i].name);
		if (best == -1 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

void
plan_assign(const struct plan_view *v, int out[PLAN_SHARDS_MAX])
{
	int load[PLAN_HOSTS_MAX] = {0};
	int i, live = 0, cap;
	char key[24];

	for (i = 0; i < v->nhosts; i++)
		live += is_live(&v->hosts[i]);
	cap = live > 0 ? (v->nshards + live - 1) / live : 0;
	for (i = 0; i < v->nshards; i++) {
		snprintf(key, sizeof(key), "shard/%d", i);
		out[i] = best_host(v, key, load, cap);
		if (out[i] >= 0)
			load[out[i]]++;
	}
}

bool
plan_shard_held(const struct plan_view *v, int shard)
{
	const struct plan_shard *s = &v->shards[shard];
	int h;

	if (s->owner[0] == '\0')
		return false;
	h = host_index(v, s->owner);
	return h >= 0 && !v->hosts[h].expired &&
	    v->hosts[h].epoch == s->owner_epoch;
}

/* Number of live hosts that rank above this one for the key. */
static int
hosts_above_self(const struct plan_view *v, const char *key)
{
	uint64_t mine = plan_rank(key, v->self);
	int i, above = 0;

	for (i = 0; i < v->nhosts; i++)
		if (is_live(&v->hosts[i]) &&
		    strcmp(v->hosts[i].name, v->self) != 0 &&
		    plan_rank(key, v->hosts[i].name) > mine)
			above++;
	return above;
}

static bool
self_owns(const struct plan_view *v, int shard)
{
	const struct plan_shard *s = &v->shards[shard];

	return strcmp(s->owner, v->self) == 0 &&
	    s->owner_epoch == v->self_epoch;
}

static bool
should_release(const struct plan_view *v, int target)
{
	return target >= 0 && strcmp(v->hosts[target].name, v->self) != 0 &&
	    v->hosts[target].known_ms >= PLAN_SETTLE_MS;
}

static bool
should_claim(const struct plan_view *v, int shard, int target, bool leaving)
{
	char key[24];

	if (leaving || plan_shard_held(v, shard))
		return false;
	if (target >= 0 && strcmp(v->hosts[target].name, v->self) == 0)
		return true;
	snprintf(key, sizeof(key), "shard/%d", shard);
	return v->shards[shard].free_ms >=
	    PLAN_RANK_MS * (1 + hosts_above_self(v, key));
}

int
plan_decide(const struct plan_view *v, struct plan_action *out, int max)
{
	int assign[PLAN_SHARDS_MAX];
	int i, n = 0, self = host_index(v, v->self);
	bool leaving = self >= 0 && v->hosts[self].leaving;

	for (i = 0; i < v->nhosts && n < max; i++) {
		if (i == self || v->hosts[i].expired || !v->hosts[i].lapsed)
			continue;
		out[n++] = (struct plan_action){PLAN_EXPIRE, i};
	}
	plan_assign(v, assign);
	for (i = 0; i < v->nshards && n < max; i++) {
		if (self_owns(v, i)) {
			if (should_release(v, assign[i]))
				out[n++] =
				    (struct plan_action){PLAN_RELEASE, i};
		} else if (should_claim(v, i, assign[i], leaving)) {
			out[n++] = (struct plan_action){PLAN_CLAIM, i};
		}
	}
	return n;
}
