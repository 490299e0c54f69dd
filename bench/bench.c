/*
 * Benchmarks of placement decisions in memory: rate and p99 latency at the
 * cluster size of docs/CAPACITY.md, and how much of the workers' capacity is
 * used, each next to baselines. Prints one name=value a line.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_bench.h"
#include "../src/base/err.h"
#include "../src/base/hist.h"
#include "../src/base/xalloc.h"
#include "../src/coordination/worker_placement.h"
#include "../src/sys/clock.h"

#define REPEATS 5 /* of each measurement; the median is printed */
#define CLUSTER_WORKERS 1100
#define RUNNING_TASKS 7500
#define REPLACEMENTS 200000 /* tasks released and placed per repeat */
#define WORKER_CPUS 64
#define REFUSALS_MAX 20 /* in a row, until the pool counts as full */
#define SHARDS 16

typedef int (*choose_fn)(const struct worker_pool *p, const struct size *s);

static int
choose_best(const struct worker_pool *p, const struct size *s)
{
	return place_best(p, SHARD_ANY, NULL, s);
}

/* Baseline: the first worker that fits. */
static int
choose_first(const struct worker_pool *p, const struct size *s)
{
	int i;

	for (i = 0; i < p->count; i++)
		if (p->slots[i].usable && size_fits(s, &p->slots[i].free))
			return i;
	return -1;
}

/* Baseline: the first worker that fits from a random one on. */
static int
choose_random(const struct worker_pool *p, const struct size *s)
{
	int i, k = rand() % p->count;

	for (i = 0; i < p->count; i++, k = (k + 1) % p->count)
		if (p->slots[k].usable && size_fits(s, &p->slots[k].free))
			return k;
	return -1;
}

/*
 * As the daemons place: best fit in the home's own shards first (here one
 * random shard), then in the shard whose largest free size is the tightest that
 * fits, by processors. The largest free size is the maximum of each resource
 * over a shard's workers: if no single worker has it, the placement may fail.
 */
static int
choose_sharded(const struct worker_pool *p, const struct size *s)
{
	struct size largest_free[SHARDS];
	int i, sh, best = -1, home = rand() % SHARDS;

	i = place_best(p, home, NULL, s);
	if (i >= 0)
		return i;
	memset(largest_free, 0, sizeof(largest_free));
	for (i = 0; i < p->count; i++)
		largest_free[p->slots[i].shard] = size_max(
		    &largest_free[p->slots[i].shard], &p->slots[i].free);
	for (sh = 0; sh < SHARDS; sh++)
		if (size_fits(s, &largest_free[sh]) &&
		    (best < 0 ||
			largest_free[sh].cpus < largest_free[best].cpus))
			best = sh;
	return best < 0 ? -1 : place_best(p, best, NULL, s);
}

static struct size
random_size(void)
{
	static const uint32_t cpus[] = {1, 1, 1, 2, 2, 2, 4, 4, 8, 16};
	struct size s;

	s.cpus = cpus[rand() % 10];
	s.memory_mb = s.cpus * (1024u + (uint32_t)(rand() % 6) * 1024u);
	s.accelerators = rand() % 8 == 0 ? 1 : 0;
	return s;
}

static void
fill_pool(struct worker_pool *p, int workers)
{
	struct worker *w;
	char name[32];
	int i;

	worker_pool_init(p);
	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		w = worker_pool_get(p, name);
		w->total =
		    (struct size){WORKER_CPUS, 262144, i % 3 == 0 ? 4 : 0};
		w->shard = i % SHARDS;
		w->listed = true;
		worker_update_slot(p, w);
	}
}

static struct reservation *
place(struct worker_pool *p, choose_fn choose, int id)
{
	struct reservation *r;
	struct size s = random_size();
	char key[TASK_KEY_LEN];
	int i = choose(p, &s);

	snprintf(key, sizeof(key), "t%d#0", id);
	if (i < 0 || worker_reserve(p, p->workers[i], key, &s, &r) != CC_OK)
		return NULL;
	return r;
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
median(double *v)
{
	qsort(v, REPEATS, sizeof(*v), by_value);
	return v[REPEATS / 2];
}

/*
 * Measures the time of a placement in a pool with about RUNNING_TASKS tasks:
 * a random task is released, then another is placed. Only placements are timed.
 */
static void
measure_rate(const char *name, choose_fn choose)
{
	static struct reservation *live[RUNNING_TASKS];
	static struct hist h;
	struct worker_pool p;
	double rates[REPEATS], tails[REPEATS];
	int64_t t0, t1, spent;
	int run, i, k;

	for (run = 0; run < REPEATS; run++) {
		srand((unsigned)run + 1);
		fill_pool(&p, CLUSTER_WORKERS);
		memset(&h, 0, sizeof(h));
		for (i = 0; i < RUNNING_TASKS; i++)
			live[i] = place(&p, choose, i);
		spent = 0;
		for (i = 0; i < REPLACEMENTS; i++) {
			k = rand() % RUNNING_TASKS;
			if (live[k] != NULL)
				worker_release(&p, live[k]);
			t0 = clock_boot_us();
			live[k] = place(&p, choose, RUNNING_TASKS + i);
			t1 = clock_boot_us();
			spent += t1 - t0;
			hist_add(&h, (uint64_t)(t1 - t0));
		}
		rates[run] = REPLACEMENTS * 1e6 / (double)spent;
		tails[run] = (double)hist_quantile(&h, 0.99);
		worker_pool_done(&p);
	}
	printf("placements_per_s%s=%.0f\n", name, median(rates));
	printf("placement_p99_us%s=%.0f\n", name, median(tails));
}

/* Places tasks until the pool is full. @return the share of processors used. */
static double
packed_fraction(choose_fn choose, int workers, unsigned seed)
{
	struct worker_pool p;
	struct reservation *r;
	uint64_t used = 0, total = (uint64_t)workers * WORKER_CPUS;
	int refused = 0, i;

	srand(seed);
	fill_pool(&p, workers);
	for (i = 0; refused < REFUSALS_MAX; i++) {
		r = place(&p, choose, i);
		refused = r == NULL ? refused + 1 : 0;
		used += r != NULL ? r->size.cpus : 0;
	}
	worker_pool_done(&p);
	return (double)used / (double)total;
}

/* Packing relative to best fit over all shards at once, for each policy. */
static void
measure_packing(int workers)
{
	static const struct {
		const char *name;
		choose_fn choose;
	} policies[] = {
	    {"", choose_sharded},
	    {"_baseline_first_fit", choose_first},
	    {"_baseline_random", choose_random},
	};
	double v[REPEATS], unsharded;
	size_t i;
	unsigned run;

	for (i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
		for (run = 0; run < REPEATS; run++) {
			unsharded =
			    packed_fraction(choose_best, workers, run + 1);
			v[run] = packed_fraction(
				     policies[i].choose, workers, run + 1) /
			    unsharded;
		}
		printf("packing_ratio%s_%d=%.4f\n", policies[i].name, workers,
		    median(v));
	}
}

int
main(void)
{
	static const int runner_counts[] = {50, 350, 1100, 8000};
	size_t i;

	measure_rate("", choose_best);
	measure_rate("_baseline_first_fit", choose_first);
	measure_packing(50);
	measure_packing(CLUSTER_WORKERS);
	for (i = 0; i < sizeof(runner_counts) / sizeof(runner_counts[0]); i++)
		cell_bench(runner_counts[i]);
	near_bench();
	cell_bench_waiting(0);
	cell_bench_waiting(200);
	return 0;
}
