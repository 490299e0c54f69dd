/*
 * Fuzzes the decoders of what others write: entries of runners, the
 * configuration, submissions, and rows of the cell; and the server that callers
 * send requests to. Built with sanitizers.
 *
 * usage: fuzz [SEED [CASES]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/config_row.h"
#include "../../platform/registry.h"
#include "../../platform/submission.h"
#include "../../src/base/err.h"
#include "../../src/base/kvlog.h"
#include "../../src/base/xalloc.h"
#include "../../src/coordination/urgency.h"
#include "../../src/state/job.h"
#include "http_fuzz.h"
#include "mutate.h"

#define SEED 20261205
#define CASES 6000

static const char entry[] =
    "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","
    "\"zone\":\"nave-norte\",\"version\":\"v1\",\"slots\":8,\"state\":"
    "\"ready\","
    "\"cold_left_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
    "\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"born\":1796456083673,"
    "\"remaining_ms\":900,\"clock_ms\":482113,\"sequence\":4}";

static const char configuration[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
    "\"prefix\":\"/q/\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
    "\"priority\":0,\"service\":\"s\",\"max_attempts\":3,\"stretch\":1.5,"
    "\"advice\":{\"decision_ms\":22.0,\"period_ms\":0.32,"
    "\"validity_ms\":2500}}],\"services\":[{\"name\":\"s\","
    "\"admission_check\":false}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":262144}}";

static const char submission[] =
    "{\"spec\":\"text\",\"repeat_count\":3,\"start_at_ms\":1796456083673,"
    "\"interval_ms\":500,\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
    "\"estimate_ms\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
    "\"mem_mb\":1024,\"estimate_ms\":7000,\"after\":[0],"
    "\"saves_progress\":true,\"gang\":true}]}";

static int broken;

static void
expect(bool ok, const char *what, const struct text *t)
{
	if (ok)
		return;
	broken++;
	printf("BROKEN %s: %.*s\n", what, (int)t->len, t->bytes);
}

/* What is taken leaves room for sums over all runners and for times that are
 * added up. */
static void
fuzz_entry(const struct text *t)
{
	struct row row = {.key = "i-1", .value = t->bytes, .len = t->len};
	struct runner_info info;

	if (!registry_decode(&row, &info))
		return;
	expect(info.cpu > 0 && info.cpu <= INT32_MAX, "cpu", t);
	expect(info.mem_mb > 0 && info.mem_mb <= INT32_MAX, "mem_mb", t);
	expect(info.gpu >= 0 && info.gpu <= INT32_MAX, "gpu", t);
	expect(info.port != 0 && info.addr[0] != '\0', "address", t);
	expect(info.service[0] != '\0', "service", t);
	expect(info.remaining_ms >= -1 && info.remaining_ms < INT32_MAX,
	    "remaining_ms", t);
	expect(info.born_ms >= 0 && info.born_ms < INT64_MAX / 1000, "born", t);
	expect(info.nlabels <= RUNNER_LABELS_MAX, "labels", t);
}

/* Times of a queue and of its longest job can be added up. */
static void
fuzz_queue(const struct queue *q, const struct text *t)
{
	int64_t objective = urgency_objective_ms(
	    INT64_MAX / 2, q->stretch, q->target_latency_ms);

	expect(q->name != NULL && q->host != NULL && q->prefix != NULL &&
		q->service != NULL,
	    "texts", t);
	expect(objective >= 0 && objective < INT64_MAX / 1000, "objective", t);
	expect(q->target_latency_ms >= 0 &&
		q->target_latency_ms < INT64_MAX / 1000,
	    "target_latency_ms", t);
	expect(q->timeout_ms >= 0 && q->timeout_ms < INT64_MAX / 1000,
	    "timeout_ms", t);
	expect(q->priority >= 0, "priority", t);
	expect(q->advice.decision_ms >= 0 && q->advice.runner_ms >= 0 &&
		q->advice.decision_ms < 1e16 && q->advice.runner_ms < 1e16,
	    "advice", t);
}

static void
fuzz_configuration(const struct text *t)
{
	struct config *c = config_decode(t->bytes, t->len);
	int i;

	if (c == NULL)
		return;
	expect(c->version < INT64_MAX, "version", t);
	for (i = 0; i < c->nqueues; i++)
		fuzz_queue(&c->queues[i], t);
	config_delete(c);
}

static void
fuzz_submission(const struct text *t)
{
	const char *wrong;
	Cc__JobRow *row =
	    submission_decode((const uint8_t *)t->bytes, t->len, "q", &wrong);
	struct job *j;

	if (row == NULL)
		return;
	if (job_check(row, &wrong) != CC_OK) {
		cc__job_row__free_unpacked(row, NULL);
		return;
	}
	j = job_new("0000000000000001", row);
	expect(job_start_wall_ms(j, job_repeats(j) - 1) < INT64_MAX / 1000,
	    "start", t);
	expect(job_work(row) >= 0, "work", t);
	job_delete(j);
}

/* Rows of the cell, as another version may have left them. */
static void
fuzz_row(const struct text *t)
{
	const uint8_t *bytes = (const uint8_t *)t->bytes;
	Cc__RunnersRow *runners = cc__runners_row__unpack(NULL, t->len, bytes);
	Cc__JobProgress *progress =
	    cc__job_progress__unpack(NULL, t->len, bytes);
	Cc__JobRow *row = cc__job_row__unpack(NULL, t->len, bytes);
	struct job *j;
	const char *why;

	if (row != NULL && job_check(row, &why) == CC_OK && progress != NULL) {
		j = job_new("0000000000000001", row);
		job_load_progress(j, progress, 0);
		job_delete(j);
	} else if (row != NULL) {
		cc__job_row__free_unpacked(row, NULL);
	}
	if (progress != NULL)
		job_progress_free(progress);
	if (runners != NULL)
		cc__runners_row__free_unpacked(runners, NULL);
}

static const struct {
	const char *name;
	const char *sample;
	void (*fn)(const struct text *t);
} targets[] = {
    {"entries of runners", entry, fuzz_entry},
    {"configurations", configuration, fuzz_configuration},
    {"submissions", submission, fuzz_submission},
    {"rows of the cell", entry, fuzz_row},
};

static void
fuzz_target(size_t i, uint32_t seed, int cases)
{
	struct mutator m = {.state = seed};
	struct text t;
	int n, before = broken;

	for (n = 0; n < cases; n++) {
		text_init(&t, targets[i].sample);
		mutate(&m, &t);
		targets[i].fn(&t);
		text_done(&t);
	}
	printf("%s %s: %d cases from seed %u\n",
	    broken == before ? "ok" : "not ok", targets[i].name, cases, seed);
}

int
main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : SEED;
	int cases = argc > 2 ? atoi(argv[2]) : CASES;
	size_t i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++)
		fuzz_target(i, seed + (uint32_t)i, cases);
	broken += fuzz_http(seed + (uint32_t)i, cases);
	return broken > 0;
}
