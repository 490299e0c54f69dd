/* Counters and latency quantiles of a member, as text. */
#include <stdio.h>
#include <stdlib.h>

#include "../base/xalloc.h"
#include "../cell/deposed.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define TEXT_MAX 8192

struct metric {
	const char *name;
	uint64_t value;
};

static size_t
put(char *buf, size_t at, const char *name, uint64_t value)
{
	if (at >= TEXT_MAX)
		return at;
	return at +
	    (size_t)snprintf(buf + at, TEXT_MAX - at, "celerycart_%s %llu\n",
		name, (unsigned long long)value);
}

static size_t
put_hist(char *buf, size_t at, const char *name, const struct hist *h)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = {{"0.5", 0.5}, {"0.9", 0.9}, {"0.99", 0.99}};
	char label[96];
	size_t i;

	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
		snprintf(label, sizeof(label), "%s{quantile=\"%s\"}", name,
		    quantiles[i].name);
		at = put(buf, at, label, hist_quantile(h, quantiles[i].q));
	}
	snprintf(label, sizeof(label), "%s_count", name);
	return put(buf, at, label, h->total);
}

/* Puts a counter for each value of a label. */
static size_t
put_labelled(char *buf, size_t at, const char *name, const char *label,
    const char *text, uint64_t value)
{
	char full[96];

	snprintf(full, sizeof(full), "%s{%s=\"%s\"}", name, label, text);
	return put(buf, at, full, value);
}

/* Runs lost by cause, and ends of this host's leaderships by what showed the
 * newer leader. */
static size_t
put_causes(char *buf, size_t at, const struct cell_counters *k)
{
	int i;

	for (i = CAUSE_MISSED_LISTS; i <= CAUSE_SUPERSEDED; i++)
		at = put_labelled(buf, at, "runs_lost_total", "by",
		    end_cause_name((enum end_cause)i), k->lost[i]);
	for (i = FAILURE_ATTEMPTS; i < FAILURES; i++)
		at = put_labelled(buf, at, "jobs_failed_total", "by",
		    job_failure_name((enum job_failure)i), k->failures[i]);
	for (i = 0; i < CRASH_SIGNS; i++)
		at = put_labelled(buf, at, "crashes_counted_total", "by",
		    crash_sign_name((enum crash_sign)i), k->crashes_counted[i]);
	for (i = 0; i < DEPOSED_BY_COUNT; i++)
		at = put_labelled(buf, at, "deposed_total", "why",
		    deposed_by_name((enum deposed_by)i), k->deposed[i]);
	return at;
}

static uint64_t
count_jobs(const struct cell *c)
{
	return HASH_COUNT(c->jobs);
}

char *
member_metrics(const struct member *m)
{
	const struct cell_counters *k = &m->cell.counters;
	int64_t apart_ms = 0;
	int apart = cell_runners_apart(&m->cell, &apart_ms);
	const struct metric rows[] = {
	    {"leads", member_leads(m)},
	    {"ready", member_ready(m)},
	    {"fence", m->cell.fence},
	    {"config_version", m->config != NULL ? m->config->version : 0},
	    {"config_read_version", m->config_read_version},
	    {"config_parts_refused",
		m->config != NULL ? (uint64_t)m->config->nrefusals : 0},
	    {"configs_unreadable_total", m->configs_unreadable},
	    {"jobs", count_jobs(&m->cell)},
	    {"relays", (uint64_t)relay_port_relays(m->relays)},
	    {"relay_batches_total", relay_port_counters(m->relays)->batches},
	    {"relay_orders_total", relay_port_counters(m->relays)->orders},
	    {"relay_unanswered_total",
		relay_port_counters(m->relays)->unanswered},
	    {"relays_suspected_total",
		relay_port_counters(m->relays)->suspected},
	    {"orders_direct_total", relay_port_counters(m->relays)->direct},
	    {"orders_for_leader_total", relay_serve_orders(m->served)},
	    {"runners", HASH_COUNT(m->cell.runners)},
	    {"runners_apart", (uint64_t)apart},
	    {"runners_apart_longest_ms", (uint64_t)apart_ms},
	    {"accepted_total", k->accepted},
	    {"refused_total", k->refused},
	    {"completed_total", k->completed},
	    {"failed_total", k->failed},
	    {"canceled_total", k->canceled},
	    {"starts_total", k->starts},
	    {"starts_after_lapse_total", k->starts_after_lapse},
	    {"starts_inherited_unheard_total", k->starts_unheard},
	    {"fences_raised_total", k->fences_raised},
	    {"copies_total", k->copies},
	    {"ends_done_total", k->ends[END_DONE]},
	    {"ends_failed_total", k->ends[END_FAILED]},
	    {"ends_stopped_total", k->ends[END_STOPPED]},
	    {"ends_lapsed_total", k->ends[END_LAPSED]},
	    {"ends_lost_total", k->ends[END_LOST]},
	    {"runner_crashes_total", k->runner_crashes},
	    {"tasks_given_up_total", k->given_up},
	    {"commits_total", k->commits},
	    {"commit_errors_total", k->commit_errors},
	    {"holds_total", k->holds},
	    {"advice_calls_total", k->advice_calls},
	    {"calls_forwarded_total", m->forwarded},
	    {"calls_unanswered_total", m->unanswered},
	    {"cpu_us_total", (uint64_t)clock_cpu_us()},
	    {"rss_kb", (uint64_t)clock_rss_kb()},
	};
	char *buf = xmalloc(TEXT_MAX);
	size_t at = 0, i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		at = put(buf, at, rows[i].name, rows[i].value);
	at = put_causes(buf, at, k);
	at = put_hist(buf, at, "submit_ms", &m->submit_ms);
	put_hist(buf, at, "get_ms", &m->get_ms);
	return buf;
}
