#include "watch.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/json_get.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "hostlist.h"
#include "placer.h"

#define RETRY_MS 300
/** Longest time that a sent poll may take to reach a worker. */
#define DELIVERY_MS 5000
#define ANSWER_SLACK_MS 2000

struct watch {
	struct node *node;
	struct worker *worker;
	struct http_call *call;
	struct event *timer;
	json_t *acks;
	json_t *acks_sent;
	char instance[40];
	json_int_t seq;
	bool full;	    /**< the poll under way asks for all tasks */
	bool renewing;	    /**< and renews */
	bool ok;	    /**< the last poll was answered */
	bool dead;	    /**< all leases there have run out */
	int64_t sent_ms;    /**< the poll under way was sent */
	int64_t renewed_ms; /**< a renewing poll was last sent */
	int64_t listed_ms;  /**< the newest full list was asked for */
	bool previous_gone; /**< no earlier owner renews any more */
};

static void poll_send(struct watch *w);

static void
set_timer(struct watch *w, int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	evtimer_add(w->timer, &tv);
}

static struct size
json_size(const json_t *j)
{
	struct size s = {
	    (uint32_t)json_integer_value(json_object_get(j, "cpus")),
	    (uint32_t)json_integer_value(json_object_get(j, "memory_mb")),
	    (uint32_t)json_integer_value(json_object_get(j, "accelerators")),
	};

	return s;
}

static struct size
triple_size(const json_t *j)
{
	struct size s = {
	    (uint32_t)json_integer_value(json_array_get(j, 0)),
	    (uint32_t)json_integer_value(json_array_get(j, 1)),
	    (uint32_t)json_integer_value(json_array_get(j, 2)),
	};

	return s;
}

/*
 * Running tasks first come into the pool, then the ended ones are reported:
 * an end of an unknown task is adopted too, so that its home hears of it.
 */
static void
take_task(struct watch *w, const json_t *t)
{
	struct placer *p = w->node->placer;
	const char *key = json_get_text(t, "key");
	uint64_t attempt =
	    (uint64_t)json_integer_value(json_object_get(t, "attempt"));
	struct size size = json_size(t);

	if (*key == '\0' || strlen(key) >= TASK_KEY_LEN)
		return;
	if (strcmp(json_get_text(t, "state"), "running") == 0) {
		placer_task_seen(p, w->worker, key, attempt,
		    json_get_text(t, "class"), &size);
		return;
	}
	if (worker_pool_reservation(&w->node->pool, key) == NULL)
		placer_task_seen(p, w->worker, key, attempt,
		    json_get_text(t, "class"), &size);
	placer_task_ended(p, w->worker, key, attempt,
	    (int)json_integer_value(json_object_get(t, "exit")),
	    (uint64_t)json_integer_value(json_object_get(t, "run_ms")));
}

static bool
listed_in(const json_t *tasks, const char *key)
{
	size_t i;

	for (i = 0; i < json_array_size(tasks); i++)
		if (strcmp(json_get_text(json_array_get(tasks, i), "key"),
			key) == 0)
			return true;
	return false;
}

/* Whether a full list that does not show the task proves that it is gone. */
static bool
absence_counts(const struct watch *w, const struct reservation *r)
{
	if (r->state == RUNNING || r->state == STOPPING)
		return r->since_ms < w->sent_ms;
	if (r->state == UNCERTAIN)
		return r->since_ms + DELIVERY_MS +
		    w->node->settings->worker_lease_ms <
		    w->sent_ms;
	return false;
}

static void
find_lost(struct watch *w, const json_t *tasks)
{
	struct reservation *r, *next;

	for (r = LIST_FIRST(&w->worker->reservations); r != NULL; r = next) {
		next = LIST_NEXT(r, link);
		if (absence_counts(w, r) && !listed_in(tasks, r->key))
			placer_task_lost(w->node->placer, r);
	}
}

static void
take_answer(struct watch *w, const json_t *body)
{
	const json_t *tasks = json_object_get(body, "tasks");
	const char *instance = json_get_text(body, "instance");
	bool full = w->full;
	size_t i;

	if (strcmp(instance, w->instance) != 0) {
		/* Another process answers: only a full list says what runs. */
		str_copy(w->instance, instance, sizeof(w->instance));
		if (!full) {
			w->seq = 0;
			return;
		}
	}
	w->seq = json_integer_value(json_object_get(body, "seq"));
	if (full)
		w->worker->total = triple_size(json_object_get(body, "total"));
	w->worker->observed = triple_size(json_object_get(body, "observed"));
	for (i = 0; i < json_array_size(tasks); i++)
		take_task(w, json_array_get(tasks, i));
	if (!full) {
		worker_refresh(&w->node->pool, w->worker);
		return;
	}
	find_lost(w, tasks);
	w->listed_ms = w->sent_ms;
	if (!w->worker->listed)
		kvlog(KVLOG_DEBUG, "worker_listed", "worker=%s tasks=%zu",
		    w->worker->name, json_array_size(tasks));
	w->worker->listed = true;
	w->dead = false;
	worker_refresh(&w->node->pool, w->worker);
}

static bool
has_uncertain(const struct watch *w)
{
	const struct reservation *r;

	LIST_FOREACH (r, &w->worker->reservations, link)
		if (r->state == UNCERTAIN)
			return true;
	return false;
}

static void
poll_done(const struct http_answer *a, void *arg)
{
	struct watch *w = arg;
	json_error_t je;
	json_t *body = NULL;

	w->call = NULL;
	if (a->err == CC_OK && a->status == 200)
		body = json_loadb((const char *)a->body, a->len, 0, &je);
	if (body == NULL) {
		if (w->ok)
			kvlog(KVLOG_WARN, "worker_silent",
			    "worker=%s err=%s status=%d", w->worker->name,
			    cc_strerror(a->err), a->status);
		/* What was sent and not answered may not have arrived. */
		json_array_extend(w->acks, w->acks_sent);
		json_array_clear(w->acks_sent);
		w->ok = false;
		w->seq = 0;
		set_timer(w, RETRY_MS);
		return;
	}
	json_array_clear(w->acks_sent);
	w->ok = true;
	take_answer(w, body);
	json_decref(body);
	if (has_uncertain(w)) {
		w->seq = 0;
		set_timer(w, RETRY_MS);
		return;
	}
	poll_send(w);
}

static void
poll_send(struct watch *w)
{
	const struct settings *s = w->node->settings;
	json_t *body;
	char *text;
	int64_t wait = w->seq == 0 ? 0 : s->worker_watch_ms;
	struct http_request r = {
	    .addr = w->worker->addr,
	    .port = w->worker->port,
	    .method = EVHTTP_REQ_POST,
	    .path = "/v1/watch",
	    .content_type = "application/json",
	    .timeout_ms = wait + ANSWER_SLACK_MS,
	    .fn = poll_done,
	    .arg = w,
	};

	w->full = w->seq == 0;
	/* A first poll of a taken worker renews too: its tasks go on. */
	w->renewing = w->ok || (w->listed_ms == 0 && w->renewed_ms == 0);
	w->sent_ms = clock_boot_ms();
	if (w->renewing)
		w->renewed_ms = w->sent_ms;
	json_array_extend(w->acks_sent, w->acks);
	json_array_clear(w->acks);
	body = json_pack("{s:I,s:I,s:I,s:O}", "seq", w->seq, "wait_ms",
	    (json_int_t)wait, "lease_ms",
	    (json_int_t)(w->renewing ? s->worker_lease_ms : 0), "ack",
	    w->acks_sent);
	text = json_dumps(body, JSON_COMPACT);
	r.body = text;
	r.len = strlen(text);
	w->call = http_call(w->node->http, &r);
	free(text);
	json_decref(body);
}

/*
 * Whether the owner before this host renews no leases there any more: there
 * was none, it released the shard or registered anew since, or the platform's
 * list says that it, or the worker, is gone.
 */
static bool
previous_stopped(struct watch *w)
{
	struct node *n = w->node;
	const struct shard *s = &n->shards[w->worker->shard];
	const struct peer_host *h;

	if (s->previous[0] == '\0' ||
	    strcmp(s->previous, n->settings->host) == 0 || w->worker->gone)
		return true;
	/* With its old epoch it was never expired: it released the shard. */
	h = node_host(n, s->previous);
	if (h != NULL && !h->expired && h->epoch >= s->previous_epoch)
		return true;
	return hostlist_gone(n->hostlist, s->previous);
}

static void
check_dead(struct watch *w, int64_t now)
{
	const struct settings *s = w->node->settings;
	struct reservation *r, *next;

	if (w->ok || w->dead || w->renewed_ms == 0)
		return;
	if (!w->previous_gone) {
		if (!previous_stopped(w))
			return;
		w->previous_gone = true;
		if (w->renewed_ms < now && w->listed_ms == 0)
			w->renewed_ms = now;
	}
	if (now - w->renewed_ms < s->worker_lease_ms + DELIVERY_MS)
		return;
	w->dead = true;
	w->worker->listed = false;
	worker_refresh(&w->node->pool, w->worker);
	kvlog(KVLOG_WARN, "worker_lost", "worker=%s", w->worker->name);
	for (r = LIST_FIRST(&w->worker->reservations); r != NULL; r = next) {
		next = LIST_NEXT(r, link);
		placer_task_lost(w->node->placer, r);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct watch *w = arg;

	(void)fd;
	(void)what;
	check_dead(w, clock_boot_ms());
	if (w->call == NULL)
		poll_send(w);
}

struct watch *
watch_new(struct node *n, struct worker *worker)
{
	struct watch *w = xcalloc(1, sizeof(*w));

	w->node = n;
	w->worker = worker;
	w->acks = json_array();
	w->acks_sent = json_array();
	w->timer = evtimer_new(n->base, on_timer, w);
	set_timer(w, 0);
	return w;
}

void
watch_delete(struct watch *w)
{
	if (w == NULL)
		return;
	if (w->call != NULL)
		http_cancel(w->call);
	event_free(w->timer);
	json_decref(w->acks);
	json_decref(w->acks_sent);
	free(w);
}

void
watch_ack(struct watch *w, const char *key, uint64_t attempt)
{
	json_array_append_new(w->acks,
	    json_pack("{s:s,s:I}", "key", key, "attempt", (json_int_t)attempt));
}

void
watch_hurry(struct watch *w)
{
	w->seq = 0;
	if (w->call != NULL) {
		http_cancel(w->call);
		w->call = NULL;
		json_array_extend(w->acks, w->acks_sent);
		json_array_clear(w->acks_sent);
	}
	set_timer(w, 0);
}

bool
watch_empty(const struct watch *w)
{
	return w == NULL || w->dead;
}
