// Properties of request outcomes, retries, quarantine, configuration
// versions and request routing.
#include "prop.h"

#include <algorithm>
#include <cstring>

extern "C" {
#include "../../src/coordination/conf_follow.h"
#include "../../src/coordination/quarantine.h"
#include "../../src/coordination/request_outcome.h"
#include "../../src/coordination/retry.h"
#include "../../src/coordination/route.h"
}

bool
prop_request_outcome()
{
	bool a = property("a request's outcome matches what ran",
	    rc::check("a request's outcome matches what ran", [] {
		    bool once = *rc::gen::arbitrary<bool>();
		    int runs = 0;
		    bool maybe = false;
		    outcome o = OUTCOME_NONE;
		    for (int i = 0; i < 50; i++) {
			    int end = *in_range(0, 4);
			    // A lost attempt may or may not have run.
			    bool ran = end == ATTEMPT_ANSWERED ||
				(end == ATTEMPT_LOST &&
				    *rc::gen::arbitrary<bool>());
			    runs += ran;
			    maybe = maybe || end == ATTEMPT_LOST;
			    bool budget = *rc::gen::arbitrary<bool>();
			    bool left = i < 49 && *in_range(0, 4) > 0;
			    if (attempt_decide((attempt_end)end, once, budget,
				    left, maybe, &o) == NEXT_SETTLE)
				    break;
		    }
		    RC_ASSERT(o != OUTCOME_NONE);
		    if (once)
			    RC_ASSERT(runs <= 1);
		    if (o == OUTCOME_NOT_RUN)
			    RC_ASSERT(runs == 0);
		    if (o == OUTCOME_DONE)
			    RC_ASSERT(runs >= 1);
	    }));
	bool b = property("a cancelled request's outcome matches what ran",
	    rc::check("a cancelled request's outcome matches what ran", [] {
		    cancelled_members m = {};
		    int ran = 0;
		    int n = *in_range(1, 6);
		    for (int i = 0; i < n; i++)
			    switch (*in_range(0, 4)) {
			    case 0:
				    m.not_started++;
				    break;
			    case 1:
				    m.ran++;
				    ran++;
				    break;
			    case 2:
				    m.maybe_started++;
				    ran += *rc::gen::arbitrary<bool>();
				    break;
			    default:
				    m.pending++;
			    }
		    m.maybe_ran = *rc::gen::arbitrary<bool>();
		    ran += m.maybe_ran && *rc::gen::arbitrary<bool>();
		    outcome o = outcome_of_cancelled(&m);
		    RC_ASSERT((o == OUTCOME_NONE) == (m.pending > 0));
		    if (o == OUTCOME_NOT_RUN)
			    RC_ASSERT(ran == 0);
		    if (o == OUTCOME_DONE)
			    RC_ASSERT(m.ran > 0);
	    }));
	return a && b;
}

bool
prop_conf()
{
	return property("the configuration version never decreases",
	    rc::check("the configuration version never decreases", [] {
		    conf_follow f = {};
		    uint64_t most = 0;
		    auto offers = *rc::gen::container<std::vector<int>>(
			60, in_range(0, 20));
		    for (int v : offers) {
			    uint64_t before = f.version;
			    bool first = !f.known;
			    bool wants = conf_follow_wants(&f, (uint64_t)v);
			    bool took = conf_follow_offer(&f, (uint64_t)v);
			    most = std::max(most, (uint64_t)v);
			    RC_ASSERT(f.version >= before);
			    RC_ASSERT(f.version == most);
			    RC_ASSERT(took == ((uint64_t)v > before || first));
			    RC_ASSERT(!took || wants);
		    }
	    }));
}

bool
prop_quarantine()
{
	bool a = property("one failing task never quarantines a worker",
	    rc::check("one failing task never quarantines a worker", [] {
		    health h = {};
		    int n = *in_range(1, 40);
		    for (int i = 0; i < n; i++) {
			    RC_ASSERT(!health_failure(&h, 42, i, 0, 100));
			    RC_ASSERT(health_usable(&h));
		    }
	    }));
	bool b = property("the share of quarantined workers is limited",
	    rc::check("the share of quarantined workers is limited", [] {
		    const int N = 20;
		    health h[N] = {};
		    auto steps = *rc::gen::container<std::vector<int>>(
			200, in_range(0, N * 50));
		    int64_t now = 0;
		    for (int s : steps) {
			    int q = 0;
			    for (auto &x : h)
				    q += x.state != HEALTH_OK;
			    health_failure(&h[s % N], (uint64_t)s, now++, q, N);
			    q = 0;
			    for (auto &x : h)
				    q += x.state != HEALTH_OK;
			    RC_ASSERT(q * 100 <= N * QUARANTINE_MAX_PCT);
		    }
	    }));
	bool c = property("a failing worker is quarantined and probed once",
	    rc::check("a failing worker is quarantined and probed once", [] {
		    health h = {};
		    int64_t now = *in_range<int64_t>(0, 100000);
		    for (uint64_t t = 0; t < HEALTH_DISTINCT_FAILURES; t++)
			    health_failure(&h, t, now, 0, 100);
		    RC_ASSERT(!health_usable(&h));
		    RC_ASSERT(!health_tick(&h, now + QUARANTINE_FIRST_MS - 1));
		    RC_ASSERT(health_tick(&h, now + QUARANTINE_FIRST_MS));
		    RC_ASSERT(health_usable(&h));
		    health_started(&h);
		    RC_ASSERT(!health_usable(&h));
		    if (*rc::gen::arbitrary<bool>()) {
			    health_success(&h);
			    RC_ASSERT(health_usable(&h));
		    } else {
			    RC_ASSERT(health_failure(&h, 99, now, 0, 100));
			    RC_ASSERT(h.term_ms == 2 * QUARANTINE_FIRST_MS);
		    }
	    }));
	return a && b && c;
}

bool
prop_retry()
{
	return property("retries stay within their budget",
	    rc::check("retries stay within their budget", [] {
		    retry_budget b;
		    retry_init(&b);
		    int earned = 0, spent = 0;
		    auto steps = *rc::gen::container<std::vector<bool>>(
			300, rc::gen::arbitrary<bool>());
		    for (bool spend : steps) {
			    if (spend)
				    spent += retry_spend(&b);
			    else {
				    retry_earn(&b);
				    earned++;
			    }
			    RC_ASSERT(spent * 100 <=
				earned * RETRY_PCT + RETRY_CAP_CENTS / 2);
		    }
		    int n = *in_range(0, 40);
		    auto rnd = *rc::gen::arbitrary<uint32_t>();
		    int64_t ms = retry_backoff_ms(n, 50, 1000, rnd);
		    RC_ASSERT(ms >= 25 && ms <= 1000);
	    }));
}

namespace {

// Indexes of a queued request and of the runner chosen for it; -1: none.
struct Choice {
	int item = -1, runner = -1;
};

// Reference implementation: tries every queued request in order of slack with
// every runner, and returns the first pair that is allowed.
Choice
reference_route(const route &r, std::vector<route_item *> items, int64_t now)
{
	std::sort(items.begin(), items.end(), [](auto *a, auto *b) {
		return a->ready.due_ms != b->ready.due_ms
		    ? a->ready.due_ms < b->ready.due_ms
		    : a->ready.seq < b->ready.seq;
	});
	for (auto *it : items) {
		int total = 0, busy = 0;
		for (int i = 0; i < r.nrunners; i++) {
			const runner *n = r.runners[i];
			if (n->mine && !n->leaving &&
			    n->avoid_until_ms <= now) {
				total += n->slots;
				busy += n->busy;
			}
		}
		bool others = false, longer = false;
		for (int i = 0; i < r.nclasses; i++) {
			const struct route_class *c = r.classes[i];
			others = others || (c != it->cls && c->waiting > 0);
			longer = longer ||
			    (c->mean_us > 0 &&
				it->cls->mean_us > c->mean_us * 8);
		}
		if (it->cls->running > 0 && others &&
		    (it->cls->running + 1) * 100 > it->cls->share_pct * total)
			continue;
		if (total / 4 > 0 && longer && busy >= total - total / 4)
			continue;
		Choice best;
		double load = 2;
		int64_t mean = 0;
		for (int i = 0; i < r.nrunners; i++) {
			const runner *n = r.runners[i];
			if (!n->mine || n->leaving || n->avoid_until_ms > now ||
			    n->busy >= n->slots)
				continue;
			double l = (double)n->busy / n->slots;
			if (l < load || (l == load && n->mean_us < mean)) {
				load = l;
				mean = n->mean_us;
				best.runner = i;
			}
		}
		if (best.runner < 0)
			continue;
		best.item = (int)(intptr_t)it->ready.owner;
		return best;
	}
	return {};
}

} // namespace

bool
prop_route()
{
	return property("routing equals the reference, within the slots",
	    rc::check("routing equals the reference, within the slots", [] {
		    route r;
		    route_init(&r);
		    int runners = *in_range(1, 5);
		    for (int i = 0; i < runners; i++) {
			    runner *n = route_runner_add(
				&r, ("n" + std::to_string(i)).c_str());
			    strcpy(n->service, "desk");
			    n->slots = *in_range(1, 5);
			    n->mine = *in_range(0, 5) > 0;
			    n->leaving = *in_range(0, 6) == 0;
		    }
		    const char *names[] = {"booking", "watch", "dispatch"};
		    for (auto *name : names) {
			    struct route_class *c = route_class(&r, name);
			    c->share_pct = *in_range(20, 101);
			    c->mean_us = *in_range(0, 3) * 40000 + 1;
		    }
		    std::vector<route_item> items(24);
		    std::vector<route_item *> queued;
		    std::vector<std::pair<route_item *, runner *>> busy;
		    for (size_t i = 0; i < items.size(); i++) {
			    memset(&items[i], 0, sizeof(items[i]));
			    items[i].cls = r.classes[i % 3];
			    strcpy(items[i].service, "desk");
			    items[i].ready.due_ms = *in_range(0, 50);
			    items[i].ready.owner = (void *)(intptr_t)i;
			    route_push(&r, &items[i]);
			    queued.push_back(&items[i]);
		    }
		    for (int64_t now = 0; now < 60; now++) {
			    if (*in_range(0, 3) == 0 && !busy.empty()) {
				    auto done = busy.back();
				    busy.pop_back();
				    route_finished(&r, done.second,
					done.first->cls, 1000 + now,
					*in_range(0, 4) > 0, now);
			    }
			    Choice want = reference_route(r, queued, now);
			    runner *rn = NULL;
			    route_item *got = route_next(&r, now, &rn);
			    RC_ASSERT((got != nullptr) == (want.item >= 0));
			    if (got == NULL)
				    continue;
			    RC_ASSERT(got == &items[want.item]);
			    RC_ASSERT(rn == r.runners[want.runner]);
			    RC_ASSERT(rn->busy <= rn->slots && !rn->leaving);
			    queued.erase(
				std::find(queued.begin(), queued.end(), got));
			    busy.push_back({got, rn});
		    }
		    for (auto *it : queued)
			    route_withdraw(&r, it);
		    route_done(&r);
	    }));
}
