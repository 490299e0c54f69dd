/* The state of a member, as JSON for operators. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "../cell/account_stats.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define ROWS_MAX 2000

static const char *const phases[] = {"following", "loading", "leading"};
static const char *const run_states[] = {
    "starting", "running", "stopping", "unsure"};

static json_t *
view_cell(const struct member *m)
{
	const struct cell *c = &m->cell;
	int64_t now = clock_boot_ms();

	return json_pack(
	    "{s:s,s:s,s:s,s:b,s:s,s:I,s:i,s:I,s:i,s:i,s:i,s:i,s:I,s:b}", "host",
	    m->settings->host, "zone", m->settings->zone, "phase",
	    phases[c->phase], "ready", member_ready(m), "leader",
	    m->leader.host, "fence", (json_int_t)m->leader.version,
	    "generation", (int)m->leader.generation, "config_version",
	    (json_int_t)(m->config != NULL ? m->config->version : 0), "members",
	    m->nhosts + 1, "runners", (int)HASH_COUNT(c->runners), "jobs",
	    (int)HASH_COUNT(c->jobs), "relays", relay_port_relays(m->relays),
	    "committed_ms_ago",
	    (json_int_t)(member_leads(m) ? now - c->committed_ms : -1),
	    "store_down", cell_store_fails(c));
}

static json_t *
view_members(const struct member *m)
{
	int64_t now = clock_boot_ms();
	json_t *list = json_array();
	int i;

	for (i = 0; i < m->nhosts; i++) {
		const struct cell_host *h = &m->hosts[i];

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:i,s:b,s:b,s:b,s:I,s:I}", "host",
			h->host, "addr", h->addr, "power", (int)h->power,
			"linked", member_linked(m, h->host), "leads", h->leads,
			"leaving", h->leaving, "beat_ms_ago",
			(json_int_t)(h->beat_ms != 0 ? now - h->beat_ms : -1),
			"config", (json_int_t)h->config_version));
	}
	return list;
}

static json_t *
view_runners(const struct member *m)
{
	const struct runner *r;
	json_t *list = json_array();
	int64_t now = clock_boot_ms();

	for (r = m->cell.runners; r != NULL; r = r->hh.next)
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:i,s:I,s:I,s:I,s:I,s:b,s:b,s:b,"
			      "s:f,s:I}",
			"runner", r->info.id, "service", r->info.service,
			"rack", r->info.rack, "runs", r->nruns, "cpu",
			(json_int_t)r->info.cpu, "used_cpu",
			(json_int_t)r->used_cpu, "mem_mb",
			(json_int_t)r->info.mem_mb, "used_mem_mb",
			(json_int_t)r->used_mem_mb, "open", r->stored_open,
			"draining", r->info.draining, "silent",
			r->silent_since_ms != 0, "speed", r->speed, "avoid_ms",
			(json_int_t)(r->avoid_until_ms > now
				? r->avoid_until_ms - now
				: 0)));
	return list;
}

static json_t *
view_jobs(const struct member *m)
{
	const struct job *j;
	json_t *list = json_array();
	int64_t now = clock_boot_ms();

	TAILQ_FOREACH (j, &m->cell.live, live_link) {
		if (json_array_size(list) >= ROWS_MAX)
			break;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:i,s:b,s:I,s:I}", "id", j->id,
			"queue", j->row->queue, "state",
			j->started ? "running" : "queued", "steps",
			(int)j->row->n_steps, "stored", j->stored, "age_ms",
			(json_int_t)(now - j->accepted_ms), "due_in_ms",
			(json_int_t)(j->due_ms - now)));
	}
	return list;
}

/* Failed jobs whose outcome is stored, the newest first. */
static json_t *
view_failed(const struct member *m)
{
	const struct job *j;
	json_t *list = json_array();

	TAILQ_FOREACH_REVERSE(j, &m->cell.ended, job_list, ended_link)
	{
		if (json_array_size(list) >= ROWS_MAX)
			break;
		if (j->stored_state != JOB_FAILED)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s}", "id", j->id, "queue",
			j->row->queue, "reason", job_failure_name(j->failure),
			"task", j->failed_task));
	}
	return list;
}

static json_t *
view_runs(const struct member *m)
{
	const struct runner *r;
	const struct run *run;
	json_t *list = json_array();
	int64_t now = clock_boot_ms();

	for (r = m->cell.runners; r != NULL; r = r->hh.next)
		TAILQ_FOREACH (run, &r->runs, link) {
			if (json_array_size(list) >= ROWS_MAX)
				return list;
			json_array_append_new(list,
			    json_pack("{s:s,s:i,s:s,s:s,s:b,s:I}", "task",
				run->name, "run", (int)run->number, "runner",
				r->info.id, "state", run_states[run->state],
				"copy", run->is_copy, "age_ms",
				(json_int_t)(now - run->ordered_ms)));
		}
	return list;
}

static void
set_resources(json_t *j, const char *kind, const struct resources *r)
{
	char name[32];

	snprintf(name, sizeof(name), "%s_cpu", kind);
	json_object_set_new(j, name, json_integer(r->cpu));
	snprintf(name, sizeof(name), "%s_mem_mb", kind);
	json_object_set_new(j, name, json_integer(r->mem_mb));
	snprintf(name, sizeof(name), "%s_gpu", kind);
	json_object_set_new(j, name, json_integer(r->gpu));
}

/* @param n number of accounts that @p a sums up */
static json_t *
account_json(const char *name, int n, const struct account *a)
{
	const uint64_t *refused = a->refused_total;
	json_t *j = json_pack(
	    "{s:s,s:i,s:f,s:b,s:b,s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "account",
	    name, "accounts", n, "weight", a->weight, "above_share",
	    a->above_share, "terms_unreadable", a->unreadable, "runs", a->nruns,
	    "steps_waiting", (int)a->nwaiting, "refused_rate",
	    (json_int_t)refused[ACCOUNT_REFUSED_RATE], "refused_gang",
	    (json_int_t)refused[ACCOUNT_REFUSED_GANG], "refused_unavailable",
	    (json_int_t)refused[ACCOUNT_REFUSED_UNAVAILABLE],
	    "first_start_p50_ms",
	    (json_int_t)log2_hist_quantile(&a->first_start_ms, 0.5),
	    "first_start_p99_ms",
	    (json_int_t)log2_hist_quantile(&a->first_start_ms, 0.99));

	set_resources(j, "cap", &a->cap);
	set_resources(j, "held", &a->held);
	set_resources(j, "unseen", &a->unseen);
	return j;
}

/* Client accounts that hold or wait most; the others are one row without a
 * name. */
static json_t *
view_accounts(const struct member *m)
{
	struct account_stats s;
	json_t *list = json_array();
	int i;

	account_stats_get(&m->cell, &s);
	for (i = 0; i < s.nshown; i++)
		json_array_append_new(
		    list, account_json(s.shown[i]->name, 1, s.shown[i]));
	if (s.nothers > 0)
		json_array_append_new(
		    list, account_json("", s.nothers, &s.others));
	return list;
}

static const struct {
	const char *name;
	json_t *(*view)(const struct member *m);
} views[] = {
    {"cell", view_cell},
    {"members", view_members},
    {"runners", view_runners},
    {"jobs", view_jobs},
    {"failed", view_failed},
    {"runs", view_runs},
    {"accounts", view_accounts},
};

char *
member_view(const struct member *m, const char *name)
{
	json_t *j, *out;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(views) / sizeof(views[0]); i++)
		if (strcmp(views[i].name, name) == 0)
			break;
	if (i == sizeof(views) / sizeof(views[0]))
		return NULL;
	j = views[i].view(m);
	out = json_is_array(j)
	    ? json_pack("{s:s,s:b,s:o}", "leader", m->leader.host, "leads",
		  member_leads(m), name, j)
	    : j;
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	return text;
}
