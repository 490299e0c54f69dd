/* Callers: submit jobs, retry refused submissions after the time in
 * Retry-After, and poll each accepted job until it has ended. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "../../src/base/err.h"
#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"
#include "../../src/transport/http_call.h"
#include "soak.h"

#define RETRIES_MAX 4 /* retries of a submission */
#define TIMEOUT_MS 3000
#define POLL_MS 400
#define RETRY_MS 500
#define CALLERS_PORT 100

enum phase {
	PHASE_SUBMIT,
	PHASE_FOLLOW,
	PHASE_ENDED,
};

struct job {
	TAILQ_ENTRY(job) link;
	struct callers *callers;
	char id[17];
	char body[512];
	const char *queue;
	enum phase phase;
	int tries;
	bool accepted;
	bool maybe_accepted; /**< an attempt got no definite answer */
	bool completed;
	int64_t accepted_ms;
	struct event *timer;
};

struct callers {
	struct soak *soak;
	TAILQ_HEAD(job_list, job) jobs;
	struct event *timer;
	int gap_ms;
	int njobs;
	bool stopped;
	int naccepted;
	int nrefused;
	int ncompleted;
	int ncheck; /**< open calls of callers_check_refused */
	struct job *checking;
};

static void submit(struct job *j);
static void poll_state(struct job *j);

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job *j = arg;

	(void)fd;
	(void)what;
	if (j->phase == PHASE_SUBMIT)
		submit(j);
	else if (j->phase == PHASE_FOLLOW)
		poll_state(j);
}

static void
schedule_call(struct job *j, int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	evtimer_add(j->timer, &tv);
}

static void
call(struct job *j, enum evhttp_cmd_type method, http_fn fn)
{
	struct soak *s = j->callers->soak;
	char addr[32], path[64];
	struct http_request r = {.addr = addr,
	    .port = (uint16_t)(s->port + CALLERS_PORT),
	    .method = method,
	    .path = path,
	    .timeout_ms = TIMEOUT_MS,
	    .fn = fn,
	    .arg = j};

	soak_host_addr((int)soak_random(s, (uint32_t)s->nhosts), addr);
	snprintf(path, sizeof(path), "/%s/%s", j->queue, j->id);
	r.headers[0] = (struct http_header){"Host", "cell.example"};
	r.headers[1] = (struct http_header){"X-Celerycart-Deadline-Ms", "3000"};
	if (method == EVHTTP_REQ_POST) {
		r.body = j->body;
		r.len = strlen(j->body);
		r.content_type = "application/json";
	}
	http_call(s->http, &r);
}

static void
job_accepted(struct job *j)
{
	j->accepted = true;
	j->accepted_ms = clock_boot_ms();
	j->callers->naccepted++;
	j->phase = PHASE_FOLLOW;
	schedule_call(j, POLL_MS);
}

static void
on_submitted(const struct http_answer *a, void *arg)
{
	struct job *j = arg;
	const char *after = NULL;
	int64_t ms = RETRY_MS;

	if (a->err == CC_OK && a->status == 200) {
		job_accepted(j);
		return;
	}
	if (a->err == CC_OK && a->status == 400)
		soak_broken(
		    j->callers->soak, "valid job refused as invalid", j->id);
	if (a->err == CC_OK && a->headers != NULL)
		after = evhttp_find_header(a->headers, "Retry-After");
	if (after != NULL)
		ms = atoi(after) * 1000;
	j->maybe_accepted |=
	    a->err != CC_ENOTSENT && (a->err != CC_OK || a->status != 503);
	if (++j->tries <= RETRIES_MAX) {
		schedule_call(j, ms);
		return;
	}
	j->phase = PHASE_ENDED;
	j->callers->nrefused += !j->maybe_accepted;
}

static void
submit(struct job *j)
{
	call(j, EVHTTP_REQ_POST, on_submitted);
}

static void
check_state(struct job *j, const struct http_answer *a)
{
	json_t *b = json_loadb((const char *)a->body, a->len, 0, NULL);
	const char *state = json_string_value(json_object_get(b, "state"));

	if (state == NULL)
		soak_broken(j->callers->soak, "unreadable state of job", j->id);
	else if (strcmp(state, "completed") == 0)
		j->completed = true;
	else if (strcmp(state, "failed") == 0 || strcmp(state, "canceled") == 0)
		soak_broken(j->callers->soak,
		    "job failed or canceled without cause", j->id);
	else if (j->completed)
		soak_broken(j->callers->soak,
		    "completed job no longer completed", j->id);
	json_decref(b);
}

static void
on_polled(const struct http_answer *a, void *arg)
{
	struct job *j = arg;
	bool was = j->completed;

	if (a->err == CC_OK && a->status == 200)
		check_state(j, a);
	if (a->err == CC_OK && a->status == 410 &&
	    clock_boot_ms() - j->accepted_ms > TIMEOUT_MS)
		soak_broken(j->callers->soak, "accepted job unknown", j->id);
	/* One more poll after the end: the job must stay completed. */
	if (was && j->completed) {
		j->phase = PHASE_ENDED;
		j->callers->ncompleted++;
		return;
	}
	schedule_call(j, POLL_MS);
}

static void
poll_state(struct job *j)
{
	call(j, EVHTTP_REQ_GET, on_polled);
}

static void
make_body(struct soak *s, struct job *j)
{
	int n = 1 + (int)soak_random(s, 5), m = 1 + (int)soak_random(s, 4);
	int cpu = 500 + (int)soak_random(s, 3000);
	int ms = 100 + (int)soak_random(s, 1200);
	bool two = soak_random(s, 2) == 0;

	if (two)
		snprintf(j->body, sizeof(j->body),
		    "{\"spec\":\"%dx%dx%d,%dx%dx%d>0\",\"steps\":[{\"count\":"
		    "%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d},"
		    "{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,"
		    "\"estimate_ms\":%d,\"after\":[0]}]}",
		    n, cpu, ms, m, cpu, ms, n, cpu, ms, m, cpu, ms);
	else
		snprintf(j->body, sizeof(j->body),
		    "{\"spec\":\"%dx%dx%d\",\"steps\":[{\"count\":%d,"
		    "\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d}]}",
		    n, cpu, ms, n, cpu, ms);
	j->queue = soak_random(s, 2) == 0 ? "urgent" : "batch";
}

static void
on_submit_timer(evutil_socket_t fd, short what, void *arg)
{
	struct callers *c = arg;
	struct job *j;

	(void)fd;
	(void)what;
	if (c->stopped)
		return;
	j = xcalloc(1, sizeof(*j));
	j->callers = c;
	snprintf(j->id, sizeof(j->id), "%016x", ++c->njobs);
	make_body(c->soak, j);
	j->timer = evtimer_new(c->soak->base, on_timer, j);
	TAILQ_INSERT_TAIL(&c->jobs, j, link);
	submit(j);
}

struct callers *
callers_new(struct soak *s, int rate)
{
	struct callers *c = xcalloc(1, sizeof(*c));
	struct timeval tv = {0, 1000000 / rate};

	c->soak = s;
	TAILQ_INIT(&c->jobs);
	c->timer = event_new(s->base, -1, EV_PERSIST, on_submit_timer, c);
	event_add(c->timer, &tv);
	return c;
}

void
callers_stop(struct callers *c)
{
	c->stopped = true;
	event_del(c->timer);
}

bool
callers_done(const struct callers *c)
{
	const struct job *j;

	TAILQ_FOREACH (j, &c->jobs, link)
		if (j->phase != PHASE_ENDED)
			return false;
	return true;
}

static void
on_checked(const struct http_answer *a, void *arg)
{
	struct job *j = arg;

	if (a->err == CC_OK && a->status == 200)
		soak_broken(j->callers->soak, "refused job ran", j->id);
	j->callers->ncheck--;
}

void
callers_check_refused(struct callers *c)
{
	struct job *j;
	char path[64];
	struct http_request r = {.addr = "127.0.0.1",
	    .port = (uint16_t)(c->soak->port + 2),
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = TIMEOUT_MS,
	    .fn = on_checked};

	for (j = TAILQ_FIRST(&c->jobs); j != NULL; j = TAILQ_NEXT(j, link)) {
		if (j->accepted || j->maybe_accepted)
			continue;
		snprintf(path, sizeof(path), "/ran?id=%s", j->id);
		r.arg = j;
		c->ncheck++;
		http_call(c->soak->http, &r);
	}
}

void
callers_report(const struct callers *c)
{
	const struct job *j;

	printf("jobs=%d accepted=%d refused=%d completed=%d\n", c->njobs,
	    c->naccepted, c->nrefused, c->ncompleted);
	if (c->ncompleted == 0)
		soak_broken(c->soak, "no job was completed", "");
	TAILQ_FOREACH (j, &c->jobs, link)
		if (j->phase != PHASE_ENDED)
			printf("not over: %s phase=%d tries=%d\n", j->id,
			    j->phase, j->tries);
}

void
callers_delete(struct callers *c)
{
	struct job *j;

	while ((j = TAILQ_FIRST(&c->jobs)) != NULL) {
		TAILQ_REMOVE(&c->jobs, j, link);
		event_free(j->timer);
		free(j);
	}
	event_free(c->timer);
	free(c);
}
