/** @file Which connections are closed when memory or connections are short. */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../src/transport/caller_budget.h"
#include "unit.h"

static struct caller_budget budget;
static int closed[8];
static int nclosed;

struct peer {
	struct client client;
	int id;
};

static void
close_peer(struct client *c)
{
	closed[nclosed++] = ((struct peer *)c)->id;
	caller_budget_remove(&budget, c);
}

static void
peer_init(struct peer *p, int id, int ip)
{
	memset(p, 0, sizeof(*p));
	p->id = id;
	p->client.ip.s6_addr[15] = (uint8_t)ip;
	p->client.close = close_peer;
	nclosed = id == 0 ? 0 : nclosed;
}

static bool
add(struct peer *p, int id, int ip, size_t bytes, int64_t since_ms)
{
	peer_init(p, id, ip);
	if (!caller_budget_add(&budget, &p->client, 100))
		return false;
	caller_budget_charge(&budget, &p->client, bytes);
	p->client.since_ms = since_ms;
	return true;
}

/* Guards against closing a connection of an address that holds little, a
 * younger request before an older one, or more connections than needed. */
void
test_caller_budget_closes_oldest_of_heaviest(void)
{
	struct peer p[4];

	caller_budget_init(&budget, 1000, 8, 8);
	CU_ASSERT(add(&p[0], 0, 1, 300, 5));
	CU_ASSERT(add(&p[1], 1, 2, 400, 20));
	CU_ASSERT(add(&p[2], 2, 2, 400, 10));
	CU_ASSERT(add(&p[3], 3, 2, 200, 30));
	CU_ASSERT(caller_budget_relieve(&budget, NULL, 200));
	CU_ASSERT_EQUAL(nclosed, 1);
	CU_ASSERT_EQUAL(closed[0], 2);
	CU_ASSERT_EQUAL(budget.held, 900);
	CU_ASSERT_EQUAL(budget.ends[CLIENT_END_MEMORY], 1);
}

/* Guards against closing a connection whose request waits for its answer, and
 * against a search without end when none may be closed. */
void
test_caller_budget_spares_answering(void)
{
	struct peer p[2];

	caller_budget_init(&budget, 1000, 2, 8);
	CU_ASSERT(add(&p[0], 0, 1, 900, 5));
	CU_ASSERT(add(&p[1], 1, 1, 900, 6));
	p[0].client.answering = true;
	CU_ASSERT_FALSE(caller_budget_relieve(&budget, &p[1].client, 200));
	CU_ASSERT_EQUAL(nclosed, 0);
	CU_ASSERT_FALSE(caller_budget_relieve(&budget, &p[1].client, 200));
	p[0].client.answering = false;
	CU_ASSERT(caller_budget_relieve(&budget, &p[1].client, 200));
	CU_ASSERT_EQUAL(closed[0], 0);
}

/* Guards against more connections than the limit, and against refusing a new
 * one while an idle one is open. */
void
test_caller_budget_bounds_connections(void)
{
	struct peer p[4];

	caller_budget_init(&budget, 1000, 2, 8);
	CU_ASSERT(add(&p[0], 0, 1, 1, 0));
	CU_ASSERT(add(&p[1], 1, 1, 1, 50));
	CU_ASSERT(add(&p[2], 2, 1, 1, 0));
	CU_ASSERT_EQUAL(nclosed, 1);
	CU_ASSERT_EQUAL(closed[0], 1);
	CU_ASSERT_EQUAL(budget.nconns[CLIENT_CALLERS], 2);
	CU_ASSERT_EQUAL(
	    caller_budget_conns_from(&budget, &p[0].client.ip, CLIENT_CALLERS),
	    2);
	CU_ASSERT_EQUAL(caller_budget_conns_from(
			    &budget, &p[0].client.ip, CLIENT_MONITORING),
	    0);
	p[0].client.answering = true;
	p[2].client.answering = true;
	CU_ASSERT_FALSE(add(&p[3], 3, 1, 1, 0));
	CU_ASSERT_EQUAL(budget.nconns[CLIENT_CALLERS], 2);
}
