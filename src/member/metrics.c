/* Counters and latency quantiles of a member, as text. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "../base/xalloc.h"
#include "../cell/account_stats.h"
#include "../cell/deposed.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** First size of the text; it grows with the accounts that are shown. */
#define TEXT_SIZE 8192
/** Characters of an account's name that are shown, each of which may take two.
 */
#define NAME_MAX_CHARS 128

struct metric {
	const char *name;
	uint64_t value;
};

struct text {
	char *buf;
	size_t len;
	size_t size;
};

__attribute__((format(printf, 2, 3))) static void
put_text(struct text *t, const char *fmt, ...)
{
	va_list ap, again;
	int n;

	va_start(ap, fmt);
	va_copy(again, ap);
	n = vsnprintf(t->buf + t->len, t->size - t->len, fmt, ap);
	va_end(ap);
	if ((size_t)n >= t->size - t->len) {
		t->size = 2 * t->size + (size_t)n;
		t->buf = xrealloc(t->buf, t->size);
		vsnprintf(t->buf + t->len, t->size - t->len, fmt, again);
	}
	va_end(again);
	t->len += (size_t)n;
}

static void
put(struct text *t, const char *name, uint64_t value)
{
	put_text(t, "celerycart_%s %llu\n", name, (unsigned long long)value);
}

static const struct {
	const char *name;
	double q;
} quantiles[] = {{"0.5", 0.5}, {"0.9", 0.9}, {"0.99", 0.99}};

#define QUANTILES (sizeof(quantiles) / sizeof(quantiles[0]))

static void
put_hist(struct text *t, const char *name, const struct hist *h)
{
	size_t i;

	for (i = 0; i < QUANTILES; i++)
		put_text(t, "celerycart_%s{quantile=\"%s\"} %llu\n", name,
		    quantiles[i].name,
		    (unsigned long long)hist_quantile(h, quantiles[i].q));
	put_text(t, "celerycart_%s_count %llu\n", name,
	    (unsigned long long)h->total);
}

/* Puts a counter for each value of a label. */
static void
put_labelled(struct text *t, const char *name, const char *label,
    const char *text, uint64_t value)
{
	put_text(t, "celerycart_%s{%s=\"%s\"} %llu\n", name, label, text,
	    (unsigned long long)value);
}

/* Runs lost by cause, and ends of this host's leaderships by what showed the
 * newer leader. */
static void
put_causes(struct text *t, const struct cell_counters *k)
{
	int i;

	for (i = CAUSE_MISSED_LISTS; i <= CAUSE_SUPERSEDED; i++)
		put_labelled(t, "runs_lost_total", "by",
		    end_cause_name((enum end_cause)i), k->lost[i]);
	for (i = FAILURE_ATTEMPTS; i < FAILURES; i++)
		put_labelled(t, "jobs_failed_total", "by",
		    job_failure_name((enum job_failure)i), k->failures[i]);
	for (i = 0; i < CRASH_SIGNS; i++)
		put_labelled(t, "crashes_counted_total", "by",
		    crash_sign_name((enum crash_sign)i), k->crashes_counted[i]);
	for (i = 0; i < DEPOSED_BY_COUNT; i++)
		put_labelled(t, "deposed_total", "why",
		    deposed_by_name((enum deposed_by)i), k->deposed[i]);
}

/* The name as the value of a label. */
static void
format_name(char out[2 * NAME_MAX_CHARS + 1], const char *name)
{
	size_t i, n = 0;

	for (i = 0; i < NAME_MAX_CHARS && name[i] != '\0'; i++) {
		if (name[i] == '"' || name[i] == '\\')
			out[n++] = '\\';
		out[n++] = (unsigned char)name[i] < ' ' ? '?' : name[i];
	}
	out[n] = '\0';
}

static void
put_resources(struct text *t, const char *kind, const char *name,
    const struct resources *r)
{
	put_text(t,
	    "celerycart_account_%s_cpu{account=\"%s\"} %lld\n"
	    "celerycart_account_%s_mem_mb{account=\"%s\"} %lld\n"
	    "celerycart_account_%s_gpu{account=\"%s\"} %lld\n",
	    kind, name, (long long)r->cpu, kind, name, (long long)r->mem_mb,
	    kind, name, (long long)r->gpu);
}

static void
put_account(struct text *t, const char *name, const struct account *a)
{
	size_t i;

	put_text(t, "celerycart_account_weight{account=\"%s\"} %.3f\n", name,
	    a->weight);
	put_resources(t, "cap", name, &a->cap);
	put_resources(t, "held", name, &a->held);
	put_resources(t, "unseen", name, &a->unseen);
	put_labelled(t, "account_steps_waiting", "account", name, a->nwaiting);
	for (i = 0; i < ACCOUNT_REFUSALS; i++)
		put_text(t,
		    "celerycart_account_refused_total{account=\"%s\","
		    "why=\"%s\"} %llu\n",
		    name, account_refusal_name((enum account_refusal)i),
		    (unsigned long long)a->refused_total[i]);
	for (i = 0; i < QUANTILES; i++)
		put_text(t,
		    "celerycart_account_first_start_ms{account=\"%s\","
		    "quantile=\"%s\"} %llu\n",
		    name, quantiles[i].name,
		    (unsigned long long)log2_hist_quantile(
			&a->first_start_ms, quantiles[i].q));
	put_labelled(t, "account_first_start_ms_count", "account", name,
	    a->first_start_ms.total);
}

/* Client accounts at the leader; those that aren't shown are one sum without a
 * name. */
static void
put_accounts(struct text *t, const struct cell *c)
{
	char name[2 * NAME_MAX_CHARS + 1];
	struct account_stats s;
	int i;

	if (c->accounts == NULL)
		return;
	account_stats_get(c, &s);
	put(t, "accounts", HASH_COUNT(c->accounts));
	put(t, "accounts_summed", (uint64_t)s.nothers);
	for (i = 0; i < s.nshown; i++) {
		format_name(name, s.shown[i]->name);
		put_account(t, name, s.shown[i]);
	}
	if (s.nothers > 0)
		put_account(t, "", &s.others);
}

/* Calls whose keys this host has checked, and how old the proof is that its
 * configuration is the newest. */
static void
put_access(struct text *t, const struct member *m)
{
	int i;

	for (i = ACCESS_ALLOWED + 1; i < ACCESS_RESULTS; i++)
		put_labelled(t, "access_refused_total", "why",
		    access_result_name((enum access_result)i), m->access[i]);
	put(t, "access_allowed_total", m->access[ACCESS_ALLOWED]);
	put_text(t, "celerycart_config_confirmed_ms_ago %lld\n",
	    (long long)config_freshness_age_ms(&m->freshness, clock_boot_ms()));
	put(t, "config_confirmed_bound_ms", (uint64_t)m->freshness.bound_ms);
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
	    {"config_announced_version", m->config_fetch.announced},
	    {"config_watch_failures", follow_failures(m->configs)},
	    {"config_parts_received_total", m->config_fetch.received},
	    {"config_part_failures_total", m->config_fetch.failures},
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
	    {"refused_rate_total", k->refused_rate},
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
	struct text t = {.buf = xmalloc(TEXT_SIZE), .size = TEXT_SIZE};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		put(&t, rows[i].name, rows[i].value);
	put_causes(&t, k);
	put_access(&t, m);
	put_accounts(&t, &m->cell);
	put_hist(&t, "submit_ms", &m->submit_ms);
	put_hist(&t, "get_ms", &m->get_ms);
	return t.buf;
}
