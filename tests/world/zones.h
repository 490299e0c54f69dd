/**
 * @file Availability zones of the simulated environment: cell Z and the runners
 * whose index modulo ZONES is Z are in zone Z.
 */
#ifndef ZONES_H
#define ZONES_H

#include "world.h"

#define ZONES WORLD_CELLS_MAX

/** Which runners the cell of a zone that is cut off reaches. */
enum zone_paths {
	ZONE_OWN_RUNNERS, /**< those of its zone, which no other cell reaches */
	ZONE_ALL_RUNNERS, /**< all, as do the other cells */
	ZONE_SOME_RUNNERS /**< each cell reaches some, by a bit mask */
};

int zone_of_runner(int runner);
/**
 * Cuts paths between cells and runners.
 * @param without for ZONE_SOME_RUNNERS the paths that are cut: one bit for each
 * runner of cell 0, then of cell 1 and so on
 */
void zone_cut_paths(
    struct world *w, int zone, enum zone_paths paths, uint64_t without);
/** Whether the registry has the entries of the zone's runners. */
void zone_list(struct world *w, int zone, bool listed);
/** Ends all cuts of paths. */
void zone_join_paths(struct world *w);

#endif
