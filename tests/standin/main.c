/* Options, record, and the HTTP server that all parts share. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "../../src/base/xalloc.h"
#include "standin.h"

struct options opt = {
    .addr = "127.0.0.1",
    .port = 17000,
    .workers = 8,
    .runners = 4,
    .worker_port = 17100,
    .runner_port = 17600,
    .cpus = 16,
    .memory_mb = 65536,
    .rack_size = 8,
    .serve_platform = true,
    .serve_hosts = true,
    .service = "desk",
};
struct faults faults;
struct event_base *base;

static FILE *record_file;

void
record_open(const char *path)
{
	record_file = fopen(path, "a");
	if (record_file == NULL) {
		perror(path);
		exit(1);
	}
	setvbuf(record_file, NULL, _IOLBF, 1 << 16);
}

int64_t
now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void
record(json_t *event)
{
	char *text;

	json_object_set_new(event, "t", json_integer(now_us()));
	if (record_file != NULL) {
		text = json_dumps(event, JSON_COMPACT);
		fprintf(record_file, "%s\n", text);
		free(text);
	}
	json_decref(event);
}

bool
chance(int pct)
{
	return pct > 0 && rand() % 100 < pct;
}

bool
is_cut(struct evhttp_request *req, char list[8][48])
{
	char *addr = NULL;
	uint16_t port;
	int i;

	evhttp_connection_get_peer(
	    evhttp_request_get_connection(req), &addr, &port);
	for (i = 0; addr != NULL && i < 8; i++)
		if (list[i][0] != '\0' && strcmp(list[i], addr) == 0)
			return true;
	return false;
}

void
reply_json(struct evhttp_request *req, int status, json_t *j)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(j, JSON_COMPACT);

	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(j);
}

json_t *
body_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_error_t e;

	if (len == 0)
		return json_object();
	return json_loadb((char *)evbuffer_pullup(in, -1), len, 0, &e);
}

void
drop(struct evhttp_request *req)
{
	evhttp_connection_free(evhttp_request_get_connection(req));
}

static void
conn_closed(struct evhttp_connection *c, void *arg)
{
	struct seen_conn *s = arg;

	(void)c;
	TAILQ_REMOVE(&s->server->conns, s, link);
	free(s);
}

bool
server_should_answer(struct server *s, struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct seen_conn *c;

	TAILQ_FOREACH (c, &s->conns, link)
		if (c->conn == conn)
			return !c->silent;
	c = xcalloc(1, sizeof(*c));
	c->conn = conn;
	c->server = s;
	TAILQ_INSERT_TAIL(&s->conns, c, link);
	evhttp_connection_set_closecb(conn, conn_closed, c);
	return true;
}

void
server_silence(struct server *s)
{
	struct seen_conn *c;

	TAILQ_FOREACH (c, &s->conns, link)
		c->silent = true;
}

void
server_init(struct server *s, const char *name, int port,
    void (*fn)(struct evhttp_request *, void *), void *arg)
{
	s->name = name;
	TAILQ_INIT(&s->conns);
	s->http = evhttp_new(base);
	evhttp_set_allowed_methods(s->http,
	    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
		EVHTTP_REQ_DELETE);
	evhttp_set_timeout(s->http, 3600);
	evhttp_set_gencb(s->http, fn, arg);
	if (evhttp_bind_socket(s->http, opt.addr, (uint16_t)port) != 0) {
		fprintf(stderr, "standin: cannot bind %s:%d\n", opt.addr, port);
		exit(1);
	}
}

static const struct {
	const char *name;
	int *value;
} int_options[] = {
    {"--port", &opt.port},
    {"--workers", &opt.workers},
    {"--runners", &opt.runners},
    {"--worker-port", &opt.worker_port},
    {"--runner-port", &opt.runner_port},
    {"--cpus", &opt.cpus},
    {"--memory", &opt.memory_mb},
    {"--accelerators", &opt.accelerators},
};

static bool
parse_int_option(const char *name, const char *value)
{
	size_t i;

	for (i = 0; i < sizeof(int_options) / sizeof(int_options[0]); i++)
		if (strcmp(int_options[i].name, name) == 0) {
			*int_options[i].value = atoi(value);
			return true;
		}
	return false;
}

static void
on_term(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	(void)arg;
	event_base_loopbreak(base);
}

int
main(int argc, char **argv)
{
	struct event *term;
	int i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 1; i + 1 < argc; i += 2) {
		if (parse_int_option(argv[i], argv[i + 1]))
			continue;
		if (strcmp(argv[i], "--record") == 0)
			record_open(argv[i + 1]);
		else if (strcmp(argv[i], "--seed") == 0)
			srand((unsigned)atoi(argv[i + 1]));
		else if (strcmp(argv[i], "--role") == 0) {
			opt.serve_platform = strcmp(argv[i + 1], "hosts") != 0;
			opt.serve_hosts = strcmp(argv[i + 1], "platform") != 0;
		} else {
			fprintf(
			    stderr, "standin: unknown option %s\n", argv[i]);
			return 2;
		}
	}
	base = event_base_new();
	if (opt.serve_platform)
		platform_start();
	if (opt.serve_hosts) {
		workers_start();
		runners_start();
	}
	term = evsignal_new(base, SIGTERM, on_term, NULL);
	event_add(term, NULL);
	event_base_dispatch(base);
	return 0;
}
