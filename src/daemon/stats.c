#include "stats.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>

#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "node.h"
#include "owner.h"

void
stats_done(struct stats *s)
{
	struct class_stats *c, *tmp;

	HASH_ITER(hh, s->classes, c, tmp)
	{
		HASH_DEL(s->classes, c);
		free(c);
	}
}

struct class_stats *
stats_class(struct stats *s, const char *name)
{
	struct class_stats *c;

	HASH_FIND_STR(s->classes, name, c);
	if (c != NULL)
		return c;
	c = xcalloc(1, sizeof(*c));
	str_copy(c->name, name, sizeof(c->name));
	HASH_ADD_STR(s->classes, name, c);
	return c;
}

void
stats_commit(struct stats *s, int64_t ms)
{
	s->commits++;
	hist_add(&s->commit_ms, (uint64_t)(ms > 0 ? ms : 0));
}

void
stats_settled(
    struct stats *s, const char *class_name, enum outcome o, int64_t total_ms)
{
	struct class_stats *c = stats_class(s, class_name);

	c->outcomes[o]++;
	hist_add(&c->total_ms, (uint64_t)(total_ms > 0 ? total_ms : 0));
}

void
stats_started(
    struct stats *s, const char *class_name, int64_t wait_ms, int64_t target_ms)
{
	struct class_stats *c = stats_class(s, class_name);

	hist_add(&c->start_wait_ms, (uint64_t)(wait_ms > 0 ? wait_ms : 0));
	if (target_ms > 0 && wait_ms > target_ms)
		c->late++;
}

static uint64_t
stat_commits(struct node *n)
{
	return n->stats.commits;
}

static uint64_t
stat_placements(struct node *n)
{
	return n->stats.placements;
}

static uint64_t
stat_remote(struct node *n)
{
	return n->stats.placements_remote;
}

static uint64_t
stat_uncertain(struct node *n)
{
	return n->stats.starts_uncertain;
}

static uint64_t
stat_lost(struct node *n)
{
	return n->stats.tasks_lost;
}

static uint64_t
stat_quarantines(struct node *n)
{
	return n->stats.quarantines;
}

static uint64_t
stat_refused(struct node *n)
{
	return n->stats.requests_refused;
}

static uint64_t
stat_shards(struct node *n)
{
	return (uint64_t)owner_shard_count(n);
}

static uint64_t
stat_workers(struct node *n)
{
	return (uint64_t)n->pool.count;
}

static uint64_t
stat_conf(struct node *n)
{
	return n->conf.version;
}

static uint64_t
stat_cpu(struct node *n)
{
	(void)n;
	return (uint64_t)clock_cpu_us();
}

static uint64_t
stat_rss(struct node *n)
{
	(void)n;
	return (uint64_t)clock_rss_kb();
}

static uint64_t
stat_sent(struct node *n)
{
	uint64_t http_sent, http_received, peers_sent, peers_received;

	http_pool_traffic(n->http, &http_sent, &http_received);
	peer_net_traffic(n->peers, &peers_sent, &peers_received);
	return http_sent + peers_sent;
}

static uint64_t
stat_received(struct node *n)
{
	uint64_t http_sent, http_received, peers_sent, peers_received;

	http_pool_traffic(n->http, &http_sent, &http_received);
	peer_net_traffic(n->peers, &peers_sent, &peers_received);
	return http_received + peers_received;
}

static uint64_t
stat_reads(struct node *n)
{
	uint64_t reads, writes;

	table_counts(n->table, &reads, &writes);
	return reads;
}

static uint64_t
stat_writes(struct node *n)
{
	uint64_t reads, writes;

	table_counts(n->table, &reads, &writes);
	return writes;
}

static uint64_t
stat_unsettled(struct node *n)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < n->nshards; i++)
		sum += (uint64_t)n->shards[i].ledger.unsettled;
	return sum;
}

static const struct metric {
	const char *name;
	const char *type;
	const char *help;
	uint64_t (*get)(struct node *n);
} metrics[] = {
    {"commits_total", "counter", "Journal commits", stat_commits},
    {"placements_total", "counter", "Tasks placed", stat_placements},
    {"placements_remote_total", "counter",
	"Tasks handed to another host's shard", stat_remote},
    {"starts_uncertain_total", "counter", "Starts whose answer was lost",
	stat_uncertain},
    {"tasks_lost_total", "counter", "Tasks lost with a worker", stat_lost},
    {"quarantines_total", "counter", "Workers put in quarantine",
	stat_quarantines},
    {"requests_refused_total", "counter", "Requests refused by admission",
	stat_refused},
    {"shards_owned", "gauge", "Shards of this host", stat_shards},
    {"workers", "gauge", "Workers of this host's shards", stat_workers},
    {"unsettled", "gauge", "Requests not settled yet", stat_unsettled},
    {"config_version", "gauge", "Configuration in force", stat_conf},
    {"cpu_us_total", "counter", "Processor time, microseconds", stat_cpu},
    {"rss_kb", "gauge", "Largest resident set, KiB", stat_rss},
    {"control_sent_bytes_total", "counter",
	"Bytes sent to the platform, workers, runners and peers", stat_sent},
    {"control_received_bytes_total", "counter", "Bytes received from them",
	stat_received},
    {"table_reads_total", "counter", "Queries of the table", stat_reads},
    {"table_writes_total", "counter", "Items written to the table",
	stat_writes},
};

static void
print_hist(FILE *out, const char *name, const char *cls, const struct hist *h)
{
	uint64_t seen = 0;
	unsigned i;

	for (i = 0; i < HIST_BUCKETS; i++) {
		if (h->counts[i] == 0)
			continue;
		seen += h->counts[i];
		fprintf(out,
		    "celerycart_%s_bucket{class=\"%s\",le=\"%" PRIu64
		    "\"} %" PRIu64 "\n",
		    name, cls, hist_bucket_low(i + 1) - 1, seen);
	}
	fprintf(out,
	    "celerycart_%s_bucket{class=\"%s\",le=\"+Inf\"} %" PRIu64
	    "\ncelerycart_%s_sum{class=\"%s\"} %" PRIu64
	    "\ncelerycart_%s_count{class=\"%s\"} %" PRIu64 "\n",
	    name, cls, h->total, name, cls, h->sum, name, cls, h->total);
}

static const struct {
	const char *name;
	size_t offset;
} class_hists[] = {
    {"start_wait_ms", offsetof(struct class_stats, start_wait_ms)},
    {"run_ms", offsetof(struct class_stats, run_ms)},
    {"total_ms", offsetof(struct class_stats, total_ms)},
};

static void
print_class_counters(FILE *out, struct class_stats *classes)
{
	struct class_stats *c;
	int o;

	fprintf(out, "# TYPE celerycart_requests_total counter\n");
	for (c = classes; c != NULL; c = c->hh.next)
		for (o = OUTCOME_DONE; o <= OUTCOME_UNKNOWN; o++)
			fprintf(out,
			    "celerycart_requests_total{class=\"%s\","
			    "outcome=\"%s\"} %" PRIu64 "\n",
			    c->name, outcome_name((enum outcome)o),
			    c->outcomes[o]);
	fprintf(out, "# TYPE celerycart_late_total counter\n");
	for (c = classes; c != NULL; c = c->hh.next)
		fprintf(out,
		    "celerycart_late_total{class=\"%s\"} %" PRIu64 "\n",
		    c->name, c->late);
	fprintf(out, "# TYPE celerycart_retries_total counter\n");
	for (c = classes; c != NULL; c = c->hh.next)
		fprintf(out,
		    "celerycart_retries_total{class=\"%s\"} %" PRIu64 "\n",
		    c->name, c->retries);
}

void
stats_print(struct node *n, FILE *out)
{
	struct class_stats *c;
	size_t i;

	for (i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++)
		fprintf(out,
		    "# HELP celerycart_%s %s\n# TYPE celerycart_%s %s\n"
		    "celerycart_%s %" PRIu64 "\n",
		    metrics[i].name, metrics[i].help, metrics[i].name,
		    metrics[i].type, metrics[i].name, metrics[i].get(n));
	print_class_counters(out, n->stats.classes);
	for (i = 0; i < sizeof(class_hists) / sizeof(class_hists[0]); i++) {
		fprintf(out, "# TYPE celerycart_%s histogram\n",
		    class_hists[i].name);
		for (c = n->stats.classes; c != NULL; c = c->hh.next)
			print_hist(out, class_hists[i].name, c->name,
			    (const struct hist *)((const char *)c +
				class_hists[i].offset));
	}
}
