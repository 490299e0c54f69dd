/*
 * Load of a client that isn't cooperative, for tests of a server's limits.
 *   load_caller --addr A --port P --pattern NAME [--conns N] [--seconds S]
 * Patterns:
 *   length    bodies of 262,144 bytes with Content-Length, half of them sent
 *             in pieces of 1,000 bytes
 *   chunks    the same, chunked in 32 KB pieces
 *   bytes     the same, chunked in pieces of one byte
 *   pipeline  readiness requests, pipelined, whose responses aren't read
 * Of the bodies, one of eight is sent whole; the others stop one byte before
 * their end. All connections stay open for S seconds (default 4) unless the
 * server closes them; none is opened again. Prints the counts.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"

#define CONNS 20
#define SECONDS 4
#define BODY_BYTES 262144
#define CHUNK_BYTES (32 << 10)
#define SMALL_PIECE_BYTES 1000
#define WRITE_BYTES (64 << 10)
/** Enough that the responses don't fit into the socket buffers. */
#define PIPELINED 100000
#define RECEIVE_BUFFER_BYTES 4096
#define WHOLE_EVERY 8
#define POLL_MS 20

static const char readiness[] = "GET /v1/readiness HTTP/1.1\r\n"
				"Host: cell.example\r\n\r\n";

struct conn {
	int fd;
	const char *text;
	size_t at;
	size_t len;
	size_t piece; /**< largest write */
	bool reads;   /**< reads what the server sends */
};

/* The text of one connection of a pattern. */
struct text {
	char *bytes;
	size_t len;
};

static void
append(struct text *t, const char *bytes, size_t len)
{
	memcpy(t->bytes + t->len, bytes, len);
	t->len += len;
}

static void
append_chunked(struct text *t, const char *body, size_t chunk)
{
	char head[16];
	size_t at;

	for (at = 0; at < BODY_BYTES; at += chunk) {
		append(t, head,
		    (size_t)snprintf(head, sizeof(head), "%zx\r\n", chunk));
		append(t, body + at, chunk);
		append(t, "\r\n", 2);
	}
	append(t, "0\r\n\r\n", 5);
}

/* A request whose body takes @p chunk bytes a chunk; 0: not chunked. */
static struct text
make_submission(size_t chunk)
{
	struct text t = {xmalloc(BODY_BYTES * 8), 0};
	char *body = xmalloc(BODY_BYTES);
	char head[256];
	int n;

	memset(body, ' ', BODY_BYTES);
	n = snprintf(head, sizeof(head),
	    "POST /urgent/00000000000000aa HTTP/1.1\r\nHost: cell.example\r\n");
	append(&t, head, (size_t)n);
	if (chunk == 0) {
		n = snprintf(head, sizeof(head), "Content-Length: %d\r\n\r\n",
		    BODY_BYTES);
		append(&t, head, (size_t)n);
		append(&t, body, BODY_BYTES);
	} else {
		n = snprintf(
		    head, sizeof(head), "Transfer-Encoding: chunked\r\n\r\n");
		append(&t, head, (size_t)n);
		append_chunked(&t, body, chunk);
	}
	free(body);
	return t;
}

static struct text
make_pipeline(void)
{
	struct text t = {xmalloc(PIPELINED * sizeof(readiness)), 0};
	int i;

	for (i = 0; i < PIPELINED; i++)
		append(&t, readiness, sizeof(readiness) - 1);
	return t;
}

static int
connect_to(const char *addr, int port, bool reads)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0), n = RECEIVE_BUFFER_BYTES;

	if (!reads)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &n, sizeof(n));
	if (inet_pton(AF_INET, addr, &a.sin_addr) != 1 ||
	    connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void
conn_close(struct conn *c)
{
	close(c->fd);
	c->fd = -1;
}

/* Reads what has arrived; closes the connection at its end. */
static void
conn_read(struct conn *c)
{
	char buf[4096];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN))
		conn_close(c);
}

static size_t
conn_write(struct conn *c)
{
	size_t left = c->len - c->at;
	ssize_t n =
	    send(c->fd, c->text + c->at, left < c->piece ? left : c->piece, 0);

	if (n > 0) {
		c->at += (size_t)n;
		return (size_t)n;
	}
	if (n < 0 && errno != EAGAIN)
		conn_close(c);
	return 0;
}

static size_t
step(struct conn *conns, struct pollfd *fds, int n)
{
	size_t sent = 0;
	int i;

	for (i = 0; i < n; i++) {
		fds[i].fd = conns[i].fd;
		fds[i].events = (short)((conns[i].reads ? POLLIN : 0) |
		    (conns[i].at < conns[i].len ? POLLOUT : 0));
	}
	poll(fds, (nfds_t)n, POLL_MS);
	for (i = 0; i < n; i++) {
		if (conns[i].fd < 0)
			continue;
		if (fds[i].revents & POLLOUT)
			sent += conn_write(&conns[i]);
		else if (fds[i].revents & POLLIN)
			conn_read(&conns[i]);
		else if (fds[i].revents & (POLLERR | POLLHUP))
			conn_close(&conns[i]);
	}
	return sent;
}

/* @return the number of connections that are open at the end. */
static int
run(struct conn *conns, int n, int seconds, size_t *sent)
{
	struct pollfd *fds = xcalloc((size_t)n, sizeof(*fds));
	int64_t end = clock_boot_ms() + seconds * 1000;
	int i, open = 0;

	while (clock_boot_ms() < end)
		*sent += step(conns, fds, n);
	for (i = 0; i < n; i++)
		open += conns[i].fd >= 0;
	free(fds);
	return open;
}

int
main(int argc, char **argv)
{
	struct arg_str *addr = arg_str1(NULL, "addr", "A", "address");
	struct arg_int *port = arg_int1(NULL, "port", "P", "port");
	struct arg_str *pattern = arg_str1(NULL, "pattern", "NAME", "pattern");
	struct arg_int *count = arg_int0(NULL, "conns", "N", "connections");
	struct arg_int *secs = arg_int0(NULL, "seconds", "S", "duration");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr, port, pattern, count, secs, end};
	struct conn *conns;
	struct text t;
	size_t sent = 0;
	bool pipeline, length;
	int i, n, open;

	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "load_caller");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	pipeline = strcmp(pattern->sval[0], "pipeline") == 0;
	length = strcmp(pattern->sval[0], "length") == 0;
	t = pipeline
	    ? make_pipeline()
	    : make_submission(length			       ? 0
		      : strcmp(pattern->sval[0], "bytes") == 0 ? 1
							       : CHUNK_BYTES);
	n = count->count > 0 ? count->ival[0] : CONNS;
	conns = xcalloc((size_t)n, sizeof(*conns));
	for (i = 0; i < n; i++) {
		bool whole = pipeline || i % WHOLE_EVERY == WHOLE_EVERY - 1;

		conns[i].text = t.bytes;
		conns[i].len = whole ? t.len : t.len - (length ? 1 : 5);
		conns[i].piece =
		    length && i % 2 == 1 ? SMALL_PIECE_BYTES : WRITE_BYTES;
		conns[i].reads = !pipeline;
		conns[i].fd =
		    connect_to(addr->sval[0], port->ival[0], !pipeline);
	}
	open = run(conns, n, secs->count > 0 ? secs->ival[0] : SECONDS, &sent);
	printf("conns=%d open=%d sent_kb=%zu\n", n, open, sent >> 10);
	free(t.bytes);
	free(conns);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
