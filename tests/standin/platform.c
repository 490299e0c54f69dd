/* The platform: table, object store and host list; and the control port. */
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

struct object {
	TAILQ_ENTRY(object) link;
	char *path;
	struct evbuffer *data;
};

/** A state that the control port set; hosts without one are live. */
struct mark {
	TAILQ_ENTRY(mark) link;
	char name[64];
	char state[16]; /**< leaving or gone */
};

static struct server platform, control;
static TAILQ_HEAD(object_list, object) objects = TAILQ_HEAD_INITIALIZER(
    objects);
static TAILQ_HEAD(mark_list, mark) marks = TAILQ_HEAD_INITIALIZER(marks);
static json_t *list, *stale_list;
static int list_version = 1;

static const struct {
	const char *name;
	int *value;
} switches[] = {
    {"table_down", &faults.table_down},
    {"table_slow_ms", &faults.table_slow_ms},
    {"table_lose_pct", &faults.table_lose_pct},
    {"table_refuse_pct", &faults.table_refuse_pct},
    {"hostlist_stale", &faults.hostlist_stale},
    {"hostlist_empty", &faults.hostlist_empty},
    {"runner_slow_ms", &faults.runner_slow_ms},
    {"runner_lose_pct", &faults.runner_lose_pct},
};

static const char *
state_of(const char *name)
{
	struct mark *m;

	TAILQ_FOREACH (m, &marks, link)
		if (strcmp(m->name, name) == 0)
			return m->state;
	return "live";
}

static void
add_host(const char *role, const char *name, int port, int index, int size)
{
	const char *state = state_of(name);
	char rack[32], zone[32];

	if (strcmp(state, "gone") == 0)
		return;
	snprintf(rack, sizeof(rack), "rack-%d", index / opt.rack_size);
	snprintf(zone, sizeof(zone), "zone-%d", index / opt.rack_size % 3);
	json_array_append_new(list,
	    json_pack("{s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name",
		name, "role", role, "addr", opt.addr, "port", port, "rack",
		rack, "zone", zone, "state", state, "service", opt.service,
		"cpus", size ? opt.cpus : 0, "memory_mb",
		size ? opt.memory_mb : 0, "accelerators",
		size && index % 4 == 0 ? opt.accelerators : 0));
}

static void
build_list(void)
{
	char name[32];
	int i;

	json_decref(list);
	list = json_array();
	for (i = 0; i < opt.workers; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		add_host("worker", name, opt.worker_port + i, i, 1);
	}
	for (i = 0; i < opt.runners; i++) {
		snprintf(name, sizeof(name), "n%d", i);
		add_host("runner", name, opt.runner_port + i, i, 0);
	}
	list_version++;
}

void
host_set_state(const char *name, const char *state)
{
	struct mark *m = xcalloc(1, sizeof(*m));

	str_copy(m->name, name, sizeof(m->name));
	str_copy(m->state, state, sizeof(m->state));
	TAILQ_INSERT_HEAD(&marks, m, link);
	build_list();
}

static void
get_hosts(struct evhttp_request *req)
{
	const char *seen = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "If-None-Match");
	json_t *now = faults.hostlist_stale ? stale_list : list;
	char tag[32];

	if (faults.hostlist_empty) {
		reply_json(req, 200, json_pack("{s:[]}", "hosts"));
		return;
	}
	snprintf(
	    tag, sizeof(tag), "v%d", faults.hostlist_stale ? 0 : list_version);
	if (seen != NULL && strcmp(seen, tag) == 0) {
		evhttp_send_reply(req, 304, NULL, NULL);
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "ETag", tag);
	reply_json(req, 200, json_pack("{s:O}", "hosts", now));
}

static struct object *
find_object(const char *path)
{
	struct object *o;

	TAILQ_FOREACH (o, &objects, link)
		if (strcmp(o->path, path) == 0)
			return o;
	return NULL;
}

static void
object_request(struct evhttp_request *req, const char *path)
{
	struct object *o = find_object(path);
	struct evbuffer *out;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT) {
		if (o == NULL) {
			o = xcalloc(1, sizeof(*o));
			o->path = xstrdup(path);
			o->data = evbuffer_new();
			TAILQ_INSERT_HEAD(&objects, o, link);
		}
		evbuffer_drain(o->data, evbuffer_get_length(o->data));
		evbuffer_add_buffer(
		    o->data, evhttp_request_get_input_buffer(req));
		evhttp_send_reply(req, 200, NULL, NULL);
		return;
	}
	if (o == NULL) {
		evhttp_send_reply(req, 404, NULL, NULL);
		return;
	}
	out = evbuffer_new();
	evbuffer_add(
	    out, evbuffer_pullup(o->data, -1), evbuffer_get_length(o->data));
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
}

struct late {
	struct evhttp_request *req;
};

static void
on_table_delay(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	table_request(arg);
}

static void
on_platform(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct timeval tv = {
	    faults.table_slow_ms / 1000, faults.table_slow_ms % 1000 * 1000};

	(void)arg;
	if (is_cut(req, faults.cut) || is_cut(req, faults.table_cut)) {
		drop(req);
		return;
	}
	if (strcmp(path, "/v1/hosts") == 0) {
		get_hosts(req);
		return;
	}
	if (faults.table_down) {
		drop(req);
		return;
	}
	if (strncmp(path, "/celerycart/", 12) == 0)
		object_request(req, path);
	else if (faults.table_slow_ms > 0)
		event_base_once(base, -1, EV_TIMEOUT, on_table_delay, req, &tv);
	else
		table_request(req);
}

static bool
set_cut(char cuts[8][48], const char *addr)
{
	int i;

	if (strcmp(addr, "none") == 0) {
		memset(cuts, 0, 8 * 48);
		return true;
	}
	for (i = 0; i < 8; i++)
		if (cuts[i][0] == '\0') {
			str_copy(cuts[i], addr, 48);
			return true;
		}
	return false;
}

static bool
apply_control(const char *verb, const char *value)
{
	size_t i;

	for (i = 0; i < sizeof(switches) / sizeof(switches[0]); i++)
		if (strcmp(switches[i].name, verb) == 0) {
			if (switches[i].value == &faults.hostlist_stale) {
				json_decref(stale_list);
				stale_list = json_deep_copy(list);
			}
			*switches[i].value = atoi(value);
			return true;
		}
	if (strcmp(verb, "cut") == 0)
		return set_cut(faults.cut, value);
	if (strcmp(verb, "table_cut") == 0)
		return set_cut(faults.table_cut, value);
	if (strcmp(verb, "leaving") == 0 || strcmp(verb, "gone") == 0) {
		host_set_state(value, verb);
		return true;
	}
	return worker_control(verb, value) || runner_control(verb, value);
}

static void
on_control(struct evhttp_request *req, void *arg)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq q;
	struct evkeyval *kv;
	bool ok = true;

	(void)arg;
	evhttp_parse_query_str(query != NULL ? query : "", &q);
	for (kv = q.tqh_first; kv != NULL; kv = kv->next.tqe_next) {
		record(json_pack("{s:s,s:s,s:s}", "ev", "fault", "verb",
		    kv->key, "value", kv->value));
		ok = apply_control(kv->key, kv->value) && ok;
	}
	evhttp_clear_headers(&q);
	reply_json(req, ok ? 200 : 400, json_pack("{s:b}", "ok", ok));
}

void
platform_start(void)
{
	build_list();
	server_init(&platform, "platform", opt.port, on_platform, NULL);
	server_init(&control, "control", opt.port + 1, on_control, NULL);
}
