// Properties of a cell under random faults: no guarantee is violated at any
// moment, stored rows of runners agree with the leader's state or are marked as
// stale, a runner that is ready and answers is opened within a bound, and after
// the faults every accepted job ends.
#include "prop.h"

#include <cstdlib>
#include <cstring>

extern "C" {
#include "../../src/base/kvlog.h"
#include "../world/world.h"
}

namespace {

const int RUNNERS = 6;
const int CELLS = 2;
const int STORE_MS = 4; // of a transaction, without faults

// One step of a schedule: a fault, an end of a fault or a submission.
struct schedule_step {
	int kind;   // which action
	uint32_t a; // parameters of the action
	uint32_t b;
	int64_t ms; // virtual time that passes after it
};

schedule_step
gen_step()
{
	return {*in_range(0, 18), *in_range<uint32_t>(0, 1000),
	    *in_range<uint32_t>(0, 1000), *in_range<int64_t>(1, 900)};
}

// Submits job n, whose tasks take up to 1600 ms times the factor.
void
submit(struct world *w, const schedule_step &s, int n, uint32_t factor = 1)
{
	struct world_step steps[3];
	const char *queues[] = {"urgent", "batch", "advised"};
	char id[32];
	int nsteps = 1 + (int)s.a % 3;
	for (int i = 0; i < nsteps; i++) {
		steps[i] = {};
		steps[i].count = 1 + (s.a / 3 + (uint32_t)i) % 6;
		steps[i].cpu = 1000 + s.b % 5000;
		steps[i].ms = factor * (100 + (s.a * 7 + s.b) % 1500);
		steps[i].after = i - 1;
		steps[i].gang = s.b % 7 == 0 && i == 0;
	}
	snprintf(id, sizeof(id), "%016x", n + 1);
	world_submit(w, id, queues[s.b % 3], steps, nsteps);
}

// With LOUD set, prints each step and violation; with LOGS, the cells' logs.
void
set_output(struct world *w)
{
	world_set_verbose(w, getenv("LOUD") != nullptr);
	if (getenv("LOGS") != nullptr) {
		setvbuf(stdout, nullptr, _IONBF, 0);
		kvlog_open("world", KVLOG_DEBUG);
	}
}

void
print_step(struct world *w, const char *what, const schedule_step &s)
{
	if (getenv("LOUD") != nullptr)
		printf("at %lld: %s=%d a=%u b=%u ms=%lld\n",
		    (long long)world_now(w), what, s.kind, s.a, s.b,
		    (long long)s.ms);
}

void
apply_step(struct world *w, const schedule_step &s, int *jobs)
{
	int r = (int)(s.a % RUNNERS), c = (int)(s.a % CELLS);
	char id[32];
	print_step(w, "kind", s);
	switch (s.kind) {
	case 0:
		world_claim(w, c);
		break;
	case 1:
		world_cell_restart(w, c);
		world_claim(w, (int)(s.b % CELLS));
		break;
	case 2:
		world_cut_store(w, c, s.b % 2 == 0);
		break;
	case 3:
		world_runner_crash(w, r, 100 + s.b * 4);
		break;
	case 4:
		world_runner_cut(w, r, true);
		break;
	case 5:
		world_runner_cut(w, r, false);
		break;
	case 6:
		snprintf(id, sizeof(id), "%016x",
		    *jobs > 0 ? (int)(s.a % (uint32_t)*jobs) + 1 : 1);
		world_cancel(w, id);
		break;
	case 7:
		world_set_store_latency(w, STORE_MS + (int)(s.b / 2));
		break;
	case 8:
		world_set_store_latency(w, STORE_MS);
		break;
	case 9:
		world_runner_restart(w, r, 100 + s.b * 3, s.b % 7 * 400);
		break;
	default:
		submit(w, s, (*jobs)++);
	}
	world_run(w, s.ms);
}

// Ends all faults and runs another minute.
void
end_faults(struct world *w)
{
	struct world_faults none = {};
	world_set_faults(w, &none);
	world_set_store_latency(w, STORE_MS);
	for (int i = 0; i < CELLS; i++)
		world_cut_store(w, i, false);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_cut(w, i, false);
	world_claim(w, 0);
	world_run(w, 60000);
}

// @return whether no guarantee was violated and all accepted jobs ended.
bool
run_schedule(uint32_t seed, const std::vector<schedule_step> &list,
    const struct world_faults &faults)
{
	struct world *w = world_new(seed, RUNNERS);
	int jobs = 0;
	set_output(w);
	world_claim(w, 0);
	world_run(w, 1500);
	world_set_faults(w, &faults);
	for (auto &s : list)
		apply_step(w, s, &jobs);
	end_faults(w);
	bool kept = world_violations(w) == 0 && world_all_jobs_ended(w);
	world_delete(w);
	return kept;
}

bool
holds_under_faults()
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
	std::vector<schedule_step> list;
	for (int i = 0; i < n; i++)
		list.push_back(gen_step());
	return run_schedule(seed, list, f);
}

// Applies a step without faults: slow links to runners, so that orders and
// answers overtake each other, slow leaders, a slow store, changes of leader.
void
apply_slow_step(struct world *w, const schedule_step &s, int *jobs)
{
	int r = (int)(s.a % RUNNERS), c = (int)(s.a % CELLS);
	print_step(w, "slow kind", s);
	switch (s.kind) {
	case 0:
		world_claim(w, c);
		break;
	case 1:
	case 2:
	case 3:
		world_runner_set_delay(w, r, (int)(s.b * 7 / 10));
		break;
	case 4:
		for (int i = 0; i < RUNNERS; i++)
			world_runner_set_delay(w, i, (int)(s.b / 2));
		break;
	case 5:
		world_cell_set_interval(w, c, (int)(s.b / 2));
		break;
	case 6:
		world_set_store_latency(w, STORE_MS + (int)(s.b / 2));
		break;
	default:
		submit(w, s, (*jobs)++);
	}
	world_run(w, s.ms);
}

bool
holds_when_slow()
{
	struct world *w = world_new(*in_range<uint32_t>(1, 1000000), RUNNERS);
	auto n = *in_range(5, 40);
	int jobs = 0;
	set_output(w);
	world_claim(w, 0);
	world_run(w, 1500);
	for (int i = 0; i < n; i++)
		apply_slow_step(w, gen_step(), &jobs);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_set_delay(w, i, 0);
	for (int i = 0; i < CELLS; i++)
		world_cell_set_interval(w, i, 0);
	world_set_store_latency(w, STORE_MS);
	world_run(w, 60000);
	bool kept = world_violations(w) == 0 && world_all_jobs_ended(w);
	world_delete(w);
	return kept;
}

// Cuts each runner off from some of the cells, and some cells from the store.
void
split(struct world *w, uint32_t cells, uint32_t runners)
{
	for (int c = 0; c < CELLS; c++) {
		world_cut_store(w, c, (cells >> c & 1) != 0);
		for (int r = 0; r < RUNNERS; r++)
			world_path_cut(
			    w, c, r, (runners >> (c * RUNNERS + r) & 1) != 0);
	}
}

// Applies a step of a history in which the network splits: two cells may lead
// at the same time, each on the runners that it reaches.
void
apply_split_step(
    struct world *w, const schedule_step &s, int *jobs, bool crashes)
{
	int r = (int)(s.a % RUNNERS), c = (int)(s.a % CELLS);
	print_step(w, "split kind", s);
	switch (s.kind) {
	case 0:
	case 1:
		world_claim(w, c);
		break;
	case 2:
	case 3:
		split(w, s.a % 4, (s.b << 5) ^ (s.a * 37));
		break;
	case 4:
	case 5: {
		// One cell has the store, the other leads some runners on.
		uint32_t side = s.b % (1 << RUNNERS), all = (1 << RUNNERS) - 1;
		split(w, c == 0 ? 2 : 1,
		    side << (c * RUNNERS) |
			(all & ~side) << ((1 - c) * RUNNERS));
		world_run(w, s.ms);
		world_claim(w, c);
		world_run(w, s.a * 20);
		break;
	}
	case 6:
		split(w, 0, 0);
		break;
	case 7:
		world_run(w, s.b * 8);
		break;
	case 8:
		world_cell_restart(w, c);
		break;
	case 9:
		if (crashes)
			world_runner_crash(w, r, 100 + s.b * 4);
		break;
	default:
		submit(w, s, (*jobs)++, 10);
	}
	world_run(w, s.ms);
}

bool
holds_when_split(bool crashes)
{
	struct world *w = world_new(*in_range<uint32_t>(1, 1000000), RUNNERS);
	auto n = *in_range(5, 40);
	int jobs = 0;
	set_output(w);
	world_claim(w, 0);
	world_run(w, 1500);
	for (int i = 0; i < n; i++)
		apply_split_step(w, gen_step(), &jobs, crashes);
	split(w, 0, 0);
	world_claim(w, 0);
	world_run(w, 60000);
	bool kept = world_violations(w) == 0 && world_all_jobs_ended(w);
	world_delete(w);
	return kept;
}

} // namespace

static const struct {
	const char *key;
	const char *name;
	bool (*holds)();
} cell_properties[] = {
    {"faults", "a cell keeps its guarantees under faults", holds_under_faults},
    {"slow", "a cell keeps its guarantees when parts are slow",
	holds_when_slow},
    // Guards against TWICE: the leader before, cut off from the store, renews
    // leases that the next leader takes for over.
    {"split", "a cell keeps its guarantees when the network splits",
	[] { return holds_when_split(false); }},
    {"crashes", "a cell keeps its guarantees when it splits and runners crash",
	[] { return holds_when_split(true); }},
    // Guards against TWICE: the leader's zone is cut off again and again.
    {"zones", "a cell keeps its guarantees when zones are cut off in turn",
	zones_hold},
    // Guards against LOST: runners cut off and not listed counted as crashed.
    {"cuts", "no job fails as its runners are cut off", crash_cuts_keep},
    // Guards against QUOTA: an account's runs exceed its cap.
    {"caps", "accounts stay within their caps under faults", caps_hold},
    // Guards against BUDGET: a task that crashes its runners starts for ever.
    {"deadly", "tasks that crash runners are given up among cuts",
	crash_cuts_give_up},
    {"deadly-led", "tasks that crash runners are given up across leaders",
	crash_cuts_give_up_across},
};

bool
prop_cells(const char *only)
{
	bool all = true;
	for (auto &p : cell_properties)
		if (only == nullptr || strcmp(only, p.key) == 0)
			all &= property(p.name,
			    rc::check(p.key, [&p] { RC_ASSERT(p.holds()); }));
	return all;
}
