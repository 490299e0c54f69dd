// Properties of worker reservations, the journal's ledger, placement and the
// queue of waiting members, each against a simple reference.
#include "prop.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>

extern "C" {
#include "../../src/base/err.h"
#include "../../src/coordination/ready.h"
#include "../../src/coordination/worker_placement.h"
#include "../../src/state/ledger.h"
#include "../../src/state/ledger_pack.h"
#include "../../src/state/worker.h"
}

namespace {

struct size
gen_size(uint32_t most)
{
	return {*in_range<uint32_t>(1, most),
	    *in_range<uint32_t>(1, most * 100), *in_range<uint32_t>(0, 3)};
}

void
add_workers(struct worker_pool *p, int n)
{
	for (int i = 0; i < n; i++) {
		struct worker *w =
		    worker_pool_get(p, ("w" + std::to_string(i)).c_str());
		w->total = {16, 1600, i % 3 == 0 ? 4u : 0u};
		w->shard = i % 2;
		w->listed = true;
		worker_update_slot(p, w);
	}
}

// Whether each worker's grants, summed up again from the keys, fit its capacity
// and equal what the pool has reserved.
bool
within_totals(const struct worker_pool *p,
    const std::map<std::string, std::pair<int, struct size>> &granted)
{
	for (int i = 0; i < p->count; i++) {
		struct size sum = {0, 0, 0};
		for (auto &g : granted)
			if (g.second.first == i)
				size_add(&sum, &g.second.second);
		if (!size_fits(&sum, &p->workers[i]->total) ||
		    memcmp(&sum, &p->workers[i]->reserved, sizeof(sum)) != 0)
			return false;
	}
	return true;
}

// Reference implementation of placement: scores every worker with the same
// formula in floating point; the first of the best wins.
int
reference_place(const struct worker_pool *p, int shard, const struct size &need)
{
	double best_score = 1e18;
	int best = -1;
	for (int i = 0; i < p->count; i++) {
		const struct worker *w = p->workers[i];
		struct size used = size_max(&w->reserved, &w->observed);
		struct size left = size_left(&w->total, &used);
		if (!w->listed || w->leaving || w->gone ||
		    !size_fits(&need, &left) ||
		    (shard != SHARD_ANY && w->shard != shard))
			continue;
		auto part = [](uint32_t a, uint32_t b) {
			return b == 0 ? 0.0 : std::floor(a * 1024.0 / b);
		};
		double s = part(left.cpus - need.cpus, w->total.cpus) +
		    part(left.memory_mb - need.memory_mb, w->total.memory_mb) +
		    4 *
			part(left.accelerators - need.accelerators,
			    w->total.accelerators);
		if (s < best_score) {
			best_score = s;
			best = i;
		}
	}
	return best;
}

// A ledger's entries and costs as text, sorted, for comparison.
std::string
describe(const struct ledger *l)
{
	std::map<std::string, std::string> rows;
	for (struct entry *e = l->entries; e != NULL;
	     e = (struct entry *)e->hh.next) {
		std::string s = std::to_string(e->state) + "/" +
		    std::to_string(e->outcome) + "/" + e->reason + "/" +
		    std::to_string(e->cancelled) + "/" +
		    std::to_string(e->maybe_ran) + "/" +
		    std::to_string(e->ran_ms) + "/" + std::to_string(e->nonce);
		for (uint32_t i = 0; i < e->count; i++)
			s += ":" + std::to_string(e->members[i].state) + "," +
			    std::to_string(e->state == ENTRY_ENDED ? 0
				    : e->members[i].state == MEMBER_SITED ||
					e->members[i].state == MEMBER_RUNNING
				    ? e->members[i].shard
				    : 0) +
			    "," +
			    (e->members[i].state == MEMBER_RUNNING
				    ? e->members[i].worker
				    : "");
		rows[e->id] = s;
	}
	for (struct cost_row *c = l->costs; c != NULL;
	     c = (struct cost_row *)c->hh.next)
		rows[std::string("cost ") + c->key] =
		    std::to_string(c->tasks) + "/" + std::to_string(c->cpu_ms);
	std::string out = std::to_string(l->unsettled) + "\n";
	for (auto &r : rows)
		out += r.first + "=" + r.second + "\n";
	return out;
}

// A journal record together with all messages that it may point to.
struct RecordBuffer {
	Cc__Rec rec;
	Cc__RecAccept accept;
	Cc__RecSite site;
	Cc__RecStart start;
	Cc__RecEnd end;
	Cc__RecCancel cancel;
	Cc__RecRequeue requeue;
	Cc__RecMemberEnd member_end;
	Cc__Size size;
	char id[8];
};

// Fills in the record that @p code selects: request, member and kind.
void
fill_rec(RecordBuffer *b, int code)
{
	static char cls[] = "cure", team[] = "norte", worker[] = "w1",
		    none[] = "";
	int id = code % 6, member = code / 6 % 3, what = code / 18 % 16;
	snprintf(b->id, sizeof(b->id), "t%d", id);
	cc__rec__init(&b->rec);
	switch (what) {
	case 0:
	case 1:
	case 2:
	case 3:
		cc__rec_accept__init(&b->accept);
		cc__size__init(&b->size);
		b->size.cpus = 2;
		b->accept.id = b->id;
		b->accept.class_name = cls;
		b->accept.team = team;
		b->accept.size = &b->size;
		b->accept.count = (uint32_t)(id % 3 + 1);
		b->accept.nonce = 7;
		b->rec.body_case = CC__REC__BODY_ACCEPT;
		b->rec.accept = &b->accept;
		break;
	case 4:
	case 5:
	case 6:
	case 7:
		cc__rec_site__init(&b->site);
		b->site.id = b->id;
		b->site.member = (uint32_t)member;
		b->site.shard = 3;
		b->rec.body_case = CC__REC__BODY_SITE;
		b->rec.site = &b->site;
		break;
	case 8:
	case 9:
	case 10:
		cc__rec_start__init(&b->start);
		b->start.id = b->id;
		b->start.member = (uint32_t)member;
		b->start.worker = worker;
		b->rec.body_case = CC__REC__BODY_START;
		b->rec.start = &b->start;
		break;
	case 11:
		cc__rec_end__init(&b->end);
		b->end.id = b->id;
		b->end.outcome = OUTCOME_DONE;
		b->end.reason = none;
		b->end.content_type = none;
		b->end.run_ms = 5;
		b->rec.body_case = CC__REC__BODY_END;
		b->rec.end = &b->end;
		break;
	case 12:
		cc__rec_cancel__init(&b->cancel);
		b->cancel.id = b->id;
		b->rec.body_case = CC__REC__BODY_CANCEL;
		b->rec.cancel = &b->cancel;
		break;
	case 13:
	case 14:
		cc__rec_requeue__init(&b->requeue);
		b->requeue.id = b->id;
		b->requeue.member = (uint32_t)member;
		b->requeue.maybe_ran = code % 2;
		b->rec.body_case = CC__REC__BODY_REQUEUE;
		b->rec.requeue = &b->requeue;
		break;
	default:
		cc__rec_member_end__init(&b->member_end);
		b->member_end.id = b->id;
		b->member_end.member = (uint32_t)member;
		b->member_end.run_ms = 5;
		b->rec.body_case = CC__REC__BODY_MEMBER_END;
		b->rec.member_end = &b->member_end;
	}
}

} // namespace

bool
prop_workers()
{
	return property("the grants of a worker never exceed its capacity",
	    rc::check("the grants of a worker never exceed its capacity", [] {
		    struct worker_pool p;
		    worker_pool_init(&p);
		    add_workers(&p, *in_range(1, 6));
		    std::map<std::string, std::pair<int, struct size>> granted;
		    auto steps = *rc::gen::container<std::vector<int>>(
			40, in_range(0, 400));
		    for (int step : steps) {
			    std::string key = "k" + std::to_string(step % 20);
			    if (step >= 250) {
				    struct reservation *r =
					worker_pool_reservation(
					    &p, key.c_str());
				    if (r != nullptr) {
					    worker_release(&p, r);
					    granted.erase(key);
				    }
				    continue;
			    }
			    struct size need = {(uint32_t)step % 9 + 1,
				(uint32_t)(step * 37 % 900),
				(uint32_t)step % 3};
			    int i = place_best(&p, SHARD_ANY, NULL, &need);
			    struct reservation *r;
			    if (i < 0)
				    i = step % p.count;
			    if (worker_reserve(&p, p.workers[i], key.c_str(),
				    &need, &r) == CC_OK) {
				    RC_ASSERT(granted.count(key) == 0u);
				    granted[key] = {i, need};
			    }
			    RC_ASSERT(within_totals(&p, granted));
		    }
		    worker_pool_done(&p);
	    }));
}

bool
prop_ledger()
{
	return property("replay and snapshot yield the same ledger",
	    rc::check("replay and snapshot yield the same ledger", [] {
		    auto codes = *rc::gen::container<std::vector<int>>(
			80, in_range(0, 6 * 3 * 16));
		    size_t cut = *in_range<size_t>(0, 80);
		    struct ledger live, replayed, from_snapshot;
		    struct batch_builder all;
		    RecordBuffer box;
		    uint8_t *snap = NULL;
		    size_t snap_len = 0, len;
		    ledger_init(&live);
		    ledger_init(&replayed);
		    ledger_init(&from_snapshot);
		    batch_builder_init(&all);
		    struct batch_builder rest;
		    batch_builder_init(&rest);
		    for (size_t i = 0; i < codes.size(); i++) {
			    if (i == cut)
				    snap = ledger_snapshot(&live, &snap_len);
			    fill_rec(&box, codes[i]);
			    if (ledger_apply(&live, &box.rec) == NULL)
				    continue;
			    batch_add(&all, &box.rec);
			    if (i >= cut)
				    batch_add(&rest, &box.rec);
		    }
		    if (snap == NULL)
			    snap = ledger_snapshot(&live, &snap_len);
		    uint8_t *data = batch_builder_finish(&all, 1, &len);
		    RC_ASSERT(ledger_replay(&replayed, data, len, NULL) == 0);
		    std::string after_replay = describe(&replayed);
		    free(data);
		    RC_ASSERT(ledger_replay(
				  &from_snapshot, snap, snap_len, NULL) == 0);
		    data = batch_builder_finish(&rest, 1, &len);
		    RC_ASSERT(
			ledger_replay(&from_snapshot, data, len, NULL) == 0);
		    std::string a = describe(&live);
		    std::string c = describe(&from_snapshot);
		    free(data);
		    free(snap);
		    ledger_done(&live);
		    ledger_done(&replayed);
		    ledger_done(&from_snapshot);
		    RC_ASSERT(a == after_replay);
		    RC_ASSERT(a == c);
	    }));
}

bool
prop_place()
{
	return property("placement equals the reference implementation",
	    rc::check("placement equals the reference implementation", [] {
		    struct worker_pool p;
		    worker_pool_init(&p);
		    add_workers(&p, *in_range(1, 12));
		    for (int k = 0; k < 30; k++) {
			    struct size need = gen_size(9);
			    int shard = *in_range(-1, 2);
			    int want = reference_place(&p, shard, need);
			    int got = place_best(&p, shard, NULL, &need);
			    RC_ASSERT(got == want);
			    struct reservation *r;
			    if (got < 0)
				    continue;
			    RC_ASSERT(worker_reserve(&p, p.workers[got],
					  ("k" + std::to_string(k)).c_str(),
					  &need, &r) == CC_OK);
			    if (k % 7 == 0) {
				    p.workers[got]->leaving = true;
				    worker_update_slot(&p, p.workers[got]);
			    }
		    }
		    worker_pool_done(&p);
	    }));
}

static enum ready_verdict
take_even(struct ready_item *it, void *arg)
{
	auto *order = (std::vector<int> *)arg;
	order->push_back((int)(intptr_t)it->owner);
	return (intptr_t)it->owner % 2 == 0 ? READY_TAKEN : READY_KEEP;
}

bool
prop_ready()
{
	return property("the queue offers its members in order of slack",
	    rc::check("the queue offers its members in order of slack", [] {
		    auto dues = *rc::gen::container<std::vector<int>>(
			30, in_range(0, 12));
		    struct ready q;
		    std::vector<struct ready_item> items(dues.size());
		    std::vector<std::pair<int, int>> plain;
		    ready_init(&q);
		    for (size_t i = 0; i < dues.size(); i++) {
			    memset(&items[i], 0, sizeof(items[i]));
			    items[i].due_ms = dues[i];
			    items[i].give_up_ms = 100 - dues[i];
			    items[i].owner = (void *)(intptr_t)i;
			    ready_add(&q, &items[i]);
			    plain.push_back({dues[i], (int)i});
		    }
		    std::sort(plain.begin(), plain.end());
		    std::vector<int> order, want;
		    for (auto &x : plain)
			    want.push_back(x.second);
		    ready_pass(&q, 1000, take_even, &order);
		    RC_ASSERT(order == want);
		    RC_ASSERT(q.count == (int)(dues.size() / 2));
		    int most = 0;
		    for (size_t i = 1; i < dues.size(); i += 2)
			    most = std::max(most, dues[i]);
		    struct ready_item *it = ready_overdue(&q, 100 - most);
		    RC_ASSERT(it != nullptr && it->due_ms == most);
		    RC_ASSERT(ready_overdue(&q, 99 - most) == nullptr);
	    }));
}
