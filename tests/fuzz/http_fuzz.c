/*
 * Chunk framing, headers and pipelined requests, mutated, split at random
 * places and sent on a few connections that stay open. Requests are answered at
 * once or later. What is checked besides the sanitizers: no body is larger than
 * the limit, the budget and the connections stay within theirs, and nothing is
 * left when all connections are closed.
 */
#include "http_fuzz.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/transport/http_server.h"
#include "mutate.h"

#define PORT 18995
#define CONNS 6
#define CONNS_MAX 4
#define BODY_MAX 3000
#define MEMORY_BYTES (96 << 10)
/** One read of a socket beyond the limit, charged twice. */
#define MEMORY_SLACK_BYTES (64 << 10)
#define WAITING_MAX 16
#define LATER_EVERY 3
#define CLOSE_EVERY 16

static const char *const samples[] = {
    "POST /q/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n1\r\nx\r\n1f\r\n0123456789012345678901234567890\r\n0\r\n\r"
    "\n",
    "POST /q/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world",
    "GET /q/3 HTTP/1.1\r\nHost: a\r\n\r\nGET /q/4?wait=1 HTTP/1.1\r\nHost: "
    "a\r\n\r\nDELETE /q/5 HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /q/6 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
    "4\r\nX-A: b\r\nX-A: c\r\nConnection: close\r\n\r\nbody",
};

struct harness {
	struct event_base *base;
	struct http_server *server;
	struct caller_budget budget;
	struct server_request *waiting[WAITING_MAX];
	int nwaiting;
	int fds[CONNS];
	uint32_t rng;
	int requests;
	int broken;
};

static uint32_t
random_below(struct harness *h, uint32_t n)
{
	h->rng = h->rng * 1664525u + 1013904223u;
	return (h->rng >> 8) % n;
}

static void
expect(struct harness *h, bool ok, const char *what)
{
	if (ok)
		return;
	h->broken++;
	printf("BROKEN http input: %s\n", what);
}

static void
answer(struct server_request *r)
{
	server_answer(r, 200, "text/plain", "ok", 2, NULL);
}

static void
on_request(struct server_request *r, void *arg)
{
	struct harness *h = arg;
	const uint8_t *body;
	size_t len;

	body = server_request_body(r, &len);
	expect(h, len <= BODY_MAX && body[len] == '\0', "size of a body");
	h->requests++;
	if (h->nwaiting < WAITING_MAX && random_below(h, LATER_EVERY) == 0)
		h->waiting[h->nwaiting++] = r;
	else
		answer(r);
}

static void
run_events(struct harness *h)
{
	int i;

	for (i = 0; i < 3; i++)
		event_base_loop(h->base, EVLOOP_NONBLOCK);
	expect(h, h->budget.held <= MEMORY_BYTES + MEMORY_SLACK_BYTES,
	    "memory beyond the limit");
	expect(h, h->budget.nconns[CLIENT_CALLERS] <= CONNS_MAX,
	    "connections beyond the limit");
}

static void
answer_waiting(struct harness *h)
{
	while (h->nwaiting > 0)
		answer(h->waiting[--h->nwaiting]);
	run_events(h);
}

static int
dial(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void
hang_up(int *fd)
{
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
}

/* Sends in parts, and reads some of the responses. */
static void
send_text(struct harness *h, int *fd, const struct text *t)
{
	size_t at = 0, n;
	ssize_t sent;
	char buf[512];

	while (at < t->len) {
		n = 1 + random_below(h, (uint32_t)(t->len - at));
		sent = send(*fd, t->bytes + at, n, 0);
		if (sent < 0) {
			hang_up(fd);
			return;
		}
		at += (size_t)sent;
		run_events(h);
		if (random_below(h, 2) == 0 &&
		    recv(*fd, buf, sizeof(buf), 0) == 0) {
			hang_up(fd);
			return;
		}
	}
}

static void
run_case(struct harness *h, struct mutator *m)
{
	int *fd = &h->fds[random_below(h, CONNS)];
	struct text t;

	text_init(
	    &t, samples[random_below(h, sizeof(samples) / sizeof(samples[0]))]);
	if (random_below(h, 4) != 0)
		mutate(m, &t);
	if (*fd < 0)
		*fd = dial();
	if (*fd >= 0)
		send_text(h, fd, &t);
	if (random_below(h, CLOSE_EVERY) == 0)
		hang_up(fd);
	if (random_below(h, 2) == 0)
		answer_waiting(h);
	text_done(&t);
}

int
fuzz_http(uint32_t seed, int cases)
{
	struct settings s = {.addr = "127.0.0.1", .caller_port = PORT};
	struct mutator m = {.state = seed};
	struct harness h = {.rng = seed};
	int i;

	signal(SIGPIPE, SIG_IGN);
	s.body_max = BODY_MAX;
	h.base = event_base_new();
	caller_budget_init(&h.budget, MEMORY_BYTES, CONNS_MAX, 1);
	h.server = http_server_new_limited(
	    h.base, &s, &h.budget, CLIENT_CALLERS, on_request, &h);
	expect(&h, h.server != NULL, "the server doesn't listen");
	if (h.server == NULL)
		return h.broken;
	for (i = 0; i < CONNS; i++)
		h.fds[i] = -1;
	for (i = 0; i < cases; i++)
		run_case(&h, &m);
	for (i = 0; i < CONNS; i++)
		hang_up(&h.fds[i]);
	run_events(&h);
	/* The answer to a request may bring the next one of its connection. */
	for (i = 0; i < WAITING_MAX * CONNS; i++)
		answer_waiting(&h);
	expect(&h, h.nwaiting == 0, "requests that still wait");
	expect(&h, h.requests > 0, "no request arrived");
	expect(&h, http_server_open_requests(h.server) == 0, "open requests");
	expect(&h, h.budget.nconns[CLIENT_CALLERS] == 0, "open connections");
	expect(&h, h.budget.held == 0, "memory that is still charged");
	http_server_delete(h.server);
	event_base_free(h.base);
	printf("%s http input: %d cases from seed %u, %d requests\n",
	    h.broken == 0 ? "ok" : "not ok", cases, seed, h.requests);
	return h.broken;
}
