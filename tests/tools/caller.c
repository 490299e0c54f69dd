/*
 * Load generator: sends requests and tasks at a steady rate to several hosts,
 * as the platform's load balancer would, and writes the outcome of each as a
 * JSON line. Exits with 0 when all were settled and all answers were whole.
 */
#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/base/hist.h"
#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"
#include "../../src/transport/http_call.h"

#define TARGETS_MAX 16
#define MIX_MAX 8
#define TICK_MS 5
#define CALL_TIMEOUT_MS 40000
#define WAIT_MS 20000 /* long poll for a task's outcome */
#define TRIES_MAX 40

struct target {
	char addr[48];
	uint16_t port;
};

/** One kind of load; it is picked in proportion to its weight. */
struct mix {
	char class_name[64];
	bool task;
	int weight;
	int run_ms;
	int cpus;
	int count;
	int cancel_pct;
	int answer_bytes;
	struct hist total_ms;
	int outcomes[4]; /**< none, done, not-run, unknown */
};

struct job {
	char id[64];
	struct mix *mix;
	int64_t made_ms;
	int tries;
	bool cancel;
	bool cancelled;
	bool submitted;
	int64_t give_up_ms; /**< boot clock, ms */
};

static struct {
	struct target targets[TARGETS_MAX];
	int ntargets;
	struct mix mixes[MIX_MAX];
	int nmixes;
	int rate;
	int seconds;
	int drain_s; /**< deadline of each job, and of the run after seconds */
	const char *prefix;
	FILE *out;
	struct event_base *base;
	struct http_pool *pool;
	int64_t start_ms;
	int sent;
	int open;
	int lost;   /**< finished without an outcome */
	int broken; /**< answers that were not whole */
} g = {.rate = 50, .seconds = 5, .prefix = "q", .drain_s = 60};

static void job_next(struct job *j);

static struct target *
pick_target(void)
{
	return &g.targets[rand() % g.ntargets];
}

static const char *const outcome_names[] = {
    "none", "done", "not-run", "unknown"};

static void
job_finish(struct job *j, const char *outcome, const char *reason, int status,
    bool whole)
{
	json_t *e;
	char *text;
	int i, o = 0;

	for (i = 1; i < 4; i++)
		if (strcmp(outcome_names[i], outcome) == 0)
			o = i;
	j->mix->outcomes[o]++;
	g.lost += o == 0;
	g.broken += !whole;
	hist_add(&j->mix->total_ms, (uint64_t)(clock_boot_ms() - j->made_ms));
	e = json_pack("{s:s,s:s,s:b,s:s,s:s,s:i,s:b,s:I,s:I,s:i}", "id", j->id,
	    "class", j->mix->class_name, "task", j->mix->task, "outcome",
	    outcome, "reason", reason, "status", status, "whole", whole,
	    "made_ms", (json_int_t)j->made_ms, "total_ms",
	    (json_int_t)(clock_boot_ms() - j->made_ms), "count", j->mix->count);
	text = json_dumps(e, JSON_COMPACT);
	fprintf(g.out, "%s\n", text);
	free(text);
	json_decref(e);
	free(j);
	if (--g.open == 0 && clock_boot_ms() - g.start_ms > g.seconds * 1000)
		event_base_loopbreak(g.base);
}

static void
on_later(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	job_next(arg);
}

static void
job_schedule(struct job *j, int ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_base_once(g.base, -1, EV_TIMEOUT, on_later, j, &tv);
}

/* Whether the answer belongs to this request and is complete. */
static bool
whole_answer(const struct job *j, const struct http_answer *a)
{
	char want[96];
	size_t n =
	    (size_t)snprintf(want, sizeof(want), "answer to %s\n", j->id);

	return a->len == n + (size_t)j->mix->answer_bytes &&
	    memcmp(a->body, want, n) == 0;
}

static const char *
header(const struct http_answer *a, const char *name)
{
	const char *s =
	    a->headers != NULL ? evhttp_find_header(a->headers, name) : NULL;

	return s != NULL ? s : "";
}

static void
request_done(const struct http_answer *a, void *arg)
{
	struct job *j = arg;
	const char *outcome = header(a, "X-Outcome");

	/* As a balancer does, tries another host when nothing was sent. */
	if (a->err == CC_ENOTSENT && j->tries++ < TRIES_MAX) {
		job_schedule(j, 50);
		return;
	}
	if (a->err != CC_OK)
		job_finish(j, "unknown", "connection", 0, true);
	else
		job_finish(j, outcome, header(a, "X-Reason"), a->status,
		    strcmp(outcome, "done") != 0 || whole_answer(j, a));
}

static void
task_done(const struct http_answer *a, void *arg)
{
	struct job *j = arg;
	const char *outcome = header(a, "X-Outcome");

	if (a->err != CC_OK || a->status == 504 ||
	    (a->status == 503 && j->submitted)) {
		/* The id makes a retry idempotent, at any host. */
		if (clock_boot_ms() < j->give_up_ms)
			job_schedule(j, 100);
		else
			job_finish(j, j->submitted ? "none" : "unknown",
			    "caller-gave-up", a->status, true);
		return;
	}
	if (a->status / 100 == 2) {
		j->submitted = true;
		if (strcmp(outcome, "none") == 0 || *outcome == '\0') {
			if (clock_boot_ms() < j->give_up_ms)
				job_next(j);
			else
				job_finish(
				    j, "none", "caller-gave-up", 0, true);
			return;
		}
	}
	if (a->status == 404 && j->submitted) {
		job_finish(j, "none", "forgotten", a->status, true);
		return;
	}
	job_finish(j, *outcome ? outcome : "none", header(a, "X-Reason"),
	    a->status, true);
}

static void
job_next(struct job *j)
{
	struct target *t = pick_target();
	struct mix *m = j->mix;
	char path[160], body[256];
	struct http_request r = {
	    .addr = t->addr,
	    .port = t->port,
	    .method = EVHTTP_REQ_POST,
	    .path = path,
	    .body = body,
	    .content_type = "application/json",
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .fn = m->task ? task_done : request_done,
	    .arg = j,
	    .fresh = false,
	};

	if (!m->task) {
		snprintf(path, sizeof(path), "/v1/classes/%s/requests",
		    m->class_name);
		r.len = (size_t)snprintf(body, sizeof(body),
		    "{\"run_ms\":%d,\"answer_bytes\":%d}", m->run_ms,
		    m->answer_bytes);
		r.headers[0] = (struct http_header){"Idempotency-Key", j->id};
	} else if (!j->submitted) {
		snprintf(
		    path, sizeof(path), "/v1/classes/%s/tasks", m->class_name);
		r.len = (size_t)snprintf(body, sizeof(body),
		    "{\"id\":\"%s\",\"cpus\":%d,\"memory_mb\":%d,"
		    "\"run_ms\":%d,\"count\":%d}",
		    j->id, m->cpus, m->cpus * 512, m->run_ms, m->count);
	} else if (j->cancel && !j->cancelled) {
		j->cancelled = true;
		r.method = EVHTTP_REQ_DELETE;
		snprintf(path, sizeof(path), "/v1/tasks/%s", j->id);
	} else {
		r.method = EVHTTP_REQ_GET;
		snprintf(path, sizeof(path), "/v1/tasks/%s?wait_ms=%d", j->id,
		    WAIT_MS);
	}
	http_call(g.pool, &r);
}

static struct mix *
pick_mix(void)
{
	int i, sum = 0, n;

	for (i = 0; i < g.nmixes; i++)
		sum += g.mixes[i].weight;
	n = rand() % (sum > 0 ? sum : 1);
	for (i = 0; i + 1 < g.nmixes && n >= g.mixes[i].weight; i++)
		n -= g.mixes[i].weight;
	return &g.mixes[i];
}

static void
job_start(void)
{
	struct job *j = xcalloc(1, sizeof(*j));

	j->mix = pick_mix();
	snprintf(j->id, sizeof(j->id), "%s-%d", g.prefix, g.sent++);
	j->made_ms = clock_boot_ms();
	j->give_up_ms = j->made_ms + g.drain_s * 1000;
	j->cancel = rand() % 100 < j->mix->cancel_pct;
	g.open++;
	job_next(j);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t t = clock_boot_ms() - g.start_ms;
	int64_t due = t * g.rate / 1000;

	(void)fd;
	(void)what;
	(void)arg;
	if (t > g.seconds * 1000) {
		if (g.open == 0 || t > (g.seconds + g.drain_s) * 1000)
			event_base_loopbreak(g.base);
		return;
	}
	while (g.sent < due)
		job_start();
}

/* "class:kind:weight:run_ms[:cpus[:count[:cancel_pct[:answer_bytes]]]]" */
static void
parse_mix(const char *text)
{
	struct mix *m = &g.mixes[g.nmixes++];
	char kind[16];

	m->count = 1;
	m->cpus = 1;
	if (sscanf(text, "%63[^:]:%15[^:]:%d:%d:%d:%d:%d:%d", m->class_name,
		kind, &m->weight, &m->run_ms, &m->cpus, &m->count,
		&m->cancel_pct, &m->answer_bytes) < 4) {
		fprintf(stderr, "caller: invalid --mix %s\n", text);
		exit(2);
	}
	m->task = strcmp(kind, "task") == 0;
}

static void
parse_target(const char *text)
{
	struct target *t = &g.targets[g.ntargets++];
	unsigned port;

	if (sscanf(text, "%47[^:]:%u", t->addr, &port) != 2)
		exit(2);
	t->port = (uint16_t)port;
}

static void
report(void)
{
	struct mix *m;
	int i;

	for (i = 0; i < g.nmixes; i++) {
		m = &g.mixes[i];
		printf("class=%s sent=%" PRIu64
		       " done=%d not_run=%d unknown=%d "
		       "none=%d total_p50_ms=%" PRIu64 " total_p99_ms=%" PRIu64
		       "\n",
		    m->class_name, m->total_ms.total, m->outcomes[1],
		    m->outcomes[2], m->outcomes[3], m->outcomes[0],
		    hist_quantile(&m->total_ms, 0.5),
		    hist_quantile(&m->total_ms, 0.99));
	}
	printf("settled=%s broken_answers=%d\n",
	    g.lost == 0 && g.open == 0 ? "all" : "not-all", g.broken);
}

int
main(int argc, char **argv)
{
	struct timeval tv = {0, TICK_MS * 1000};
	struct event *tick;
	int i;

	signal(SIGPIPE, SIG_IGN);
	g.out = stdout;
	for (i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--target") == 0)
			parse_target(argv[i + 1]);
		else if (strcmp(argv[i], "--mix") == 0)
			parse_mix(argv[i + 1]);
		else if (strcmp(argv[i], "--rate") == 0)
			g.rate = atoi(argv[i + 1]);
		else if (strcmp(argv[i], "--seconds") == 0)
			g.seconds = atoi(argv[i + 1]);
		else if (strcmp(argv[i], "--drain") == 0)
			g.drain_s = atoi(argv[i + 1]);
		else if (strcmp(argv[i], "--seed") == 0)
			srand((unsigned)atoi(argv[i + 1]));
		else if (strcmp(argv[i], "--prefix") == 0)
			g.prefix = argv[i + 1];
		else if (strcmp(argv[i], "--out") == 0)
			g.out = fopen(argv[i + 1], "a");
		else
			return 2;
	}
	if (g.ntargets == 0 || g.nmixes == 0 || g.out == NULL)
		return 2;
	g.base = event_base_new();
	g.pool = http_pool_new(g.base, "");
	g.start_ms = clock_boot_ms();
	tick = event_new(g.base, -1, EV_PERSIST, on_tick, NULL);
	event_add(tick, &tv);
	event_base_dispatch(g.base);
	fclose(g.out == stdout ? stderr : g.out);
	report();
	return g.lost == 0 && g.open == 0 && g.broken == 0 ? 0 : 1;
}
