/* celerycartctl submit, get and cancel: tasks through the caller port. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "../state/yaml_doc.h"
#include "commands.h"

/* Longest --wait; must be below REQUEST_TIMEOUT_MS of client.c. */
#define GET_WAIT_MAX_MS 8000

static void
print_task(const json_t *j)
{
	const json_t *m;
	size_t i;

	printf("%s: %s, outcome %s%s%s\n",
	    json_string_value(json_object_get(j, "id")),
	    json_string_value(json_object_get(j, "state")),
	    json_string_value(json_object_get(j, "outcome")),
	    *json_string_value(json_object_get(j, "reason")) ? ", " : "",
	    json_string_value(json_object_get(j, "reason")));
	json_array_foreach(json_object_get(j, "members"), i,
	    m) if (*json_string_value(json_object_get(m, "worker")))
	    printf("  member %zu: %s on %s\n", i,
		json_string_value(json_object_get(m, "state")),
		json_string_value(json_object_get(m, "worker")));
}

/*
 * Prints a task, or the daemon's error, and frees the answer.
 * @return the exit code for the status and the task's outcome.
 */
static int
show_task(struct client *c, int status, json_t *j)
{
	int rc = command_result(status, j);
	const char *outcome = json_string_value(json_object_get(j, "outcome"));

	if (rc == CTL_OK && c->json)
		command_print_json(j);
	else if (rc == CTL_OK)
		print_task(j);
	if (rc == CTL_OK && outcome != NULL) {
		if (strcmp(outcome, "not-run") == 0)
			rc = CTL_NOT_RUN;
		else if (strcmp(outcome, "unknown") == 0)
			rc = CTL_UNKNOWN;
	}
	json_decref(j);
	return rc;
}

int
cmd_submit(struct client *c, int argc, char **argv)
{
	struct arg_str *cls =
	    arg_str1(NULL, NULL, "CLASS", "class of the task");
	struct arg_str *id = arg_str0(
	    NULL, "id", "ID", "id to use; without it the host chooses one");
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "team");
	struct arg_int *cpus = arg_int1(NULL, "cpus", "N", "processors");
	struct arg_int *mem = arg_int1(NULL, "memory-mb", "N", "memory, MB");
	struct arg_int *acc =
	    arg_int0(NULL, "accelerators", "N", "accelerators");
	struct arg_int *count = arg_int0(NULL, "count", "N", "size of a gang");
	struct arg_str *run =
	    arg_str1(NULL, "run", "TIME", "expected run time, such as 30m");
	struct arg_end *end = arg_end(8);
	void *table[] = {cls, id, team, cpus, mem, acc, count, run, end};
	json_t *body, *j;
	int64_t ms;
	char *path;
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl submit");
	} else if ((ms = yaml_duration_ms(run->sval[0])) < 0) {
		fprintf(stderr,
		    "celerycartctl submit: --run: '%s' is not a "
		    "time such as 500ms, 5s, 2m\n",
		    run->sval[0]);
	} else {
		body = json_pack("{s:i,s:i,s:i,s:i,s:I}", "cpus", cpus->ival[0],
		    "memory_mb", mem->ival[0], "accelerators",
		    acc->count ? acc->ival[0] : 0, "count",
		    count->count ? count->ival[0] : 1, "run_ms",
		    (json_int_t)ms);
		if (id->count)
			json_object_set_new(
			    body, "id", json_string(id->sval[0]));
		if (team->count)
			json_object_set_new(
			    body, "team", json_string(team->sval[0]));
		path = xasprintf("/v1/classes/%s/tasks", cls->sval[0]);
		rc = client_request_caller(c, EVHTTP_REQ_POST, path, body, &j);
		rc = show_task(c, rc, j);
		json_decref(body);
		free(path);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

int
cmd_get(struct client *c, int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the task's id");
	struct arg_str *wait = arg_str0(
	    NULL, "wait", "TIME", "wait until the task is settled, up to 8s");
	struct arg_end *end = arg_end(4);
	void *table[] = {id, wait, end};
	int64_t ms = 0;
	json_t *j;
	char *path;
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl get");
	} else if (wait->count > 0 &&
	    ((ms = yaml_duration_ms(wait->sval[0])) < 0 ||
		ms > GET_WAIT_MAX_MS)) {
		fprintf(stderr,
		    "celerycartctl get: --wait must be a time of at "
		    "most 8s, such as 500ms or 5s\n");
	} else {
		path = xasprintf(
		    "/v1/tasks/%s?wait_ms=%lld", id->sval[0], (long long)ms);
		rc = client_request_caller(c, EVHTTP_REQ_GET, path, NULL, &j);
		rc = show_task(c, rc, j);
		free(path);
	}
	arg_freetable(table, 3);
	return rc;
}

int
cmd_cancel(struct client *c, int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the task's id");
	struct arg_end *end = arg_end(4);
	void *table[] = {id, end};
	json_t *j;
	char *path;
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl cancel");
	} else {
		path = xasprintf("/v1/tasks/%s", id->sval[0]);
		rc =
		    client_request_caller(c, EVHTTP_REQ_DELETE, path, NULL, &j);
		rc = show_task(c, rc, j);
		/* A cancelled task that did not run is a success. */
		rc = rc == CTL_NOT_RUN ? CTL_OK : rc;
		free(path);
	}
	arg_freetable(table, 2);
	return rc;
}
