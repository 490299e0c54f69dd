#include "member.h"

#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define TICK_MS 25
/** A scheduling pass is delayed by this much after an event, so that one pass
 * handles a burst of events. */
#define PASS_DELAY_MS 3
/** Pause before the next pass, as a multiple of the last pass's duration. */
#define PASS_REST_FACTOR 2
/** Long-poll timeout of the watches of members and configuration; heartbeats
 * report changes while a watch gets no answers. */
#define FOLLOW_WAIT_MS 3000
/** Watches of the configuration within the time in which it must be confirmed:
 * several, so that one that fails doesn't matter. */
#define CONFIRMS_PER_BOUND 5
/** Lease of a run at its runner, renewed by each hold. */
#define LEASE_MS 4000
/** Longest time without the store for which the leader keeps work running. */
#define LEAD_LEASE_MS 6000
/** Lease that a start gives until the first hold; the runner refuses a start
 * that arrives after it. */
#define START_DEADLINE_MS 2500
/** Long-poll timeout of a hold, which waits for the end of a run. */
#define HOLD_WAIT_MS 1000

static const char *const member_parts[] = {CELL_PART, MEMBER_PART, NULL};

static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct member *m = arg;
	int64_t start = clock_boot_ms();

	(void)fd;
	(void)what;
	m->wake_set = false;
	if (member_leads(m))
		member_update_relays(m);
	cell_pass(&m->cell);
	m->pass_took_ms = clock_boot_ms() - start;
}

static void
wake(void *arg)
{
	struct member *m = arg;
	int64_t rest = m->pass_took_ms * PASS_REST_FACTOR;
	struct timeval tv = {0, 0};

	if (m->wake_set)
		return;
	m->wake_set = true;
	tv.tv_usec = (rest > PASS_DELAY_MS ? rest : PASS_DELAY_MS) * 1000;
	evtimer_add(m->wake, &tv);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct member *m = arg;

	(void)fd;
	(void)what;
	member_write_row(m);
	member_lead_tick(m);
	member_beat(m);
	config_fetch_tick(m);
	member_registry_tick(m);
	member_calls_tick(m);
	if (member_leads(m)) {
		member_update_lanes(m);
		member_update_relays(m);
		relay_port_tick(m->relays);
		cell_tick(&m->cell);
	}
}

static int64_t
min_of(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static void
init_cell(struct member *m)
{
	const struct cell_settings *s = m->settings;
	struct cell_terms terms = {
	    .max_hold_ms = s->max_hold_ms,
	    .lease_ms = min_of(LEASE_MS, s->max_hold_ms),
	    .lead_lease_ms = LEAD_LEASE_MS,
	    .start_ms = min_of(START_DEADLINE_MS, s->max_hold_ms),
	    .hold_wait_ms = HOLD_WAIT_MS,
	    .stop_grace_ms = s->stop_grace_ms,
	    .status_ms = s->status_s * 1000,
	    /* A remote run isn't shorter than a rack-local one; 0 would
	     * make estimates of run times 0. */
	    .remote_factor = s->remote_factor >= 1 ? s->remote_factor : 1,
	    .quota_excess = s->quota_excess,
	    .quota_window_ms = s->quota_window_s * 1000,
	};
	struct cell_ports ports = {
	    .store = m->ports.store,
	    .runners = relay_port_ops(m->relays),
	    .advice = &m->advice,
	    .now = clock_boot_ms,
	    .wall_now = clock_wall_ms,
	    .wake = wake,
	    .deposed = member_deposed,
	    .arg = m,
	};

	cell_init(&m->cell, &terms, &ports, m->incarnation);
}

static void
on_config_current(int64_t sent_ms, void *arg)
{
	struct member *m = arg;

	if (!m->config_unreadable)
		config_freshness_confirm(&m->freshness, sent_ms);
}

/* Long-poll timeout of the watch of the configuration. */
static int64_t
config_wait_ms(const struct cell_settings *s)
{
	if (!s->revoke_strict)
		return FOLLOW_WAIT_MS;
	return min_of(FOLLOW_WAIT_MS, s->revoke_ms / CONFIRMS_PER_BOUND);
}

static void
set_incarnation(struct member *m)
{
	uint64_t r;

	RAND_bytes((unsigned char *)&r, sizeof(r));
	snprintf(m->incarnation, sizeof(m->incarnation), "%016llx",
	    (unsigned long long)r);
}

static void
set_peer_settings(struct member *m)
{
	const struct cell_settings *s = m->settings;

	str_copy(m->peer_settings.host, s->host, sizeof(m->peer_settings.host));
	str_copy(m->peer_settings.addr, s->addr, sizeof(m->peer_settings.addr));
	str_copy(m->peer_settings.key, s->key, sizeof(m->peer_settings.key));
	m->peer_settings.peer_port = s->peer_port;
}

struct member *
member_new(struct event_base *base, const struct cell_settings *s,
    const struct member_ports *p)
{
	struct member *m = xcalloc(1, sizeof(*m));
	struct timeval tv = {0, TICK_MS * 1000};
	static const char *config_parts[2];
	struct follow_options members = {.table = MEMBER_TABLE,
	    .parts = member_parts,
	    .wait_ms = FOLLOW_WAIT_MS};
	struct follow_options configs = {.table = p->config_table,
	    .parts = config_parts,
	    .wait_ms = config_wait_ms(s),
	    .current = on_config_current};

	m->base = base;
	m->settings = s;
	m->ports = *p;
	m->advice.ops = &member_advice_ops;
	TAILQ_INIT(&m->calls);
	set_incarnation(m);
	set_peer_settings(m);
	m->peers = peer_net_new(
	    base, &m->peer_settings, m->incarnation, member_frame, m);
	if (m->peers == NULL) {
		free(m);
		return NULL;
	}
	m->relays = relay_port_new(base, m->peers, p->runners);
	m->served = relay_serve_new(base, m->peers, p->runners);
	init_cell(m);
	m->member_row_tried_ms = 1;
	m->started_ms = clock_boot_ms();
	config_fetch_init(&m->config_fetch);
	config_freshness_init(
	    &m->freshness, s->revoke_strict ? s->revoke_ms : 0);
	config_parts[0] = p->config_part;
	m->wake = evtimer_new(base, on_wake, m);
	m->tick = event_new(base, -1, EV_PERSIST, on_tick, m);
	event_add(m->tick, &tv);
	m->members = follow_new(base, p->store, &members, member_row, m);
	m->configs = follow_new(base, p->store, &configs, member_config_row, m);
	return m;
}

void
member_delete(struct member *m)
{
	member_calls_done(m);
	cell_done(&m->cell);
	event_free(m->tick);
	event_free(m->wake);
	follow_delete(m->members);
	follow_delete(m->configs);
	if (m->registry != NULL)
		follow_delete(m->registry);
	relay_serve_delete(m->served);
	peer_net_delete(m->peers);
	relay_port_delete(m->relays);
	config_fetch_done(&m->config_fetch);
	config_delete(m->config);
	free(m->config_text);
	free(m);
}

void
member_leave(struct member *m)
{
	if (m->leaving)
		return;
	m->leaving = true;
	m->announce_now = true;
	if (member_leads(m))
		member_release(m);
}

bool
member_ready(const struct member *m)
{
	if (m->leaving || m->config == NULL)
		return false;
	return member_leads(m) ||
	    (m->leader.known && member_linked(m, m->leader.host));
}

const struct config *
member_config(const struct member *m)
{
	return m->config;
}
