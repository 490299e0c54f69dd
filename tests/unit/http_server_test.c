/** @file The HTTP server for callers, over real sockets. */
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"
#include "../../src/transport/http_server.h"
#include "unit.h"

#define PORT 18990
#define TARGET "/queue/0123456789abcdef?wait=250"
#define LONG_VALUE "a-value-that-is-long-enough-to-be-cut-anywhere"

struct request_seen {
	int n;
	char path[128];
	char param[32];
	char header[64];
	char body[64];
};

static void
on_request(struct server_request *r, void *arg)
{
	struct request_seen *s = arg;
	const char *param = server_request_param(r, "wait");
	const char *header = server_request_header(r, "X-Long");
	const uint8_t *body;
	size_t len;

	s->n++;
	str_copy(s->path, server_request_path(r), sizeof(s->path));
	str_copy(s->param, param != NULL ? param : "", sizeof(s->param));
	str_copy(s->header, header != NULL ? header : "", sizeof(s->header));
	body = server_request_body(r, &len);
	str_copy(s->body, (const char *)body,
	    len + 1 < sizeof(s->body) ? len + 1 : sizeof(s->body));
	server_answer(r, 200, "text/plain", "ok", 2, NULL);
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void
run_events(struct event_base *base)
{
	int i;

	for (i = 0; i < 4; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
}

/* A request that arrives in two parts, split at each byte in turn, is
 * handled once and whole. */
void
test_http_server_split_request(void)
{
	static const char text[] = "POST " TARGET " HTTP/1.1\r\n"
				   "Host: a.example\r\n"
				   "X-Long: " LONG_VALUE "\r\n"
				   "Content-Length: 11\r\n\r\nhello world";
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};
	struct event_base *base = event_base_new();
	struct request_seen seen;
	struct http_server *f;
	size_t cut;
	int fd, wrong = 0;

	s.body_max = 1 << 20;
	f = http_server_new(base, &s, on_request, &seen);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	for (cut = 1; cut < strlen(text); cut++) {
		char answer[512];

		memset(&seen, 0, sizeof(seen));
		fd = connect_to(PORT);
		CU_ASSERT_FATAL(fd >= 0);
		run_events(base);
		CU_ASSERT(write(fd, text, cut) == (ssize_t)cut);
		run_events(base);
		CU_ASSERT(write(fd, text + cut, strlen(text) - cut) > 0);
		run_events(base);
		wrong += seen.n != 1 ||
		    strcmp(seen.path, "/queue/0123456789abcdef") != 0 ||
		    strcmp(seen.param, "250") != 0 ||
		    strcmp(seen.header, LONG_VALUE) != 0 ||
		    strcmp(seen.body, "hello world") != 0;
		if (getenv("LOUD") != NULL)
			printf(
			    "cut=%zu n=%d path=%s param=%s header=%s body=%s\n",
			    cut, seen.n, seen.path, seen.param, seen.header,
			    seen.body);
		CU_ASSERT(recv(fd, answer, sizeof(answer), MSG_DONTWAIT) > 0);
		close(fd);
		run_events(base);
	}
	CU_ASSERT_EQUAL(wrong, 0);
	http_server_delete(f);
	event_base_free(base);
}

#define CHUNKS 3000
#define PIPELINED 400

struct whole_seen {
	int n;
	size_t len;
	int wrong;
};

/* Answers with the path; counts bytes of the body that differ from 'x'. */
static void
on_whole(struct server_request *r, void *arg)
{
	struct whole_seen *s = arg;
	const char *path = server_request_path(r);
	const uint8_t *body = server_request_body(r, &s->len);
	size_t i;

	s->n++;
	for (i = 0; i < s->len; i++)
		s->wrong += body[i] != 'x';
	server_answer(r, 200, "text/plain", path, strlen(path), NULL);
}

static struct http_server *
whole_server(struct event_base *base, struct whole_seen *seen)
{
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};

	s.body_max = 1 << 20;
	memset(seen, 0, sizeof(*seen));
	return http_server_new(base, &s, on_whole, seen);
}

/* Guards against losing or repeating parts when they are joined. */
void
test_http_server_byte_chunks(void)
{
	static const char head[] = "POST /q HTTP/1.1\r\nHost: a.example\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	struct event_base *base = event_base_new();
	struct whole_seen seen;
	struct http_server *f = whole_server(base, &seen);
	int fd, i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fd = connect_to(PORT);
	CU_ASSERT_FATAL(fd >= 0);
	run_events(base);
	CU_ASSERT(write(fd, head, strlen(head)) > 0);
	for (i = 0; i < CHUNKS; i++) {
		CU_ASSERT(write(fd, "1\r\nx\r\n", 6) == 6);
		if (i % 7 == 0)
			run_events(base);
	}
	CU_ASSERT(write(fd, "0\r\n\r\n", 5) == 5);
	run_events(base);
	CU_ASSERT_EQUAL(seen.n, 1);
	CU_ASSERT_EQUAL(seen.len, CHUNKS);
	CU_ASSERT_EQUAL(seen.wrong, 0);
	close(fd);
	run_events(base);
	http_server_delete(f);
	event_base_free(base);
}

/* Guards against lost or repeated requests where parsing pauses for responses
 * that are unread. */
void
test_http_server_pipelined(void)
{
	struct event_base *base = event_base_new();
	struct whole_seen seen;
	struct http_server *f = whole_server(base, &seen);
	char *text = xcalloc(PIPELINED, 64), *answers = xcalloc(PIPELINED, 256);
	const char *at = answers;
	size_t got = 0;
	ssize_t n;
	int fd, i, in_order = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	for (i = 0; i < PIPELINED; i++)
		sprintf(text + strlen(text),
		    "GET /p%06d HTTP/1.1\r\nHost: a.example\r\n\r\n", i);
	fd = connect_to(PORT);
	CU_ASSERT_FATAL(fd >= 0);
	run_events(base);
	CU_ASSERT(write(fd, text, strlen(text)) == (ssize_t)strlen(text));
	for (i = 0; i < PIPELINED; i++) {
		run_events(base);
		n = recv(
		    fd, answers + got, PIPELINED * 256 - got - 1, MSG_DONTWAIT);
		got += n > 0 ? (size_t)n : 0;
	}
	for (i = 0; i < PIPELINED; i++) {
		char path[16];

		snprintf(path, sizeof(path), "/p%06d", i);
		at = strstr(at, path);
		if (at == NULL)
			break;
		in_order++;
	}
	CU_ASSERT_EQUAL(seen.n, PIPELINED);
	CU_ASSERT_EQUAL(in_order, PIPELINED);
	close(fd);
	run_events(base);
	http_server_delete(f);
	event_base_free(base);
	free(text);
	free(answers);
}

#define LARGE_BYTES (16 << 20)
#define PAUSE_US 20000

static void
on_large(struct server_request *r, void *arg)
{
	server_answer(r, 200, "text/plain", arg, LARGE_BYTES, NULL);
}

/* Guards against idle time that starts when a response is queued: a caller that
 * took long to read it would be closed as idle at once. */
void
test_http_server_idle_after_read(void)
{
	static const char text[] = "GET /q HTTP/1.1\r\nHost: a.example\r\n\r\n";
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};
	struct event_base *base = event_base_new();
	char *large = xcalloc(1, LARGE_BYTES), buf[65536];
	struct caller_budget b;
	struct http_server *f;
	const struct client *c;
	int64_t read_ms;
	size_t got = 0;
	ssize_t n;
	int fd, tries;

	caller_budget_init(&b, 4 * LARGE_BYTES, 4, 4);
	s.body_max = 1 << 20;
	f = http_server_new_limited(
	    base, &s, &b, CLIENT_CALLERS, on_large, large);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fd = connect_to(PORT);
	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT(write(fd, text, strlen(text)) == (ssize_t)strlen(text));
	run_events(base);
	c = TAILQ_FIRST(&b.clients);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT(c->since_ms != 0);
	usleep(PAUSE_US);
	read_ms = clock_boot_ms();
	for (tries = 0; got < LARGE_BYTES && tries < 100000; tries++) {
		run_events(base);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		got += n > 0 ? (size_t)n : 0;
	}
	run_events(base);
	CU_ASSERT(got >= LARGE_BYTES);
	CU_ASSERT_EQUAL(c->since_ms, 0);
	CU_ASSERT(c->idle_since_ms >= read_ms);
	close(fd);
	run_events(base);
	http_server_delete(f);
	event_base_free(base);
	free(large);
}

#define LATE_MS 20000
#define TICK_WAIT_US 600000

/* Guards against counting a request as one of a slow sender when the server
 * stopped reading it for lack of memory. */
void
test_http_server_stopped_is_memory(void)
{
	static const char part[] = "GET /q HTTP/1.1\r\n";
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};
	struct event_base *base = event_base_new();
	struct caller_budget b;
	struct http_server *f;
	struct client *c;
	int fd;

	caller_budget_init(&b, 1, 4, 4);
	s.body_max = 1 << 20;
	f = http_server_new_limited(
	    base, &s, &b, CLIENT_CALLERS, on_large, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fd = connect_to(PORT);
	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT(write(fd, part, strlen(part)) == (ssize_t)strlen(part));
	run_events(base);
	c = TAILQ_FIRST(&b.clients);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT(c->since_ms != 0);
	c->since_ms -= LATE_MS;
	usleep(TICK_WAIT_US);
	run_events(base);
	CU_ASSERT_EQUAL(b.ends[CLIENT_END_SLOW_SENDER], 0);
	CU_ASSERT_EQUAL(b.ends[CLIENT_END_MEMORY], 1);
	CU_ASSERT_PTR_NULL(TAILQ_FIRST(&b.clients));
	close(fd);
	http_server_delete(f);
	event_base_free(base);
}

static void
on_check(struct server_request *r, void *arg)
{
	(void)arg;
	server_answer(r, 200, NULL, "", 0, NULL);
}

/* Guards against a request to a monitoring port whose time starts anew with
 * each header line, and against idle time that starts before the response was
 * written. */
void
test_monitor_port_header_lines(void)
{
	static const char *const lines[] = {
	    "GET /ready HTTP/1.1\r\n", "Host: a.example\r\n", "X-A: b\r\n"};
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};
	struct event_base *base = event_base_new();
	struct caller_budget b;
	struct http_server *p;
	const struct client *c;
	int64_t since_ms = 0, end_ms;
	int fd;
	size_t i;

	caller_budget_init(&b, 1 << 20, 4, 4);
	s.body_max = 1 << 20;
	p = http_server_new_limited(
	    base, &s, &b, CLIENT_MONITORING, on_check, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	fd = connect_to(PORT);
	CU_ASSERT_FATAL(fd >= 0);
	run_events(base);
	c = TAILQ_FIRST(&b.clients);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		CU_ASSERT(write(fd, lines[i], strlen(lines[i])) > 0);
		run_events(base);
		CU_ASSERT(c->since_ms != 0);
		since_ms = i == 0 ? c->since_ms : since_ms;
		CU_ASSERT_EQUAL(c->since_ms, since_ms);
		usleep(PAUSE_US);
	}
	end_ms = clock_boot_ms();
	CU_ASSERT(write(fd, "\r\n", 2) == 2);
	run_events(base);
	CU_ASSERT_EQUAL(c->since_ms, 0);
	CU_ASSERT(c->idle_since_ms >= end_ms);
	close(fd);
	run_events(base);
	http_server_delete(p);
	event_base_free(base);
}

/* A server that drains, with one client connected to it. */
struct draining {
	struct event_base *base;
	struct http_server *server;
	int fd;
};

static void
draining_start(struct draining *d, server_fn fn, void *arg)
{
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};

	s.body_max = 1 << 20;
	d->base = event_base_new();
	d->server = http_server_new(d->base, &s, fn, arg);
	CU_ASSERT_PTR_NOT_NULL_FATAL(d->server);
	d->fd = connect_to(PORT);
	CU_ASSERT_FATAL(d->fd >= 0);
	run_events(d->base);
}

static void
draining_stop(struct draining *d)
{
	close(d->fd);
	run_events(d->base);
	http_server_delete(d->server);
	event_base_free(d->base);
}

static void
drain_past_tick(struct draining *d)
{
	http_server_drain(d->server);
	usleep(TICK_WAIT_US);
	run_events(d->base);
}

/* Reads until the server closes the connection or has nothing more to send.
 * @return bytes read */
static size_t
read_to_end(struct draining *d, bool *closed)
{
	char buf[65536];
	size_t got = 0;
	ssize_t n;
	int idle = 0;

	*closed = false;
	while (!*closed && idle < 100) {
		run_events(d->base);
		n = recv(d->fd, buf, sizeof(buf), MSG_DONTWAIT);
		*closed = n == 0;
		idle = n > 0 ? 0 : idle + 1;
		got += n > 0 ? (size_t)n : 0;
	}
	return got;
}

/* Guards against LOST: a server that drains closed connections whose response
 * was still in its buffers. */
void
test_http_server_drain_unsent(void)
{
	static const char text[] = "GET /q HTTP/1.1\r\nHost: a.example\r\n\r\n";
	char *large = xcalloc(1, LARGE_BYTES);
	struct draining d;
	bool closed;

	draining_start(&d, on_large, large);
	CU_ASSERT(write(d.fd, text, strlen(text)) == (ssize_t)strlen(text));
	run_events(d.base);
	CU_ASSERT_EQUAL(http_server_open_requests(d.server), 0);
	drain_past_tick(&d);
	CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 1);
	CU_ASSERT(read_to_end(&d, &closed) >= LARGE_BYTES);
	CU_ASSERT(closed);
	CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 0);
	draining_stop(&d);
	free(large);
}

/* Guards against LOST: a server that drains closed connections on which a part
 * of a request had been read. */
void
test_http_server_drain_partial(void)
{
	static const char head[] = "POST /q HTTP/1.1\r\nHost: a.example\r\n"
				   "Content-Length: 5\r\n";
	static const char *const rests[] = {"\r\nhello", "hello"};
	struct draining d;
	struct whole_seen seen;
	bool closed;
	size_t i;

	for (i = 0; i < sizeof(rests) / sizeof(rests[0]); i++) {
		memset(&seen, 0, sizeof(seen));
		draining_start(&d, on_whole, &seen);
		CU_ASSERT(write(d.fd, head, strlen(head)) > 0);
		if (rests[i][0] != '\r')
			CU_ASSERT(write(d.fd, "\r\n", 2) == 2);
		run_events(d.base);
		drain_past_tick(&d);
		CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 1);
		CU_ASSERT(write(d.fd, rests[i], strlen(rests[i])) > 0);
		CU_ASSERT(read_to_end(&d, &closed) > 0);
		CU_ASSERT(closed);
		CU_ASSERT_EQUAL(seen.n, 1);
		draining_stop(&d);
	}
}

/* Guards against LOST: a process that ended while a request had arrived that it
 * hadn't read; and against one that never closes an idle connection. */
void
test_http_server_drain_unread(void)
{
	static const char text[] = "GET /q HTTP/1.1\r\nHost: a.example\r\n\r\n";
	struct draining d;
	struct whole_seen seen = {0};
	bool closed;

	draining_start(&d, on_whole, &seen);
	CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 0);
	CU_ASSERT(write(d.fd, text, strlen(text)) == (ssize_t)strlen(text));
	CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 1);
	CU_ASSERT(read_to_end(&d, &closed) > 0);
	CU_ASSERT_FALSE(closed);
	CU_ASSERT_EQUAL(http_server_busy_connections(d.server), 0);
	drain_past_tick(&d);
	CU_ASSERT_EQUAL(read_to_end(&d, &closed), 0);
	CU_ASSERT(closed);
	draining_stop(&d);
}
