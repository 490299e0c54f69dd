/**
 * @file What a leader logs and counts of a start whose task has run before, in
 * the simulated environment.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../../src/base/kvlog.h"
#include "unit.h"
#include "unit_world.h"

#define JOB "0000000000000001"
#define LARGE_JOB "0000000000000002"
#define LOG_LEN 65536
#define RUNNERS 2
/** Time in which the leases of a silent runner are over. */
#define LAPSE_MS 15000

static const struct world_step step = {
    .count = 1, .cpu = 1000, .ms = 4000, .after = -1};
static const struct world_step large = {
    .count = 1, .cpu = 17000, .ms = 4000, .after = -1};

/** The log, written to a file instead of standard output. It can be opened
 * once in a process. */
struct log_capture {
	FILE *file;
	int stdout_fd;
	char text[LOG_LEN];
};

static void
capture_begin(struct log_capture *l)
{
	fflush(stdout);
	l->file = tmpfile();
	l->stdout_fd = dup(STDOUT_FILENO);
	dup2(fileno(l->file), STDOUT_FILENO);
	kvlog_open("unit", KVLOG_INFO);
}

static void
capture_end(struct log_capture *l)
{
	size_t n;

	kvlog_close();
	dup2(l->stdout_fd, STDOUT_FILENO);
	close(l->stdout_fd);
	rewind(l->file);
	n = fread(l->text, 1, sizeof(l->text) - 1, l->file);
	l->text[n] = '\0';
	fclose(l->file);
}

/* Whether a line of the log has all of the texts. */
static bool
logged(const struct log_capture *l, const char *event, const char *a,
    const char *b)
{
	char *copy = strdup(l->text), *at = NULL, *line;
	bool found = false;

	for (line = strtok_r(copy, "\n", &at); line != NULL;
	     line = strtok_r(NULL, "\n", &at))
		found |= strstr(line, event) != NULL &&
		    strstr(line, a) != NULL && strstr(line, b) != NULL;
	free(copy);
	return found;
}

static int
runner_number(const struct world *w, const char *task)
{
	const char *id = world_runner_of(w, task);
	int i;

	for (i = 0; id != NULL && i < RUNNERS; i++)
		if (atoi(id + strcspn(id, "0123456789")) == i)
			return i;
	return 0;
}

/* Guards against a log that doesn't tell why a task was started again: the
 * start after a lapse names the run before, and by what it counted as ended;
 * nor why one wasn't started; and against texts that end a line. */
void
test_log_start_after_lapse(void)
{
	struct world *w = start_world(RUNNERS);
	struct cell *c = world_cell(w, 0);
	uint64_t found = c->counters.fences_raised;
	struct log_capture *l = calloc(1, sizeof(*l));

	capture_begin(l);
	world_submit(w, JOB, "batch", &step, 1);
	world_run(w, 500);
	world_runner_cut(w, runner_number(w, JOB ".0.0.0"), true);
	world_run(w, LAPSE_MS);
	world_submit(w, LARGE_JOB, "batch", &large, 1);
	world_run(w, 3000);
	kvlog(KVLOG_INFO, "text", "name=" KVLOG_TEXT " after=1", "a\nb\tc");
	capture_end(l);
	CU_ASSERT(logged(l, "event=text ", " name=a?b?c ", " after=1"));
	CU_ASSERT(
	    logged(l, "event=step_waits ", "job=" LARGE_JOB " ", " tasks=1 "));
	CU_ASSERT(logged(l, "event=step_waits ", " held=none ", ",size:1"));
	CU_ASSERT(logged(l, "event=placed ", "task=" JOB ".0.0.0 ",
	    " prev_run=0 prev_how=none prev_by=none "));
	CU_ASSERT(logged(l, "event=run_ended ", "task=" JOB ".0.0.0 ",
	    " how=lapsed by=lease-clock "));
	CU_ASSERT(logged(l, "event=fence_raised ", " why=lapsed ", " from="));
	CU_ASSERT(logged(l, "event=placed ", "task=" JOB ".0.0.0 ",
	    " prev_run=1 prev_how=lapsed prev_by=lease-clock "));
	CU_ASSERT_EQUAL(c->counters.starts_after_lapse, 1);
	CU_ASSERT_EQUAL(c->counters.fences_raised - found, 1);
	CU_ASSERT_EQUAL(c->counters.lost[CAUSE_MISSED_LISTS], 0);
	finish_world(w);
	free(l);
}

/* Guards against counters that don't tell by what a run counted as lost, and
 * what ended a leadership. */
void
test_count_lost_and_deposed(void)
{
	struct world *w = start_world(RUNNERS);
	const struct cell_counters *k = &world_cell(w, 0)->counters;
	uint64_t deposed = 0;
	int i;

	world_submit(w, JOB, "batch", &step, 1);
	world_run(w, 500);
	world_runner_crash(w, runner_number(w, JOB ".0.0.0"), 100);
	world_run(w, 2500);
	world_claim(w, 1);
	world_run(w, LEADER_READY_MS);
	CU_ASSERT_EQUAL(k->ends[END_LOST], 1);
	CU_ASSERT_EQUAL(
	    k->lost[CAUSE_RESTARTED] + k->lost[CAUSE_OTHER_INCARNATION], 1);
	for (i = 0; i < DEPOSED_BY_COUNT; i++)
		deposed += k->deposed[i];
	CU_ASSERT_EQUAL(deposed, 1);
	finish_world(w);
}
