/** @file The HTTP server for callers, over real sockets. */
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/base/xalloc.h"
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
