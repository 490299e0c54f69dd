#include "worker_watch.h"

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

/** Wait after a failed poll, or while the result of a start is unknown. */
#define RETRY_MS 300
/** Maximum time that a poll or a start may take to reach a worker. */
#define DELIVERY_MS 5000
/** Added to the wait of a long poll for the timeout of the call. */
#define ANSWER_SLACK_MS 2000

struct watch {
	struct node *node;
	struct worker *worker;
	struct http_call *call;
	struct event *timer;
	json_t *acks;	     /**< ended runs to confirm with the next poll */
	json_t *acks_sent;   /**< with the poll under way */
	char instance[40];   /**< of the worker process that answered last */
	json_int_t seq;	     /**< last change received; 0: poll for all tasks */
	bool full_list;	     /**< the poll under way requests all tasks */
	bool renewing;	     /**< the poll under way renews the leases */
	bool answered;	     /**< the last poll was answered */
	bool leases_expired; /**< all task leases on the worker have expired */
	int64_t sent_ms;     /**< when the poll under way was sent */
	int64_t renewed_ms;  /**< when a renewing poll was last sent */
	int64_t listed_ms;   /**< when the newest full list was requested */
	bool previous_stopped; /**< no earlier owner renews any more */
};

static void poll_send(struct watch *w);

static void
set_timer(struct watch *w, int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	evtimer_add(w->timer, &tv);
}

static struct size
size_from_object(const json_t *j)
{
	struct size s = {
	    (uint32_t)json_integer_value(json_object_get(j, "cpus")),
	    (uint32_t)json_integer_value(json_object_get(j, "memory_mb")),
	    (uint32_t)json_integer_value(json_object_get(j, "accelerators")),
	};

	return s;
}

static struct size
size_from_array(const json_t *j)
{
	struct size s = {
	    (uint32_t)json_integer_value(json_array_get(j, 0)),
	    (uint32_t)json_integer_value(json_array_get(j, 1)),
	    (uint32_t)json_integer_value(json_array_get(j, 2)),
	};

	return s;
}

/*
 * A running task is added to the pool if it is new. An ended task that is not
 * in the pool is added first too, so that its end is reported to its home.
 */
static void
apply_task(struct watch *w, const json_t *t)
{
	struct placer *p = w->node->placer;
	const char *key = json_get_text(t, "key");
	uint64_t attempt =
	    (uint64_t)json_integer_value(json_object_get(t, "attempt"));
	struct size size = size_from_object(t);

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

/* Whether the absence of a task from the full list proves that it is lost. */
static bool
absence_proves_loss(const struct watch *w, const struct reservation *r)
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
report_lost_tasks(struct watch *w, const json_t *tasks)
{
	struct reservation *r, *next;

	for (r = LIST_FIRST(&w->worker->reservations); r != NULL; r = next) {
		next = LIST_NEXT(r, link);
		if (absence_proves_loss(w, r) && !listed_in(tasks, r->key))
			placer_task_lost(w->node->placer, r);
	}
}

static void
apply_answer(struct watch *w, const json_t *body)
{
	const json_t *tasks = json_object_get(body, "tasks");
	const char *instance = json_get_text(body, "instance");
	bool full = w->full_list;
	size_t i;

	if (strcmp(instance, w->instance) != 0) {
		/* Another process than before: only a full list is valid. */
		str_copy(w->instance, instance, sizeof(w->instance));
		if (!full) {
			w->seq = 0;
			return;
		}
	}
	w->seq = json_integer_value(json_object_get(body, "seq"));
	if (full)
		w->worker->total =
		    size_from_array(json_object_get(body, "total"));
	w->worker->observed =
	    size_from_array(json_object_get(body, "observed"));
	for (i = 0; i < json_array_size(tasks); i++)
		apply_task(w, json_array_get(tasks, i));
	if (!full) {
		worker_update_slot(&w->node->pool, w->worker);
		return;
	}
	report_lost_tasks(w, tasks);
	w->listed_ms = w->sent_ms;
	if (!w->worker->listed)
		kvlog(KVLOG_DEBUG, "worker_listed", "worker=%s tasks=%zu",
		    w->worker->name, json_array_size(tasks));
	w->worker->listed = true;
	w->leases_expired = false;
	worker_update_slot(&w->node->pool, w->worker);
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
		if (w->answered)
			kvlog(KVLOG_WARN, "worker_silent",
			    "worker=%s err=%s status=%d", w->worker->name,
			    cc_strerror(a->err), a->status);
		/* The acks may not have arrived, so they are sent again. */
		json_array_extend(w->acks, w->acks_sent);
		json_array_clear(w->acks_sent);
		w->answered = false;
		w->seq = 0;
		set_timer(w, RETRY_MS);
		return;
	}
	json_array_clear(w->acks_sent);
	w->answered = true;
	apply_answer(w, body);
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

	w->full_list = w->seq == 0;
	/* The first poll renews, so that tasks outlive a change of owner. */
	w->renewing = w->answered || (w->listed_ms == 0 && w->renewed_ms == 0);
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
 * Whether the previous owner of the shard has stopped renewing leases on the
 * worker: there was none, it was this host, it released the shard or registered
 * again since, or it or the worker is gone from the platform's host list.
 */
static bool
previous_owner_stopped(struct watch *w)
{
	struct node *n = w->node;
	const struct shard *s = &n->shards[w->worker->shard];
	const struct peer_host *h;

	if (s->previous_owner[0] == '\0' ||
	    strcmp(s->previous_owner, n->settings->host) == 0 ||
	    w->worker->gone)
		return true;
	/* Not expired under its old epoch: it has released the shard. */
	h = node_host(n, s->previous_owner);
	if (h != NULL && !h->expired && h->epoch >= s->previous_epoch)
		return true;
	return hostlist_gone(n->hostlist, s->previous_owner);
}

static void
check_leases_expired(struct watch *w, int64_t now)
{
	const struct settings *s = w->node->settings;
	struct reservation *r, *next;

	if (w->answered || w->leases_expired || w->renewed_ms == 0)
		return;
	if (!w->previous_stopped) {
		if (!previous_owner_stopped(w))
			return;
		w->previous_stopped = true;
		if (w->renewed_ms < now && w->listed_ms == 0)
			w->renewed_ms = now;
	}
	if (now - w->renewed_ms < s->worker_lease_ms + DELIVERY_MS)
		return;
	w->leases_expired = true;
	w->worker->listed = false;
	worker_update_slot(&w->node->pool, w->worker);
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
	check_leases_expired(w, clock_boot_ms());
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
watch_poll_full(struct watch *w)
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
watch_tasks_expired(const struct watch *w)
{
	return w == NULL || w->leases_expired;
}
