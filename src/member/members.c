/* The members of the cell: their rows, links and beats. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "parts.h"

#define LEADER_BEAT_MS 100
#define FOLLOWER_BEAT_MS 900
#define BEAT_TIMEOUT_MS 1500
/** Hosts that are linked with all others, and lead first. */
#define CORE_HOSTS 8
/** Link of a host whose row doesn't tell it. */
#define LINK_MBPS_UNKNOWN 1000
#define ROW_RETRY_MS 300
#define ROW_TIMEOUT_MS 1000

struct other *
member_other(struct member *m, const char *host)
{
	int i;

	for (i = 0; i < m->nothers; i++)
		if (strcmp(m->others[i].host, host) == 0)
			return &m->others[i];
	return NULL;
}

static struct other *
get_other(struct member *m, const char *host)
{
	struct other *o = member_other(m, host);

	if (o != NULL || m->nothers == MEMBERS_MAX)
		return o;
	o = &m->others[m->nothers++];
	memset(o, 0, sizeof(*o));
	str_copy(o->host, host, sizeof(o->host));
	m->ranks_stale = true;
	return o;
}

static void
remove_other(struct member *m, const char *host)
{
	struct other *o = member_other(m, host);

	if (o == NULL)
		return;
	peer_net_remove(m->peers, host);
	*o = m->others[--m->nothers];
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

/* The strongest hosts are core: one of them leads while any of them lives. */
void
member_set_core(struct member *m)
{
	struct host_rank *ranks;
	int i, n = 0;

	if (!m->ranks_stale)
		return;
	m->ranks_stale = false;
	ranks = xcalloc((size_t)m->nothers + 1, sizeof(*ranks));
	ranks[n++] =
	    (struct host_rank){member_power(m), m->settings->host, &m->core};
	for (i = 0; i < m->nothers; i++)
		ranks[n++] = (struct host_rank){
		    m->others[i].power, m->others[i].host, &m->others[i].core};
	qsort(ranks, (size_t)n, sizeof(*ranks), compare_ranks);
	for (i = 0; i < n; i++)
		*ranks[i].core = i < CORE_HOSTS;
	free(ranks);
}

/*
 * Core hosts are linked with all; the others with them and the leader only,
 * so that links grow with the number of hosts.
 */
void
member_dial(struct member *m)
{
	bool all;
	struct other *o;
	int i;

	member_set_core(m);
	all = member_leads(m) || m->core;
	for (i = 0; i < m->nothers; i++) {
		o = &m->others[i];
		if (o->dialled || o->addr[0] == '\0')
			continue;
		if (!all && !o->core && strcmp(o->host, m->leader.host) != 0)
			continue;
		peer_net_add(m->peers, o->host, o->addr, o->port);
		o->dialled = true;
	}
}

static void
take_member(struct member *m, const Cc__MemberRow *mr)
{
	struct other *o;

	if (strcmp(mr->host, m->settings->host) == 0)
		return;
	o = get_other(m, mr->host);
	if (o == NULL)
		return;
	if (strcmp(o->incarnation, mr->incarnation) != 0)
		kvlog(KVLOG_INFO, "member_found",
		    "peer=%s addr=%s incarnation=%s", mr->host, mr->addr,
		    mr->incarnation);
	/* Links are kept by address: one to the address before is of no use. */
	if (o->dialled &&
	    (strcmp(o->addr, mr->addr) != 0 || o->port != mr->peer_port))
		peer_net_remove(m->peers, mr->host);
	str_copy(o->incarnation, mr->incarnation, sizeof(o->incarnation));
	str_copy(o->addr, mr->addr, sizeof(o->addr));
	o->port = (uint16_t)mr->peer_port;
	o->link_mbps = mr->link_mbps != 0 ? mr->link_mbps : LINK_MBPS_UNKNOWN;
	m->ranks_stale |= o->power != mr->power;
	o->power = mr->power;
	o->dialled = false;
	member_dial(m);
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
		remove_other(m, row->key);
		return;
	}
	mr = cc__member_row__unpack(NULL, row->len, row->value);
	if (mr == NULL) {
		kvlog(KVLOG_WARN, "row_unreadable", "key=%s", row->key);
		return;
	}
	take_member(m, mr);
	cc__member_row__free_unpacked(mr, NULL);
}

static void
on_row_written(const struct store_result *r, void *arg)
{
	struct member *m = arg;

	m->member_row_open = false;
	if (r->err == CC_OK)
		m->member_row_ms = 0;
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

	if (m->member_row_ms == 0 || m->member_row_open || m->leaving ||
	    now - m->member_row_ms < ROW_RETRY_MS)
		return;
	m->member_row_ms = now;
	m->member_row_open = true;
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

/* The answer keeps the link alive. */
static void
on_beat_answer(int err, const Cc__Frame *f, void *arg)
{
	(void)err;
	(void)f;
	(void)arg;
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

/* Those that would take over hear of the leader more often. */
static int64_t
beat_every_ms(const struct member *m, const struct other *o)
{
	return member_leads(m) && o->core ? LEADER_BEAT_MS : FOLLOWER_BEAT_MS;
}

void
member_beat(struct member *m)
{
	int64_t now = clock_boot_ms();
	bool stalled = member_leads(m) && cell_stalled(&m->cell);
	bool news = (stalled && !m->told_stalled) || m->beat_all;
	Cc__CellBeat b = CC__CELL_BEAT__INIT;
	int i;

	member_set_core(m);
	if (stalled && !m->told_stalled)
		kvlog(KVLOG_WARN, "stalled", "committed_ms_ago=%lld",
		    (long long)(now - m->cell.committed_ms));
	m->told_stalled = stalled;
	m->beat_all = false;
	fill_beat(m, &b, stalled);
	for (i = 0; i < m->nothers; i++) {
		struct other *o = &m->others[i];
		Cc__Frame f = CC__FRAME__INIT;

		/* Some are told at once, so that one of them takes over. */
		if (!news && now - o->told_ms < beat_every_ms(m, o))
			continue;
		if (!member_linked(m, o->host))
			continue;
		o->told_ms = now;
		f.body_case = CC__FRAME__BODY_CELL_BEAT;
		f.cell_beat = &b;
		peer_call(
		    m->peers, o->host, &f, BEAT_TIMEOUT_MS, on_beat_answer, m);
	}
}

static void
take_beat(struct member *m, const char *host, const Cc__CellBeat *b)
{
	struct other *o = get_other(m, host);

	if (o == NULL)
		return;
	o->beat_ms = clock_boot_ms();
	str_copy(
	    o->beat_incarnation, b->incarnation, sizeof(o->beat_incarnation));
	o->leads = b->leads;
	o->stalled = b->stalled;
	o->leaving = b->leaving;
	o->fence = b->fence;
	o->config_version = b->config_version;
	if (b->leads && b->fence > m->leader.version)
		member_leader_told(m, host, b);
	if (b->leads && member_leads(m) && b->fence > m->cell.fence) {
		kvlog(KVLOG_WARN, "deposed", "fence=%llu why=beat by=%s:%llu",
		    (unsigned long long)m->cell.fence, host,
		    (unsigned long long)b->fence);
		member_deposed(m);
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

static void
reply_config(struct member *m, const struct peer_request *rq)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Conf c = CC__CONF__INIT;

	c.version = m->config != NULL ? m->config->version : 0;
	if (m->config_text != NULL)
		c.text = m->config_text;
	f.body_case = CC__FRAME__BODY_CONF;
	f.conf = &c;
	peer_reply(m->peers, rq, &f);
}

void
member_frame(const struct peer_request *rq, const Cc__Frame *f, void *arg)
{
	struct member *m = arg;

	switch (f->body_case) {
	case CC__FRAME__BODY_CELL_BEAT:
		take_beat(m, rq->host, f->cell_beat);
		reply_ack(m, rq);
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
		reply_config(m, rq);
		break;
	default:
		reply_ack(m, rq);
	}
}
