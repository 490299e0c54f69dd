/*
 * standin-2 PORT RUNNERS RECORD [RACKS [CPU]]
 *
 * A stand-in for the platform of a small installation, written from the users'
 * pages: the metadata store on PORT and, through a path that can go silent, on
 * PORT+2, a control port on PORT+1 and the runners from PORT+10 on, all on
 * 127.0.0.1. What the runners see is appended to the
 * file RECORD, one line an event, with milliseconds of the boot clock. RACKS is
 * a digit for each runner, its rack; with "-" eight runners share a rack. CPU is
 * the capacity of a runner, in thousandths of a core (16000).
 *
 * The spec of a submission tells how its tasks behave, in words:
 *   S<step>:<ms>          tasks of the step end as done after that time; with 0
 *                         they last
 *   F<step>.<index>:<n>:<ms>  the first n runs of the task end as failed after
 *                         that time
 *   G<step>:<count>       the tasks of the step are a gang: they work from the
 *                         moment when all of one run are present
 * Control: POST /config with a manifest; GET /crash?runner=N&down=MS;
 * GET /late?n=N&ms=MS&what=stop|start (the next N such orders get no answer and
 * are carried out later); GET /mute?runner=N&on=0|1 (no call is answered or
 * carried out); GET /store?mode=ok|busy (calls to the store get 503, and waiting
 * calls no answer; runners can't write there); GET /silent (of the open channels through PORT+2
 * those go silent that wait for a change of the operator's table).
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#define STORE_ANSWER_MS 4
#define HEARTBEAT_MS 1500
#define MAX_HOLD_MS 10000
#define STOP_MS 100 /* a stop takes this long; stop_grace_ms is 400 */
#define GANG_TIMEOUT_MS 3000
#define MEM 65536
#define RUNNERS_MAX 16
#define HISTORY_MS 20000

static struct event_base *base;
static FILE *record;

static int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
after(int64_t ms, event_callback_fn fn, void *arg)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_base_once(base, -1, EV_TIMEOUT, fn, arg, &tv);
}

/* An answer that is sent after a delay, unless the channel has closed. */
struct answer {
	struct evhttp_request *req;
	int status;
	json_t *body;
};

static void
answer_closed(struct evhttp_connection *c, void *arg)
{
	(void)c;
	((struct answer *)arg)->req = NULL;
}

static void
answer_send(evutil_socket_t fd, short what, void *arg)
{
	struct answer *a = arg;
	char *text = json_dumps(a->body, JSON_COMPACT);

	(void)fd;
	(void)what;
	if (a->req != NULL) {
		struct evbuffer *out = evbuffer_new();

		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(a->req), NULL, NULL);
		evbuffer_add(out, text, strlen(text));
		evhttp_add_header(evhttp_request_get_output_headers(a->req),
		    "Content-Type", "application/json");
		evhttp_send_reply(a->req, a->status, NULL, out);
		evbuffer_free(out);
	}
	free(text);
	json_decref(a->body);
	free(a);
}

static void
reply(struct evhttp_request *req, int status, json_t *body, int64_t ms)
{
	struct answer *a = calloc(1, sizeof(*a));

	a->req = req;
	a->status = status;
	a->body = body;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), answer_closed, a);
	after(ms, answer_send, a);
}

static json_t *
body_of(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);

	return json_loadb((char *)evbuffer_pullup(in, -1), n, 0, NULL);
}

static const char *
str(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static int64_t
num(const json_t *j, const char *name)
{
	return (int64_t)json_number_value(json_object_get(j, name));
}

static void
query(struct evhttp_request *req, struct evkeyvalq *q)
{
	const char *text =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));

	TAILQ_INIT(q);
	if (text != NULL)
		evhttp_parse_query_str(text, q);
}

static const char *
param(struct evkeyvalq *q, const char *name, const char *missing)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? v : missing;
}

/* ---- the store ---- */

struct row {
	TAILQ_ENTRY(row) link; /* ordered by version */
	char *table, *part, *key, *value; /* value NULL: removed */
	uint64_t version;
};

struct watch {
	TAILQ_ENTRY(watch) link;
	struct evhttp_request *req;
	char *table;
	uint64_t after;
	struct event *timer;
};

static TAILQ_HEAD(rows, row) rows = TAILQ_HEAD_INITIALIZER(rows);
static TAILQ_HEAD(watches, watch) watches = TAILQ_HEAD_INITIALIZER(watches);
static uint64_t version;
static bool store_down;

/* Refuses the call if the store is down. */
static bool
refuse_down(struct evhttp_request *req)
{
	if (store_down)
		reply(req, 503, json_object(), STORE_ANSWER_MS);
	return store_down;
}

static json_t *
with_version(json_t *j)
{
	json_object_set_new(j, "row_version", json_integer((json_int_t)version));
	json_object_set_new(j, "now_ms", json_integer(now_ms()));
	return j;
}

static struct row *
row_find(const char *table, const char *part, const char *key)
{
	struct row *r;

	TAILQ_FOREACH (r, &rows, link)
		if (strcmp(r->key, key) == 0 && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0)
			return r;
	return NULL;
}

static json_t *
row_json(const struct row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "row_version", (json_int_t)r->version);

	if (r->value != NULL)
		json_object_set_new(j, "value", json_string(r->value));
	else
		json_object_set_new(j, "deleted", json_true());
	return j;
}

static void
row_set(const char *table, const char *part, const char *key, const char *value)
{
	struct row *r = row_find(table, part, key);

	if (r == NULL) {
		if (value == NULL)
			return;
		r = calloc(1, sizeof(*r));
		r->table = strdup(table);
		r->part = strdup(part);
		r->key = strdup(key);
	} else {
		TAILQ_REMOVE(&rows, r, link);
	}
	free(r->value);
	r->value = value != NULL ? strdup(value) : NULL;
	r->version = version;
	TAILQ_INSERT_TAIL(&rows, r, link);
}

static json_t *
changes(const char *table, uint64_t from)
{
	json_t *list = json_array();
	struct row *r;

	TAILQ_FOREACH (r, &rows, link)
		if (r->version > from && strcmp(r->table, table) == 0)
			json_array_append_new(list, row_json(r));
	return list;
}

static void
watch_end(struct watch *w, bool answered)
{
	TAILQ_REMOVE(&watches, w, link);
	if (answered)
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(w->req), NULL, NULL);
	if (answered && !store_down) {
		reply(w->req, 200,
		    with_version(json_pack(
			"{s:o}", "rows", changes(w->table, w->after))),
		    STORE_ANSWER_MS);
	}
	event_free(w->timer);
	free(w->table);
	free(w);
}

static void
watch_closed(struct evhttp_connection *c, void *arg)
{
	(void)c;
	watch_end(arg, false);
}

static void
watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	watch_end(arg, true);
}

static void
notify(void)
{
	struct watch *w, *next;

	if (store_down)
		return;
	for (w = TAILQ_FIRST(&watches); w != NULL; w = next) {
		json_t *list = changes(w->table, w->after);

		next = TAILQ_NEXT(w, link);
		if (json_array_size(list) > 0)
			watch_end(w, true);
		json_decref(list);
	}
}

static void
on_feed(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq q;
	struct watch *w;
	struct timeval tv;
	int wait;

	(void)arg;
	if (refuse_down(req))
		return;
	w = calloc(1, sizeof(*w));
	query(req, &q);
	w->req = req;
	w->table = strdup(param(&q, "table", ""));
	w->after = strtoull(param(&q, "after", "0"), NULL, 10);
	wait = atoi(param(&q, "wait_ms", "0"));
	evhttp_clear_headers(&q);
	tv = (struct timeval){wait / 1000, wait % 1000 * 1000};
	w->timer = evtimer_new(base, watch_timeout, w);
	evtimer_add(w->timer, &tv);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), watch_closed, w);
	TAILQ_INSERT_TAIL(&watches, w, link);
	notify();
}

static void
on_tx(struct evhttp_request *req, void *arg)
{
	json_t *b, *seen, *e;
	bool hold = true, refused = false;
	struct row *r;
	size_t i;

	(void)arg;
	if (refuse_down(req))
		return;
	b = body_of(req);
	seen = json_array();
	json_array_foreach(json_object_get(b, "expected_rev"), i, e)
	{
		r = row_find(str(e, "table"), str(e, "part"), str(e, "key"));
		hold &= num(e, "row_version") ==
		    (r != NULL && r->value != NULL ? (int64_t)r->version : 0);
		if (r != NULL && r->value != NULL)
			json_array_append_new(seen, row_json(r));
	}
	json_array_foreach(json_object_get(b, "writes"), i, e) refused |=
	    strcmp(str(e, "table"), "op") == 0 ||
	    strcmp(str(e, "table"), "servers") == 0;
	if (refused || !hold) {
		reply(req, refused ? 403 : 412,
		    with_version(json_pack("{s:o}", "rows", seen)),
		    STORE_ANSWER_MS);
		json_decref(b);
		return;
	}
	json_decref(seen);
	version++;
	json_array_foreach(json_object_get(b, "writes"), i, e) row_set(
	    str(e, "table"), str(e, "part"), str(e, "key"), str(e, "value"));
	json_array_foreach(json_object_get(b, "remove"), i, e)
	    row_set(str(e, "table"), str(e, "part"), str(e, "key"), NULL);
	json_decref(b);
	reply(req, 200, with_version(json_object()), STORE_ANSWER_MS);
	notify();
}

static int
by_key(const void *a, const void *b)
{
	return strcmp(
	    (*(struct row *const *)a)->key, (*(struct row *const *)b)->key);
}

static void
on_get(struct evhttp_request *req, void *arg)
{
	struct row *list[4096], *r;
	const char *table, *part, *from, *to;
	size_t n = 0, i, limit;
	struct evkeyvalq q;
	json_t *out;

	(void)arg;
	if (refuse_down(req))
		return;
	out = json_array();
	query(req, &q);
	table = param(&q, "table", "");
	part = param(&q, "part", "");
	from = param(&q, "from", "");
	to = param(&q, "to", NULL);
	limit = (size_t)atoi(param(&q, "limit", "500"));
	limit = limit > 500 ? 500 : limit;
	TAILQ_FOREACH (r, &rows, link)
		if (n < 4096 && r->value != NULL &&
		    strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0 &&
		    (to == NULL || strcmp(r->key, to) < 0))
			list[n++] = r;
	evhttp_clear_headers(&q);
	qsort(list, n, sizeof(*list), by_key);
	for (i = 0; i < n && i < limit; i++)
		json_array_append_new(out, row_json(list[i]));
	reply(req, 200,
	    with_version(json_pack("{s:o,s:b}", "rows", out, "has_more",
		n > limit)),
	    STORE_ANSWER_MS);
}

static void
base64(const char *in, size_t n, char *out)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				  "qrstuvwxyz0123456789+/";
	size_t i;

	for (i = 0; i < n; i += 3) {
		unsigned v = (unsigned)(uint8_t)in[i] << 16;

		if (i + 1 < n)
			v |= (unsigned)(uint8_t)in[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned)(uint8_t)in[i + 2];
		*out++ = set[v >> 18];
		*out++ = set[v >> 12 & 63];
		*out++ = i + 1 < n ? set[v >> 6 & 63] : '=';
		*out++ = i + 2 < n ? set[v & 63] : '=';
	}
	*out = '\0';
}

static void
put(const char *table, const char *key, const json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	size_t n = strlen(text);
	char *coded = malloc(n * 4 / 3 + 8);

	base64(text, n, coded);
	version++;
	row_set(table, "", key, coded);
	notify();
	free(text);
	free(coded);
}

/* ---- the runners ---- */

struct run {
	TAILQ_ENTRY(run) link;
	char task[80];
	int64_t number;
	int64_t begun_ms, ends_ms; /* ends_ms 0: lasts */
	bool fails, stopping;
	int gang;	 /* members of its gang; 0: none */
	int64_t work_ms; /* of a gang, once it is complete */
	bool complete, broken;
};

struct ended {
	TAILQ_ENTRY(ended) link;
	int64_t number;
	char task[80];
	int64_t run;
	const char *how;
};

struct tombstone {
	TAILQ_ENTRY(tombstone) link;
	char task[80];
	int64_t run;
};

struct runner;

struct hold {
	TAILQ_ENTRY(hold) link;
	struct evhttp_request *req;
	struct runner *runner;
	int64_t until_ms, seen;
};

struct runner {
	char id[32];
	int index;
	uint16_t port;
	struct evhttp *http;
	int64_t born_ms, zero_ms; /* Unix time and boot clock of its start */
	int64_t fence, lease_ms, beat_ms, nends, down_until_ms;
	int sequence;
	bool mute;
	TAILQ_HEAD(, run) runs;
	TAILQ_HEAD(, ended) ends;
	TAILQ_HEAD(, tombstone) tombstones;
	TAILQ_HEAD(, hold) holds;
};

static struct runner runners[RUNNERS_MAX];
static int nrunners;
static const char *racks;
static int cpu = 16000;
static int late_n, late_ms;
static char late_what[16];

static void
note(const struct runner *r, const char *what, const char *task, int64_t run,
    const char *more)
{
	fprintf(record, "%lld %s runner=%s task=%s run=%lld %s\n",
	    (long long)now_ms(), what, r->id, task, (long long)run, more);
	fflush(record);
}

static int64_t
clock_of(const struct runner *r)
{
	return now_ms() - r->zero_ms + 1;
}

static json_t *
with_clock(const struct runner *r, json_t *j)
{
	json_object_set_new(j, "clock_ms", json_integer(clock_of(r)));
	json_object_set_new(j, "born", json_integer(r->born_ms));
	return j;
}

static void
beat(struct runner *r)
{
	char address[32], rack[16];
	json_t *j;

	r->beat_ms = now_ms();
	snprintf(address, sizeof(address), "127.0.0.1:%u", r->port);
	snprintf(rack, sizeof(rack), "r1-%d",
	    racks != NULL && r->index < (int)strlen(racks)
		? racks[r->index] - '0'
		: r->index / 8);
	j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:{s:i,s:i,s:i},"
		      "s:[s,s],s:I}",
	    "service", "work", "address", address, "zone", "z0", "version",
	    "1.0", "slots", 8, "state", "ready", "cold_left_ms", 0, "sequence",
	    ++r->sequence, "capacity", "cpu", cpu, "mem_mb", MEM, "gpu", 0,
	    "labels", "a", rack, "born", (json_int_t)r->born_ms);
	put("servers", r->id, j);
	json_decref(j);
}

static void
hold_answer(struct hold *h)
{
	struct runner *r = h->runner;
	json_t *running = json_array(), *finished = json_array();
	struct run *n;
	struct ended *e;

	TAILQ_FOREACH (n, &r->runs, link)
		json_array_append_new(running,
		    json_pack("[s,I,s,i,i]", n->task, (json_int_t)n->number, "",
			100, 1));
	TAILQ_FOREACH (e, &r->ends, link)
		if (e->number > h->seen && json_array_size(finished) < 500)
			json_array_append_new(finished,
			    json_pack("[I,s,I,s,s]", (json_int_t)e->number,
				e->task, (json_int_t)e->run, e->how, ""));
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(h->req), NULL, NULL);
	reply(h->req, 200,
	    with_clock(r, json_pack("{s:o,s:o}", "running", running, "finished",
			      finished)),
	    1);
	TAILQ_REMOVE(&r->holds, h, link);
	free(h);
}

static void
hold_closed(struct evhttp_connection *c, void *arg)
{
	struct hold *h = arg;

	(void)c;
	TAILQ_REMOVE(&h->runner->holds, h, link);
	free(h);
}

static void
bury(struct runner *r, const char *task, int64_t run)
{
	struct tombstone *t;

	TAILQ_FOREACH (t, &r->tombstones, link)
		if (strcmp(t->task, task) == 0)
			break;
	if (t == NULL) {
		t = calloc(1, sizeof(*t));
		snprintf(t->task, sizeof(t->task), "%s", task);
		TAILQ_INSERT_TAIL(&r->tombstones, t, link);
	}
	t->run = run > t->run ? run : t->run;
}

static void
run_end(struct runner *r, struct run *n, const char *how)
{
	struct ended *e = calloc(1, sizeof(*e));
	struct hold *h, *next;

	note(r, "end", n->task, n->number, how);
	e->number = ++r->nends;
	e->run = n->number;
	e->how = how;
	snprintf(e->task, sizeof(e->task), "%s", n->task);
	TAILQ_INSERT_TAIL(&r->ends, e, link);
	bury(r, n->task, n->number);
	TAILQ_REMOVE(&r->runs, n, link);
	free(n);
	for (h = TAILQ_FIRST(&r->holds); h != NULL; h = next) {
		next = TAILQ_NEXT(h, link);
		hold_answer(h);
	}
}

static struct run *
run_find(struct runner *r, const char *task, int64_t run)
{
	struct run *n;

	TAILQ_FOREACH (n, &r->runs, link)
		if (n->number == run && strcmp(n->task, task) == 0)
			return n;
	return NULL;
}

static void
extend(struct runner *r, int64_t until)
{
	int64_t most = clock_of(r) + MAX_HOLD_MS;

	until = until > most ? most : until;
	if (until > r->lease_ms)
		r->lease_ms = until;
}

/* How often each task has been started, on all runners. */
struct count {
	TAILQ_ENTRY(count) link;
	char task[80];
	int n;
};
static TAILQ_HEAD(, count) counts = TAILQ_HEAD_INITIALIZER(counts);

static int
count_start(const char *task)
{
	struct count *c;

	TAILQ_FOREACH (c, &counts, link)
		if (strcmp(c->task, task) == 0)
			return ++c->n;
	c = calloc(1, sizeof(*c));
	snprintf(c->task, sizeof(c->task), "%s", task);
	TAILQ_INSERT_TAIL(&counts, c, link);
	return ++c->n;
}

static void
plan_end(struct run *n, const char *spec, int nth)
{
	int step = 0, index = 0, s, i, times;
	long long ms;
	const char *w;

	n->begun_ms = now_ms();
	sscanf(n->task, "%*[^.].%*d.%d.%d", &step, &index);
	for (w = spec; w != NULL && *w != '\0'; w = strchr(w, ' ')) {
		w += *w == ' ';
		if (sscanf(w, "S%d:%lld", &s, &ms) == 2 && s == step &&
		    !n->fails)
			n->ends_ms = ms > 0 ? n->begun_ms + ms : 0;
		if (sscanf(w, "G%d:%d", &s, &times) == 2 && s == step)
			n->gang = times;
		if (sscanf(w, "F%d.%d:%d:%lld", &s, &i, &times, &ms) == 4 &&
		    s == step && i == index && nth <= times) {
			n->fails = true;
			n->ends_ms = n->begun_ms + ms;
		}
	}
}

/* Length of the name of the task's step, ID.K.STEP. */
static size_t
step_len(const char *task)
{
	return (size_t)(strrchr(task, '.') - task);
}

static bool
same_gang(const struct run *a, const struct run *b)
{
	size_t len = step_len(a->task);

	return a->number == b->number && len == step_len(b->task) &&
	    strncmp(a->task, b->task, len) == 0;
}

/* Lets a gang work once all of its members are present. */
static void
gang_check(const struct run *member)
{
	struct run *n;
	int i, count = 0;
	int64_t ends = now_ms() + member->work_ms;

	for (i = 0; i < nrunners; i++)
		TAILQ_FOREACH (n, &runners[i].runs, link)
			count += same_gang(n, member);
	if (count < member->gang)
		return;
	for (i = 0; i < nrunners; i++)
		TAILQ_FOREACH (n, &runners[i].runs, link)
			if (same_gang(n, member)) {
				n->complete = true;
				n->ends_ms = ends;
			}
}

/* The other members end when one has ended otherwise than as done. */
static void
gang_break(const struct run *member)
{
	struct run *n;
	int i;

	for (i = 0; i < nrunners; i++)
		TAILQ_FOREACH (n, &runners[i].runs, link)
			if (n != member && same_gang(n, member))
				n->broken = true;
}

static const char *
start(struct runner *r, const json_t *b)
{
	const char *task = str(b, "task");
	int64_t run = num(b, "run"), until = num(b, "until_ms");
	struct tombstone *t;
	struct run *n;
	char more[64];

	if (num(b, "fencing_token") < r->fence)
		return "fence";
	r->fence = num(b, "fencing_token");
	if (run_find(r, task, run) != NULL)
		return NULL;
	extend(r, until);
	TAILQ_FOREACH (t, &r->tombstones, link)
		if (strcmp(t->task, task) == 0 && run <= t->run)
			return "old";
	if (until <= clock_of(r))
		return "late";
	n = calloc(1, sizeof(*n));
	snprintf(n->task, sizeof(n->task), "%s", task);
	n->number = run;
	plan_end(n, str(b, "spec"), count_start(task));
	snprintf(more, sizeof(more), "fence=%lld", (long long)r->fence);
	note(r, "start", task, run, more);
	TAILQ_INSERT_TAIL(&r->runs, n, link);
	if (n->gang > 0) {
		n->work_ms = n->ends_ms - n->begun_ms;
		n->ends_ms = 0;
		gang_check(n);
	}
	return NULL;
}

static void
stop(struct runner *r, const json_t *b)
{
	struct run *n = run_find(r, str(b, "task"), num(b, "run"));

	bury(r, str(b, "task"), num(b, "run"));
	if (n == NULL || n->stopping)
		return;
	note(r, "stop", n->task, n->number, "");
	n->stopping = true;
	n->ends_ms = now_ms() + STOP_MS;
}

/* An order that gets no answer and is carried out later. */
struct late_order {
	struct runner *runner;
	int64_t born_ms;
	bool is_stop;
	json_t *body;
};

static void
late_order(evutil_socket_t fd, short what, void *arg)
{
	struct late_order *o = arg;
	struct runner *r = o->runner;
	const char *why = "stop";

	(void)fd;
	(void)what;
	if (o->born_ms == r->born_ms && r->down_until_ms == 0) {
		if (!o->is_stop)
			why = start(r, o->body);
		else if (num(o->body, "fencing_token") >= r->fence)
			stop(r, o->body);
		note(r, "carried-out-late", str(o->body, "task"),
		    num(o->body, "run"), why != NULL ? why : "started");
	}
	json_decref(o->body);
	free(o);
}

static bool
is_late(struct runner *r, const char *what, json_t *b)
{
	struct late_order *o;

	if (late_n == 0 || strcmp(what, late_what) != 0)
		return false;
	late_n--;
	o = calloc(1, sizeof(*o));
	o->runner = r;
	o->born_ms = r->born_ms;
	o->is_stop = strcmp(what, "stop") == 0;
	o->body = json_incref(b);
	note(r, "left-unanswered", str(b, "task"), num(b, "run"), what);
	after(late_ms, late_order, o);
	return true;
}

/* @return the body, or NULL when the call is for another boot or not served */
static json_t *
order(struct runner *r, struct evhttp_request *req)
{
	const char *id =
	    evhttp_find_header(evhttp_request_get_input_headers(req),
		"X-Celerycart-Target-Instance");

	if (r->mute)
		return NULL;
	if (id != NULL && strcmp(id, r->id) != 0) {
		reply(req, 421, with_clock(r, json_object()), 1);
		return NULL;
	}
	return body_of(req);
}

static void
refuse(struct runner *r, struct evhttp_request *req, const char *why)
{
	reply(req, 409, with_clock(r, json_pack("{s:s}", "reason", why)), 1);
}

static void
on_start(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = order(r, req);
	const char *why;

	if (b == NULL)
		return;
	if (!is_late(r, "start", b)) {
		why = start(r, b);
		if (why != NULL) {
			note(r, "refused", str(b, "task"), num(b, "run"), why);
			refuse(r, req, why);
		} else {
			reply(req, 200, with_clock(r, json_object()), 1);
		}
	}
	json_decref(b);
}

static void
on_stop(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = order(r, req);

	if (b == NULL)
		return;
	if (is_late(r, "stop", b)) {
		json_decref(b);
		return;
	}
	if (num(b, "fencing_token") < r->fence) {
		refuse(r, req, "fence");
	} else {
		r->fence = num(b, "fencing_token");
		stop(r, b);
		reply(req, 200, with_clock(r, json_object()), 1);
	}
	json_decref(b);
}

static void
on_pace(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = order(r, req);

	if (b != NULL)
		reply(req, 200, with_clock(r, json_object()), 1);
	json_decref(b);
}

static void
on_hold(struct evhttp_request *req, void *arg)
{
	struct runner *r = arg;
	json_t *b = order(r, req);
	struct ended *e;
	struct hold *h;
	int64_t wait;

	if (b == NULL)
		return;
	if (num(b, "fencing_token") < r->fence) {
		refuse(r, req, "fence");
		json_decref(b);
		return;
	}
	r->fence = num(b, "fencing_token");
	extend(r, num(b, "until_ms"));
	while ((e = TAILQ_FIRST(&r->ends)) != NULL &&
	    e->number <= num(b, "last_seen")) {
		note(r, "noted", e->task, e->run, e->how);
		TAILQ_REMOVE(&r->ends, e, link);
		free(e);
	}
	wait = num(b, "wait_ms");
	wait = wait > 2000 ? 2000 : wait;
	h = calloc(1, sizeof(*h));
	h->req = req;
	h->runner = r;
	h->until_ms = now_ms() + wait;
	h->seen = num(b, "last_seen");
	TAILQ_INSERT_TAIL(&r->holds, h, link);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), hold_closed, h);
	if (wait == 0 || !TAILQ_EMPTY(&r->ends))
		hold_answer(h);
	json_decref(b);
}

/* A runner takes many new channels at once. */
static bool
listen_widely(struct evhttp *http, uint16_t port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct evconnlistener *l = evconnlistener_new_bind(base, NULL, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 2048,
	    (struct sockaddr *)&at, sizeof(at));

	return l != NULL && evhttp_bind_listener(http, l) != NULL;
}

static void
serve(struct runner *r)
{
	r->http = evhttp_new(base);
	evhttp_set_cb(r->http, "/v1/run-start", on_start, r);
	evhttp_set_cb(r->http, "/v1/run-stop", on_stop, r);
	evhttp_set_cb(r->http, "/v1/hold", on_hold, r);
	evhttp_set_cb(r->http, "/v1/pace", on_pace, r);
	if (!listen_widely(r->http, r->port)) {
		fprintf(stderr, "port %u is taken\n", r->port);
		exit(1);
	}
	r->zero_ms = now_ms();
	r->born_ms = wall_ms();
	r->down_until_ms = 0;
	note(r, "up", "-", 0, "");
	beat(r);
}

static void
crash(struct runner *r, int64_t down)
{
	struct run *n;
	struct ended *e;
	struct tombstone *t;
	struct hold *h;

	note(r, "crash", "-", 0, "");
	while ((h = TAILQ_FIRST(&r->holds)) != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(h->req), NULL, NULL);
		TAILQ_REMOVE(&r->holds, h, link);
		free(h);
	}
	evhttp_free(r->http);
	r->http = NULL;
	while ((n = TAILQ_FIRST(&r->runs)) != NULL) {
		if (n->gang > 0)
			gang_break(n);
		TAILQ_REMOVE(&r->runs, n, link);
		free(n);
	}
	while ((e = TAILQ_FIRST(&r->ends)) != NULL) {
		TAILQ_REMOVE(&r->ends, e, link);
		free(e);
	}
	while ((t = TAILQ_FIRST(&r->tombstones)) != NULL) {
		TAILQ_REMOVE(&r->tombstones, t, link);
		free(t);
	}
	r->fence = r->lease_ms = r->nends = 0;
	r->sequence = 0;
	r->down_until_ms = now_ms() + down;
}

static void
end_and_break(struct runner *r, struct run *n, const char *how)
{
	if (n->gang > 0 && strcmp(how, "done") != 0)
		gang_break(n);
	run_end(r, n, how);
}

static void
tick_runner(struct runner *r)
{
	struct run *n, *next;
	struct hold *h, *nh;
	int64_t now = now_ms();

	if (r->down_until_ms != 0) {
		if (now >= r->down_until_ms)
			serve(r);
		return;
	}
	for (n = TAILQ_FIRST(&r->runs); n != NULL; n = next) {
		next = TAILQ_NEXT(n, link);
		if (clock_of(r) >= r->lease_ms)
			end_and_break(r, n, "lapsed");
		else if (n->broken && !n->stopping)
			run_end(r, n, "broken");
		else if (n->gang > 0 && !n->complete && !n->stopping &&
		    now >= n->begun_ms + GANG_TIMEOUT_MS)
			run_end(r, n, "alone");
		else if (n->ends_ms != 0 && now >= n->ends_ms)
			end_and_break(r, n,
			    n->stopping	   ? "stopped"
				: n->fails ? "failed"
					   : "done");
	}
	for (h = TAILQ_FIRST(&r->holds); h != NULL; h = nh) {
		nh = TAILQ_NEXT(h, link);
		if (now >= h->until_ms)
			hold_answer(h);
	}
	if (now - r->beat_ms >= HEARTBEAT_MS && !store_down)
		beat(r);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	int i;

	(void)fd;
	(void)what;
	(void)arg;
	for (i = 0; i < nrunners; i++)
		tick_runner(&runners[i]);
}

/* ---- the path to the store ---- */

/* A channel from the path's port to the store. One that is silent forwards
 * nothing more, and isn't closed. It watches while its last call is the feed of
 * the operator's table. */
struct channel {
	TAILQ_ENTRY(channel) link;
	struct bufferevent *ends[2];
	bool silent, watches;
};
static TAILQ_HEAD(, channel) channels = TAILQ_HEAD_INITIALIZER(channels);
static uint16_t store_port;

static void
channel_read(struct bufferevent *from, void *arg)
{
	struct channel *c = arg;
	struct bufferevent *to = c->ends[from == c->ends[0]];
	struct evbuffer *in = bufferevent_get_input(from);

	if (from == c->ends[0])
		c->watches =
		    evbuffer_search(in, "rows-feed?table=op&", 19, NULL).pos >=
		    0;
	if (c->silent)
		evbuffer_drain(bufferevent_get_input(from), SIZE_MAX);
	else
		bufferevent_write_buffer(to, bufferevent_get_input(from));
}

static void
channel_event(struct bufferevent *from, short what, void *arg)
{
	struct channel *c = arg;

	(void)from;
	if (what & BEV_EVENT_CONNECTED || c->silent)
		return;
	TAILQ_REMOVE(&channels, c, link);
	bufferevent_free(c->ends[0]);
	bufferevent_free(c->ends[1]);
	free(c);
}

static void
channel_new(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct channel *c = calloc(1, sizeof(*c));
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(store_port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int i;

	(void)l;
	(void)sa;
	(void)len;
	(void)arg;
	c->ends[0] = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->ends[1] = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(
		    c->ends[i], channel_read, NULL, channel_event, c);
		bufferevent_enable(c->ends[i], EV_READ | EV_WRITE);
	}
	TAILQ_INSERT_TAIL(&channels, c, link);
	bufferevent_socket_connect(
	    c->ends[1], (struct sockaddr *)&to, sizeof(to));
}

static bool
serve_path(uint16_t port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	return evconnlistener_new_bind(base, channel_new, NULL,
		   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
		   (struct sockaddr *)&at, sizeof(at)) != NULL;
}

static void
silence_channels(void)
{
	struct channel *c;
	int open = 0, n = 0;

	TAILQ_FOREACH (c, &channels, link) {
		open += !c->silent;
		n += !c->silent && c->watches;
		c->silent |= c->watches;
	}
	fprintf(record, "%lld %d of %d open channels to the store go silent\n",
	    (long long)now_ms(), n, open);
	fflush(record);
}

/* ---- control ---- */

static void
on_config(struct evhttp_request *req, void *arg)
{
	json_t *j = body_of(req);

	(void)arg;
	if (j != NULL)
		put("op", "config", j);
	reply(req, j != NULL ? 200 : 400, json_object(), 0);
	json_decref(j);
}

static void
on_control(struct evhttp_request *req, void *arg)
{
	const char *what = arg;
	struct evkeyvalq q;
	struct runner *r;

	query(req, &q);
	r = &runners[atoi(param(&q, "runner", "0")) % RUNNERS_MAX];
	if (strcmp(what, "crash") == 0) {
		crash(r, atoi(param(&q, "down", "1000")));
	} else if (strcmp(what, "mute") == 0) {
		r->mute = atoi(param(&q, "on", "1")) != 0;
		note(r, r->mute ? "muted" : "heard-again", "-", 0, "");
	} else if (strcmp(what, "store") == 0) {
		store_down = strcmp(param(&q, "mode", "ok"), "ok") != 0;
		fprintf(record, "%lld the store is %s\n", (long long)now_ms(),
		    store_down ? "down" : "back");
		fflush(record);
		notify();
	} else if (strcmp(what, "silent") == 0) {
		silence_channels();
	} else if (strcmp(what, "late") == 0) {
		late_n = atoi(param(&q, "n", "1"));
		late_ms = atoi(param(&q, "ms", "2000"));
		snprintf(late_what, sizeof(late_what), "%s",
		    param(&q, "what", "start"));
	}
	evhttp_clear_headers(&q);
	reply(req, 200, json_object(), 0);
}

int
main(int argc, char **argv)
{
	struct timeval tv = {0, 10000};
	struct evhttp *store, *control;
	int port, i;

	if (argc < 4 || (record = fopen(argv[3], "a")) == NULL)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	port = atoi(argv[1]);
	racks = argc > 4 && argv[4][0] != '-' ? argv[4] : NULL;
	cpu = argc > 5 ? atoi(argv[5]) : cpu;
	nrunners = atoi(argv[2]);
	store_port = (uint16_t)port;
	base = event_base_new();
	store = evhttp_new(base);
	evhttp_set_cb(store, "/v1/rows-tx", on_tx, NULL);
	evhttp_set_cb(store, "/v1/rows-get", on_get, NULL);
	evhttp_set_cb(store, "/v1/rows-feed", on_feed, NULL);
	control = evhttp_new(base);
	evhttp_set_cb(control, "/config", on_config, NULL);
	evhttp_set_cb(control, "/crash", on_control, "crash");
	evhttp_set_cb(control, "/mute", on_control, "mute");
	evhttp_set_cb(control, "/late", on_control, "late");
	evhttp_set_cb(control, "/silent", on_control, "silent");
	evhttp_set_cb(control, "/store", on_control, "store");
	if (evhttp_bind_socket(store, "127.0.0.1", (uint16_t)port) != 0 ||
	    evhttp_bind_socket(control, "127.0.0.1", (uint16_t)(port + 1)) !=
		0 ||
	    !serve_path((uint16_t)(port + 2)))
		return 1;
	for (i = 0; i < nrunners && i < RUNNERS_MAX; i++) {
		struct runner *r = &runners[i];

		snprintf(r->id, sizeof(r->id), "w%d", i);
		r->index = i;
		r->port = (uint16_t)(port + 10 + i);
		TAILQ_INIT(&r->runs);
		TAILQ_INIT(&r->ends);
		TAILQ_INIT(&r->tombstones);
		TAILQ_INIT(&r->holds);
		serve(r);
	}
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tv);
	event_base_dispatch(base);
	return 0;
}
