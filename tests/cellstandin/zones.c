/* Cuts of a zone: its store path, its runners' paths and its hosts' links. */
#include "zones.h"

static bool
path_cut(const struct zone_cut *cut, int runner_zone, int view)
{
	int caller_zone = zone_of_view(view);

	switch (cut->reach) {
	case REACH_OWN:
		return (runner_zone == cut->zone) != (caller_zone == cut->zone);
	case REACH_NONE:
		return caller_zone == cut->zone;
	default:
		return false;
	}
}

static void
cut_runner(struct runner_sim *r, int index, const struct zone_cut *cut)
{
	int v;

	for (v = 1; v < VIEWS; v++)
		runner_sim_view_fault(r, v,
		    path_cut(cut, zone_of(index), v) ? cut->mode : FAULT_NONE);
	runner_sim_cut_store(
	    r, cut->reach == REACH_OWN && zone_of(index) == cut->zone);
}

void
zones_cut(struct store_sim *store, struct runner_sim **runners, int nrunners,
    struct link_sim *links, const struct zone_cut *cut)
{
	int i;

	store_sim_view_fault(store, view_of_zone(cut->zone), cut->mode);
	for (i = 0; i < nrunners; i++)
		cut_runner(runners[i], i, cut);
	if (links != NULL)
		link_sim_cut(links, cut->zone,
		    cut->mode == FAULT_HELD || cut->mode == FAULT_HELD_ALL);
}

void
zones_heal(struct store_sim *store, struct runner_sim **runners, int nrunners,
    struct link_sim *links)
{
	int i, v;

	for (v = 1; v < VIEWS; v++)
		store_sim_view_fault(store, v, FAULT_NONE);
	for (i = 0; i < nrunners; i++) {
		for (v = 1; v < VIEWS; v++)
			runner_sim_view_fault(runners[i], v, FAULT_NONE);
		runner_sim_cut_store(runners[i], false);
	}
	if (links != NULL)
		link_sim_heal(links);
}
