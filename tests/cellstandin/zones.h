/**
 * @file Zones of the simulated site, and the paths between them.
 *
 * Runner i and host i are in zone i % ZONES. The callers of zone z use view
 * z + 1.
 */
#ifndef CELL_ZONES_H
#define CELL_ZONES_H

#include "standin.h"

#define ZONES 3

enum zone_reach {
	REACH_OWN,  /**< a cut zone reaches its own runners, and no others do */
	REACH_ALL,  /**< all hosts reach all runners */
	REACH_NONE, /**< a cut zone reaches no runner */
};

struct zone_cut {
	int zone;
	enum zone_reach reach;
	enum fault_mode mode; /**< what happens to calls on cut paths */
};

struct link_sim;

static inline int
zone_of(int index)
{
	return index % ZONES;
}

static inline int
view_of_zone(int zone)
{
	return zone + 1;
}

static inline int
zone_of_view(int view)
{
	return view - 1;
}

/**
 * Paths between the hosts of different zones: a host's peer port is reached
 * from another zone at an address that stands for the pair of zone and host.
 * @param port peer port of all hosts; @return NULL: an address is taken.
 */
struct link_sim *link_sim_new(
    struct event_base *base, int nhosts, uint16_t port);
/** Cuts the hosts of the zone off from those of the others. @param hold
 * whether what was sent meanwhile arrives after the cut */
void link_sim_cut(struct link_sim *l, int zone, bool hold);
void link_sim_heal(struct link_sim *l);
/** Limits the bytes a second of each path, both ways together. */
void link_sim_rate(struct link_sim *l, int bytes_per_s);
/** In a row that is read through the view: puts the addresses at which the
 * view's hosts reach others in place of the hosts' own. The length stays. */
void link_sim_map_row(int nhosts, int view, char *plain, size_t len);

/** Cuts a zone off from the store and from the other zones. */
void zones_cut(struct store_sim *store, struct runner_sim **runners,
    int nrunners, struct link_sim *links, const struct zone_cut *cut);
/** Ends all cuts of zones. */
void zones_heal(struct store_sim *store, struct runner_sim **runners,
    int nrunners, struct link_sim *links);

#endif
