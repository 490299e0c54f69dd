#include "caller_budget.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"

#define LOG_INTERVAL_MS 1000

static const char *const end_names[CLIENT_ENDS] = {
    "memory", "connections", "slow_sender", "slow_reader", "idle"};

void
caller_budget_init(
    struct caller_budget *b, size_t limit, int callers_max, int monitoring_max)
{
	memset(b, 0, sizeof(*b));
	TAILQ_INIT(&b->clients);
	b->limit = limit;
	b->conns_max[CLIENT_CALLERS] = callers_max;
	b->conns_max[CLIENT_MONITORING] = monitoring_max;
}

/* What an address uses of the resource that is short. */
static size_t
used_by(
    const struct client_address *a, enum client_end why, enum client_port port)
{
	return why == CLIENT_END_MEMORY ? a->held : (size_t)a->nconns[port];
}

static struct client_address *
address_of(struct caller_budget *b, const struct in6_addr *ip)
{
	struct client_address *a;

	HASH_FIND(hh, b->addresses, ip, sizeof(*ip), a);
	if (a != NULL)
		return a;
	a = xcalloc(1, sizeof(*a));
	a->ip = *ip;
	HASH_ADD(hh, b->addresses, ip, sizeof(a->ip), a);
	return a;
}

static bool
may_close(const struct client *c, const struct client *spared,
    enum client_end why, enum client_port port)
{
	return c != spared && !c->answering &&
	    (why == CLIENT_END_MEMORY ? c->held > 0 : c->port == port);
}

/* Unfinished requests before idle connections, and the oldest of each first. */
static bool
is_before(const struct client *a, const struct client *b)
{
	if ((a->since_ms != 0) != (b->since_ms != 0))
		return a->since_ms != 0;
	if (a->since_ms != 0)
		return a->since_ms < b->since_ms;
	return a->idle_since_ms < b->idle_since_ms;
}

static struct client *
choose(const struct caller_budget *b, const struct client *spared,
    enum client_end why, enum client_port port)
{
	struct client *c, *best = NULL;
	size_t used, most = 0;

	for (c = TAILQ_FIRST(&b->clients); c != NULL; c = TAILQ_NEXT(c, link)) {
		if (!may_close(c, spared, why, port))
			continue;
		used = used_by(c->address, why, port);
		if (best == NULL || used > most ||
		    (used == most && is_before(c, best))) {
			best = c;
			most = used;
		}
	}
	return best;
}

static void
join_address(struct caller_budget *b, struct client *c)
{
	c->address = address_of(b, &c->ip);
	c->address->n++;
	c->address->nconns[c->port]++;
	c->address->held += c->held;
}

static void
leave_address(struct caller_budget *b, struct client *c)
{
	struct client_address *a = c->address;

	a->held -= c->held;
	a->nconns[c->port]--;
	if (--a->n > 0)
		return;
	HASH_DEL(b->addresses, a);
	free(a);
}

void
caller_budget_set_ip(
    struct caller_budget *b, struct client *c, const struct in6_addr *ip)
{
	leave_address(b, c);
	c->ip = *ip;
	join_address(b, c);
}

bool
caller_budget_add(struct caller_budget *b, struct client *c, int64_t now)
{
	struct client *victim;

	if (b->nconns[c->port] >= b->conns_max[c->port]) {
		victim = choose(b, NULL, CLIENT_END_CONNECTIONS, c->port);
		if (victim == NULL)
			return false;
		caller_budget_end(b, victim, CLIENT_END_CONNECTIONS, now);
	}
	c->held = 0;
	c->since_ms = 0;
	c->idle_since_ms = now;
	c->answering = false;
	join_address(b, c);
	TAILQ_INSERT_TAIL(&b->clients, c, link);
	b->nconns[c->port]++;
	return true;
}

void
caller_budget_remove(struct caller_budget *b, struct client *c)
{
	TAILQ_REMOVE(&b->clients, c, link);
	b->nconns[c->port]--;
	b->held -= c->held;
	leave_address(b, c);
}

void
caller_budget_charge(struct caller_budget *b, struct client *c, size_t bytes)
{
	b->held += bytes - c->held;
	c->address->held += bytes - c->held;
	c->held = bytes;
}

/* Buffers of libevent are charged twice their length, as their parts are
 * rounded up. */
void
caller_budget_charge_buffers(
    struct caller_budget *b, struct client *c, size_t buffered, size_t other)
{
	caller_budget_charge(b, c, 2 * buffered + other);
}

void
caller_budget_set_busy(struct client *c, int64_t now)
{
	if (c->since_ms == 0)
		c->since_ms = now;
}

void
caller_budget_set_idle(struct client *c, int64_t now)
{
	c->since_ms = 0;
	c->idle_since_ms = now;
}

int
caller_budget_conns_from(const struct caller_budget *b,
    const struct in6_addr *ip, enum client_port port)
{
	const struct client_address *a;

	HASH_FIND(hh, b->addresses, ip, sizeof(*ip), a);
	return a != NULL ? a->nconns[port] : 0;
}

bool
caller_budget_relieve(
    struct caller_budget *b, const struct client *spared, int64_t now)
{
	struct client *c;

	while (b->held > b->limit) {
		c = choose(b, spared, CLIENT_END_MEMORY, CLIENT_CALLERS);
		if (c == NULL)
			return false;
		caller_budget_end(b, c, CLIENT_END_MEMORY, now);
	}
	return true;
}

static void
log_end(struct caller_budget *b, const struct client *c, enum client_end why,
    int64_t now)
{
	char ip[INET6_ADDRSTRLEN] = "";

	if (why == CLIENT_END_IDLE ||
	    (b->logged[why] != 0 && now - b->logged_ms[why] < LOG_INTERVAL_MS))
		return;
	inet_ntop(AF_INET6, &c->ip, ip, sizeof(ip));
	kvlog(KVLOG_WARN, "client_closed",
	    "why=%s ip=%s bytes=%zu age_ms=%lld all_bytes=%zu more=%llu",
	    end_names[why], ip, c->held,
	    (long long)(c->since_ms != 0 ? now - c->since_ms : 0), b->held,
	    (unsigned long long)(b->ends[why] - b->logged[why] - 1));
	b->logged_ms[why] = now;
	b->logged[why] = b->ends[why];
}

void
caller_budget_end(
    struct caller_budget *b, struct client *c, enum client_end why, int64_t now)
{
	b->ends[why]++;
	log_end(b, c, why, now);
	c->close(c);
}

static size_t
put(char *buf, size_t at, size_t size, const char *name, uint64_t value)
{
	int n = snprintf(at < size ? buf + at : NULL, at < size ? size - at : 0,
	    "celerycart_%s %llu\n", name, (unsigned long long)value);

	return at + (size_t)n;
}

size_t
caller_budget_metrics(const struct caller_budget *b, char *buf, size_t size)
{
	uint64_t unfinished = 0, answering = 0, idle = 0;
	const struct client *c;
	char name[64];
	size_t at = 0;
	int i;

	for (c = TAILQ_FIRST(&b->clients); c != NULL; c = TAILQ_NEXT(c, link)) {
		if (c->answering)
			answering++;
		else if (c->since_ms != 0)
			unfinished++;
		else
			idle++;
	}
	at = put(buf, at, size, "client_bytes", b->held);
	at = put(buf, at, size, "client_bytes_max", b->limit);
	at = put(buf, at, size, "client_connections{state=\"unfinished\"}",
	    unfinished);
	at = put(buf, at, size, "client_connections{state=\"answering\"}",
	    answering);
	at = put(buf, at, size, "client_connections{state=\"idle\"}", idle);
	at = put(buf, at, size, "client_requests_refused_total", b->refused);
	for (i = 0; i < CLIENT_ENDS; i++) {
		snprintf(name, sizeof(name),
		    "client_connections_closed_total{by=\"%s\"}", end_names[i]);
		at = put(buf, at, size, name, b->ends[i]);
	}
	return at < size ? at : size;
}
