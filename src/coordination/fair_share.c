#include "fair_share.h"

static double
part(int64_t held, int64_t total)
{
	return total > 0 ? (double)held / (double)total : 0.0;
}

static double
larger(double a, double b)
{
	return a > b ? a : b;
}

double
fair_share_dominant(const struct resources *held, const struct resources *total)
{
	return larger(part(held->cpu, total->cpu),
	    larger(part(held->mem_mb, total->mem_mb),
		part(held->gpu, total->gpu)));
}

void
fair_share_decide(struct fair_share *list, int n, const struct resources *total)
{
	double weights = 0, share;
	int i;

	for (i = 0; i < n; i++)
		weights += list[i].active ? list[i].weight : 0;
	for (i = 0; i < n; i++) {
		share = fair_share_dominant(&list[i].held, total);
		list[i].above =
		    list[i].active && share * weights > list[i].weight;
	}
}
