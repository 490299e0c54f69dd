/* The scenarios of the review's scripts. */
#include "sim.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FINISH_MS 14000 /* finish_s */

static int64_t phase_ms;
static int phase;

static void
next_phase(const char *name)
{
	phase++;
	phase_ms = now_ms();
	record("phase %d %s", phase, name);
}

static int64_t
in_phase(void)
{
	return now_ms() - phase_ms;
}

static json_t *
route(const char *name, const char *prefix, int priority, int attempts)
{
	return json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:f}", "name", name, "host",
	    "cell.example", "prefix", prefix, "service", "work", "timeout_ms",
	    3000, "target_latency_ms", 1200, "priority", priority,
	    "max_attempts", attempts, "stretch", 2.0);
}

static void
put_config(int version, json_t *routes)
{
	store_put("op", "", "config",
	    json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{s:i}}", "version", version,
		"routes", routes, "services", "name", "work", "admission_check",
		0, "limits", "max_body_bytes", 262144));
}

static int
count_state(const char *state)
{
	const struct sub *s;
	int n = 0;

	for (s = subs; s != NULL; s = s->hh.next)
		n += strcmp(s->shown, state) == 0;
	return n;
}

static int
count_accepted(void)
{
	const struct sub *s;
	int n = 0;

	for (s = subs; s != NULL; s = s->hh.next)
		n += s->state == CLIENT_ACCEPTED;
	return n;
}

static bool
all_over(void)
{
	return count_state("completed") + count_state("failed") ==
	    (int)HASH_COUNT(subs);
}

static void
verdict_twice(void)
{
	static char why[600];

	snprintf(why, sizeof(why),
	    "submissions=%u accepted=%d completed=%d failed=%d starts=%d "
	    "twice=%d again=%d unasked=%d %s",
	    HASH_COUNT(subs), count_accepted(), count_state("completed"),
	    count_state("failed"), runs_total(), breaks.twice, breaks.again,
	    breaks.unasked, breaks.first);
	finish(breaks.twice + breaks.again + breaks.unasked > 0, why);
}

/*
 * pages: many small tasks end while nobody leads, so that a runner has more
 * than 500 ends to list.
 */
static void
pages_submit(void)
{
	int i, n = arg_int("jobs", 20), count = arg_int("count", 100);
	char id[20], spec[60];

	snprintf(spec, sizeof(spec), "ms=%d..%d fail=0", arg_int("from", 3000),
	    arg_int("to", 4000));
	i = HASH_COUNT(subs);
	if (i < n && in_phase() > 1500 + i * arg_int("gap", 100)) {
		snprintf(id, sizeof(id), "%016x", 0xa0000 + i);
		sub_add(id, "/batch/",
		    json_pack("{s:s,s:[{s:i,s:i,s:i,s:i}]}", "spec", spec,
			"steps", "count", count, "cpu", 10, "mem_mb", 16,
			"estimate_ms", 3000));
	}
}

static void
pages_tick(void)
{
	int want = arg_int("jobs", 20) * arg_int("count", 100), i;

	switch (phase) {
	case 0:
		if (hosts_ready())
			next_phase("ready");
		break;
	case 1:
		pages_submit();
		if ((int)HASH_COUNT(subs) < arg_int("jobs", 20))
			break;
		next_phase("submitted");
		break;
	case 2:
		if (runs_total() < want * arg_int("start_pct", 95) / 100 &&
		    in_phase() < 15000)
			break;
		next_phase("all started");
		break;
	case 3:

		if (opt.trouble && strcmp(arg_text("how", "cut"), "cut") == 0)
			runner_cut(fullest_runner(), arg_int("cut_ms", 3000));
		else if (opt.trouble)
			for (i = 1; i <= opt.hosts; i++)
				host_signal(i, SIGKILL);
		next_phase("first ends");
		break;
	case 4:
		if ((all_over() && in_phase() > 4000) || in_phase() > 40000)
			verdict_twice();
		break;
	}
}

/* timed: a submission with occurrences; the leader is killed just after one
 * has begun. */
static int64_t first_due_ms;

static void
timed_submit(void)
{
	int i, n = arg_int("jobs", 4);
	char id[20], spec[60];

	snprintf(spec, sizeof(spec), "ms=%d..%d fail=%d", arg_int("from", 800),
	    arg_int("to", 1500), arg_int("fail", 10));
	first_due_ms = wall_ms() + 1500;
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%016x", 0xb0000 + i);
		sub_add(id, "/batch/",
		    json_pack("{s:s,s:i,s:I,s:i,s:[{s:i,s:i,s:i,s:i}]}", "spec",
			spec, "repeat_count", arg_int("repeat", 4),
			"start_at_ms", (json_int_t)first_due_ms, "interval_ms",
			arg_int("interval", 2000), "steps", "count",
			arg_int("count", 8), "cpu", 500, "mem_mb", 64,
			"estimate_ms", 1000));
	}
}

/* Tasks of the submission that aren't done, of those that were due long ago.
 */
static int
timed_missing(const struct sub *s, char *first, size_t len)
{
	int k, i, n = 0;
	char name[80];
	struct task *t;

	for (k = 0; k < arg_int("repeat", 4); k++)
		for (i = 0; i < arg_int("count", 8); i++) {
			snprintf(name, sizeof(name), "%s.%d.0.%d", s->id, k, i);
			HASH_FIND_STR(tasks, name, t);
			if (t != NULL && (t->done || t->running > 0))
				continue;
			if (n++ == 0)
				snprintf(first, len, "%s (%s)", name,
				    t != NULL ? "has failed and runs no more"
					      : "was never started");
		}
	return n;
}

static void
verdict_timed(void)
{
	static char why[600];
	char first[120] = "";
	int lost = 0, missing = 0, n;
	const struct sub *s;

	for (s = subs; s != NULL; s = s->hh.next) {
		if (s->state != CLIENT_ACCEPTED || strcmp(s->shown, "failed") == 0)
			continue;
		n = timed_missing(s, first, sizeof(first));
		lost += n > 0;
		missing += n;
	}
	snprintf(why, sizeof(why),
	    "submissions=%u accepted=%d completed=%d failed=%d starts=%d "
	    "runs_now=%d unfinished_submissions=%d tasks_not_at_work=%d %s",
	    HASH_COUNT(subs), count_accepted(), count_state("completed"),
	    count_state("failed"), runs_total(), runs_now(), lost, missing,
	    first);
	finish(lost > 0 && runs_now() == 0, why);
}

static void
timed_tick(void)
{
	int64_t due = first_due_ms +
	    (int64_t)arg_int("interval", 2000) * arg_int("at", 2);
	int64_t last = first_due_ms +
	    (int64_t)arg_int("interval", 2000) * (arg_int("repeat", 4) - 1);

	switch (phase) {
	case 0:
		if (hosts_ready())
			next_phase("ready");
		break;
	case 1:
		if (in_phase() < 1500)
			break;
		timed_submit();
		next_phase("submitted");
		break;
	case 2:
		if (wall_ms() < due + arg_int("after", 200))
			break;
		if (opt.trouble && !host_signal(store_leader(), SIGKILL))
			finish(2, "no leader to kill");
		next_phase("an occurrence has begun");
		break;
	case 3:
		if (wall_ms() < last + FINISH_MS)
			break;
		next_phase("finish_s after the last occurrence was due");
		break;
	case 4:
		if (all_over() || in_phase() > 3000)
			verdict_timed();
		break;
	}
}

/* route: submissions of a route are under way when the manifest drops it; the
 * leader is killed later. */
#define ROUTE_STEPS 4

static void
route_submit(void)
{
	int i, k, n = arg_int("jobs", 6);
	char id[20], spec[60];
	json_t *steps, *step;

	snprintf(spec, sizeof(spec), "ms=%d..%d fail=0", arg_int("from", 1500),
	    arg_int("to", 2500));
	for (i = 0; i < n; i++) {
		steps = json_array();
		for (k = 0; k < ROUTE_STEPS; k++) {
			step = json_pack("{s:i,s:i,s:i,s:i}", "count",
			    arg_int("count", 6), "cpu", 500, "mem_mb", 64,
			    "estimate_ms", 2000);
			if (k > 0)
				json_object_set_new(
				    step, "after", json_pack("[i]", k - 1));
			json_array_append_new(steps, step);
		}
		snprintf(id, sizeof(id), "%016x", 0xc0000 + i);
		sub_add(id, "/extra/",
		    json_pack("{s:s,s:o}", "spec", spec, "steps", steps));
	}
}

static void
verdict_route(void)
{
	static char why[600];
	const struct sub *s;
	char name[80], first[100] = "";
	int k, i, missing = 0, started = 0;
	struct task *t;

	for (s = subs; s != NULL; s = s->hh.next) {
		if (s->state != CLIENT_ACCEPTED)
			continue;
		for (k = 0; k < ROUTE_STEPS; k++)
			for (i = 0; i < arg_int("count", 6); i++) {
				snprintf(name, sizeof(name), "%s.0.%d.%d",
				    s->id, k, i);
				HASH_FIND_STR(tasks, name, t);
				started += t != NULL;
				if (t != NULL && (t->done || t->running > 0))
					continue;
				if (missing++ == 0)
					snprintf(first, sizeof(first), "%s",
					    name);
			}
	}
	snprintf(why, sizeof(why),
	    "submissions=%u accepted=%d tasks_started=%d runs_now=%d "
	    "tasks_not_at_work=%d first=%s",
	    HASH_COUNT(subs), count_accepted(), started, runs_now(), missing,
	    first);
	finish(missing > 0 && runs_now() == 0, why);
}

static void
put_routes(int version, bool extra)
{
	json_t *routes = json_array();

	json_array_append_new(routes, route("batch", "/batch/", 2, 3));
	json_array_append_new(routes, route("urgent", "/urgent/", 0, 3));
	if (extra)
		json_array_append_new(routes, route("extra", "/extra/", 2, 3));
	put_config(version, routes);
}

static void
route_tick(void)
{
	switch (phase) {
	case 0:
		if (hosts_ready())
			next_phase("ready");
		break;
	case 1:
		if (in_phase() < 1500)
			break;
		route_submit();
		next_phase("submitted");
		break;
	case 2:
		if (count_accepted() < (int)HASH_COUNT(subs) ||
		    runs_total() < (int)HASH_COUNT(subs))
			break;
		put_routes(5, false);
		next_phase("the route is dropped");
		break;
	case 3:
		if (in_phase() < arg_int("after", 3500))
			break;
		if (opt.trouble && !host_signal(store_leader(), SIGKILL))
			finish(2, "no leader to kill");
		next_phase("later");
		break;
	case 4:
		if (in_phase() < FINISH_MS + 3000)
			break;
		verdict_route();
		break;
	}
}

bool
scenario_init(void)
{
	put_routes(3, true);
	return strcmp(opt.scenario, "pages") == 0 ||
	    strcmp(opt.scenario, "timed") == 0 ||
	    strcmp(opt.scenario, "route") == 0;
}

void
scenario_tick(void)
{
	if (strcmp(opt.scenario, "pages") == 0)
		pages_tick();
	else if (strcmp(opt.scenario, "timed") == 0)
		timed_tick();
	else
		route_tick();
}
