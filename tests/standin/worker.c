/* Workers: start every task they are given, stop tasks whose lease has
 * expired, and report ends to a long poll. */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

#define FAIL_AFTER_MS 20 /* run time of a task that is to fail */

struct task {
	TAILQ_ENTRY(task) link;
	struct worker *worker;
	struct event *end;
	char key[96];
	char class_name[64];
	int cpus, memory_mb, accelerators;
	int serial;	    /**< distinguishes runs of the same key */
	json_int_t attempt; /**< from the start request */
	int64_t started_us;
	int64_t lease_until_us;
	int64_t seq; /**< worker's sequence number at the last change */
	bool running;
	int exit;
	int64_t run_ms;
};

struct worker {
	struct server server;
	char name[32];
	char instance[40]; /**< new after each restart */
	TAILQ_HEAD(task_list, task) tasks;
	int64_t seq;
	int serials;
	bool fails;		     /**< its tasks fail soon after start */
	struct evhttp_request *poll; /**< open long poll, or NULL */
	int64_t poll_seq;
	struct event *poll_timer;
	struct event *lease_timer;
};

static struct worker *workers;

static void
task_event(const char *ev, const struct task *t, const char *why)
{
	record(json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s,s:s}", "ev", ev,
	    "worker", t->worker->name, "key", t->key, "serial", t->serial,
	    "cpus", t->cpus, "memory_mb", t->memory_mb, "accelerators",
	    t->accelerators, "class", t->class_name, "why", why));
}

static json_t *
task_report(const struct task *t)
{
	if (!t->running)
		return json_pack("{s:s,s:I,s:s,s:i,s:I}", "key", t->key,
		    "attempt", t->attempt, "state", "ended", "exit", t->exit,
		    "run_ms", (json_int_t)t->run_ms);
	return json_pack("{s:s,s:I,s:s,s:s,s:i,s:i,s:i}", "key", t->key,
	    "attempt", t->attempt, "class", t->class_name, "state", "running",
	    "cpus", t->cpus, "memory_mb", t->memory_mb, "accelerators",
	    t->accelerators);
}

/* A report since 0 lists all tasks, a later one only the newly ended runs. */
static json_t *
worker_report(struct worker *w, int64_t since)
{
	json_t *tasks = json_array(), *j;
	struct task *t;
	int cpus = 0, mem = 0, acc = 0;

	TAILQ_FOREACH (t, &w->tasks, link) {
		if (t->running) {
			cpus += t->cpus;
			mem += t->memory_mb;
			acc += t->accelerators;
		}
		if (t->seq > since && (since == 0 || !t->running))
			json_array_append_new(tasks, task_report(t));
	}
	j = json_pack("{s:s,s:I,s:[i,i,i],s:o}", "instance", w->instance, "seq",
	    (json_int_t)w->seq, "observed", cpus, mem, acc, "tasks", tasks);
	if (since == 0)
		json_object_set_new(j, "total",
		    json_pack("[i,i,i]", opt.cpus, opt.memory_mb,
			(int)(w - workers) % 4 == 0 ? opt.accelerators : 0));
	return j;
}

static void
poll_answer(struct worker *w)
{
	struct evhttp_request *req = w->poll;

	if (req == NULL)
		return;
	w->poll = NULL;
	evtimer_del(w->poll_timer);
	reply_json(req, 200, worker_report(w, w->poll_seq));
}

static void
task_stop(struct task *t, int exit, const char *why)
{
	if (!t->running)
		return;
	t->running = false;
	t->exit = exit;
	t->run_ms = (now_us() - t->started_us + 500) / 1000;
	t->seq = ++t->worker->seq;
	evtimer_del(t->end);
	task_event("stop", t, why);
	poll_answer(t->worker);
}

static void
on_end(evutil_socket_t fd, short what, void *arg)
{
	struct task *t = arg;
	bool bad = t->worker->fails || strncmp(t->key, "bad-", 4) == 0;

	(void)fd;
	(void)what;
	task_stop(t, bad ? 1 : 0, "end");
}

static void
on_lease_timer(evutil_socket_t fd, short what, void *arg)
{
	struct worker *w = arg;
	struct task *t;
	int64_t now = now_us();

	(void)fd;
	(void)what;
	TAILQ_FOREACH (t, &w->tasks, link)
		if (t->running && t->lease_until_us < now)
			task_stop(t, 143, "lease");
}

static int
int_of(const json_t *j, const char *name)
{
	return (int)json_integer_value(json_object_get(j, name));
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static void
start_task(struct worker *w, struct evhttp_request *req)
{
	json_t *j = body_json(req);
	struct task *t = xcalloc(1, sizeof(*t));
	int64_t ms = json_integer_value(json_object_get(j, "run_ms"));
	struct timeval tv;

	str_copy(t->key, text_of(j, "key"), sizeof(t->key));
	str_copy(t->class_name, text_of(j, "class"), sizeof(t->class_name));
	t->worker = w;
	t->cpus = int_of(j, "cpus");
	t->memory_mb = int_of(j, "memory_mb");
	t->accelerators = int_of(j, "accelerators");
	t->serial = ++w->serials;
	t->attempt = json_integer_value(json_object_get(j, "attempt"));
	t->started_us = now_us();
	t->lease_until_us =
	    t->started_us + (int64_t)int_of(j, "lease_ms") * 1000;
	t->seq = ++w->seq;
	t->running = true;
	t->end = evtimer_new(base, on_end, t);
	if (w->fails || strncmp(t->key, "bad-", 4) == 0)
		ms = FAIL_AFTER_MS;
	tv = (struct timeval){ms / 1000, ms % 1000 * 1000};
	evtimer_add(t->end, &tv);
	TAILQ_INSERT_TAIL(&w->tasks, t, link);
	task_event("start", t, "");
	json_decref(j);
	if (faults.runner_lose_pct > 0 && chance(faults.runner_lose_pct))
		drop(req);
	else
		reply_json(req, 201, json_pack("{s:s}", "key", t->key));
}

static void
delete_task(struct worker *w, struct evhttp_request *req, const char *key)
{
	struct task *t;
	char *plain = evhttp_uridecode(key, 0, NULL);
	bool found = false;

	TAILQ_FOREACH (t, &w->tasks, link)
		if (strcmp(t->key, plain) == 0) {
			task_stop(t, 137, "deleted");
			found = true;
		}
	free(plain);
	reply_json(req, found ? 200 : 404, json_pack("{s:b}", "found", found));
}

static void
remove_acked(struct worker *w, const json_t *ack)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->running || strcmp(t->key, text_of(ack, "key")) != 0 ||
		    t->attempt !=
			json_integer_value(json_object_get(ack, "attempt")))
			continue;
		TAILQ_REMOVE(&w->tasks, t, link);
		event_free(t->end);
		free(t);
	}
}

static void
on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	poll_answer(arg);
}

static void
serve_watch(struct worker *w, struct evhttp_request *req)
{
	json_t *j = body_json(req), *acks = json_object_get(j, "ack");
	int64_t seq = json_integer_value(json_object_get(j, "seq"));
	int wait = int_of(j, "wait_ms"), lease = int_of(j, "lease_ms");
	struct timeval tv = {wait / 1000, wait % 1000 * 1000};
	struct task *t;
	size_t i;

	for (i = 0; i < json_array_size(acks); i++)
		remove_acked(w, json_array_get(acks, i));
	if (lease > 0)
		TAILQ_FOREACH (t, &w->tasks, link)
			if (t->running)
				t->lease_until_us =
				    now_us() + (int64_t)lease * 1000;
	json_decref(j);
	poll_answer(w); /* a new poll ends the previous one */
	w->poll = req;
	w->poll_seq = seq;
	if (wait == 0 || w->seq > seq)
		poll_answer(w);
	else
		evtimer_add(w->poll_timer, &tv);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct worker *w = arg;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (w->server.dead || is_cut(req, faults.cut)) {
		drop(req);
		return;
	}
	if (!server_should_answer(&w->server, req))
		return;
	if (strcmp(path, "/v1/tasks") == 0)
		start_task(w, req);
	else if (strncmp(path, "/v1/tasks/", 10) == 0)
		delete_task(w, req, path + 10);
	else if (strcmp(path, "/v1/watch") == 0)
		serve_watch(w, req);
	else
		evhttp_send_reply(req, 404, NULL, NULL);
}

static void
new_instance(struct worker *w)
{
	snprintf(w->instance, sizeof(w->instance), "%s-%lld", w->name,
	    (long long)now_us());
	w->seq = 1;
}

/* Simulates a crash: the new process has none of the tasks. */
static void
restart(struct worker *w)
{
	struct task *t, *next;

	for (t = TAILQ_FIRST(&w->tasks); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->running)
			task_event("stop", t, "restart");
		TAILQ_REMOVE(&w->tasks, t, link);
		event_free(t->end);
		free(t);
	}
	w->poll = NULL;
	new_instance(w);
}

bool
worker_control(const char *verb, const char *name)
{
	struct worker *w = NULL;
	int i;

	for (i = 0; i < opt.workers && opt.serve_hosts; i++)
		if (strcmp(workers[i].name, name) == 0)
			w = &workers[i];
	if (w == NULL)
		return false;
	if (strcmp(verb, "worker_fail") == 0)
		w->fails = true;
	else if (strcmp(verb, "worker_mend") == 0)
		w->fails = w->server.dead = false;
	else if (strcmp(verb, "worker_dead") == 0)
		w->server.dead = true;
	else if (strcmp(verb, "worker_restart") == 0)
		restart(w);
	else if (strcmp(verb, "worker_silent") == 0) {
		server_silence(&w->server);
		w->poll = NULL;
		evtimer_del(w->poll_timer);
	} else
		return false;
	return true;
}

void
workers_start(void)
{
	struct timeval tv = {0, 50000};
	int i;

	workers = xcalloc((size_t)opt.workers + 1, sizeof(*workers));
	for (i = 0; i < opt.workers; i++) {
		struct worker *w = &workers[i];

		snprintf(w->name, sizeof(w->name), "w%d", i);
		TAILQ_INIT(&w->tasks);
		new_instance(w);
		w->poll_timer = evtimer_new(base, on_poll_timer, w);
		w->lease_timer =
		    event_new(base, -1, EV_PERSIST, on_lease_timer, w);
		event_add(w->lease_timer, &tv);
		server_init(
		    &w->server, w->name, opt.worker_port + i, on_request, w);
	}
}
