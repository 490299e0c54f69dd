#include "account.h"

#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

struct account *
account_find(struct account *accounts, const char *name)
{
	struct account *a;

	HASH_FIND_STR(accounts, name, a);
	return a;
}

struct account *
account_get(struct account **accounts, const char *name)
{
	struct account *a = account_find(*accounts, name);

	if (a != NULL)
		return a;
	a = xcalloc(1, sizeof(*a));
	a->name = xstrdup(name);
	a->weight = 1.0;
	HASH_ADD_KEYPTR(hh, *accounts, a->name, strlen(a->name), a);
	return a;
}

void
account_delete_all(struct account **accounts)
{
	struct account *a, *tmp;

	HASH_ITER(hh, *accounts, a, tmp)
	{
		HASH_DEL(*accounts, a);
		free(a->name);
		free(a);
	}
}

void
account_set_terms(struct account *a, const struct account_terms *t)
{
	a->weight = t->weight;
	a->cap = t->cap;
	a->unreadable = t->unreadable;
}

const char *
account_refusal_name(enum account_refusal why)
{
	static const char *const names[ACCOUNT_REFUSALS] = {
	    "rate", "gang-above-cap", "unavailable"};

	return names[why];
}

void
account_add_waiting(struct account *a)
{
	if (a != NULL)
		a->nwaiting++;
}

void
account_remove_waiting(struct account *a)
{
	if (a != NULL)
		a->nwaiting--;
}

bool
account_is_limited(const struct account *a)
{
	return !resources_none(&a->cap);
}

void
account_hold(struct account *a, const struct resources *size)
{
	if (a == NULL)
		return;
	resources_add(&a->held, size);
	a->nruns++;
}

void
account_release(struct account *a, const struct resources *size)
{
	if (a == NULL)
		return;
	resources_sub(&a->held, size);
	a->nruns--;
}

static bool
within(int64_t amount, int64_t limit, double factor)
{
	return limit == 0 || (double)amount <= (double)limit * factor;
}

static bool
all_within(
    const struct resources *r, const struct resources *cap, double factor)
{
	return within(r->cpu, cap->cpu, factor) &&
	    within(r->mem_mb, cap->mem_mb, factor) &&
	    within(r->gpu, cap->gpu, factor);
}

/* Whether the account holds nothing, known or not. */
static bool
is_idle(const struct account *a)
{
	return a->nruns == 0 && resources_none(&a->unseen);
}

static bool
fits_beside(const struct account *a, const struct resources *size)
{
	struct resources sum = a->held;

	resources_add(&sum, &a->unseen);
	resources_add(&sum, size);
	return all_within(&sum, &a->cap, 1.0);
}

bool
account_fits(const struct account *a, const struct resources *size)
{
	if (a == NULL)
		return true;
	if (a->unreadable)
		return false;
	return is_idle(a) || fits_beside(a, size);
}

bool
account_fits_gang(
    const struct account *a, const struct resources *total, double excess)
{
	if (a == NULL)
		return true;
	if (a->unreadable)
		return false;
	if (is_idle(a) && all_within(total, &a->cap, 1.0 + excess))
		return true;
	return fits_beside(a, total);
}

bool
account_allows_gang(
    const struct account_terms *t, const struct resources *total, double excess)
{
	return all_within(total, &t->cap, 1.0 + excess);
}
