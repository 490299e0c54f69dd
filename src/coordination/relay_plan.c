#include "relay_plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Runners that a host can talk to, per core and per Mbit/s of its link. */
#define RUNNERS_PER_CORE 400.0
#define RUNNERS_PER_MBIT 20.0
/** The total capacity of the chosen hosts is at least this many times the
 * number of runners. */
#define SPARE_FACTOR 2.0

double
relay_capacity(double cores, double link_mbps)
{
	double by_core = cores * RUNNERS_PER_CORE;
	double by_link = link_mbps * RUNNERS_PER_MBIT;

	return by_core < by_link ? by_core : by_link;
}

static int
compare_hosts(const void *a, const void *b)
{
	const struct relay_host *x = a, *y = b;

	if (x->capacity != y->capacity)
		return x->capacity > y->capacity ? -1 : 1;
	return strcmp(x->host, y->host);
}

static bool
same_hosts(const struct relay_plan *p, const struct relay_host *list, int n)
{
	int i;

	if (p->n != n)
		return false;
	for (i = 0; i < n; i++)
		if (strcmp(p->hosts[i].host, list[i].host) != 0)
			return false;
	return true;
}

void
relay_plan_set(struct relay_plan *p, struct relay_host *list, int n, double own,
    unsigned nrunners)
{
	double sum = 0;
	int chosen = 0;

	qsort(list, (size_t)n, sizeof(*list), compare_hosts);
	if (own < nrunners)
		while (chosen < n && chosen < RELAYS_MAX &&
		    sum < nrunners * SPARE_FACTOR)
			sum += list[chosen++].capacity;
	if (same_hosts(p, list, chosen))
		return;
	if (chosen > 0)
		memcpy(p->hosts, list, (size_t)chosen * sizeof(*list));
	p->n = chosen;
	p->version++;
}

void
relay_plan_drop(struct relay_plan *p, const char *host)
{
	int i, k = 0;

	for (i = 0; i < p->n; i++)
		if (strcmp(p->hosts[i].host, host) != 0)
			p->hosts[k++] = p->hosts[i];
	p->version += k != p->n;
	p->n = k;
}

/* A hash of host and runner, uniformly distributed over (0, 1). */
static double
uniform(const char *host, const char *runner)
{
	uint64_t seed = XXH64(host, strlen(host), 0);
	uint64_t h = XXH64(runner, strlen(runner), seed);

	return ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);
}

static double
score_of(const struct relay_host *h, const char *runner)
{
	return h->capacity / -log(uniform(h->host, runner));
}

int
relay_plan_pick(const struct relay_plan *p, const char *runner, int choice)
{
	double scores[RELAYS_MAX];
	int i, best = -1;

	for (i = 0; i < p->n; i++)
		scores[i] = score_of(&p->hosts[i], runner);
	if (p->n > 0)
		choice %= p->n;
	for (; choice >= 0; choice--) {
		best = -1;
		for (i = 0; i < p->n; i++)
			if (scores[i] >= 0 &&
			    (best < 0 || scores[i] > scores[best]))
				best = i;
		if (best >= 0 && choice > 0)
			scores[best] = -1;
	}
	return best;
}
