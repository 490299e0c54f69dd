/* celerycartctl config: reads, checks and changes the classes in force. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/json_get.h"
#include "../base/xalloc.h"
#include "../state/classes.h"
#include "../state/yaml_doc.h"
#include "commands.h"
#include "print.h"

/*
 * Reads and checks a file of classes; prints what is wrong with it.
 * @param rc set to the exit code: CTL_FINDINGS for an invalid file
 * @return the text, or NULL unless the exit code is CTL_OK.
 */
static char *
read_checked(const char *file, int *rc)
{
	struct findings fs;
	struct classes classes;
	size_t len;
	char *text = yaml_read_file(file, &len), *report;

	*rc = CTL_OK;
	if (text == NULL) {
		fprintf(stderr, "celerycartctl: cannot read %s\n", file);
		*rc = CTL_USAGE;
		return NULL;
	}
	findings_init(&fs, file);
	classes_parse(&classes, text, len, &fs);
	classes_done(&classes);
	report = findings_text(&fs);
	fputs(report, stderr);
	free(report);
	if (fs.count > 0) {
		*rc = CTL_FINDINGS;
		free(text);
		text = NULL;
	}
	findings_done(&fs);
	return text;
}

static int
get_config(struct client *c, json_t **j)
{
	return command_get(c, "/v1/config", j);
}

static int
config_get(struct client *c, const char *file, long long seen)
{
	json_t *j;
	int rc = get_config(c, &j);

	(void)file;
	(void)seen;
	if (rc != CTL_OK)
		return rc;
	if (c->json)
		command_print_json(j);
	else
		printf("# version %lld, by %s\n%s",
		    (long long)json_get_int(j, "version"),
		    json_get_text(j, "who"), json_get_text(j, "text"));
	json_decref(j);
	return CTL_OK;
}

static int
config_check(struct client *c, const char *file, long long seen)
{
	int rc;
	char *text = read_checked(file, &rc);

	(void)c;
	(void)seen;
	if (text != NULL)
		printf("%s: no findings\n", file);
	free(text);
	return rc;
}

static int
config_diff(struct client *c, const char *file, long long seen)
{
	json_t *j;
	int rc;
	char *text = read_checked(file, &rc);

	(void)seen;
	if (text == NULL)
		return rc;
	rc = get_config(c, &j);
	if (rc == CTL_OK) {
		if (print_diff(stdout, json_get_text(j, "text"), text) == 0)
			printf("no difference from version %lld\n",
			    (long long)json_get_int(j, "version"));
		json_decref(j);
	}
	free(text);
	return rc;
}

/*
 * Applies the text if seen is still the version in force; otherwise prints how
 * the text differs from the version in force.
 */
static int
apply_text(struct client *c, char *text, long long seen)
{
	const char *user = getenv("USER");
	json_t *body, *j;
	int status, rc;

	body = json_pack("{s:s,s:I,s:s}", "text", text, "seen",
	    (json_int_t)seen, "who", user != NULL ? user : "operator");
	status = client_request(c, EVHTTP_REQ_POST, "/v1/config", body, &j);
	json_decref(body);
	rc = command_result(status, j);
	if (rc == CTL_OK) {
		printf("applied version %lld\n",
		    (long long)json_get_int(j, "version"));
	} else if (rc == CTL_CONFLICT) {
		fprintf(stderr,
		    "version %lld by %s is in force; your file "
		    "differs from it by:\n",
		    (long long)json_get_int(j, "version"),
		    json_get_text(j, "who"));
		print_diff(stderr, json_get_text(j, "text"), text);
	}
	json_decref(j);
	return rc;
}

/* Without --seen, the version in force now is the one to be replaced. */
static int
config_apply(struct client *c, const char *file, long long seen)
{
	json_t *j;
	int rc;
	char *text = read_checked(file, &rc);

	if (text == NULL)
		return rc;
	if (seen < 0) {
		rc = get_config(c, &j);
		if (rc != CTL_OK) {
			free(text);
			return rc;
		}
		seen = (long long)json_get_int(j, "version");
		json_decref(j);
	}
	rc = apply_text(c, text, seen);
	free(text);
	return rc;
}

static const struct column status_columns[] = {
    {"host", "HOST", COL_TEXT},
    {"state", "STATE", COL_TEXT},
    {"config_version", "VERSION", COL_INT},
    {"config_took_ms", "TOOK_MS", COL_INT},
    {NULL, NULL, COL_TEXT},
};

static int
config_status(struct client *c, const char *file, long long seen)
{
	(void)file;
	(void)seen;
	return command_show(c, "/v1/hosts", "hosts", status_columns);
}

static const struct column history_columns[] = {
    {"version", "VERSION", COL_INT},
    {"who", "WHO", COL_TEXT},
    {"bytes", "BYTES", COL_INT},
    {"applied_ms", "APPLIED", COL_TIME},
    {NULL, NULL, COL_TEXT},
};

static int
config_history(struct client *c, const char *file, long long seen)
{
	(void)file;
	(void)seen;
	return command_show(
	    c, "/v1/config/history", "history", history_columns);
}

static const struct {
	const char *name;
	bool needs_file;
	/* seen: version given with --seen, or -1 */
	int (*run)(struct client *c, const char *file, long long seen);
} verbs[] = {
    {"get", false, config_get},
    {"check", true, config_check},
    {"diff", true, config_diff},
    {"apply", true, config_apply},
    {"status", false, config_status},
    {"history", false, config_history},
};

int
cmd_config(struct client *c, int argc, char **argv)
{
	struct arg_str *verb = arg_str1(
	    NULL, NULL, "VERB", "get, check, diff, apply, status or history");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "FILE", "classes in YAML");
	struct arg_int *seen = arg_int0(NULL, "seen", "VERSION",
	    "apply: only while this version is in force");
	struct arg_end *end = arg_end(4);
	void *table[] = {verb, file, seen, end};
	int rc = CTL_USAGE;
	size_t i;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl config");
		arg_freetable(table, 4);
		return CTL_USAGE;
	}
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++)
		if (strcmp(verbs[i].name, verb->sval[0]) == 0)
			break;
	if (i == sizeof(verbs) / sizeof(verbs[0]))
		fprintf(stderr,
		    "celerycartctl config: '%s' is unknown, "
		    "allowed are get, check, diff, apply, status, "
		    "history\n",
		    verb->sval[0]);
	else if (verbs[i].needs_file && file->count == 0)
		fprintf(stderr, "celerycartctl config %s: needs a FILE\n",
		    verb->sval[0]);
	else
		rc = verbs[i].run(c, file->count ? file->filename[0] : "",
		    seen->count ? seen->ival[0] : -1);
	arg_freetable(table, 4);
	return rc;
}
