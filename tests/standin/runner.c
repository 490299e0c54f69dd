/* Runners: each serves SLOTS requests at a time and queues the others. */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

#define SLOTS 8
#define DEFAULT_RUN_MS 20

struct run {
	TAILQ_ENTRY(run) link;
	struct runner *runner;
	struct evhttp_request *req;
	struct event *end;
	char id[80];
	int ms;
	int answer_bytes;
};

struct runner {
	struct server server;
	char name[32];
	int busy;
	bool leaving;
	TAILQ_HEAD(run_list, run) waiting;
};

static struct runner *runners;

static void run_next(struct runner *r);

static void
run_event(const char *ev, const struct run *u)
{
	record(json_pack("{s:s,s:s,s:s}", "ev", ev, "runner", u->runner->name,
	    "request", u->id));
}

static void
on_end(evutil_socket_t fd, short what, void *arg)
{
	struct run *u = arg;
	struct runner *r = u->runner;
	struct evbuffer *out = evbuffer_new();
	int i;

	(void)fd;
	(void)what;
	run_event("run_end", u);
	r->busy--;
	evhttp_add_header(
	    evhttp_request_get_output_headers(u->req), "X-Request-Id", u->id);
	evhttp_add_header(evhttp_request_get_output_headers(u->req),
	    "Content-Type", "text/plain");
	evbuffer_add_printf(out, "answer to %s\n", u->id);
	for (i = 0; i < u->answer_bytes; i++)
		evbuffer_add(out, "x", 1);
	if (chance(faults.runner_lose_pct))
		drop(u->req);
	else
		evhttp_send_reply(u->req, 200, NULL, out);
	evbuffer_free(out);
	event_free(u->end);
	free(u);
	run_next(r);
}

static void
run_next(struct runner *r)
{
	struct run *u = TAILQ_FIRST(&r->waiting);
	struct timeval tv;
	int ms;

	if (u == NULL || r->busy >= SLOTS)
		return;
	TAILQ_REMOVE(&r->waiting, u, link);
	r->busy++;
	run_event("run", u);
	ms = u->ms + faults.runner_slow_ms;
	tv = (struct timeval){ms / 1000, ms % 1000 * 1000};
	u->end = evtimer_new(base, on_end, u);
	evtimer_add(u->end, &tv);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	const char *id = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "X-Request-Id");
	json_t *body;
	struct run *u;

	if (r->server.dead || id == NULL) {
		drop(req);
		return;
	}
	if (!server_should_answer(&r->server, req))
		return;
	if (r->leaving) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "X-Not-Run", "leaving");
		evhttp_add_header(
		    evhttp_request_get_output_headers(req), "X-Request-Id", id);
		evhttp_send_reply(req, 503, NULL, NULL);
		return;
	}
	u = xcalloc(1, sizeof(*u));
	u->runner = r;
	u->req = req;
	str_copy(u->id, id, sizeof(u->id));
	body = body_json(req);
	u->ms = (int)json_integer_value(json_object_get(body, "run_ms"));
	if (u->ms == 0)
		u->ms = DEFAULT_RUN_MS;
	u->answer_bytes =
	    (int)json_integer_value(json_object_get(body, "answer_bytes"));
	json_decref(body);
	TAILQ_INSERT_TAIL(&r->waiting, u, link);
	run_next(r);
}

bool
runner_control(const char *verb, const char *name)
{
	struct runner *r = NULL;
	int i;

	for (i = 0; i < opt.runners && opt.serve_hosts; i++)
		if (strcmp(runners[i].name, name) == 0)
			r = &runners[i];
	if (r == NULL)
		return false;
	if (strcmp(verb, "runner_dead") == 0)
		r->server.dead = true;
	else if (strcmp(verb, "runner_mend") == 0)
		r->server.dead = r->leaving = false;
	else if (strcmp(verb, "runner_leave") == 0)
		r->leaving = true;
	else if (strcmp(verb, "runner_silent") == 0)
		server_silence(&r->server);
	else
		return false;
	return true;
}

void
runners_start(void)
{
	int i;

	runners = xcalloc((size_t)opt.runners + 1, sizeof(*runners));
	for (i = 0; i < opt.runners; i++) {
		snprintf(runners[i].name, sizeof(runners[i].name), "n%d", i);
		TAILQ_INIT(&runners[i].waiting);
		server_init(&runners[i].server, runners[i].name,
		    opt.runner_port + i, on_request, &runners[i]);
	}
}
