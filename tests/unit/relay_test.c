/** @file Orders that a relay receives, valid and invalid ones. */
#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/xalloc.h"
#include "../../src/relay/relay_serve.h"
#include "unit.h"

#define PORT 18990

/** Number of orders that reached a runner. */
static int reached;
static char spec_seen[32];
static int64_t born_seen;

static void
fake_start(struct runner_port *p, const struct target *t,
    const struct start_order *o, bool fresh, order_fn fn, void *arg)
{
	struct order_answer a = {.result = ORDER_OK};

	(void)p;
	(void)t;
	(void)fresh;
	reached++;
	str_copy(spec_seen, o->spec, sizeof(spec_seen));
	born_seen = o->born_ms;
	fn(&a, arg);
}

static void
fake_hold(struct runner_port *p, const struct target *t,
    const struct hold_order *o, bool fresh, hold_fn fn, void *arg)
{
	struct hold_result r = {.result = ORDER_OK};

	(void)p;
	(void)t;
	(void)o;
	(void)fresh;
	reached++;
	fn(&r, arg);
}

static const struct runner_ops fake_ops = {fake_start, NULL, fake_hold, NULL};

static void
ignore(const struct peer_request *rq, const Cc__Frame *f, void *arg)
{
	(void)rq;
	(void)f;
	(void)arg;
}

/* Serves one order and returns whether it reached a runner. */
static bool
serve(struct relay_serve *s, Cc__RelayOrder *o, char *spec)
{
	struct peer_request rq = {.link = 1, .id = 1};
	Cc__RelayBatch b = CC__RELAY_BATCH__INIT;
	int before = reached;

	b.orders = &o;
	b.n_orders = 1;
	b.specs = &spec;
	b.n_specs = spec != NULL ? 1 : 0;
	relay_serve_batch(s, &rq, &b);
	return reached > before;
}

static Cc__RelayOrder
start_of(const char *task, uint32_t spec)
{
	Cc__RelayOrder o = CC__RELAY_ORDER__INIT;

	o.serial = 1;
	o.verb = RELAY_START;
	o.runner = (char *)(uintptr_t) "r1";
	o.addr = (char *)(uintptr_t) "127.0.0.1";
	o.port = 1;
	o.task = (char *)(uintptr_t)task;
	o.spec = spec;
	return o;
}

/* Orders without a known spec, or with a bad spec index, task name, address,
 * port or verb, reach no runner. */
void
test_relay_drops_bad_orders(void)
{
	struct event_base *base = event_base_new();
	struct settings settings = {.peer_port = PORT};
	struct runner_port runners = {&fake_ops};
	struct peer_net *peers;
	struct relay_serve *s;
	Cc__RelayOrder o;

	str_copy(settings.host, "h", sizeof(settings.host));
	str_copy(settings.addr, "127.0.0.1", sizeof(settings.addr));
	str_copy(settings.key, "a key of sixteen", sizeof(settings.key));
	peers = peer_net_new(base, &settings, "i", ignore, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(peers);
	s = relay_serve_new(base, peers, &runners);
	o = start_of("00000000000000a1.0.0.0", 1);
	o.born_ms = 1796477366714;
	CU_ASSERT(serve(s, &o, (char *)(uintptr_t) "one"));
	CU_ASSERT_STRING_EQUAL(spec_seen, "one");
	/* Guards against TWICE: the start must stay bound to its incarnation.
	 */
	CU_ASSERT_EQUAL(born_seen, o.born_ms);
	/* A later start of the same job carries no spec; the relay kept it. */
	o = start_of("00000000000000a1.0.0.1", 0);
	CU_ASSERT(serve(s, &o, NULL));
	CU_ASSERT_STRING_EQUAL(spec_seen, "one");
	o = start_of("00000000000000a2.0.0.0", 0);
	CU_ASSERT(!serve(s, &o, NULL));
	o = start_of("00000000000000a2.0.0.0", 7);
	CU_ASSERT(!serve(s, &o, (char *)(uintptr_t) "one"));
	o = start_of("no name", 1);
	CU_ASSERT(!serve(s, &o, (char *)(uintptr_t) "one"));
	o = start_of("00000000000000a1.0.0.0", 1);
	o.addr = (char *)(uintptr_t) "nowhere";
	CU_ASSERT(!serve(s, &o, (char *)(uintptr_t) "one"));
	o.addr = (char *)(uintptr_t) "127.0.0.1";
	o.port = 70000;
	CU_ASSERT(!serve(s, &o, (char *)(uintptr_t) "one"));
	o.port = 1;
	o.verb = 99;
	CU_ASSERT(!serve(s, &o, (char *)(uintptr_t) "one"));
	o.verb = RELAY_HOLD;
	CU_ASSERT(serve(s, &o, NULL));
	relay_serve_delete(s);
	peer_net_delete(peers);
	event_base_free(base);
}
