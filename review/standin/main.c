/*
 * Usage: standin PORT RUNNERS CPU [HALF]...
 * HALF is the number of a runner of half the size. Serves the store on PORT, control on PORT+2 and the runners from PORT+10 on.
 * Writes the record to standard output.
 *
 * Control: /store?mode=ok|busy|silent|reset|slow
 *          /config?drop=ROUTE    the next manifest, without that route
 *          /kill?runner=N        /boot?runner=N[&id=other][&size=half]
 *          /drain?runner=N       /leave?runner=N
 *          /cut?runner=N         /heal?runner=N
 */
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../src/base/xalloc.h"
#include "runner.h"

#define RUNNERS_MAX 64
#define MEM_MB 65536

static const struct {
	const char *name;
	enum fault_mode mode;
} modes[] = {
    {"ok", FAULT_NONE},
    {"busy", FAULT_BUSY},
    {"reset", FAULT_RESET},
    {"silent", FAULT_SILENT},
    {"slow", FAULT_SLOW},
};

struct standin {
	struct store_sim *store;
	struct runner *runners[RUNNERS_MAX];
	int nrunners;
	int version;
};

static bool store_down;

bool
store_is_down(void)
{
	return store_down;
}

int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

const char *
query_get(struct evkeyvalq *q, const char *name)
{
	return evhttp_find_header(q, name);
}

json_t *
request_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

void
reply_json(struct evhttp_request *req, int status, json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(body, JSON_COMPACT);

	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

void
reply_reset(struct evhttp_request *req)
{
	struct evhttp_connection *c = evhttp_request_get_connection(req);

	if (c != NULL)
		evhttp_connection_free(c);
}

static void
add_route(json_t *routes, const char *name, const char *prefix, int priority,
    const char *drop)
{
	if (drop != NULL && strcmp(drop, name) == 0)
		return;
	json_array_append_new(routes,
	    json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name", name,
		"host", "cell.example", "prefix", prefix, "timeout_ms", 3000,
		"target_latency_ms", 1200, "priority", priority, "service",
		"work", "max_attempts", 3, "stretch", 2.2));
}

static void
put_config(struct standin *s, const char *drop)
{
	json_t *routes = json_array();

	add_route(routes, "urgent", "/urgent/", 0, drop);
	add_route(routes, "batch", "/batch/", 2, drop);
	record_line("manifest version=%d without=%s", s->version,
	    drop != NULL ? drop : "-");
	store_sim_put(s->store, "op", "config",
	    json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{s:i}}", "version", s->version,
		"routes", routes, "services", "name", "work", "admission_check",
		0, "limits", "max_body_bytes", 262144));
	s->version += 2;
}

static struct runner *
runner_of(struct standin *s, struct evkeyvalq *q)
{
	const char *n = query_get(q, "runner");
	int i = n != NULL ? atoi(n) : -1;

	return i >= 0 && i < s->nrunners ? s->runners[i] : NULL;
}

static void
set_store(struct standin *s, const char *mode)
{
	size_t i;

	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++)
		if (mode != NULL && strcmp(modes[i].name, mode) == 0) {
			record_line("store %s", mode);
			store_down = modes[i].mode != FAULT_NONE &&
			    modes[i].mode != FAULT_SLOW;
			store_sim_fault(s->store, modes[i].mode);
		}
}

static void
on_control(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	struct standin *s = arg;
	struct evkeyvalq q;
	struct runner *r;

	evhttp_parse_query_str(evhttp_uri_get_query(uri), &q);
	r = runner_of(s, &q);
	if (strcmp(path, "/store") == 0)
		set_store(s, query_get(&q, "mode"));
	else if (strcmp(path, "/config") == 0)
		put_config(s, query_get(&q, "drop"));
	else if (strcmp(path, "/kill") == 0 && r != NULL)
		runner_kill(r);
	else if (strcmp(path, "/boot") == 0 && r != NULL)
		runner_boot(r, query_get(&q, "id") != NULL,
		    query_get(&q, "size") != NULL);
	else if (strcmp(path, "/drain") == 0 && r != NULL)
		runner_drain(r);
	else if (strcmp(path, "/leave") == 0 && r != NULL)
		runner_leave(r);
	else if (strcmp(path, "/cut") == 0 && r != NULL)
		runner_cut(r);
	else if (strcmp(path, "/heal") == 0 && r != NULL)
		runner_heal(r);
	evhttp_clear_headers(&q);
	reply_json(req, 200, json_object());
}

int
main(int argc, char **argv)
{
	struct event_base *base = event_base_new();
	struct standin s = {.version = 3};
	struct evhttp *http;
	char id[16];
	int port, i, k, div;

	if (argc < 4) {
		fprintf(stderr, "usage: standin PORT RUNNERS CPU [HALF]...\n");
		return 1;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	port = atoi(argv[1]);
	s.nrunners = atoi(argv[2]);
	s.store = store_sim_new(base, (uint16_t)port);
	if (s.store == NULL || s.nrunners > RUNNERS_MAX)
		return 1;
	for (i = 0; i < s.nrunners; i++) {
		snprintf(id, sizeof(id), "i-%04d", i);
		for (k = 4, div = 1; k < argc; k++)
			div = atoi(argv[k]) == i ? 2 : div;
		s.runners[i] = runner_start(base, s.store, id, i,
		    (uint16_t)(port + 10 + i), atoi(argv[3]) / div,
		    MEM_MB / div);
	}
	http = evhttp_new(base);
	evhttp_set_gencb(http, on_control, &s);
	if (evhttp_bind_socket(http, "127.0.0.1", (uint16_t)(port + 2)) != 0)
		return 1;
	put_config(&s, NULL);
	event_base_dispatch(base);
	return 0;
}
