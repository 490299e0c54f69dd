/*
 * Simulated runners. A job's spec text gives the duration of its tasks in ms, a
 * number for each step, separated by commas; 0 is a task that lasts.
 */
#include "runner.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/time.h>

#include "../../src/base/xalloc.h"

#define MAX_HOLD_MS 10000
#define TICK_MS 5
#define HEARTBEAT_MS 1500
#define EXPIRY_MS 4500
#define RACK_RUNNERS 8
#define KIND_B_EVERY 16
/** PROTOCOL.md: unacknowledged ends are returned 500 at a time. */
#define ENDS_PER_ANSWER 500

struct sim_run {
	TAILQ_ENTRY(sim_run) link;
	char task[80];
	int run;
	int64_t ends_at; /**< boot clock, ms; 0: it lasts */
};

struct sim_end {
	TAILQ_ENTRY(sim_end) link;
	uint64_t number;
	char task[80];
	int run;
	const char *how;
};

/** Highest run of a task that was stopped or ended here. */
struct floor {
	TAILQ_ENTRY(floor) link;
	char task[80];
	int run;
};

/** A hold that waits for an end. */
struct sim_hold {
	TAILQ_ENTRY(sim_hold) link;
	struct runner *runner;
	struct evhttp_request *req;
	int64_t until;
	uint64_t seen;
};

struct runner {
	struct event_base *base;
	struct store_sim *store;
	struct evhttp *http;
	char id[40];
	int index;
	int cpu;
	int mem_mb;
	int nboots; /**< boots under another id so far */
	uint16_t port;
	TAILQ_HEAD(, sim_run) runs;
	TAILQ_HEAD(, sim_end) ends;
	TAILQ_HEAD(, floor) floors;
	TAILQ_HEAD(, sim_hold) holds;
	uint64_t nends;
	int64_t fence;
	int64_t lease_until; /**< on the runner's clock */
	int64_t born_ms;
	int64_t born_wall_ms;
	int64_t died_ms; /**< 0: alive */
	bool listed;
	bool draining;
	bool cut;
	bool cut_next; /**< cut when the pending hold ends */
	int64_t cut_ms;
	int64_t heartbeat_ms;
	int sequence;
	struct event *tick;
};

void
record_line(const char *format, ...)
{
	va_list ap;

	printf("%lld ", (long long)now_ms());
	va_start(ap, format);
	vprintf(format, ap);
	va_end(ap);
	printf("\n");
}

static int64_t
clock_of(const struct runner *r)
{
	return now_ms() - r->born_ms + 1;
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static int64_t
number_of(const json_t *j, const char *name)
{
	return (int64_t)json_number_value(json_object_get(j, name));
}

static json_t *
with_clock(const struct runner *r, json_t *body)
{
	json_object_set_new(body, "clock_ms", json_integer(clock_of(r)));
	return body;
}

static void
refuse(struct runner *r, struct evhttp_request *req, const char *why)
{
	reply_json(req, 409, with_clock(r, json_pack("{s:s}", "reason", why)));
}

static struct floor *
find_floor(struct runner *r, const char *task)
{
	struct floor *f;

	TAILQ_FOREACH (f, &r->floors, link)
		if (strcmp(f->task, task) == 0)
			return f;
	return NULL;
}

static void
raise_floor(struct runner *r, const char *task, int run)
{
	struct floor *f = find_floor(r, task);

	if (f == NULL) {
		f = xcalloc(1, sizeof(*f));
		str_copy(f->task, task, sizeof(f->task));
		TAILQ_INSERT_HEAD(&r->floors, f, link);
	}
	if (run > f->run)
		f->run = run;
}

static struct sim_run *
find_run(struct runner *r, const char *task, int run)
{
	struct sim_run *n;

	TAILQ_FOREACH (n, &r->runs, link)
		if (n->run == run && strcmp(n->task, task) == 0)
			return n;
	return NULL;
}

static void
answer_hold(struct runner *r, struct evhttp_request *req, uint64_t seen)
{
	json_t *running = json_array(), *finished = json_array();
	const struct sim_run *n;
	const struct sim_end *e;

	TAILQ_FOREACH (n, &r->runs, link)
		json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", n->task, n->run, "", 100, 0));
	TAILQ_FOREACH (e, &r->ends, link) {
		if (e->number <= seen)
			continue;
		if (json_array_size(finished) == ENDS_PER_ANSWER)
			break;
		json_array_append_new(finished,
		    json_pack("[I,s,i,s,s]", (json_int_t)e->number, e->task,
			e->run, e->how, ""));
	}
	reply_json(req, 200,
	    with_clock(r,
		json_pack("{s:o,s:o,s:I}", "running", running, "finished",
		    finished, "born", (json_int_t)r->born_wall_ms)));
}

static void
begin_cut(struct runner *r)
{
	record_line("cut %s", r->id);
	r->cut = true;
	r->cut_next = false;
	r->cut_ms = now_ms();
}

static void
finish_holds(struct runner *r, bool all)
{
	struct sim_hold *h, *next;

	for (h = TAILQ_FIRST(&r->holds); h != NULL; h = next) {
		next = TAILQ_NEXT(h, link);
		if (!all && now_ms() < h->until)
			continue;
		if (r->cut_next)
			begin_cut(r);
		TAILQ_REMOVE(&r->holds, h, link);
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(h->req), NULL, NULL);
		if (!r->cut)
			answer_hold(r, h->req, h->seen);
		free(h);
	}
}

static void
end_run(struct runner *r, struct sim_run *n, const char *how)
{
	struct sim_end *e = xcalloc(1, sizeof(*e));

	e->number = ++r->nends;
	e->run = n->run;
	e->how = how;
	str_copy(e->task, n->task, sizeof(e->task));
	TAILQ_INSERT_TAIL(&r->ends, e, link);
	raise_floor(r, n->task, n->run);
	record_line("end %s %s %d %s %llu", r->id, n->task, n->run, how,
	    (unsigned long long)e->number);
	TAILQ_REMOVE(&r->runs, n, link);
	free(n);
}

static void
note_ends(struct runner *r, uint64_t seen)
{
	struct sim_end *e;

	while ((e = TAILQ_FIRST(&r->ends)) != NULL && e->number <= seen) {
		record_line("noted %s %s %d %s %llu", r->id, e->task, e->run,
		    e->how, (unsigned long long)e->number);
		TAILQ_REMOVE(&r->ends, e, link);
		free(e);
	}
}

/* Checks the fencing token and the intended boot. @return the body; NULL when
 * the order was answered or gets no answer. */
static json_t *
take_order(struct runner *r, struct evhttp_request *req)
{
	const char *want =
	    evhttp_find_header(evhttp_request_get_input_headers(req),
		"X-Celerycart-Target-Instance");
	json_t *b;

	if (r->cut)
		return NULL;
	if (want != NULL && strcmp(want, r->id) != 0) {
		reply_json(req, 421, with_clock(r, json_object()));
		return NULL;
	}
	b = request_json(req);
	if (number_of(b, "fencing_token") < r->fence) {
		refuse(r, req, "fence");
		json_decref(b);
		return NULL;
	}
	r->fence = number_of(b, "fencing_token");
	return b;
}

static void
extend_lease(struct runner *r, int64_t until)
{
	int64_t most = clock_of(r) + MAX_HOLD_MS;

	if (until > most)
		until = most;
	if (until > r->lease_until)
		r->lease_until = until;
}

/* The part of the spec for the task's step; NULL when there is none. */
static const char *
step_spec(const char *task, const char *spec)
{
	const char *dot = strchr(task, '.');
	int k, step = 0;

	if (dot == NULL || sscanf(dot, ".%d.%d", &k, &step) != 2)
		return NULL;
	for (; step > 0 && spec != NULL; step--) {
		spec = strchr(spec, ',');
		spec = spec != NULL ? spec + 1 : NULL;
	}
	return spec;
}

/* @return the reason of a refusal; NULL when the run is there. */
static const char *
start_run(struct runner *r, const json_t *b)
{
	const char *task = text_of(b, "task");
	int run = (int)number_of(b, "run");
	const struct floor *f = find_floor(r, task);
	struct sim_run *n;
	const char *spec;
	int64_t ms;

	if (find_run(r, task, run) != NULL)
		return NULL;
	if (f != NULL && run <= f->run) {
		extend_lease(r, number_of(b, "until_ms"));
		return "old";
	}
	if (number_of(b, "until_ms") <= clock_of(r))
		return "late";
	extend_lease(r, number_of(b, "until_ms"));
	spec = step_spec(task, text_of(b, "spec"));
	ms = spec != NULL ? atoll(spec) : 0;
	n = xcalloc(1, sizeof(*n));
	n->run = run;
	n->ends_at = ms > 0 ? now_ms() + ms : 0;
	str_copy(n->task, task, sizeof(n->task));
	TAILQ_INSERT_TAIL(&r->runs, n, link);
	record_line(
	    "start %s %s %d fence=%lld", r->id, task, run, (long long)r->fence);
	return NULL;
}

static void
on_start(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = take_order(r, req);
	const char *why;

	if (b == NULL)
		return;
	why = start_run(r, b);
	json_decref(b);
	if (why != NULL)
		refuse(r, req, why);
	else
		reply_json(req, 200, with_clock(r, json_object()));
}

static void
on_stop(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = take_order(r, req);
	struct sim_run *n;

	if (b == NULL)
		return;
	raise_floor(r, text_of(b, "task"), (int)number_of(b, "run"));
	n = find_run(r, text_of(b, "task"), (int)number_of(b, "run"));
	if (n != NULL)
		end_run(r, n, "stopped");
	json_decref(b);
	reply_json(req, 200, with_clock(r, json_object()));
	if (n != NULL)
		finish_holds(r, true);
}

static void
on_hold_closed(struct evhttp_connection *c, void *arg)
{
	struct sim_hold *h = arg;

	(void)c;
	TAILQ_REMOVE(&h->runner->holds, h, link);
	free(h);
}

static void
on_hold(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = take_order(r, req);
	struct sim_hold *h;
	uint64_t seen;
	int64_t wait;

	if (b == NULL)
		return;
	extend_lease(r, number_of(b, "until_ms"));
	seen = (uint64_t)number_of(b, "last_seen");
	wait = number_of(b, "wait_ms");
	note_ends(r, seen);
	json_decref(b);
	if (wait <= 0 || !TAILQ_EMPTY(&r->ends)) {
		answer_hold(r, req, seen);
		return;
	}
	h = xcalloc(1, sizeof(*h));
	h->runner = r;
	h->req = req;
	h->seen = seen;
	h->until = now_ms() + wait;
	TAILQ_INSERT_TAIL(&r->holds, h, link);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_hold_closed, h);
}

static void
write_heartbeat(struct runner *r)
{
	char address[64], rack[32];

	r->heartbeat_ms = now_ms();
	if (store_is_down())
		return;
	r->listed = true;
	snprintf(address, sizeof(address), "127.0.0.1:%u", r->port);
	snprintf(rack, sizeof(rack), "r1-%d", r->index / RACK_RUNNERS);
	store_sim_put(r->store, "servers", r->id,
	    json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:i,"
		      "s:I,s:i}",
		"service", "work", "address", address, "zone", "z", "version",
		"v1", "state", r->draining ? "draining" : "ready", "slots", 8,
		"capacity", "cpu", r->cpu, "mem_mb", r->mem_mb, "gpu", 0, "labels",
		r->index % KIND_B_EVERY == 0 ? "b" : "a", rack, "cold_left_ms",
		0, "born", (json_int_t)r->born_wall_ms, "sequence",
		r->sequence++));
}

static void
expire_entry(struct runner *r)
{
	if (!r->listed || store_is_down())
		return;
	r->listed = false;
	store_sim_remove(r->store, "servers", r->id);
}

static void
end_due_runs(struct runner *r)
{
	struct sim_run *n, *next;
	bool ended = false;

	for (n = TAILQ_FIRST(&r->runs); n != NULL; n = next) {
		next = TAILQ_NEXT(n, link);
		if (n->ends_at != 0 && now_ms() >= n->ends_at)
			end_run(r, n, "done");
		else if (clock_of(r) >= r->lease_until)
			end_run(r, n, "lapsed");
		else
			continue;
		ended = true;
	}
	finish_holds(r, ended);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct runner *r = arg;

	(void)fd;
	(void)what;
	if (r->died_ms != 0) {
		if (now_ms() - r->died_ms > EXPIRY_MS)
			expire_entry(r);
		return;
	}
	end_due_runs(r);
	if (r->cut) {
		if (now_ms() - r->cut_ms > EXPIRY_MS)
			expire_entry(r);
	} else if (now_ms() - r->heartbeat_ms >= HEARTBEAT_MS) {
		write_heartbeat(r);
	}
}

static void
clear_state(struct runner *r)
{
	struct sim_run *n;
	struct sim_end *e;
	struct floor *f;

	while ((n = TAILQ_FIRST(&r->runs)) != NULL) {
		record_line("gone %s %s %d", r->id, n->task, n->run);
		TAILQ_REMOVE(&r->runs, n, link);
		free(n);
	}
	while ((e = TAILQ_FIRST(&r->ends)) != NULL) {
		TAILQ_REMOVE(&r->ends, e, link);
		free(e);
	}
	while ((f = TAILQ_FIRST(&r->floors)) != NULL) {
		TAILQ_REMOVE(&r->floors, f, link);
		free(f);
	}
	r->nends = 0;
	r->fence = r->lease_until = 0;
}

static void
serve(struct runner *r)
{
	struct timeval tv;

	r->http = evhttp_new(r->base);
	evhttp_set_cb(r->http, "/v1/run-start", on_start, r);
	evhttp_set_cb(r->http, "/v1/run-stop", on_stop, r);
	evhttp_set_cb(r->http, "/v1/hold", on_hold, r);
	if (evhttp_bind_socket(r->http, "127.0.0.1", r->port) != 0) {
		fprintf(stderr, "standin: port %u is taken\n", r->port);
		exit(1);
	}
	gettimeofday(&tv, NULL);
	r->born_ms = now_ms();
	r->born_wall_ms = (int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000;
	r->died_ms = 0;
	r->draining = false;
	record_line("boot %s port=%u cpu=%d mem_mb=%d", r->id, r->port, r->cpu,
	    r->mem_mb);
	write_heartbeat(r);
}

struct runner *
runner_start(struct event_base *base, struct store_sim *store, const char *id,
    int index, uint16_t port, int cpu, int mem_mb)
{
	struct runner *r = xcalloc(1, sizeof(*r));
	struct timeval tv = {0, TICK_MS * 1000};

	r->base = base;
	r->store = store;
	r->index = index;
	r->port = port;
	r->cpu = cpu;
	r->mem_mb = mem_mb;
	str_copy(r->id, id, sizeof(r->id));
	TAILQ_INIT(&r->runs);
	TAILQ_INIT(&r->ends);
	TAILQ_INIT(&r->floors);
	TAILQ_INIT(&r->holds);
	serve(r);
	r->tick = event_new(base, -1, EV_PERSIST, on_tick, r);
	event_add(r->tick, &tv);
	return r;
}

void
runner_kill(struct runner *r)
{
	struct sim_hold *h;
	struct evhttp *http = r->http;

	record_line("killed %s", r->id);
	while ((h = TAILQ_FIRST(&r->holds)) != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(h->req), NULL, NULL);
		TAILQ_REMOVE(&r->holds, h, link);
		free(h);
	}
	r->http = NULL;
	if (http != NULL)
		evhttp_free(http);
	clear_state(r);
	r->died_ms = now_ms();
}

void
runner_drain(struct runner *r)
{
	record_line("draining %s", r->id);
	r->draining = true;
	write_heartbeat(r);
}

void
runner_leave(struct runner *r)
{
	runner_kill(r);
	expire_entry(r);
}

void
runner_boot(struct runner *r, bool other_id, bool half)
{
	if (r->http != NULL)
		return;
	if (other_id) {
		expire_entry(r);
		snprintf(r->id, sizeof(r->id), "i-%04d-%d", r->index,
		    ++r->nboots);
	}
	if (half) {
		r->cpu /= 2;
		r->mem_mb /= 2;
	}
	serve(r);
}

void
runner_cut(struct runner *r)
{
	if (TAILQ_EMPTY(&r->holds))
		begin_cut(r);
	else
		r->cut_next = true;
}

void
runner_heal(struct runner *r)
{
	record_line("healed %s", r->id);
	r->cut = r->cut_next = false;
	r->heartbeat_ms = 0;
}
