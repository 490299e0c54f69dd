#include "zones.h"

int
zone_of_runner(int runner)
{
	return runner % ZONES;
}

static bool
path_is_cut(
    int cell, int runner, int zone, enum zone_paths paths, uint64_t without)
{
	switch (paths) {
	case ZONE_OWN_RUNNERS:
		return (cell == zone) != (zone_of_runner(runner) == zone);
	case ZONE_SOME_RUNNERS:
		return (without >> (cell * WORLD_RUNNERS_MAX + runner) & 1) !=
		    0;
	default:
		return false;
	}
}

void
zone_cut_paths(
    struct world *w, int zone, enum zone_paths paths, uint64_t without)
{
	int c, r;

	for (c = 0; c < WORLD_CELLS_MAX; c++)
		for (r = 0; r < WORLD_RUNNERS_MAX; r++)
			world_path_cut(
			    w, c, r, path_is_cut(c, r, zone, paths, without));
}

void
zone_list(struct world *w, int zone, bool listed)
{
	int r;

	for (r = zone; r < WORLD_RUNNERS_MAX; r += ZONES)
		world_runner_list(w, r, listed);
}

void
zone_join_paths(struct world *w)
{
	zone_cut_paths(w, 0, ZONE_ALL_RUNNERS, 0);
}
