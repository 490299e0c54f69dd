// Property of a cell with client accounts that have small caps, under changes
// of the leader, cuts, crashes of runners and changes of the caps: no account
// runs more than its cap allows, and every accepted job ends.
#include "prop.h"

#include <cstdlib>

extern "C" {
#include "../../src/base/kvlog.h"
#include "../world/world.h"
}

namespace {

const int RUNNERS = 6;
const int CELLS = 2;
const int ACCOUNTS = 3;
const int64_t LAST_CAP = 16000; // after the faults; no gang is wider
const int64_t AFTER_FAULTS_MS = 90000;

struct cap_step {
	int kind;
	uint32_t a, b; // parameters of the action
	int64_t ms;    // virtual time that passes after it
};

struct cap_play {
	struct world *w;
	struct world_account accounts[ACCOUNTS];
	int jobs;
};

void
set_cap(cap_play &p, int account, int64_t cap)
{
	p.accounts[account].cap_cpu = cap;
	world_set_accounts(p.w, p.accounts, ACCOUNTS);
}

void
submit(cap_play &p, const cap_step &s)
{
	struct world_step steps[2];
	char id[32];
	int nsteps = 1 + (int)s.a % 2;
	for (int i = 0; i < nsteps; i++) {
		steps[i] = {};
		steps[i].count = 1 + (s.a / 2 + (uint32_t)i) % 4;
		steps[i].cpu = 500 + s.b * 2;
		steps[i].ms = 100 + (s.a * 7 + s.b) % 6000;
		steps[i].after = i - 1;
		steps[i].gang = s.b % 5 == 0 && i == 0;
		steps[i].speculative = s.b % 5 == 1;
	}
	snprintf(id, sizeof(id), "%016x", ++p.jobs);
	world_submit_as(p.w, id, s.a % 3 == 0 ? "urgent" : "batch",
	    p.accounts[s.b % ACCOUNTS].name, steps, nsteps);
}

// Cuts cells off from the store, and cells from runners, by bit masks.
void
cut(struct world *w, uint32_t cells, uint32_t paths)
{
	for (int c = 0; c < CELLS; c++) {
		world_cut_store(w, c, (cells >> c & 1) != 0);
		for (int r = 0; r < RUNNERS; r++)
			world_path_cut(
			    w, c, r, (paths >> (c * RUNNERS + r) & 1) != 0);
	}
}

// One cell has the store and leads; the one before reaches the other runners.
void
divide(struct world *w, const cap_step &s)
{
	int c = (int)(s.a % CELLS);
	uint32_t all = (1 << RUNNERS) - 1, side = s.b & all;
	cut(w, c == 0 ? 2 : 1,
	    side << (c * RUNNERS) | (all & ~side) << ((1 - c) * RUNNERS));
	world_run(w, s.ms / 2);
	world_claim(w, c);
}

void
apply_step(cap_play &p, const cap_step &s)
{
	struct world *w = p.w;
	int r = (int)(s.a % RUNNERS), c = (int)(s.a % CELLS);
	char id[32];
	if (getenv("LOUD") != nullptr)
		printf("at %lld: cap kind=%d a=%u b=%u ms=%lld\n",
		    (long long)world_now(w), s.kind, s.a, s.b, (long long)s.ms);
	switch (s.kind) {
	case 0:
		world_claim(w, c);
		break;
	case 1:
		cut(w, s.a % 4, (s.b << 5) ^ (s.a * 37));
		break;
	case 2:
	case 3:
		divide(w, s);
		break;
	case 4:
		cut(w, 0, 0);
		break;
	case 5:
		world_runner_crash(w, r, 100 + s.b * 4);
		break;
	case 6:
		world_runner_restart(w, r, 100 + s.b * 3, s.b % 7 * 400);
		break;
	case 7:
		world_cell_restart(w, c);
		world_claim(w, (int)(s.b % CELLS));
		break;
	case 8:
		world_runner_cut(w, r, s.b % 2 == 0);
		break;
	case 9:
		set_cap(p, (int)(s.a % ACCOUNTS), 1000 + s.b * 6);
		break;
	case 10:
		snprintf(id, sizeof(id), "%016x",
		    1 + (int)(s.a % (uint32_t)(p.jobs + 1)));
		world_cancel(w, id);
		break;
	default:
		submit(p, s);
	}
	world_run(w, s.ms);
}

void
end_faults(cap_play &p)
{
	struct world_faults none = {};
	world_set_faults(p.w, &none);
	cut(p.w, 0, 0);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_cut(p.w, i, false);
	for (int i = 0; i < ACCOUNTS; i++)
		set_cap(p, i, LAST_CAP);
	world_claim(p.w, 0);
	world_run(p.w, AFTER_FAULTS_MS);
}

} // namespace

bool
caps_hold()
{
	struct world_faults f = {};
	cap_play p = {world_new(*in_range<uint32_t>(1, 1000000), RUNNERS),
	    {{"a", 4000, 1000}, {"b", 6000, 1000}, {"c", 2000, 1000}}, 0};
	f.order_lost = *in_range(0, 60);
	f.order_dropped = *in_range(0, 60);
	f.store_lost = *in_range(0, 30);
	f.run_fails = *in_range(0, 30);
	auto n = *in_range(5, 50);
	world_set_verbose(p.w, getenv("LOUD") != nullptr);
	if (getenv("LOGS") != nullptr) {
		setvbuf(stdout, nullptr, _IONBF, 0);
		kvlog_open("world", KVLOG_DEBUG);
	}
	world_set_accounts(p.w, p.accounts, ACCOUNTS);
	world_run(p.w, 500);
	world_claim(p.w, 0);
	world_run(p.w, 1500);
	world_set_faults(p.w, &f);
	for (int i = 0; i < n; i++)
		apply_step(p,
		    {*in_range(0, 26), *in_range<uint32_t>(0, 1000),
			*in_range<uint32_t>(0, 1000),
			*in_range<int64_t>(1, 900)});
	end_faults(p);
	bool kept = world_violations(p.w) == 0 && world_all_jobs_ended(p.w);
	world_delete(p.w);
	return kept;
}
