/*
 * Checks the invariants of a test run against the stand-in's record of starts
 * and stops (RECORD) and the outcomes that callers saw (OUTCOMES):
 *   checker RECORD OUTCOMES [once=CLASS]... [leave_ms=N] [cpus=N] [memory=MB]
 * Requests of a class given as once= must not run twice; leave_ms is how long a
 * leaving upstream may still get starts. Prints one line for each invariant and
 * exits with 1 when one is broken.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../../src/base/xalloc.h"
#include "../../src/state/size.h"

#define LINE_MAX_BYTES 65536
#define ONCE_MAX 16

/** What the record says of one task key or request. */
struct seen {
	UT_hash_handle hh;
	char id[96];
	int starts;
	int running;
	int most_running;
	bool from_task;
};

/** A worker or a runner. */
struct upstream {
	UT_hash_handle hh;
	char name[64];
	struct size used;
	int64_t leaving_us; /**< when it began to leave; 0: not leaving */
};

static struct seen *seen;
static struct upstream *upstreams;
/* Capacity of each worker. */
static struct size total = {16, 65536, 0};
static const char *once[ONCE_MAX];
static int once_count, leave_ms = 5000;

static int over_capacity, two_places, late_starts, more_than_once,
    false_not_run, done_never_ran, not_whole, unsettled, outcomes, starts;

static struct seen *
seen_get(const char *id)
{
	struct seen *s;

	HASH_FIND_STR(seen, id, s);
	if (s == NULL) {
		s = xcalloc(1, sizeof(*s));
		str_copy(s->id, id, sizeof(s->id));
		HASH_ADD_STR(seen, id, s);
	}
	return s;
}

static struct upstream *
upstream_get(const char *name)
{
	struct upstream *p;

	HASH_FIND_STR(upstreams, name, p);
	if (p == NULL) {
		p = xcalloc(1, sizeof(*p));
		str_copy(p->name, name, sizeof(p->name));
		HASH_ADD_STR(upstreams, name, p);
	}
	return p;
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static uint32_t
num_of(const json_t *j, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(j, name));
}

static void
record_start(const json_t *e, const char *upstream, const char *id)
{
	struct upstream *p = upstream_get(upstream);
	struct seen *s = seen_get(id);
	int64_t t = json_integer_value(json_object_get(e, "t"));

	starts++;
	s->starts++;
	if (++s->running > 1) {
		two_places++;
		printf("two places: %s on %s\n", id, upstream);
	}
	if (p->leaving_us > 0 && t - p->leaving_us > (int64_t)leave_ms * 1000) {
		late_starts++;
		printf("after leaving: %s on %s\n", id, upstream);
	}
}

static void
apply_task_event(const json_t *e, bool start)
{
	struct upstream *p = upstream_get(text_of(e, "worker"));
	struct size size = {num_of(e, "cpus"), num_of(e, "memory_mb"),
	    num_of(e, "accelerators")};

	if (!start) {
		size_sub(&p->used, &size);
		seen_get(text_of(e, "key"))->running--;
		return;
	}
	record_start(e, p->name, text_of(e, "key"));
	size_add(&p->used, &size);
	if (!size_fits(&p->used, &total)) {
		over_capacity++;
		printf(
		    "over capacity: %s with %s\n", p->name, text_of(e, "key"));
	}
}

static void
apply_event(const json_t *e)
{
	const char *ev = text_of(e, "ev"), *verb = text_of(e, "verb");

	if (strcmp(ev, "start") == 0)
		apply_task_event(e, true);
	else if (strcmp(ev, "stop") == 0)
		apply_task_event(e, false);
	else if (strcmp(ev, "run") == 0)
		record_start(e, text_of(e, "runner"), text_of(e, "request"));
	else if (strcmp(ev, "run_end") == 0)
		seen_get(text_of(e, "request"))->running--;
	else if (strcmp(ev, "fault") == 0 &&
	    (strcmp(verb, "leaving") == 0 || strcmp(verb, "runner_leave") == 0))
		upstream_get(text_of(e, "value"))->leaving_us =
		    json_integer_value(json_object_get(e, "t"));
}

/* Starts of a request or of a task's members; @p twice: any had several. */
static int
starts_of(const json_t *e, bool *twice)
{
	char key[96];
	struct seen *s;
	int i, n = 0, count = (int)num_of(e, "count");

	*twice = false;
	if (!json_is_true(json_object_get(e, "task"))) {
		HASH_FIND_STR(seen, text_of(e, "id"), s);
		*twice = s != NULL && s->starts > 1;
		return s != NULL ? s->starts : 0;
	}
	for (i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "%s#%d", text_of(e, "id"), i);
		HASH_FIND_STR(seen, key, s);
		if (s == NULL)
			continue;
		n += s->starts;
		*twice = *twice || s->starts > 1;
	}
	return n;
}

static bool
is_once(const char *class_name)
{
	int i;

	for (i = 0; i < once_count; i++)
		if (strcmp(once[i], class_name) == 0)
			return true;
	return false;
}

static void
check_outcome(const json_t *e)
{
	const char *outcome = text_of(e, "outcome");
	bool twice;
	int n = starts_of(e, &twice);

	outcomes++;
	if (is_once(text_of(e, "class")) && twice) {
		more_than_once++;
		printf("more than once: %s\n", text_of(e, "id"));
	}
	if (strcmp(outcome, "not-run") == 0 && n > 0) {
		false_not_run++;
		printf("said not-run, but ran: %s\n", text_of(e, "id"));
	}
	if (strcmp(outcome, "done") == 0 && n == 0) {
		done_never_ran++;
		printf("said done, but never ran: %s\n", text_of(e, "id"));
	}
	if (strcmp(outcome, "none") == 0) {
		unsettled++;
		printf("not settled: %s %s\n", text_of(e, "id"),
		    text_of(e, "reason"));
	}
	if (!json_is_true(json_object_get(e, "whole"))) {
		not_whole++;
		printf("not the whole answer: %s\n", text_of(e, "id"));
	}
}

static void
each_line(const char *path, void (*fn)(const json_t *e))
{
	static char line[LINE_MAX_BYTES];
	FILE *f = fopen(path, "r");
	json_error_t je;
	json_t *e;

	if (f == NULL) {
		perror(path);
		exit(2);
	}
	while (fgets(line, sizeof(line), f) != NULL) {
		e = json_loads(line, 0, &je);
		if (e != NULL)
			fn(e);
		json_decref(e);
	}
	fclose(f);
}

static int
verdict(const char *name, int broken)
{
	printf("%s %s%s", broken ? "BROKEN" : "held", name, broken ? "" : "\n");
	if (broken)
		printf(" (%d)\n", broken);
	return broken > 0;
}

int
main(int argc, char **argv)
{
	int i, bad = 0;

	if (argc < 3)
		return 2;
	for (i = 3; i < argc; i++) {
		if (strncmp(argv[i], "once=", 5) == 0 && once_count < ONCE_MAX)
			once[once_count++] = argv[i] + 5;
		else if (strncmp(argv[i], "leave_ms=", 9) == 0)
			leave_ms = atoi(argv[i] + 9);
		else if (strncmp(argv[i], "cpus=", 5) == 0)
			total.cpus = (uint32_t)atoi(argv[i] + 5);
		else if (strncmp(argv[i], "memory=", 7) == 0)
			total.memory_mb = (uint32_t)atoi(argv[i] + 7);
	}
	each_line(argv[1], apply_event);
	each_line(argv[2], check_outcome);
	bad += verdict("no worker over its capacity", over_capacity);
	bad += verdict("no task in two places", two_places);
	bad += verdict("whole answers to the right caller", not_whole);
	bad += verdict("no request reported as not-run ran", false_not_run);
	bad +=
	    verdict("non-repeatable requests ran at most once", more_than_once);
	bad += verdict("every request reported as done ran", done_never_ran);
	bad += verdict("no start on a leaving upstream", late_starts);
	bad += verdict("every request settled", unsettled);
	printf("outcomes=%d starts=%d\n", outcomes, starts);
	return bad > 0 || outcomes == 0;
}
