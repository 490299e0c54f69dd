#include "estimate_error.h"

#include <stdlib.h>
#include <string.h>

/** Initial distribution, for a leader that has seen few runs: estimates are
 * wrong by up to nine tenths, and one run of thirty takes seven times as long.
 */
#define INITIAL_RATIOS 30
#define INITIAL_ERROR 0.9
#define INITIAL_LONGEST 7.0

static void
set_initial(struct estimate_error *e)
{
	int i, k, n = INITIAL_RATIOS - 1;

	for (i = 0; i < ESTIMATE_ERROR_RATIOS; i++) {
		k = i % INITIAL_RATIOS;
		e->ratios[i] = k == n ? (float)INITIAL_LONGEST
				      : (float)(1 - INITIAL_ERROR +
					    2 * INITIAL_ERROR * k / (n - 1));
	}
	e->ready = true;
	e->is_sorted = false;
}

void
estimate_error_add(struct estimate_error *e, double ratio)
{
	if (!e->ready)
		set_initial(e);
	e->ratios[e->next] = (float)ratio;
	e->next = (e->next + 1) % ESTIMATE_ERROR_RATIOS;
	e->is_sorted = false;
}

static int
compare_ratios(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return x < y ? -1 : x > y;
}

/* Number of sorted ratios that are at most @p ratio. */
static int
count_up_to(const struct estimate_error *e, double ratio)
{
	int low = 0, high = ESTIMATE_ERROR_RATIOS, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if ((double)e->sorted[mid] <= ratio)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

double
estimate_error_quantile(struct estimate_error *e, double elapsed, double q)
{
	int first, left;

	if (!e->ready)
		set_initial(e);
	if (!e->is_sorted) {
		memcpy(e->sorted, e->ratios, sizeof(e->sorted));
		qsort(e->sorted, ESTIMATE_ERROR_RATIOS, sizeof(*e->sorted),
		    compare_ratios);
		e->is_sorted = true;
	}
	first = count_up_to(e, elapsed);
	left = ESTIMATE_ERROR_RATIOS - first;
	if (left == 0)
		return -1;
	return e->sorted[first + (int)(q * (left - 1))];
}
