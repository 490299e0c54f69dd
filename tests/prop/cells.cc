// A cell under faults: no promise is broken at any moment, and when the
// faults end, everything that was accepted comes to its end.
#include "prop.h"

#include <cstdlib>

extern "C" {
#include "../../src/base/kvlog.h"
#include "../world/world.h"
}

namespace {

const int RUNNERS = 6;
const int CELLS = 2;
const int STORE_MS = 4;

// One thing that happens, and the time that passes after it.
struct happening {
	int kind;
	uint32_t a;
	uint32_t b;
	int64_t ms;
};

happening
gen_happening()
{
	return {*in_range(0, 16), *in_range<uint32_t>(0, 1000),
	    *in_range<uint32_t>(0, 1000), *in_range<int64_t>(1, 900)};
}

void
submit(struct world *w, const happening &h, int n)
{
	struct world_step steps[3];
	const char *queues[] = {"urgent", "batch", "advised"};
	char id[32];
	int nsteps = 1 + (int)h.a % 3;
	for (int i = 0; i < nsteps; i++) {
		steps[i] = {};
		steps[i].count = 1 + (h.a / 3 + (uint32_t)i) % 6;
		steps[i].cpu = 1000 + h.b % 5000;
		steps[i].ms = 100 + (h.a * 7 + h.b) % 1500;
		steps[i].after = i - 1;
		steps[i].gang = h.b % 7 == 0 && i == 0;
	}
	snprintf(id, sizeof(id), "%016x", n + 1);
	world_submit(w, id, queues[h.b % 3], steps, nsteps);
}

// LOUD=1 prints what happens, LOGS=1 the cells' logs.
void
set_output(struct world *w)
{
	world_loud(w, getenv("LOUD") != nullptr);
	if (getenv("LOGS") != nullptr) {
		setvbuf(stdout, nullptr, _IONBF, 0);
		kvlog_open("world", KVLOG_DEBUG);
	}
}

void
print_happening(struct world *w, const char *what, const happening &h)
{
	if (getenv("LOUD") != nullptr)
		printf("at %lld: %s=%d a=%u b=%u ms=%lld\n",
		    (long long)world_now(w), what, h.kind, h.a, h.b,
		    (long long)h.ms);
}

void
happen(struct world *w, const happening &h, int *jobs)
{
	int r = (int)(h.a % RUNNERS), c = (int)(h.a % CELLS);
	char id[32];
	print_happening(w, "kind", h);
	switch (h.kind) {
	case 0:
		world_claim(w, c);
		break;
	case 1:
		world_kill(w, c);
		world_claim(w, (int)(h.b % CELLS));
		break;
	case 2:
		world_cut_store(w, c, h.b % 2 == 0);
		break;
	case 3:
		world_runner_crash(w, r, 100 + h.b * 4);
		break;
	case 4:
		world_runner_cut(w, r, true);
		break;
	case 5:
		world_runner_cut(w, r, false);
		break;
	case 6:
		snprintf(id, sizeof(id), "%016x",
		    *jobs > 0 ? (int)(h.a % (uint32_t)*jobs) + 1 : 1);
		world_cancel(w, id);
		break;
	case 7:
		world_store_ms(w, STORE_MS + (int)(h.b / 2));
		break;
	case 8:
		world_store_ms(w, STORE_MS);
		break;
	default:
		submit(w, h, (*jobs)++);
	}
	world_run(w, h.ms);
}

void
heal(struct world *w)
{
	struct world_faults none = {};
	world_set_faults(w, &none);
	world_store_ms(w, STORE_MS);
	for (int i = 0; i < CELLS; i++)
		world_cut_store(w, i, false);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_cut(w, i, false);
	world_claim(w, 0);
	world_run(w, 60000);
}

// Whether no promise was broken, and all that was accepted ended.
bool
run_schedule(uint32_t seed, const std::vector<happening> &list,
    const struct world_faults &faults)
{
	struct world *w = world_new(seed, RUNNERS);
	int jobs = 0;
	set_output(w);
	world_claim(w, 0);
	world_run(w, 1500);
	world_set_faults(w, &faults);
	for (auto &h : list)
		happen(w, h, &jobs);
	heal(w);
	bool kept = world_broken(w) == 0 && world_all_ended(w);
	world_delete(w);
	return kept;
}

bool
any_schedule()
{
	struct world_faults f = {};
	f.store_lost = *in_range(0, 60);
	f.store_late = *in_range(0, 60);
	f.store_refused = *in_range(0, 60);
	f.order_lost = *in_range(0, 60);
	f.order_dropped = *in_range(0, 60);
	f.order_late = *in_range(0, 60);
	f.order_refused = *in_range(0, 60);
	f.run_fails = *in_range(0, 60);
	auto seed = *in_range<uint32_t>(1, 1000000);
	auto n = *in_range(5, 40);
	std::vector<happening> list;
	for (int i = 0; i < n; i++)
		list.push_back(gen_happening());
	return run_schedule(seed, list, f);
}

// Links that fill and empty, answers and orders that overtake each other,
// leaders whose processor is slow, a store that is, and the lead that moves.
void
slow_down(struct world *w, const happening &h, int *jobs)
{
	int r = (int)(h.a % RUNNERS), c = (int)(h.a % CELLS);
	print_happening(w, "slow kind", h);
	switch (h.kind) {
	case 0:
		world_claim(w, c);
		break;
	case 1:
	case 2:
	case 3:
		world_runner_link(w, r, (int)(h.b * 7 / 10));
		break;
	case 4:
		for (int i = 0; i < RUNNERS; i++)
			world_runner_link(w, i, (int)(h.b / 2));
		break;
	case 5:
		world_slow_cell(w, c, (int)(h.b / 2));
		break;
	case 6:
		world_store_ms(w, STORE_MS + (int)(h.b / 2));
		break;
	default:
		submit(w, h, (*jobs)++);
	}
	world_run(w, h.ms);
}

bool
any_slowness()
{
	struct world *w = world_new(*in_range<uint32_t>(1, 1000000), RUNNERS);
	auto n = *in_range(5, 40);
	int jobs = 0;
	set_output(w);
	world_claim(w, 0);
	world_run(w, 1500);
	for (int i = 0; i < n; i++)
		slow_down(w, gen_happening(), &jobs);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_link(w, i, 0);
	for (int i = 0; i < CELLS; i++)
		world_slow_cell(w, i, 0);
	world_store_ms(w, STORE_MS);
	world_run(w, 60000);
	bool kept = world_broken(w) == 0 && world_all_ended(w);
	world_delete(w);
	return kept;
}

} // namespace

bool
prop_cells()
{
	bool faults = property("a cell keeps its promises under faults",
	    rc::check("cells", [] { RC_ASSERT(any_schedule()); }));
	bool slow = property("a cell keeps its promises at any slowness",
	    rc::check("slow", [] { RC_ASSERT(any_slowness()); }));
	return faults && slow;
}
