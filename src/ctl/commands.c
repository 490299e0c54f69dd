#include "commands.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/json_get.h"
#include "../base/xalloc.h"
#include "print.h"

void
command_print_json(json_t *j)
{
	json_dumpf(j, stdout, JSON_INDENT(1) | JSON_SORT_KEYS);
	putchar('\n');
}

int
command_result(int status, json_t *answer)
{
	if (status == CC_EINVAL)
		return CTL_USAGE;
	if (status < 0)
		return CTL_UNREACHABLE;
	if (status / 100 == 2)
		return CTL_OK;
	if (*json_get_text(answer, "error") != '\0')
		fprintf(stderr, "celerycartctl: %s%s%s%s%s\n",
		    json_get_text(answer, "field"),
		    *json_get_text(answer, "field") != '\0' ? ": " : "",
		    json_get_text(answer, "error"),
		    *json_get_text(answer, "advice") != '\0' ? "; " : "",
		    json_get_text(answer, "advice"));
	if (strcmp(json_get_text(answer, "outcome"), "unknown") == 0)
		return CTL_UNKNOWN;
	if (status == 503 &&
	    strcmp(json_get_text(answer, "outcome"), "not-run") == 0)
		return CTL_NOT_RUN;
	return status == 409 ? CTL_CONFLICT : CTL_REFUSED;
}

int
command_get(struct client *c, const char *path, json_t **out)
{
	int status = client_request(c, EVHTTP_REQ_GET, path, NULL, out);
	int rc = command_result(status, *out);

	if (rc != CTL_OK) {
		json_decref(*out);
		*out = NULL;
	}
	return rc;
}

json_t *
command_gather(struct client *c, const char *path, const char *name)
{
	json_t *hosts, *part, *rows, *h, *row;
	struct client_host target;
	size_t i, k;

	if (client_request(c, EVHTTP_REQ_GET, "/v1/hosts", NULL, &hosts) !=
	    200) {
		json_decref(hosts);
		return NULL;
	}
	rows = json_array();
	json_array_foreach(json_object_get(hosts, "hosts"), i, h)
	{
		if (strcmp(json_get_text(h, "state"), "gone") == 0)
			continue;
		str_copy(
		    target.addr, json_get_text(h, "addr"), sizeof(target.addr));
		target.port = (uint16_t)json_integer_value(
		    json_object_get(h, "operator_port"));
		if (client_request_host(
			c, &target, EVHTTP_REQ_GET, path, NULL, &part) != 200) {
			fprintf(stderr,
			    "celerycartctl: %s does not answer; its rows are "
			    "missing\n",
			    json_get_text(h, "host"));
			json_decref(part);
			continue;
		}
		json_array_foreach(json_object_get(part, name), k, row)
		{
			json_object_set(
			    row, "host", json_object_get(h, "host"));
			json_array_append(rows, row);
		}
		json_decref(part);
	}
	json_decref(hosts);
	return rows;
}

/* ---- commands that print one table ---- */

static const struct column host_columns[] = {
    {"host", "HOST", COL_TEXT},
    {"zone", "ZONE", COL_TEXT},
    {"addr", "ADDR", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"reachable", "REACHABLE", COL_BOOL},
    {"shards", "SHARDS", COL_INT},
    {"config_version", "CONFIG", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column worker_columns[] = {
    {"worker", "WORKER", COL_TEXT},
    {"rack", "RACK", COL_TEXT},
    {"zone", "ZONE", COL_TEXT},
    {"host", "OWNER", COL_TEXT},
    {"shard", "SHARD", COL_INT},
    {"health", "HEALTH", COL_TEXT},
    {"listed", "LISTED", COL_BOOL},
    {"leaving", "LEAVING", COL_BOOL},
    {"tasks", "TASKS", COL_INT},
    {"cpus_used", "USED", COL_INT},
    {"cpus", "CPUS", COL_INT},
    {"memory_mb_used", "USED", COL_INT},
    {"memory_mb", "MB", COL_INT},
    {"accelerators_used", "USED", COL_INT},
    {"accelerators", "ACC", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column runner_columns[] = {
    {"runner", "RUNNER", COL_TEXT},
    {"service", "SERVICE", COL_TEXT},
    {"host", "OWNER", COL_TEXT},
    {"busy", "BUSY", COL_INT},
    {"slots", "SLOTS", COL_INT},
    {"leaving", "LEAVING", COL_BOOL},
    {"mean_us", "MEAN_US", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column class_columns[] = {
    {"class", "CLASS", COL_TEXT},
    {"host", "HOST", COL_TEXT},
    {"kind", "KIND", COL_TEXT},
    {"accepted", "ACCEPTED", COL_INT},
    {"done", "DONE", COL_INT},
    {"not_run", "NOT_RUN", COL_INT},
    {"unknown", "UNKNOWN", COL_INT},
    {"late", "LATE", COL_INT},
    {"wait_p50", "WAIT_P50", COL_INT},
    {"wait_p99", "WAIT_P99", COL_INT},
    {"start_within_ms", "TARGET", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static const struct column task_columns[] = {
    {"id", "ID", COL_TEXT},
    {"class", "CLASS", COL_TEXT},
    {"team", "TEAM", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"outcome", "OUTCOME", COL_TEXT},
    {"reason", "REASON", COL_TEXT},
    {"cpus", "CPUS", COL_INT},
    {"memory_mb", "MB", COL_INT},
    {"count", "COUNT", COL_INT},
    {"accepted_ms", "ACCEPTED", COL_TIME},
    {NULL, NULL, COL_TEXT},
};

/* Copies p50 and p99 of the start wait to the row itself, for the columns. */
static void
flatten_waits(json_t *rows)
{
	json_t *row, *h;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		h = json_object_get(row, "start_wait_ms");
		json_object_set(row, "wait_p50", json_object_get(h, "p50"));
		json_object_set(row, "wait_p99", json_object_get(h, "p99"));
	}
}

static int
show_gathered(struct client *c, const char *path, const char *name,
    const struct column *cols)
{
	json_t *rows = command_gather(c, path, name);

	if (rows == NULL)
		return CTL_UNREACHABLE;
	flatten_waits(rows);
	if (c->json)
		command_print_json(rows);
	else
		print_table(stdout, rows, cols);
	json_decref(rows);
	return CTL_OK;
}

static int
cmd_workers(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show_gathered(c, "/v1/workers", "workers", worker_columns);
}

static int
cmd_runners(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show_gathered(c, "/v1/runners", "runners", runner_columns);
}

static int
cmd_classes(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show_gathered(c, "/v1/classes", "classes", class_columns);
}

int
command_show(struct client *c, const char *path, const char *name,
    const struct column *cols)
{
	json_t *j, *missing;
	int rc = command_get(c, path, &j);

	if (rc != CTL_OK)
		return rc;
	if (c->json)
		command_print_json(j);
	else
		print_table(stdout, json_object_get(j, name), cols);
	missing = json_object_get(j, "missing");
	if (json_array_size(missing) > 0)
		fprintf(stderr,
		    "celerycartctl: %zu host(s) did not answer; "
		    "their rows are missing\n",
		    json_array_size(missing));
	json_decref(j);
	return CTL_OK;
}

static int
cmd_hosts(struct client *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return command_show(c, "/v1/hosts", "hosts", host_columns);
}

static int
cmd_tasks(struct client *c, int argc, char **argv)
{
	struct arg_str *cls =
	    arg_str0(NULL, "class", "NAME", "tasks of this class only");
	struct arg_str *state = arg_str0(NULL, "state", "STATE",
	    "tasks in this state only: waiting, running or ended");
	struct arg_end *end = arg_end(4);
	void *table[] = {cls, state, end};
	char *path;
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl tasks");
	} else {
		path = xasprintf("/v1/tasks?class=%s&state=%s",
		    cls->count ? cls->sval[0] : "",
		    state->count ? state->sval[0] : "");
		rc = command_show(c, path, "tasks", task_columns);
		free(path);
	}
	arg_freetable(table, 3);
	return rc;
}

/* ---- status, histogram, metrics, drain ---- */

static int
cmd_status(struct client *c, int argc, char **argv)
{
	json_t *j;
	int rc;

	(void)argc;
	(void)argv;
	rc = command_get(c, "/v1/status", &j);
	if (rc != CTL_OK || c->json) {
		if (rc == CTL_OK)
			command_print_json(j);
		json_decref(j);
		return rc;
	}
	printf("host %s in %s: lease %s, table %s%s\n",
	    json_get_text(j, "host"), json_get_text(j, "zone"),
	    json_is_true(json_object_get(j, "lease")) ? "held" : "not held",
	    json_is_true(json_object_get(j, "table_up")) ? "up" : "down",
	    json_is_true(json_object_get(j, "leaving")) ? ", leaving" : "");
	printf("configuration %lld, %zu shards, %lld workers, "
	       "%lld unsettled, %lld waiting requests\n",
	    (long long)json_integer_value(json_object_get(j, "config_version")),
	    json_array_size(json_object_get(j, "shards")),
	    (long long)json_integer_value(json_object_get(j, "workers")),
	    (long long)json_integer_value(json_object_get(j, "unsettled")),
	    (long long)json_integer_value(
		json_object_get(j, "waiting_requests")));
	json_decref(j);
	return CTL_OK;
}

/* Adds the counts of a host's histogram to those of the sum. */
static void
add_buckets(json_t *sum, const json_t *part)
{
	json_t *b, *all = json_object_get(sum, "buckets"), *same = NULL;
	size_t i, k;

	json_array_foreach(json_object_get(part, "buckets"), i, b)
	{
		for (k = 0; k < json_array_size(all); k++) {
			same = json_array_get(all, k);
			if (json_integer_value(json_array_get(same, 0)) ==
			    json_integer_value(json_array_get(b, 0)))
				break;
		}
		if (k == json_array_size(all)) {
			json_array_append_new(all, json_deep_copy(b));
			continue;
		}
		json_array_set_new(same, 1,
		    json_integer(json_integer_value(json_array_get(same, 1)) +
			json_integer_value(json_array_get(b, 1))));
	}
}

static int
by_low(const void *a, const void *b)
{
	json_int_t x =
	    json_integer_value(json_array_get(*(json_t *const *)a, 0));
	json_int_t y =
	    json_integer_value(json_array_get(*(json_t *const *)b, 0));

	return x < y ? -1 : x > y;
}

/* Lowest value of the bucket that holds the quantile q (0 to 1). */
static json_int_t
quantile_of(json_t **b, size_t n, json_int_t total, double q)
{
	json_int_t seen = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		seen += json_integer_value(json_array_get(b[i], 1));
		if ((double)seen >= q * (double)total)
			return json_integer_value(json_array_get(b[i], 0));
	}
	return 0;
}

/* Sorts the added buckets; sets count, quantiles and maximum from them. */
static void
finish_histogram(json_t *sum)
{
	json_t *all = json_object_get(sum, "buckets"), *sorted = json_array();
	size_t i, n = json_array_size(all);
	json_t **b = xcalloc(n, sizeof(json_t *));
	json_int_t total = 0;

	for (i = 0; i < n; i++) {
		b[i] = json_array_get(all, i);
		total += json_integer_value(json_array_get(b[i], 1));
	}
	if (n > 0)
		qsort(b, n, sizeof(json_t *), by_low);
	for (i = 0; i < n; i++)
		json_array_append(sorted, b[i]);
	json_object_set_new(sum, "count", json_integer(total));
	json_object_set_new(
	    sum, "p50", json_integer(quantile_of(b, n, total, 0.5)));
	json_object_set_new(
	    sum, "p99", json_integer(quantile_of(b, n, total, 0.99)));
	json_object_set_new(
	    sum, "max", json_integer(quantile_of(b, n, total, 1.0)));
	free(b);
	json_object_set_new(sum, "buckets", sorted);
}

static const char *const hist_fields[] = {
    "start_wait_ms", "run_ms", "total_ms"};

static int
show_histograms(struct client *c, const char *name)
{
	json_t *rows = command_gather(c, "/v1/classes", "classes"), *row, *sum;
	size_t i, k;
	bool found = false;

	if (rows == NULL)
		return CTL_UNREACHABLE;
	for (k = 0; k < sizeof(hist_fields) / sizeof(hist_fields[0]); k++) {
		sum = json_pack("{s:[]}", "buckets");
		json_array_foreach(rows, i, row)
		{
			if (strcmp(json_get_text(row, "class"), name) != 0)
				continue;
			found = true;
			add_buckets(sum, json_object_get(row, hist_fields[k]));
		}
		finish_histogram(sum);
		if (c->json)
			command_print_json(sum);
		else if (found)
			print_histogram(stdout, hist_fields[k], sum);
		json_decref(sum);
	}
	json_decref(rows);
	if (!found)
		fprintf(stderr,
		    "celerycartctl: there is no class '%s'; "
		    "'classes' lists them\n",
		    name);
	return found ? CTL_OK : CTL_REFUSED;
}

static int
cmd_histogram(struct client *c, int argc, char **argv)
{
	struct arg_str *cls = arg_str1(NULL, NULL, "CLASS", "the class");
	struct arg_end *end = arg_end(4);
	void *table[] = {cls, end};
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0)
		arg_print_errors(stderr, end, "celerycartctl histogram");
	else
		rc = show_histograms(c, cls->sval[0]);
	arg_freetable(table, 2);
	return rc;
}

static int
cmd_metrics(struct client *c, int argc, char **argv)
{
	char *text = client_get_text(c, "/metrics");

	(void)argc;
	(void)argv;
	if (text == NULL)
		return CTL_UNREACHABLE;
	fputs(text, stdout);
	free(text);
	return CTL_OK;
}

static int
cmd_drain(struct client *c, int argc, char **argv)
{
	json_t *j;
	int status, rc;

	(void)argc;
	(void)argv;
	if (c->nhosts != 1) {
		fprintf(stderr,
		    "celerycartctl: drain needs exactly one "
		    "--host, the one to drain\n");
		return CTL_USAGE;
	}
	status = client_request(c, EVHTTP_REQ_POST, "/v1/drain", NULL, &j);
	rc = command_result(status, j);
	if (rc == CTL_OK)
		printf("draining %s\n", json_get_text(j, "draining"));
	json_decref(j);
	return rc;
}

const struct command commands[] = {
    {"status", "one host: lease, table, shards",
	"celerycartctl --host 127.0.0.11:7011 status", cmd_status},
    {"cell",
	"a cell on the platform: members, runners, jobs, failed, runs, "
	"accounts",
	"celerycartctl --host 127.0.0.11:9464 cell runners", cmd_cell},
    {"hosts", "the entry hosts and their state", "celerycartctl hosts --json",
	cmd_hosts},
    {"classes", "outcomes and waits of each class, by host",
	"celerycartctl classes", cmd_classes},
    {"workers", "workers, their owners and what is reserved",
	"celerycartctl workers", cmd_workers},
    {"runners", "runners, their owners and busy slots", "celerycartctl runners",
	cmd_runners},
    {"tasks", "tasks and claimed requests",
	"celerycartctl tasks --class cure --state running", cmd_tasks},
    {"submit", "submit a task",
	"celerycartctl --caller 127.0.0.11:7010 submit cure --cpus 2 "
	"--memory-mb 512 --run 30m",
	cmd_submit},
    {"get", "one task, waiting until it is settled",
	"celerycartctl get cure-17 --wait 30s", cmd_get},
    {"cancel", "cancel a task", "celerycartctl cancel cure-17", cmd_cancel},
    {"config", "get, check, diff, apply, status, history",
	"celerycartctl config apply classes.yaml", cmd_config},
    {"drain", "let one host leave without cutting off a request",
	"celerycartctl --host 127.0.0.11:7011 drain", cmd_drain},
    {"cost", "cost of each class and team",
	"celerycartctl cost --from 2026-11-01 --to 2026-11-30 "
	"--format csv",
	cmd_cost},
    {"histogram", "waits and run times of a class",
	"celerycartctl histogram booking", cmd_histogram},
    {"metrics", "counters and histograms in exposition format",
	"celerycartctl metrics", cmd_metrics},
    {"top", "live view; q ends it", "celerycartctl top", cmd_top},
    {NULL, NULL, NULL, NULL},
};
