/*
 * Runners: they start and stop runs as ordered, keep a lease and a fence, and
 * list runs and ends, 500 ends at a time. A run takes as long as its spec says:
 * "ms=FROM..TO fail=PERCENT", drawn by its task's name.
 */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENDS_PAGE 500

struct end {
	TAILQ_ENTRY(end) link;
	int64_t number;
	struct run *run;
	bool lapsed; /**< the lease was over meanwhile */
};

struct tombstone {
	UT_hash_handle hh;
	char name[80];
	int number;
};

struct hold {
	TAILQ_ENTRY(hold) link;
	struct evhttp_request *req;
	struct runner *runner;
	int64_t seen, until_ms;
};

/** A call that came while the runner was cut off: served afterwards if its
 * sender hasn't closed the connection by then. */
struct held {
	TAILQ_ENTRY(held) link;
	struct evhttp_request *req;
	struct runner *runner;
	void (*fn)(struct evhttp_request *req, void *arg);
};

struct runner {
	char id[24];
	int index, port;
	int64_t born_ms, born_wall_ms, beat_ms, fence, lease_ms, nends;
	int sequence, nends_open;
	bool has_lease;
	struct run_list runs;
	TAILQ_HEAD(, end) ends;
	TAILQ_HEAD(, hold) holds;
	TAILQ_HEAD(, held) held;
	int64_t cut_until_ms;
	struct tombstone *tombstones;
};

struct breaks breaks;
struct task *tasks;
static struct runner *runners;
static int total_runs;

static int64_t
clock_of(const struct runner *r)
{
	return now_ms() - r->born_ms + 1;
}

static struct task *
task_get(const char *name)
{
	struct task *t;

	HASH_FIND_STR(tasks, name, t);
	if (t != NULL)
		return t;
	t = calloc(1, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "%s", name);
	TAILQ_INIT(&t->runs);
	HASH_ADD_STR(tasks, name, t);
	return t;
}

static json_t *
with_clock(const struct runner *r, json_t *body)
{
	json_object_set_new(body, "clock_ms", json_integer(clock_of(r)));
	json_object_set_new(body, "born", json_integer(r->born_wall_ms));
	return body;
}

static void
refuse(struct runner *r, struct evhttp_request *req, const char *why)
{
	reply(req, 409, with_clock(r, json_pack("{s:s}", "reason", why)), 0);
}

static void
breach(int *count, const char *what, const struct task *t, const struct run *a,
    const struct run *b)
{
	char text[400];

	(*count)++;
	snprintf(text, sizeof(text),
	    "%s task=%s run=%d runner=%s how=%s noted=%d, then run=%d "
	    "runner=%s",
	    what, t->name, a != NULL ? a->number : 0,
	    a != NULL ? a->runner->id : "", a == NULL || a->how == NULL ? "runs"
									: a->how,
	    a != NULL && a->noted, b->number, b->runner->id);
	record("BROKEN %s", text);
	if (breaks.first[0] == '\0')
		snprintf(breaks.first, sizeof(breaks.first), "%s", text);
}

static void
on_held_close(struct evhttp_connection *c, void *arg)
{
	struct held *h = arg;

	(void)c;
	TAILQ_REMOVE(&h->runner->held, h, link);
	free(h);
}

/* @return whether the runner is cut off, so that the call waits */
static bool
is_cut(struct runner *r, struct evhttp_request *req,
    void (*fn)(struct evhttp_request *req, void *arg))
{
	struct held *h;

	if (now_ms() >= r->cut_until_ms)
		return false;
	h = calloc(1, sizeof(*h));
	h->req = req;
	h->runner = r;
	h->fn = fn;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_held_close, h);
	TAILQ_INSERT_TAIL(&r->held, h, link);
	return true;
}

static void
serve_held(struct runner *r)
{
	struct held *h;
	struct evhttp_request *req;
	void (*fn)(struct evhttp_request *req, void *arg);

	while ((h = TAILQ_FIRST(&r->held)) != NULL) {
		req = h->req;
		fn = h->fn;
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(req), NULL, NULL);
		TAILQ_REMOVE(&r->held, h, link);
		free(h);
		fn(req, r);
	}
}

void
runner_cut(int runner, int ms)
{
	record("runner %s is cut off for %d ms", runners[runner].id, ms);
	runners[runner].cut_until_ms = now_ms() + ms;
}

static bool
for_other(struct runner *r, struct evhttp_request *req)
{
	const char *id =
	    evhttp_find_header(evhttp_request_get_input_headers(req),
		"X-Celerycart-Target-Instance");

	if (id == NULL || strcmp(id, r->id) == 0)
		return false;
	reply(req, 421, with_clock(r, json_object()), 0);
	return true;
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
	return json_integer_value(json_object_get(j, name));
}

/* @return whether the order is refused */
static bool
fenced(struct runner *r, struct evhttp_request *req, const json_t *b)
{
	int64_t token = number_of(b, "fencing_token");

	if (token < r->fence) {
		refuse(r, req, "fence");
		return true;
	}
	r->fence = token;
	return false;
}

static void
extend_lease(struct runner *r, int64_t until)
{
	int64_t most = clock_of(r) + MAX_HOLD_MS;

	until = until > most ? most : until;
	if (until > r->lease_ms)
		r->lease_ms = until;
	r->has_lease = r->lease_ms > clock_of(r);
}

static void
add_tombstone(struct runner *r, const char *name, int number)
{
	struct tombstone *b;

	HASH_FIND_STR(r->tombstones, name, b);
	if (b == NULL) {
		b = calloc(1, sizeof(*b));
		snprintf(b->name, sizeof(b->name), "%s", name);
		HASH_ADD_STR(r->tombstones, name, b);
	}
	b->number = number > b->number ? number : b->number;
}

static struct run *
run_find(struct runner *r, const char *name, int number)
{
	struct run *n;
	struct task *t;

	HASH_FIND_STR(tasks, name, t);
	if (t == NULL)
		return NULL;
	TAILQ_FOREACH (n, &t->runs, task_link)
		if (n->how == NULL && n->runner == r && n->number == number)
			return n;
	return NULL;
}

static void
hold_answer(struct hold *h)
{
	struct runner *r = h->runner;
	json_t *running = json_array(), *finished = json_array();
	struct evhttp_request *req = h->req;
	const struct run *n;
	const struct end *e;
	int count = 0;

	TAILQ_FOREACH (n, &r->runs, link)
		json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", n->task->name, n->number, "", 100,
			0));
	TAILQ_FOREACH (e, &r->ends, link) {
		if (e->number <= h->seen)
			continue;
		if (++count > ENDS_PAGE)
			break;
		json_array_append_new(finished,
		    json_pack("[I,s,i,s,s]", (json_int_t)e->number,
			e->run->task->name, e->run->number, e->run->how, ""));
	}
	if (count > 100)
		record("runner %s lists %d of %d ends, %zu runs", r->id,
		    count > ENDS_PAGE ? ENDS_PAGE : count, r->nends_open,
		    json_array_size(running));
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	TAILQ_REMOVE(&r->holds, h, link);
	free(h);
	reply(req, 200,
	    with_clock(r,
		json_pack(
		    "{s:o,s:o}", "running", running, "finished", finished)),
	    0);
}

static void
run_end(struct run *n, const char *how)
{
	struct runner *r = n->runner;
	struct end *e = calloc(1, sizeof(*e));

	n->how = how;
	n->end_ms = now_ms();
	n->task->running--;
	TAILQ_REMOVE(&r->runs, n, link);
	if (strcmp(how, "done") == 0) {
		n->task->done = true;
		n->task->done_ms = n->end_ms;
	}
	e->number = ++r->nends;
	e->run = n;
	e->lapsed = strcmp(how, "lapsed") == 0;
	TAILQ_INSERT_TAIL(&r->ends, e, link);
	r->nends_open++;
	add_tombstone(r, n->task->name, n->number);
	record("end task=%s run=%d runner=%s how=%s end=%lld", n->task->name,
	    n->number, r->id, how, (long long)e->number);
}

static void
answer_holds(struct runner *r)
{
	struct hold *h, *next;

	for (h = TAILQ_FIRST(&r->holds); h != NULL; h = next) {
		next = TAILQ_NEXT(h, link);
		if (now_ms() >= h->until_ms || r->nends > h->seen)
			hold_answer(h);
	}
}

/* An end "done" that is taken note of: no other run of the task may start
 * after it, then or before. */
static void
note_end(struct end *e)
{
	struct run *n = e->run, *b;

	n->noted = !e->lapsed;
	if (!n->noted || strcmp(n->how, "done") != 0)
		return;
	n->task->done_noted = true;
	TAILQ_FOREACH (b, &n->task->runs, task_link)
		if (b != n && b->start_ms > n->end_ms)
			breach(&breaks.again, "started after done, noted later",
			    n->task, n, b);
}

static void
acknowledge(struct runner *r, int64_t seen)
{
	struct end *e;

	while ((e = TAILQ_FIRST(&r->ends)) != NULL && e->number <= seen) {
		note_end(e);
		TAILQ_REMOVE(&r->ends, e, link);
		r->nends_open--;
		free(e);
	}
}

static void
on_hold_close(struct evhttp_connection *c, void *arg)
{
	struct hold *h = arg;

	(void)c;
	TAILQ_REMOVE(&h->runner->holds, h, link);
	free(h);
}

static void
on_hold(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = is_cut(r, req, on_hold) ? NULL : request_json(req);
	struct hold *h;
	int64_t wait;

	if (b == NULL)
		return;
	if (for_other(r, req) || fenced(r, req, b)) {
		json_decref(b);
		return;
	}
	if (number_of(b, "until_ms") > 0)
		extend_lease(r, number_of(b, "until_ms"));
	acknowledge(r, number_of(b, "last_seen"));
	wait = number_of(b, "wait_ms");
	h = calloc(1, sizeof(*h));
	h->req = req;
	h->runner = r;
	h->seen = number_of(b, "last_seen");
	h->until_ms = now_ms() + (wait > 2000 ? 2000 : wait);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_hold_close, h);
	TAILQ_INSERT_TAIL(&r->holds, h, link);
	answer_holds(r);
	json_decref(b);
}

static void
check_start(struct task *t, const struct run *n)
{
	struct run *a, *last = NULL;

	TAILQ_FOREACH (a, &t->runs, task_link) {
		if (a == n)
			continue;
		last = a;
		if (a->how == NULL)
			breach(&breaks.twice, "two runs at a time", t, a, n);
	}
	if (t->done_noted)
		breach(&breaks.again, "started after done, noted before", t,
		    last, n);
}

static const char *
submitted_spec(const char *task)
{
	char id[20];
	struct sub *s;

	snprintf(id, sizeof(id), "%.16s", task);
	HASH_FIND_STR(subs, id, s);
	return s != NULL ? s->body : NULL;
}

static void
start(struct runner *r, const char *name, int number, const char *spec)
{
	struct task *t = task_get(name);
	struct run *n = calloc(1, sizeof(*n));
	int from = 500, to = 500, fail = 0;
	char key[120];

	sscanf(spec, "ms=%d..%d fail=%d", &from, &to, &fail);
	n->task = t;
	n->runner = r;
	n->number = number;
	n->start_ms = now_ms();
	n->end_ms = n->start_ms + from +
	    (int)(hash_text(name) % (uint32_t)(to - from + 1));
	snprintf(key, sizeof(key), "%s#%d", name, number);
	n->fails = (int)(hash_text(key) % 100) < fail;
	TAILQ_INSERT_TAIL(&r->runs, n, link);
	TAILQ_INSERT_TAIL(&t->runs, n, task_link);
	t->running++;
	total_runs++;
	record("start task=%s run=%d runner=%s fence=%lld", name, number, r->id,
	    (long long)r->fence);
	if (submitted_spec(name) == NULL ||
	    strstr(submitted_spec(name), spec) == NULL)
		breach(&breaks.unasked, "unasked", t, NULL, n);
	check_start(t, n);
}

static void
on_start(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = is_cut(r, req, on_start) ? NULL : request_json(req);
	const char *name = text_of(b, "task");
	int number = (int)number_of(b, "run");
	int64_t until = number_of(b, "until_ms");
	struct tombstone *old;

	if (b == NULL)
		return;
	if (for_other(r, req) || fenced(r, req, b)) {
		json_decref(b);
		return;
	}
	if (run_find(r, name, number) != NULL) {
		extend_lease(r, until);
		reply(req, 200, with_clock(r, json_object()), 0);
		json_decref(b);
		return;
	}
	HASH_FIND_STR(r->tombstones, name, old);
	if (old != NULL && number <= old->number) {
		extend_lease(r, until);
		refuse(r, req, "old");
	} else if (until <= clock_of(r)) {
		refuse(r, req, "late");
	} else {
		extend_lease(r, until);
		start(r, name, number, text_of(b, "spec"));
		reply(req, 200, with_clock(r, json_object()), 0);
	}
	json_decref(b);
}

static void
on_stop(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = is_cut(r, req, on_stop) ? NULL : request_json(req);
	const char *name = text_of(b, "task");
	int number = (int)number_of(b, "run");
	struct run *n;

	if (b == NULL)
		return;
	if (for_other(r, req) || fenced(r, req, b)) {
		json_decref(b);
		return;
	}
	n = run_find(r, name, number);
	if (n != NULL && !n->stopping) {
		n->stopping = true;
		n->stop_ms = now_ms() + STOP_GRACE_MS / 4;
	} else if (n == NULL) {
		add_tombstone(r, name, number);
	}
	record("stop task=%s run=%d runner=%s there=%d", name, number, r->id,
	    n != NULL);
	reply(req, 200, with_clock(r, json_object()), 0);
	json_decref(b);
}

static void
on_pace(struct evhttp_request *req, void *arg)
{
	if (is_cut(arg, req, on_pace))
		return;
	reply(req, 200, with_clock(arg, json_object()), 0);
}

static void
beat(struct runner *r)
{
	char address[40];

	r->beat_ms = now_ms();
	snprintf(address, sizeof(address), "127.0.0.1:%d", r->port);
	store_put("servers", "", r->id,
	    json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I}",
		"service", "work", "address", address, "zone", "z1", "version",
		"1", "slots", 8, "state", "ready", "cold_left_ms", 0,
		"sequence", ++r->sequence, "capacity", "cpu", opt.cpu, "mem_mb",
		65536, "gpu", 0, "labels", "a", "r1-1", "born",
		(json_int_t)r->born_wall_ms));
}

static void
runner_tick(struct runner *r)
{
	struct run *n, *next;
	int64_t now = now_ms();
	struct end *e;

	if (now - r->beat_ms >= BEAT_MS)
		beat(r); /* a cut is from the machines, not from the store */
	for (n = TAILQ_FIRST(&r->runs); n != NULL; n = next) {
		next = TAILQ_NEXT(n, link);
		if (n->stopping && now >= n->stop_ms)
			run_end(n, "stopped");
		else if (now >= n->end_ms)
			run_end(n, n->fails ? "failed" : "done");
	}
	if (r->has_lease && clock_of(r) >= r->lease_ms) {
		r->has_lease = false;
		record("lease over at %s", r->id);
		TAILQ_FOREACH (e, &r->ends, link)
			e->lapsed = true;
		while ((n = TAILQ_FIRST(&r->runs)) != NULL)
			run_end(n, "lapsed");
	}
	if (now < r->cut_until_ms)
		return;
	serve_held(r);
	answer_holds(r);
}

void
runners_tick(void)
{
	int i;

	for (i = 0; i < opt.runners; i++)
		runner_tick(&runners[i]);
}

int
runs_now(void)
{
	const struct task *t;
	int n = 0;

	for (t = tasks; t != NULL; t = t->hh.next)
		n += t->running;
	return n;
}

int
runs_total(void)
{
	return total_runs;
}

int
fullest_runner(void)
{
	const struct run *n;
	int i, best = 0, count, most = 0;

	for (i = 0; i < opt.runners; i++) {
		count = 0;
		TAILQ_FOREACH (n, &runners[i].runs, link)
			count++;
		if (count > most) {
			most = count;
			best = i;
		}
	}
	return best;
}

static bool
runner_init(struct runner *r, int i)
{
	struct evhttp *http = evhttp_new(base);

	r->index = i;
	r->port = opt.port + 10 + i;
	r->born_ms = now_ms();
	r->born_wall_ms = wall_ms();
	snprintf(r->id, sizeof(r->id), "i-%08x", 0x5a000000 + i);
	TAILQ_INIT(&r->runs);
	TAILQ_INIT(&r->ends);
	TAILQ_INIT(&r->holds);
	TAILQ_INIT(&r->held);
	evhttp_set_cb(http, "/v1/hold", on_hold, r);
	evhttp_set_cb(http, "/v1/run-start", on_start, r);
	evhttp_set_cb(http, "/v1/run-stop", on_stop, r);
	evhttp_set_cb(http, "/v1/pace", on_pace, r);
	return listen_on(http, r->port);
}

bool
runners_init(void)
{
	int i;

	runners = calloc((size_t)opt.runners, sizeof(*runners));
	for (i = 0; i < opt.runners; i++)
		if (!runner_init(&runners[i], i))
			return false;
	return true;
}
