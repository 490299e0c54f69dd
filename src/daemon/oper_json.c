#include "oper_json.h"

#include <string.h>

#include "../coordination/route.h"
#include "../sys/clock.h"
#include "../transport/http_server.h"
#include "owner.h"
#include "router.h"

static const char *const health_names[] = {"ok", "quarantined", "probing"};

json_t *
oper_json_status(struct node *n)
{
	int64_t now = clock_boot_ms();
	json_t *shards = json_array();
	int i, unsettled = 0;

	for (i = 0; i < n->nshards; i++) {
		if (n->shards[i].state == SHARD_OWNED)
			json_array_append_new(shards, json_integer(i));
		unsettled += n->shards[i].ledger.unsettled;
	}
	return json_pack(
	    "{s:s,s:s,s:I,s:b,s:b,s:b,s:I,s:o,s:i,s:i,s:i,s:i,s:I}", "host",
	    n->settings->host, "zone", n->settings->zone, "uptime_ms",
	    (json_int_t)(now - n->started_ms), "lease",
	    lease_valid(&n->lease, now, 0), "table_up", node_table_up(n),
	    "leaving", n->leaving, "config_version",
	    (json_int_t)n->conf.version, "shards", shards, "workers",
	    n->pool.count, "unsettled", unsettled, "open_requests",
	    http_server_open_requests(n->server), "waiting_requests",
	    router_waiting(n->router), "rss_kb", (json_int_t)clock_rss_kb());
}

static json_t *
host_json(struct node *n, const struct peer_host *h, int64_t now)
{
	bool self = strcmp(h->name, n->settings->host) == 0;
	bool lapsed = lease_watch_lapsed(&h->watch, &n->terms, now);
	const char *state = h->expired || lapsed ? "gone"
	    : h->leaving || h->beat_leaving	 ? "leaving"
						 : "live";

	if (self)
		state = n->leaving ? "leaving" : "live";
	return json_pack("{s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:i,s:b}", "host",
	    h->name, "zone", h->zone, "addr", h->addr, "operator_port",
	    (int)h->operator_port, "state", state, "config_version",
	    (json_int_t)(self ? n->conf.version : h->conf_version),
	    "config_took_ms",
	    (json_int_t)(self
		    ? n->conf.in_force_wall_ms - n->conf.applied_wall_ms
		    : h->conf_took_ms),
	    "shards", self ? owner_shard_count(n) : h->nshards, "reachable",
	    self || peer_net_up(n->peers, h->name));
}

json_t *
oper_json_hosts(struct node *n)
{
	int64_t now = clock_boot_ms();
	json_t *a = json_array();
	int i;

	for (i = 0; i < n->nhosts; i++)
		if (n->hosts[i].present)
			json_array_append_new(
			    a, host_json(n, &n->hosts[i], now));
	return json_pack("{s:o}", "hosts", a);
}

static json_t *
hist_json(const struct hist *h)
{
	json_t *buckets = json_array();
	unsigned i;

	for (i = 0; i < HIST_BUCKETS; i++)
		if (h->counts[i] > 0)
			json_array_append_new(buckets,
			    json_pack("[I,I]", (json_int_t)hist_bucket_low(i),
				(json_int_t)h->counts[i]));
	return json_pack("{s:I,s:I,s:I,s:I,s:o}", "count", (json_int_t)h->total,
	    "p50", (json_int_t)hist_quantile(h, 0.5), "p99",
	    (json_int_t)hist_quantile(h, 0.99), "max",
	    (json_int_t)hist_quantile(h, 1.0), "buckets", buckets);
}

static const char *const kind_names[] = {"request", "task"};

static json_t *
class_json(struct node *n, const struct class_conf *c)
{
	const struct class_stats *st = stats_class(&n->stats, c->name);

	return json_pack("{s:s,s:s,s:I,s:I,s:I,s:b,s:I,s:I,s:I,s:I,s:I,s:I,"
			 "s:o,s:o,s:o}",
	    "class", c->name, "kind", kind_names[c->kind & 1],
	    "start_within_ms", (json_int_t)c->start_within_ms,
	    "longest_wait_ms", (json_int_t)c->longest_wait_ms, "share_pct",
	    (json_int_t)c->share_pct, "repeatable", c->repeatable, "accepted",
	    (json_int_t)st->accepted, "done",
	    (json_int_t)st->outcomes[OUTCOME_DONE], "not_run",
	    (json_int_t)st->outcomes[OUTCOME_NOT_RUN], "unknown",
	    (json_int_t)st->outcomes[OUTCOME_UNKNOWN], "late",
	    (json_int_t)st->late, "retries", (json_int_t)st->retries,
	    "start_wait_ms", hist_json(&st->start_wait_ms), "run_ms",
	    hist_json(&st->run_ms), "total_ms", hist_json(&st->total_ms));
}

json_t *
oper_json_classes(struct node *n)
{
	json_t *a = json_array();
	int i;

	for (i = 0; i < n->conf.classes.nclasses; i++)
		json_array_append_new(
		    a, class_json(n, &n->conf.classes.classes[i]));
	return json_pack("{s:s,s:o}", "host", n->settings->host, "classes", a);
}

static json_t *
worker_json(const struct worker *w)
{
	const struct reservation *r;
	int tasks = 0;

	LIST_FOREACH (r, &w->reservations, link)
		tasks += r->charged;
	return json_pack("{s:s,s:s,s:s,s:i,s:s,s:b,s:b,s:i,s:i,s:i,s:i,s:i,"
			 "s:i,s:i}",
	    "worker", w->name, "rack", w->rack, "zone", w->zone, "shard",
	    w->shard, "health", health_names[w->health.state], "listed",
	    w->listed, "leaving", w->leaving, "cpus", (int)w->total.cpus,
	    "cpus_used", (int)w->reserved.cpus, "memory_mb",
	    (int)w->total.memory_mb, "memory_mb_used",
	    (int)w->reserved.memory_mb, "accelerators",
	    (int)w->total.accelerators, "accelerators_used",
	    (int)w->reserved.accelerators, "tasks", tasks);
}

json_t *
oper_json_workers(struct node *n)
{
	json_t *a = json_array();
	int i;

	for (i = 0; i < n->pool.count; i++)
		json_array_append_new(a, worker_json(n->pool.workers[i]));
	return json_pack("{s:s,s:o}", "host", n->settings->host, "workers", a);
}

json_t *
oper_json_runners(struct node *n)
{
	const struct route *r = router_state(n->router);
	const struct runner *rn;
	json_t *a = json_array();
	int i;

	for (i = 0; i < r->nrunners; i++) {
		rn = r->runners[i];
		if (!rn->mine)
			continue;
		json_array_append_new(a,
		    json_pack("{s:s,s:s,s:i,s:i,s:b,s:I}", "runner", rn->name,
			"service", rn->service, "slots", rn->slots, "busy",
			rn->busy, "leaving", rn->leaving, "mean_us",
			(json_int_t)rn->mean_us));
	}
	return json_pack("{s:s,s:o}", "host", n->settings->host, "runners", a);
}
