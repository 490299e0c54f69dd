/*
 * Leader election: claims, transfers and releases the leadership of the cell.
 *
 * The leader's row in the store names the leader; a claim is a transaction
 * that is conditional on that row and on the commit row, the row of the first
 * commit chain (cell/commit.c). Each commit of that chain renews the row, so a
 * claim fails if the leader has renewed it since the claimant read it.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../cell/deposed.h"
#include "../coordination/leader_claim.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** Least time between reads of the commit row, on core and on other hosts. */
#define COMMIT_READ_CORE_MS 60
#define COMMIT_READ_OTHER_MS 300
/** The store is responsive to this host if a read of the commit row takes less
 * than this. */
#define STORE_RESPONSIVE_MS 80
#define CLAIM_TIMEOUT_MS 1200
/** The leader releases leadership when a host with at least this multiple of
 * its power is eligible. */
#define TRANSFER_POWER_FACTOR 2
/** Age limit of the last heartbeat of the host that is to take over. */
#define TRANSFER_BEAT_MS 1500
/** The conditions of a transfer must hold without a break for this long. */
#define TRANSFER_DELAY_MS 1500
/** Age limit of the last heartbeat of a core host that is able to take over. */
#define CORE_BEAT_MS 2000
/** Hosts below this power, in thousandths of a core, delay their claim in a
 * cell that never had a leader, so that a more powerful host claims first. */
#define WEAK_POWER 200
/** Length of that delay, from the start of the process. */
#define WEAK_CLAIM_DELAY_MS 600

bool
member_leads(const struct member *m)
{
	return m->state == MEMBER_LEADING;
}

/* Discards the observed version of the commit row: its age starts anew. */
static void
reset_commit_row(struct member *m)
{
	m->commit_row_since_ms = 0;
	m->commit_row_version = 0;
}

/* Frees the row. */
static void
copy_leader(struct member *m, Cc__LeaderRow *lr)
{
	str_copy(m->leader.host, lr->host, sizeof(m->leader.host));
	str_copy(m->leader.incarnation, lr->incarnation,
	    sizeof(m->leader.incarnation));
	m->leader.generation = lr->generation;
	m->leader.released = lr->released;
	cc__leader_row__free_unpacked(lr, NULL);
}

void
member_leader_row(struct member *m, const struct row *row)
{
	uint32_t generation;
	Cc__LeaderRow *lr;

	if (row->version <= m->leader.version)
		return;
	lr = row->deleted ? NULL
			  : cc__leader_row__unpack(NULL, row->len, row->value);
	generation = m->leader.generation;
	memset(&m->leader, 0, sizeof(m->leader));
	m->leader.version = row->version;
	m->leader.generation = generation;
	if (row->deleted)
		return;
	/* A row that can't be read isn't taken for a missing one: its writer
	 * may lead. */
	m->leader.known = true;
	if (lr != NULL)
		copy_leader(m, lr);
	else
		kvlog(KVLOG_ERROR, "row_unreadable", "key=%s", row->key);
	reset_commit_row(m);
	kvlog(KVLOG_INFO, "leader_seen",
	    "leader=%s version=%llu generation=%u released=%d", m->leader.host,
	    (unsigned long long)m->leader.version, m->leader.generation,
	    m->leader.released);
	member_dial(m);
	if (!m->leader.released)
		member_calls_leader_changed(m);
	if (member_leads(m) && row->version > m->cell.fence) {
		cell_deposed(&m->cell, DEPOSED_BY_ROW, "by=%s version=%llu",
		    m->leader.host, (unsigned long long)row->version);
	}
}

void
member_deposed(void *arg)
{
	struct member *m = arg;

	cell_resign(&m->cell);
	m->state = MEMBER_FOLLOWING;
	m->led_last_ms = clock_boot_ms();
	reset_commit_row(m);
}

/*
 * The former leader may be down: clears its heartbeat time, so that it isn't
 * used as a relay before its next heartbeat.
 */
static void
forget_former_beat(struct member *m)
{
	struct cell_host *h = member_find_host(m, m->claim.former);

	if (h != NULL)
		h->beat_ms = 0;
}

static void
start_leading(
    struct member *m, uint64_t fence, int64_t sent_ms, int64_t store_clock_ms)
{
	struct cell_claim claim = {.fence = fence,
	    .generation = m->claim.generation,
	    .commit_version = fence,
	    .sent_ms = sent_ms,
	    .store_clock_ms = store_clock_ms};

	forget_former_beat(m);
	m->state = MEMBER_LEADING;
	m->leader.known = true;
	m->leader.released = false;
	m->leader.version = fence;
	m->leader.generation = m->claim.generation;
	str_copy(m->leader.host, m->settings->host, sizeof(m->leader.host));
	str_copy(m->leader.incarnation, m->incarnation,
	    sizeof(m->leader.incarnation));
	kvlog(KVLOG_INFO, "claimed", "fence=%llu generation=%u",
	    (unsigned long long)fence, m->leader.generation);
	m->announce_now = true;
	m->lanes_updated_ms = m->relays_chosen_ms = 0;
	m->relays_loading = true;
	m->registry_read_ms = 0;
	member_dial(m);
	member_calls_leader_changed(m);
	cell_lead(&m->cell, &claim);
	/* This host began to shut down while the claim was in flight. */
	if (m->leaving)
		member_release(m);
}

static bool
row_is_mine(const struct member *m, const struct row *row)
{
	Cc__LeaderRow *lr = cc__leader_row__unpack(NULL, row->len, row->value);
	bool mine = lr != NULL && !lr->released &&
	    strcmp(lr->incarnation, m->incarnation) == 0;

	if (lr != NULL)
		cc__leader_row__free_unpacked(lr, NULL);
	return mine;
}

/* The leader's row shows whether a claim of unknown outcome succeeded. */
static void
on_claim_resolved(const struct store_result *r, void *arg)
{
	struct member *m = arg;
	int i;

	if (m->state != MEMBER_CLAIMING)
		return;
	m->state = MEMBER_FOLLOWING;
	reset_commit_row(m);
	if (r->err != CC_OK)
		return;
	for (i = 0; i < r->nrows; i++) {
		if (strcmp(r->rows[i].key, LEADER_KEY) != 0)
			continue;
		if (claim_succeeded(m->claim.before, r->rows[i].version,
			row_is_mine(m, &r->rows[i])))
			start_leading(m, r->rows[i].version, m->claim.read_ms,
			    r->clock_ms);
		else
			member_leader_row(m, &r->rows[i]);
	}
}

static void
resolve_claim(struct member *m)
{
	m->claim.read_ms = clock_boot_ms();
	m->ports.store->ops->list(m->ports.store, MEMBER_TABLE, CELL_PART,
	    LEADER_KEY, 1, on_claim_resolved, m);
}

static void
on_claim(const struct store_result *r, void *arg)
{
	struct member *m = arg;
	int i;

	if (m->state != MEMBER_CLAIMING)
		return;
	if (r->err == CC_OK) {
		/* First estimate: commits won't be answered sooner. */
		m->cell.commit_latency_ms =
		    (double)(clock_boot_ms() - m->claim.sent_ms);
		start_leading(m, r->version, m->claim.sent_ms, r->clock_ms);
		return;
	}
	kvlog(KVLOG_INFO, "claim_failed",
	    "why=%s generation=%u leader=%s version=%llu commit_version=%llu",
	    cc_strerror(r->err), m->claim.generation, m->claim.former,
	    (unsigned long long)m->leader.version,
	    (unsigned long long)m->commit_row_version);
	if (r->err != CC_EUNAVAIL && r->err != CC_ECONFLICT) {
		resolve_claim(m);
		return;
	}
	m->state = MEMBER_FOLLOWING;
	reset_commit_row(m);
	for (i = 0; i < r->nrows; i++)
		if (strcmp(r->rows[i].key, LEADER_KEY) == 0 &&
		    r->rows[i].version > 0)
			member_leader_row(m, &r->rows[i]);
}

/* Logs a claim with what made it due. */
static void
log_claim(const struct member *m, const struct claim_facts *f)
{
	int64_t now = clock_boot_ms();
	bool deposed = m->led_last_ms != 0;

	kvlog(KVLOG_INFO, "claiming",
	    "leader=%s version=%llu commit_version=%llu unchanged_ms=%lld "
	    "generation=%u why=%s linked=%d beat_ms_ago=%lld read_ms=%lld "
	    "rank=%d deposed_by=%s deposed_ms_ago=%lld",
	    m->leader.host, (unsigned long long)m->leader.version,
	    (unsigned long long)m->commit_row_version,
	    (long long)(now - m->commit_row_since_ms), m->claim.generation,
	    claim_reason(f), f->linked,
	    f->beat_age_ms < now ? (long long)f->beat_age_ms : -1LL,
	    (long long)m->commit_read_took_ms, f->rank,
	    deposed ? deposed_by_name(m->cell.deposed_by) : "none",
	    deposed ? (long long)(now - m->led_last_ms) : -1LL);
}

static void
claim(struct member *m, const struct claim_facts *f)
{
	struct row conds[2] = {
	    {.table = MEMBER_TABLE,
		.key = LEADER_KEY,
		.version = m->leader.version},
	    {.table = CELL_TABLE,
		.key = COMMIT_KEY,
		.version = m->commit_row_version},
	};
	Cc__LeaderRow lr = CC__LEADER_ROW__INIT;
	Cc__CommitRow cr = CC__COMMIT_ROW__INIT;
	uint8_t leader[256], commit[128];
	struct row writes[2] = {
	    {.table = MEMBER_TABLE, .key = LEADER_KEY, .value = leader},
	    {.table = CELL_TABLE, .key = COMMIT_KEY, .value = commit},
	};
	struct store_txn t = {.part = CELL_PART,
	    .conditions = conds,
	    .nconditions = 2,
	    .writes = writes,
	    .nwrites = 2};

	lr.host = (char *)(uintptr_t)m->settings->host;
	lr.incarnation = m->incarnation;
	/* The first leader of the cell has generation 0. */
	lr.generation = m->leader.version == 0 ? 0 : m->leader.generation + 1;
	m->claim.generation = lr.generation;
	str_copy(m->claim.former, m->leader.host, sizeof(m->claim.former));
	m->claim.before = m->leader.version;
	cr.incarnation = m->incarnation;
	writes[0].len = cc__leader_row__pack(&lr, leader);
	writes[1].len = cc__commit_row__pack(&cr, commit);
	m->state = MEMBER_CLAIMING;
	m->claim.sent_ms = clock_boot_ms();
	log_claim(m, f);
	m->ports.store->ops->txn(
	    m->ports.store, &t, CLAIM_TIMEOUT_MS, on_claim, m);
}

/* Whether a host ranks before this one as a candidate for leadership. */
static bool
outranks(const struct member *m, const struct cell_host *h)
{
	if (h->power != member_power(m))
		return h->power > member_power(m);
	return strcmp(h->host, m->settings->host) < 0;
}

/* Rank of this host among the eligible hosts, the most powerful first. */
static int
claim_rank(const struct member *m)
{
	const struct cell_host *h;
	int i, n = 0;

	for (i = 0; i < m->nhosts; i++) {
		h = &m->hosts[i];
		n += member_linked(m, h->host) && !h->leaving &&
		    strcmp(h->host, m->leader.host) != 0 && outranks(m, h);
	}
	return n;
}

void
member_leader_announced(
    struct member *m, const char *host, const Cc__CellBeat *b)
{
	if (member_leads(m) || m->state == MEMBER_CLAIMING)
		return;
	m->leader.known = true;
	m->leader.released = false;
	m->leader.version = b->fence;
	str_copy(m->leader.host, host, sizeof(m->leader.host));
	str_copy(m->leader.incarnation, b->incarnation,
	    sizeof(m->leader.incarnation));
	m->leader.generation = b->generation;
	reset_commit_row(m);
	kvlog(KVLOG_INFO, "leader_announced",
	    "leader=%s version=%llu generation=%u", host,
	    (unsigned long long)b->fence, b->generation);
	member_dial(m);
	member_calls_leader_changed(m);
}

/*
 * Leading needs processor time, so the leader releases leadership when a much
 * more powerful host is eligible, the store works and the cell is serving.
 */
static void
check_lead_transfer(struct member *m)
{
	int64_t now = clock_boot_ms();
	const struct cell_host *h;
	bool stronger = false;
	int i;

	for (i = 0; i < m->nhosts; i++) {
		h = &m->hosts[i];
		stronger |=
		    h->power >= TRANSFER_POWER_FACTOR * member_power(m) &&
		    member_linked(m, h->host) && !h->leaving &&
		    now - h->beat_ms < TRANSFER_BEAT_MS;
	}
	if (!stronger || m->cell.store_failing_since_ms != 0 ||
	    m->cell.phase != CELL_SERVING)
		m->stronger_since_ms = 0;
	else if (m->stronger_since_ms == 0)
		m->stronger_since_ms = now;
	else if (now - m->stronger_since_ms > TRANSFER_DELAY_MS) {
		m->stronger_since_ms = 0;
		kvlog(KVLOG_INFO, "lead_transfer", "power=%u", member_power(m));
		member_release(m);
	}
}

/* Whether a core host other than the leader is able to take over. */
static bool
core_alive(const struct member *m)
{
	const struct cell_host *h;
	int i;

	for (i = 0; i < m->nhosts; i++) {
		h = &m->hosts[i];
		if (h->core && !h->leaving &&
		    strcmp(h->host, m->leader.host) != 0 &&
		    clock_boot_ms() - h->beat_ms < CORE_BEAT_MS &&
		    member_linked(m, h->host))
			return true;
	}
	return false;
}

static struct claim_facts
gather_facts(struct member *m)
{
	int64_t now = clock_boot_ms();
	const struct cell_host *h = member_find_host(m, m->leader.host);
	struct claim_facts f = {
	    .known = follow_ready(m->members),
	    .no_leader = !m->leader.known || m->leader.released,
	    .rank = claim_rank(m),
	    .reserve = !m->core,
	    .core_alive = core_alive(m),
	    .beat_age_ms = INT64_MAX,
	};

	if (m->leader.version == 0 && member_power(m) < WEAK_POWER &&
	    clock_boot_ms() - m->started_ms < WEAK_CLAIM_DELAY_MS)
		f.known = false;
	/* The row of a leadership that this process has lost isn't current. */
	f.same_host = m->leader.known &&
	    strcmp(m->leader.host, m->settings->host) == 0 &&
	    m->leader.version != m->cell.fence;
	if (h != NULL) {
		f.linked = member_linked(m, h->host);
		f.stalled = f.linked && h->leads && h->stalled;
		f.store_responsive =
		    m->commit_read_took_ms < STORE_RESPONSIVE_MS;
		f.beat_age_ms = now - h->beat_ms;
		f.restarted = h->beat_incarnation[0] != '\0' &&
		    now - h->beat_ms < 1000 &&
		    strcmp(h->beat_incarnation, m->leader.incarnation) != 0;
	}
	if (m->commit_row_since_ms != 0)
		f.unchanged_ms = now - m->commit_row_since_ms;
	return f;
}

static void
on_commit_row(const struct store_result *r, void *arg)
{
	struct member *m = arg;
	uint64_t version = 0;
	int i;

	m->commit_reading = false;
	m->commit_read_took_ms = clock_boot_ms() - m->commit_read_sent_ms;
	if (r->err != CC_OK) {
		reset_commit_row(m);
		return;
	}
	for (i = 0; i < r->nrows; i++)
		if (strcmp(r->rows[i].key, COMMIT_KEY) == 0)
			version = r->rows[i].version;
	if (m->commit_row_since_ms != 0 && version == m->commit_row_version)
		return;
	m->commit_row_version = version;
	m->commit_row_since_ms = clock_boot_ms();
}

static void
read_commit_row(struct member *m)
{
	int64_t now = clock_boot_ms();

	if (m->commit_reading ||
	    now - m->commit_read_sent_ms <
		(m->core ? COMMIT_READ_CORE_MS : COMMIT_READ_OTHER_MS))
		return;
	m->commit_reading = true;
	m->commit_read_sent_ms = now;
	m->ports.store->ops->list(m->ports.store, CELL_TABLE, CELL_PART,
	    COMMIT_KEY, 1, on_commit_row, m);
}

void
member_lead_tick(struct member *m)
{
	struct claim_facts f;

	if (member_leads(m))
		check_lead_transfer(m);
	if (m->state != MEMBER_FOLLOWING || m->leaving)
		return;
	f = gather_facts(m);
	if (!claim_leader_suspected(&f)) {
		reset_commit_row(m);
		return;
	}
	/*
	 * No claim while a read is in flight, which may show a renewal. With a
	 * slow store one read follows the other without a pause, so whether a
	 * claim is due is checked before the next read.
	 */
	if (m->commit_row_since_ms != 0 && !m->commit_reading && claim_due(&f))
		claim(m, &f);
	else
		read_commit_row(m);
}

static void
on_released(const struct store_result *r, void *arg)
{
	struct member *m = arg;

	kvlog(KVLOG_INFO, "lead_released", "result=%s", cc_strerror(r->err));
	if (m->state == MEMBER_RELEASING)
		m->state = MEMBER_FOLLOWING;
}

void
member_release(struct member *m)
{
	Cc__LeaderRow lr = CC__LEADER_ROW__INIT;
	uint8_t buf[256];
	struct row cond = {
	    .table = MEMBER_TABLE, .key = LEADER_KEY, .version = m->cell.fence};
	struct row row = {
	    .table = MEMBER_TABLE, .key = LEADER_KEY, .value = buf};
	struct store_txn t = {.part = CELL_PART,
	    .conditions = &cond,
	    .nconditions = 1,
	    .writes = &row,
	    .nwrites = 1};

	lr.host = (char *)(uintptr_t)m->settings->host;
	lr.incarnation = m->incarnation;
	lr.generation = m->leader.generation;
	lr.released = true;
	row.len = cc__leader_row__pack(&lr, buf);
	m->state = MEMBER_RELEASING;
	cell_resign(&m->cell);
	m->ports.store->ops->txn(
	    m->ports.store, &t, CLAIM_TIMEOUT_MS, on_released, m);
}
