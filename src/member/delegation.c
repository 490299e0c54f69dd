/*
 * Chooses the hosts that work for the leader: those that call the advice
 * service, and the relays that send its orders to runners.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define LANES_INTERVAL_MS 250
#define RELAYS_INTERVAL_MS 250
/** Age limit of the last heartbeat of a relay. */
#define RELAY_BEAT_MS 2500

/* Candidates: linked, with a recent heartbeat of the incarnation in the row. */
static int
relay_hosts(const struct member *m, struct relay_host *list)
{
	int64_t now = clock_boot_ms();
	const struct cell_host *h;
	int i, n = 0;

	for (i = 0; i < m->nhosts; i++) {
		h = &m->hosts[i];
		if (h->leaving || now - h->beat_ms > RELAY_BEAT_MS ||
		    strcmp(h->beat_incarnation, h->incarnation) != 0 ||
		    !member_linked(m, h->host))
			continue;
		str_copy(list[n].host, h->host, sizeof(list[n].host));
		list[n++].capacity =
		    relay_capacity(h->power / 1000.0, h->link_mbps);
	}
	return n;
}

/* A new leader needs relays as soon as it has loaded the number of runners,
 * before it sends orders to all of them. */
static bool
relays_due(struct member *m, int64_t now)
{
	bool loading = m->cell.phase != CELL_SERVING;
	bool first = m->relays_loading && !loading;

	m->relays_loading = loading;
	return first || now - m->relays_chosen_ms >= RELAYS_INTERVAL_MS;
}

void
member_update_relays(struct member *m)
{
	int64_t now = clock_boot_ms();
	struct relay_host *list;

	if (!relays_due(m, now))
		return;
	m->relays_chosen_ms = now;
	list = xcalloc((size_t)m->nhosts + 1, sizeof(*list));
	relay_port_set_relays(m->relays, list, relay_hosts(m, list),
	    relay_capacity(m->settings->cores, m->settings->link_mbps),
	    HASH_COUNT(m->cell.runners));
	free(list);
}

void
member_update_lanes(struct member *m)
{
	static char hosts[LANES_MAX][64];
	int64_t now = clock_boot_ms();
	int i, n = 0;

	if (now - m->lanes_updated_ms < LANES_INTERVAL_MS)
		return;
	m->lanes_updated_ms = now;
	if (!m->leaving)
		str_copy(hosts[n++], m->settings->host, 64);
	for (i = 0; i < m->nhosts && n < LANES_MAX; i++)
		if (member_linked(m, m->hosts[i].host) && !m->hosts[i].leaving)
			str_copy(hosts[n++], m->hosts[i].host, 64);
	cell_set_hosts(&m->cell, (const char(*)[64])hosts, n);
}
