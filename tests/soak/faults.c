/* Injects random faults, which may overlap, and ends each after a while. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../../src/base/xalloc.h"
#include "../../src/sys/clock.h"
#include "../../src/transport/http_call.h"
#include "soak.h"

#define FAULT_GAP_MS 350     /* mean time between two faults */
#define FAULT_MIN_MS 200     /* shortest fault */
#define FAULT_SPREAD_MS 3500 /* random part of a fault's length */
#define CONTROL_TIMEOUT_MS 2000
#define LARGE_CONFIG_QUEUES 3000

/** Ends a fault when its time is over. */
struct undo {
	struct soak *soak;
	int host; /**< index; -1: not a fault of a host */
	char query[64];
	enum undo_kind {
		UNDO_START,
		UNDO_CONT,
		UNDO_PROXY,
		UNDO_QUERY
	} kind;
};

static void
on_control(const struct http_answer *a, void *arg)
{
	(void)a;
	(void)arg;
}

static void
control(struct soak *s, const char *query)
{
	char path[128];
	struct http_request r = {.addr = "127.0.0.1",
	    .port = (uint16_t)(s->port + 2),
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = CONTROL_TIMEOUT_MS,
	    .fn = on_control,
	    .arg = s};

	snprintf(path, sizeof(path), "/fault?%s", query);
	http_call(s->http, &r);
}

static void
undo_now(struct undo *u)
{
	struct soak *s = u->soak;

	switch (u->kind) {
	case UNDO_START:
		if (s->hosts[u->host] != 0 &&
		    waitpid(s->hosts[u->host], NULL, WNOHANG) > 0)
			s->hosts[u->host] = 0;
		if (s->hosts[u->host] == 0)
			host_start(s, u->host);
		break;
	case UNDO_CONT:
		host_signal(s, u->host, SIGCONT);
		break;
	case UNDO_PROXY:
		proxy_set(s->proxies[u->host], PROXY_PASS);
		break;
	case UNDO_QUERY:
		control(s, u->query);
		break;
	}
}

static void
on_undo(evutil_socket_t fd, short what, void *arg)
{
	struct undo *u = arg;

	(void)fd;
	(void)what;
	undo_now(u);
	free(u);
}

static void
undo_later(struct soak *s, int64_t ms, enum undo_kind kind, int host,
    const char *query)
{
	struct undo *u = xcalloc(1, sizeof(*u));
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	u->soak = s;
	u->kind = kind;
	u->host = host;
	if (query != NULL)
		str_copy(u->query, query, sizeof(u->query));
	event_base_once(s->base, -1, EV_TIMEOUT, on_undo, u, &tv);
}

static void
fault_host(struct soak *s, int i, int64_t ms)
{
	static const int signals[] = {
	    SIGKILL, SIGKILL, SIGSTOP, SIGTERM, SIGHUP};
	int sig = signals[soak_random(s, 5)];

	if (s->hosts[i] == 0 || s->paused[i])
		return;
	if (s->verbose)
		printf("  host e%d signal %d for %lld ms\n", i, sig,
		    (long long)ms);
	host_signal(s, i, sig);
	if (sig == SIGSTOP)
		undo_later(s, ms, UNDO_CONT, i, NULL);
	else if (sig == SIGTERM)
		undo_later(s, 7000, UNDO_START, i, NULL);
	else if (sig == SIGKILL)
		undo_later(s, ms, UNDO_START, i, NULL);
}

static void
fault_proxy(struct soak *s, int i, int64_t ms)
{
	enum proxy_mode mode =
	    (enum proxy_mode)(PROXY_DELAY + soak_random(s, 3));

	if (s->verbose)
		printf("  store of e%d mode %d for %lld ms\n", i, mode,
		    (long long)ms);
	proxy_set(s->proxies[i], mode);
	undo_later(s, ms, UNDO_PROXY, i, NULL);
}

static void
fault_store(struct soak *s, int64_t ms)
{
	static const char *const modes[] = {
	    "busy", "reset", "silent", "lost", "slow", "compact"};
	const char *mode = modes[soak_random(s, 6)];
	char query[64];

	if (s->verbose)
		printf("  store %s for %lld ms\n", mode, (long long)ms);
	snprintf(query, sizeof(query), "store=%s", mode);
	control(s, query);
	undo_later(s, ms, UNDO_QUERY, -1, "store=ok");
}

static void
fault_runner(struct soak *s, int64_t ms)
{
	static const char *const modes[] = {
	    "busy", "reset", "silent", "lost", "crash", "crash", "drain"};
	const char *mode = modes[soak_random(s, 7)];
	int r = (int)soak_random(s, SOAK_RUNNERS);
	char query[64];

	if (s->verbose)
		printf("  runner %d %s for %lld ms\n", r, mode, (long long)ms);
	snprintf(query, sizeof(query), "runner=%d&mode=%s&down=%lld", r, mode,
	    (long long)ms);
	control(s, query);
	snprintf(query, sizeof(query), "runner=%d&mode=ok", r);
	undo_later(s, ms, UNDO_QUERY, -1, query);
}

/* Half of the versions have so many queues that their text takes several parts
 * between hosts. */
static void
change_config(struct soak *s, int64_t ms)
{
	char query[64];

	snprintf(query, sizeof(query), "config=%d",
	    ms % 2 == 0 ? 0 : LARGE_CONFIG_QUEUES);
	if (s->verbose)
		printf("  %s\n", query);
	control(s, query);
}

static void
kill_all(struct soak *s, int64_t ms)
{
	int i;

	if (s->verbose)
		printf("  all hosts killed for %lld ms\n", (long long)ms);
	for (i = 0; i < s->nhosts; i++) {
		if (s->hosts[i] == 0)
			continue;
		host_signal(s, i, SIGKILL);
		undo_later(s, ms, UNDO_START, i, NULL);
	}
}

static void
on_fault(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	int64_t ms = FAULT_MIN_MS + soak_random(s, FAULT_SPREAD_MS);
	int i = (int)soak_random(s, (uint32_t)s->nhosts);
	uint32_t kind = soak_random(s, 20);

	(void)fd;
	(void)what;
	if (clock_boot_ms() > s->end_ms)
		return;
	if (kind < 7)
		fault_host(s, i, ms);
	else if (kind < 11)
		fault_proxy(s, i, ms);
	else if (kind < 13)
		fault_store(s, ms);
	else if (kind < 18)
		fault_runner(s, ms);
	else if (kind == 18)
		change_config(s, ms);
	else
		kill_all(s, ms);
	faults_start(s);
}

void
faults_start(struct soak *s)
{
	int64_t ms = FAULT_GAP_MS / 2 + soak_random(s, FAULT_GAP_MS);
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_base_once(s->base, -1, EV_TIMEOUT, on_fault, s, &tv);
}

void
faults_end_all(struct soak *s)
{
	char query[64];
	int i;

	control(s, "store=ok");
	for (i = 0; i < SOAK_RUNNERS; i++) {
		snprintf(query, sizeof(query), "runner=%d&mode=ok", i);
		control(s, query);
	}
	for (i = 0; i < s->nhosts; i++) {
		proxy_set(s->proxies[i], PROXY_PASS);
		if (s->paused[i])
			host_signal(s, i, SIGCONT);
		if (s->hosts[i] != 0 && waitpid(s->hosts[i], NULL, WNOHANG) > 0)
			s->hosts[i] = 0;
		if (s->hosts[i] == 0)
			host_start(s, i);
	}
}
