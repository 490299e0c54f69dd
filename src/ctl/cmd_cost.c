/* celerycartctl cost: cost of tasks by day, class and team. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../base/xalloc.h"
#include "commands.h"
#include "print.h"

#define DAY_S 86400

static const struct column columns[] = {
    {"day", "DAY", COL_DAY},
    {"class", "CLASS", COL_TEXT},
    {"team", "TEAM", COL_TEXT},
    {"tasks", "TASKS", COL_INT},
    {"cpu_hours", "CPU_HOURS", COL_REAL},
    {"gib_hours", "GIB_HOURS", COL_REAL},
    {"accelerator_hours", "ACC_HOURS", COL_REAL},
    {"money", "MONEY", COL_REAL},
    {"control_share", "CONTROL_SHARE", COL_REAL},
    {NULL, NULL, COL_TEXT},
};

/* Parses a date as days since 1970. */
static bool
parse_day(const char *text, long long *day)
{
	struct tm tm = {0};
	const char *end = strptime(text, "%Y-%m-%d", &tm);

	if (end == NULL || *end != '\0')
		return false;
	*day = (long long)timegm(&tm) / DAY_S;
	return true;
}

/* Sets each row's share of the scheduler's own cost: its share of all tasks. */
static void
add_control_share(json_t *rows)
{
	json_int_t total = 0;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) total +=
	    json_integer_value(json_object_get(row, "tasks"));
	json_array_foreach(rows, i, row)
	    json_object_set_new(row, "control_share",
		json_real(total == 0 ? 0.0
				     : (double)json_integer_value(
					   json_object_get(row, "tasks")) /
			    (double)total));
}

/*
 * Adds up the rows of each class or of each team, as named by the parameter by;
 * the other of the two columns becomes "*".
 */
static json_t *
group_rows(const json_t *rows, const char *by)
{
	json_t *out = json_array(), *row, *sum, *v;
	const char *key, *name;
	size_t i, k;

	json_array_foreach(rows, i, row)
	{
		name = json_string_value(json_object_get(row, by));
		for (k = 0; k < json_array_size(out); k++) {
			sum = json_array_get(out, k);
			if (strcmp(json_string_value(json_object_get(sum, by)),
				name) == 0)
				break;
		}
		if (k == json_array_size(out)) {
			sum = json_deep_copy(row);
			json_object_set_new(sum,
			    strcmp(by, "class") == 0 ? "team" : "class",
			    json_string("*"));
			json_array_append_new(out, sum);
			continue;
		}
		json_object_foreach(sum, key, v)
		{
			if (strcmp(key, "day") == 0)
				continue;
			if (json_is_real(v))
				json_real_set(v,
				    json_real_value(v) +
					json_real_value(
					    json_object_get(row, key)));
			else if (json_is_integer(v))
				json_integer_set(v,
				    json_integer_value(v) +
					json_integer_value(
					    json_object_get(row, key)));
		}
	}
	return out;
}

static int
show_cost(
    struct client *c, long long from, long long to, const char *by, bool csv)
{
	char *path = xasprintf("/v1/cost?from=%lld&to=%lld", from, to);
	json_t *j, *rows;
	int rc = command_get(c, path, &j);

	free(path);
	if (rc != CTL_OK)
		return rc;
	rows = strcmp(by, "day") == 0
	    ? json_incref(json_object_get(j, "costs"))
	    : group_rows(json_object_get(j, "costs"), by);
	add_control_share(rows);
	if (c->json)
		command_print_json(rows);
	else if (csv)
		print_csv(stdout, rows, columns);
	else
		print_table(stdout, rows, columns);
	if (json_array_size(json_object_get(j, "missing")) > 0) {
		fprintf(stderr,
		    "celerycartctl: some hosts did not answer; the report "
		    "is incomplete, so repeat it later\n");
		rc = CTL_UNREACHABLE;
	}
	json_decref(rows);
	json_decref(j);
	return rc;
}

int
cmd_cost(struct client *c, int argc, char **argv)
{
	struct arg_str *from =
	    arg_str0(NULL, "from", "DAY", "first day, such as 2026-11-01");
	struct arg_str *to =
	    arg_str0(NULL, "to", "DAY", "last day, such as 2026-11-30");
	struct arg_str *by =
	    arg_str0(NULL, "by", "WHAT", "class, team or day (all rows)");
	struct arg_str *format =
	    arg_str0(NULL, "format", "FORMAT", "table or csv");
	struct arg_end *end = arg_end(4);
	void *table[] = {from, to, by, format, end};
	const char *what;
	long long from_day = 0, to_day = (long long)time(NULL) / DAY_S;
	int rc = CTL_USAGE;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "celerycartctl cost");
		goto out;
	}
	what = by->count ? by->sval[0] : "day";
	if ((from->count && !parse_day(from->sval[0], &from_day)) ||
	    (to->count && !parse_day(to->sval[0], &to_day)))
		fprintf(stderr,
		    "celerycartctl cost: --from and --to must be days "
		    "such as 2026-11-01\n");
	else if (strcmp(what, "class") != 0 && strcmp(what, "team") != 0 &&
	    strcmp(what, "day") != 0)
		fprintf(stderr,
		    "celerycartctl cost: --by must be class, team or "
		    "day\n");
	else
		rc = show_cost(c, from_day, to_day, what,
		    format->count && strcmp(format->sval[0], "csv") == 0);
out:
	arg_freetable(table, 5);
	return rc;
}
