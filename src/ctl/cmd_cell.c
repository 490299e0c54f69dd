/*
 * celerycartctl cell: prints one member's view of its cell on the platform,
 * from the member's metrics port.
 */
#include <stdio.h>
#include <string.h>

#include "../base/err.h"
#include "../base/json_get.h"
#include "commands.h"

static const struct column member_cols[] = {
    {"host", "HOST", COL_TEXT},
    {"addr", "ADDRESS", COL_TEXT},
    {"power", "POWER", COL_INT},
    {"linked", "LINKED", COL_BOOL},
    {"leads", "LEADS", COL_BOOL},
    {"leaving", "LEAVING", COL_BOOL},
    {"beat_ms_ago", "BEAT MS AGO", COL_INT},
    {"config", "CONFIG", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column runner_cols[] = {
    {"runner", "RUNNER", COL_TEXT},
    {"rack", "RACK", COL_TEXT},
    {"runs", "RUNS", COL_INT},
    {"used_cpu", "CPU USED", COL_INT},
    {"cpu", "CPU", COL_INT},
    {"used_mem_mb", "MB USED", COL_INT},
    {"mem_mb", "MB", COL_INT},
    {"open", "OPEN", COL_BOOL},
    {"draining", "DRAINING", COL_BOOL},
    {"silent", "SILENT", COL_BOOL},
    {"speed", "SPEED", COL_REAL},
    {"avoid_ms", "AVOIDED MS", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column job_cols[] = {
    {"id", "ID", COL_TEXT},
    {"queue", "QUEUE", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"steps", "STEPS", COL_INT},
    {"stored", "STORED", COL_BOOL},
    {"age_ms", "AGE MS", COL_INT},
    {"due_in_ms", "DUE IN MS", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column failed_cols[] = {
    {"id", "ID", COL_TEXT},
    {"queue", "QUEUE", COL_TEXT},
    {"reason", "REASON", COL_TEXT},
    {"task", "TASK", COL_TEXT},
    {NULL, NULL, COL_TEXT},
};

static const struct column run_cols[] = {
    {"task", "TASK", COL_TEXT},
    {"run", "RUN", COL_INT},
    {"runner", "RUNNER", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"copy", "COPY", COL_BOOL},
    {"age_ms", "AGE MS", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column account_cols[] = {
    {"account", "ACCOUNT", COL_TEXT},
    {"accounts", "ACCOUNTS", COL_INT},
    {"weight", "WEIGHT", COL_REAL},
    {"held_cpu", "CPU HELD", COL_INT},
    {"unseen_cpu", "CPU UNSEEN", COL_INT},
    {"cap_cpu", "CPU CAP", COL_INT},
    {"held_mem_mb", "MB HELD", COL_INT},
    {"cap_mem_mb", "MB CAP", COL_INT},
    {"held_gpu", "GPU HELD", COL_INT},
    {"cap_gpu", "GPU CAP", COL_INT},
    {"above_share", "ABOVE SHARE", COL_BOOL},
    {"steps_waiting", "STEPS WAITING", COL_INT},
    {"first_start_p50_ms", "START MS P50", COL_INT},
    {"first_start_p99_ms", "START MS P99", COL_INT},
    {"refused_rate", "REFUSED RATE", COL_INT},
    {"refused_gang", "REFUSED GANG", COL_INT},
    {"refused_unavailable", "REFUSED OTHER", COL_INT},
    {"terms_unreadable", "UNREADABLE", COL_BOOL},
    {NULL, NULL, COL_TEXT},
};

static const struct {
	const char *name;
	const struct column *cols;
	bool leader_only; /**< other members have no such rows */
} views[] = {
    {"members", member_cols, false},
    {"runners", runner_cols, true},
    {"jobs", job_cols, true},
    {"failed", failed_cols, true},
    {"runs", run_cols, true},
    {"accounts", account_cols, true},
};

static void
show_cell(const json_t *j)
{
	printf("host %s in %s: %s, %s; leader %s with fence %lld, "
	       "generation %lld\n",
	    json_get_text(j, "host"), json_get_text(j, "zone"),
	    json_get_text(j, "phase"),
	    json_is_true(json_object_get(j, "ready")) ? "ready" : "not ready",
	    json_get_text(j, "leader"), (long long)json_get_int(j, "fence"),
	    (long long)json_get_int(j, "generation"));
	printf("config %lld, %lld members, %lld runners, %lld jobs, store %s",
	    (long long)json_get_int(j, "config_version"),
	    (long long)json_get_int(j, "members"),
	    (long long)json_get_int(j, "runners"),
	    (long long)json_get_int(j, "jobs"),
	    json_is_true(json_object_get(j, "store_down")) ? "down" : "up");
	if (json_get_int(j, "committed_ms_ago") >= 0)
		printf(", last commit %lld ms ago",
		    (long long)json_get_int(j, "committed_ms_ago"));
	printf("\n");
}

/*
 * Reads a view from the first host that answers. Views need no key, so the
 * request is sent without one, as to a caller port.
 */
static int
get_view(struct client *c, const char *path, json_t **out)
{
	int i, status = CC_ECONN;

	*out = NULL;
	for (i = 0; i < c->nhosts; i++) {
		c->caller = c->hosts[i];
		c->has_caller = true;
		status =
		    client_request_caller(c, EVHTTP_REQ_GET, path, NULL, out);
		if (status >= 0)
			break;
	}
	return command_result(status, *out);
}

int
cmd_cell(struct client *c, int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "cell";
	char path[64];
	size_t i, n = sizeof(views) / sizeof(views[0]);
	json_t *j;
	int rc;

	for (i = 0; i < n; i++)
		if (strcmp(views[i].name, what) == 0)
			break;
	if (i == n && strcmp(what, "cell") != 0) {
		fprintf(stderr,
		    "celerycartctl: cell takes one argument, members, "
		    "runners, jobs, failed, runs or accounts, or none for a "
		    "summary\n");
		return CTL_USAGE;
	}
	snprintf(path, sizeof(path), "/cell/%s", what);
	rc = get_view(c, path, &j);
	if (rc == CTL_OK && c->json)
		command_print_json(j);
	else if (rc == CTL_OK && i == n)
		show_cell(j);
	else if (rc == CTL_OK) {
		if (views[i].leader_only &&
		    !json_is_true(json_object_get(j, "leads")))
			fprintf(stderr,
			    "celerycartctl: this host is not the leader and "
			    "may list nothing; give --host of the leader, %s\n",
			    json_get_text(j, "leader"));
		print_table(stdout, json_object_get(j, what), views[i].cols);
	}
	json_decref(j);
	return rc;
}
