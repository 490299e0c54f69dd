/*
 * Usage: cellsim PORT FOLDER RUNNERS CPU SCENARIO [NAME=VALUE]...
 *
 * Stand-ins for the platform's store, for runners and for clients, in one
 * process on loopback addresses, and the scenarios of the review's scripts. The
 * store listens on PORT and the runners from PORT+10 on, each with CPU
 * thousandths of a core. The hosts are e1, e2, ... on the addresses
 * 127.0.0.11, 127.0.0.12, ... with the clients' port PORT+1 and the readiness
 * port PORT+2; their process ids are in FOLDER/pid.1, ... What was sent,
 * answered and run is appended to FOLDER/record.txt.
 *
 * Exit code: 0 the rule held, 1 it was broken, 2 the scenario couldn't run.
 */
#include "sim.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct event_base *base;
struct options opt;
static FILE *record_file;
static int64_t begin_ms;

int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
record(const char *fmt, ...)
{
	va_list ap;

	fprintf(record_file, "%8.3f ", (double)(now_ms() - begin_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
}

void
finish(int code, const char *why)
{
	record("RESULT %d %s", code, why);
	fclose(record_file);
	printf("%s\n", why);
	fflush(stdout);
	_exit(code);
}

const char *
arg_text(const char *name, const char *def)
{
	size_t n = strlen(name);
	int i;

	for (i = 0; i < opt.nargs; i++)
		if (strncmp(opt.args[i], name, n) == 0 &&
		    opt.args[i][n] == '=')
			return opt.args[i] + n + 1;
	return def;
}

int
arg_int(const char *name, int def)
{
	const char *text = arg_text(name, NULL);

	return text != NULL ? atoi(text) : def;
}

uint32_t
hash_text(const char *s)
{
	uint32_t h = 2166136261u;

	for (; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * 16777619u;
	h ^= h >> 15;
	h *= 2246822519u;
	h ^= h >> 13;
	return h;
}

static int
host_pid(int host)
{
	char path[512];
	FILE *f;
	int pid = 0;

	snprintf(path, sizeof(path), "%s/pid.%d", opt.folder, host);
	f = fopen(path, "r");
	if (f == NULL)
		return 0;
	if (fscanf(f, "%d", &pid) != 1)
		pid = 0;
	fclose(f);
	return pid;
}

bool
host_signal(int host, int sig)
{
	int pid = host_pid(host);

	record("signal %d to e%d pid=%d", sig, host, pid);
	return pid > 1 && kill(pid, sig) == 0;
}

json_t *
request_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

bool
listen_on(struct evhttp *http, int port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct evconnlistener *l = evconnlistener_new_bind(base, NULL, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
	    (struct sockaddr *)&at, sizeof(at));

	return l != NULL && evhttp_bind_listener(http, l) != NULL;
}

struct delayed {
	struct evhttp_request *req;
	int status;
	json_t *body;
	struct event *timer;
};

static void
send_now(struct evhttp_request *req, int status, json_t *body)
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

static void
on_delayed_close(struct evhttp_connection *c, void *arg)
{
	(void)c;
	((struct delayed *)arg)->req = NULL;
}

static void
on_delayed(evutil_socket_t fd, short what, void *arg)
{
	struct delayed *d = arg;

	(void)fd;
	(void)what;
	if (d->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(d->req), NULL, NULL);
		send_now(d->req, d->status, d->body);
	} else {
		json_decref(d->body);
	}
	event_free(d->timer);
	free(d);
}

void
reply(struct evhttp_request *req, int status, json_t *body, int delay_ms)
{
	struct timeval tv = {delay_ms / 1000, delay_ms % 1000 * 1000};
	struct delayed *d;

	if (delay_ms == 0) {
		send_now(req, status, body);
		return;
	}
	d = calloc(1, sizeof(*d));
	d->req = req;
	d->status = status;
	d->body = body;
	d->timer = evtimer_new(base, on_delayed, d);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_delayed_close, d);
	evtimer_add(d->timer, &tv);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	runners_tick();
	clients_tick();
	scenario_tick();
	if (now_ms() - begin_ms > 110000)
		finish(2, "the scenario took too long");
}

int
main(int argc, char **argv)
{
	struct timeval tv = {0, 10000};
	char path[512];

	if (argc < 6)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	opt.port = atoi(argv[1]);
	opt.folder = argv[2];
	opt.runners = atoi(argv[3]);
	opt.cpu = atoi(argv[4]);
	opt.scenario = argv[5];
	opt.args = argv + 6;
	opt.nargs = argc - 6;
	opt.hosts = arg_int("hosts", 4);
	opt.trouble = arg_int("trouble", 1) != 0;
	begin_ms = now_ms();
	snprintf(path, sizeof(path), "%s/record.txt", opt.folder);
	record_file = fopen(path, "w");
	if (record_file == NULL)
		return 2;
	base = event_base_new();
	if (!store_init() || !runners_init() || !scenario_init()) {
		record("RESULT 2 can't start");
		fclose(record_file);
		return 2;
	}
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tv);
	event_base_dispatch(base);
	return 2;
}
