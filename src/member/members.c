/* The other members of the cell: their rows, links and heartbeats. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../cell/deposed.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** Interval of the leader's heartbeats to core hosts. */
#define LEADER_BEAT_MS 100
/** Interval of all other heartbeats. */
#define FOLLOWER_BEAT_MS 900
#define BEAT_TIMEOUT_MS 1500
/** Number of core hosts: linked with all hosts, and preferred as leader. */
#define CORE_HOSTS 8
/** Assumed link rate of a host whose member row doesn't state it. */
#define LINK_MBPS_UNKNOWN 1000
#define ROW_RETRY_MS 300
#define ROW_TIMEOUT_MS 1000

struct cell_host *
member_find_host(struct member *m, const char *host)
{
	int i;

	for (i = 0; i < m->nhosts; i++)
		if (strcmp(m->hosts[i].host, host) == 0)
			return &m->hosts[i];
	return NULL;
}

static struct cell_host *
get_host(struct member *m, const char *host)
{
	struct cell_host *h = member_find_host(m, host);

	if (h != NULL || m->nhosts == MEMBERS_MAX)
		return h;
	h = &m->hosts[m->nhosts++];
	memset(h, 0, sizeof(*h));
	str_copy(h->host, host, sizeof(h->host));
	m->ranks_stale = true;
	return h;
}

static void
remove_host(struct member *m, const char *host)
{
	struct cell_host *h = member_find_host(m, host);

	if (h == NULL)
		return;
	peer_net_remove(m->peers, host);
	*h = m->hosts[--m->nhosts];
	m->ranks_stale = true;
}

uint32_t
member_power(const struct member *m)
{
	return (uint32_t)(m->settings->cores * 1000);
}

struct host_rank {
	uint32_t power;
	const char *host;
	bool *core;
};

static int
compare_ranks(const void *a, const void *b)
{
	const struct host_rank *x = a, *y = b;

	if (x->power != y->power)
		return x->power > y->power ? -1 : 1;
	return strcmp(x->host, y->host);
}

/* The most powerful hosts are core: a core host leads while one is alive. */
void
member_set_core(struct member *m)
{
	struct host_rank *ranks;
	int i, n = 0;

	if (!m->ranks_stale)
		return;
	m->ranks_stale = false;
	ranks = xcalloc((size_t)m->nhosts + 1, sizeof(*ranks));
	ranks[n++] =
	    (struct host_rank){member_power(m), m->settings->host, &m->core};
	for (i = 0; i < m->nhosts; i++)
		ranks[n++] = (struct host_rank){
		    m->hosts[i].power, m->hosts[i].host, &m->hosts[i].core};
	qsort(ranks, (size_t)n, sizeof(*ranks), compare_ranks);
	for (i = 0; i < n; i++)
		*ranks[i].core = i < CORE_HOSTS;
	free(ranks);
}

/*
 * Core hosts are linked with all hosts, the others only with core hosts and
 * the leader: the number of links grows linearly with the number of hosts.
 */
void
member_dial(struct member *m)
{
	bool all;
	struct cell_host *h;
	int i;

	member_set_core(m);
	all = member_leads(m) || m->core;
	for (i = 0; i < m->nhosts; i++) {
		h = &m->hosts[i];
		if (h->dialled || h->addr[0] == '\0')
			continue;
		if (!all && !h->core && strcmp(h->host, m->leader.host) != 0)
			continue;
		peer_net_add(m->peers, h->host, h->addr, h->port);
		h->dialled = true;
	}
}

static void
apply_member_row(struct member *m, const Cc__MemberRow *mr)
{
	struct cell_host *h;

	if (strcmp(mr->host, m->settings->host) == 0)
		return;
	h = get_host(m, mr->host);
	if (h == NULL)
		return;
	if (strcmp(h->incarnation, mr->incarnation) != 0)
		kvlog(KVLOG_INFO, "member_found",
		    "peer=%s addr=%s incarnation=%s", mr->host, mr->addr,
		    mr->incarnation);
	/* A link is to an address: closes one to the former address. */
	if (h->dialled &&
	    (strcmp(h->addr, mr->addr) != 0 || h->port != mr->peer_port))
		peer_net_remove(m->peers, mr->host);
	str_copy(h->incarnation, mr->incarnation, sizeof(h->incarnation));
	str_copy(h->addr, mr->addr, sizeof(h->addr));
	h->port = (uint16_t)mr->peer_port;
	h->link_mbps = mr->link_mbps != 0 ? mr->link_mbps : LINK_MBPS_UNKNOWN;
	m->ranks_stale |= h->power != mr->power;
	h->power = mr->power;
	h->dialled = false;
	member_dial(m);
}

static bool
member_row_valid(const Cc__MemberRow *mr)
{
	struct in_addr ip;

	return mr->host[0] != '\0' &&
	    strlen(mr->host) < sizeof(((struct cell_host *)0)->host) &&
	    mr->peer_port > 0 && mr->peer_port <= UINT16_MAX &&
	    inet_pton(AF_INET, mr->addr, &ip) == 1;
}

void
member_row(const struct row *row, void *arg)
{
	struct member *m = arg;
	Cc__MemberRow *mr;

	if (strcmp(row->key, LEADER_KEY) == 0) {
		member_leader_row(m, row);
		return;
	}
	if (row->deleted) {
		remove_host(m, row->key);
		return;
	}
	mr = cc__member_row__unpack(NULL, row->len, row->value);
	if (mr != NULL && member_row_valid(mr))
		apply_member_row(m, mr);
	else
		kvlog(KVLOG_WARN, "row_unreadable", "key=%s", row->key);
	if (mr == NULL)
		return;
	cc__member_row__free_unpacked(mr, NULL);
}

static void
on_row_written(const struct store_result *r, void *arg)
{
	struct member *m = arg;

	m->member_row_writing = false;
	if (r->err == CC_OK)
		m->member_row_tried_ms = 0;
}

void
member_write_row(struct member *m)
{
	Cc__MemberRow mr = CC__MEMBER_ROW__INIT;
	uint8_t buf[512];
	struct row row = {.table = MEMBER_TABLE, .key = m->settings->host};
	struct store_txn t = {
	    .part = MEMBER_PART, .writes = &row, .nwrites = 1};
	int64_t now = clock_boot_ms();

	if (m->member_row_tried_ms == 0 || m->member_row_writing ||
	    m->leaving || now - m->member_row_tried_ms < ROW_RETRY_MS)
		return;
	m->member_row_tried_ms = now;
	m->member_row_writing = true;
	mr.host = (char *)(uintptr_t)m->settings->host;
	mr.addr = (char *)(uintptr_t)m->settings->addr;
	mr.zone = (char *)(uintptr_t)m->settings->zone;
	mr.peer_port = (uint32_t)m->settings->peer_port;
	mr.incarnation = m->incarnation;
	mr.power = member_power(m);
	mr.link_mbps = (uint32_t)m->settings->link_mbps;
	row.value = buf;
	row.len = cc__member_row__pack(&mr, buf);
	m->ports.store->ops->txn(
	    m->ports.store, &t, ROW_TIMEOUT_MS, on_row_written, m);
}

bool
member_linked(const struct member *m, const char *host)
{
	return peer_net_up(m->peers, host);
}

/** A heartbeat whose acknowledgement may confirm the configuration. */
struct beat_sent {
	struct member *member;
	int64_t sent_ms;
};

/* The answer also keeps the link from being seen as silent. */
static void
on_beat_answer(int err, const Cc__Frame *f, void *arg)
{
	struct beat_sent *b = arg;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_ACK &&
	    f->ack->has_conf_age)
		config_freshness_confirm_peer(&b->member->freshness,
		    f->ack->conf_version, b->sent_ms, f->ack->conf_age_ms);
	free(b);
}

static void
send_beat(struct member *m, const char *host, Cc__CellBeat *beat, int64_t now)
{
	struct beat_sent *b = xcalloc(1, sizeof(*b));
	Cc__Frame f = CC__FRAME__INIT;

	b->member = m;
	b->sent_ms = now;
	f.body_case = CC__FRAME__BODY_CELL_BEAT;
	f.cell_beat = beat;
	peer_call(m->peers, host, &f, BEAT_TIMEOUT_MS, on_beat_answer, b);
}

static void
fill_beat(const struct member *m, Cc__CellBeat *b, bool stalled)
{
	b->incarnation = (char *)(uintptr_t)m->incarnation;
	b->leads = member_leads(m);
	b->fence = m->cell.fence;
	b->generation = m->leader.generation;
	b->leaving = m->leaving;
	b->stalled = stalled;
	b->config_version = m->config != NULL ? m->config->version : 0;
}

/* The leader sends heartbeats more often to core hosts, which may take over. */
static int64_t
beat_interval_ms(const struct member *m, const struct cell_host *h)
{
	return member_leads(m) && h->core ? LEADER_BEAT_MS : FOLLOWER_BEAT_MS;
}

void
member_beat(struct member *m)
{
	int64_t now = clock_boot_ms();
	bool stalled = member_leads(m) && cell_stalled(&m->cell);
	bool urgent = (stalled && !m->stall_announced) || m->announce_now;
	Cc__CellBeat b = CC__CELL_BEAT__INIT;
	int i;

	member_set_core(m);
	if (stalled && !m->stall_announced)
		kvlog(KVLOG_WARN, "stalled",
		    "committed_ms_ago=%lld renewed_ms_ago=%lld fence=%llu",
		    (long long)(now - m->cell.committed_ms),
		    (long long)(now - m->cell.renewed_ms),
		    (unsigned long long)m->cell.fence);
	m->stall_announced = stalled;
	m->announce_now = false;
	fill_beat(m, &b, stalled);
	for (i = 0; i < m->nhosts; i++) {
		struct cell_host *h = &m->hosts[i];

		/*
		 * A stall, a new leader or a shutdown is announced at once;
		 * after a stall or a shutdown another host takes over.
		 */
		if (!urgent && now - h->beat_sent_ms < beat_interval_ms(m, h))
			continue;
		if (!member_linked(m, h->host))
			continue;
		h->beat_sent_ms = now;
		send_beat(m, h->host, &b, now);
	}
}

static void
apply_beat(struct member *m, const char *host, const Cc__CellBeat *b)
{
	struct cell_host *h = get_host(m, host);

	if (h == NULL)
		return;
	h->beat_ms = clock_boot_ms();
	str_copy(
	    h->beat_incarnation, b->incarnation, sizeof(h->beat_incarnation));
	h->leads = b->leads;
	h->stalled = b->stalled;
	h->leaving = b->leaving;
	h->fence = b->fence;
	h->config_version = b->config_version;
	if (b->leads && b->fence > m->leader.version)
		member_leader_announced(m, host, b);
	if (b->leads && member_leads(m) && b->fence > m->cell.fence) {
		cell_deposed(&m->cell, DEPOSED_BY_BEAT, "by=%s version=%llu",
		    host, (unsigned long long)b->fence);
	}
}

static void
reply_ack(struct member *m, const struct peer_request *rq)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Ack a = CC__ACK__INIT;

	f.body_case = CC__FRAME__BODY_ACK;
	f.ack = &a;
	peer_reply(m->peers, rq, &f);
}

/* Acknowledges a heartbeat, with the version of the configuration in force here
 * and how long ago it was the newest. */
static void
reply_beat(struct member *m, const struct peer_request *rq)
{
	int64_t age = config_freshness_age_ms(&m->freshness, clock_boot_ms());
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Ack a = CC__ACK__INIT;

	a.conf_version = m->config != NULL ? m->config->version : 0;
	a.has_conf_age = m->config != NULL && age >= 0;
	a.conf_age_ms = a.has_conf_age ? age : 0;
	f.body_case = CC__FRAME__BODY_ACK;
	f.ack = &a;
	peer_reply(m->peers, rq, &f);
}

void
member_frame(const struct peer_request *rq, const Cc__Frame *f, void *arg)
{
	struct member *m = arg;

	switch (f->body_case) {
	case CC__FRAME__BODY_CELL_BEAT:
		apply_beat(m, rq->host, f->cell_beat);
		reply_beat(m, rq);
		break;
	case CC__FRAME__BODY_CELL_CALL:
		member_serve_call(m, rq, f->cell_call);
		break;
	case CC__FRAME__BODY_ADVISE_CALL:
		member_serve_advise(m, rq, f->advise_call);
		break;
	case CC__FRAME__BODY_RELAY_BATCH:
		reply_ack(m, rq);
		relay_serve_batch(m->served, rq, f->relay_batch);
		break;
	case CC__FRAME__BODY_RELAY_ANSWERS:
		relay_port_answers(m->relays, rq->host, f->relay_answers);
		break;
	case CC__FRAME__BODY_CONF_GET:
		config_fetch_reply(m, rq, f->conf_get);
		break;
	default:
		reply_ack(m, rq);
	}
}
