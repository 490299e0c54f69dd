// Property of a cell whose leading zone is cut off again and again, as in the
// incident of tasks that ran twice: each time the leader loses the store and
// other zones' runners for 9 to 12 s, and a host of another zone claims.
#include "prop.h"

#include <cstdlib>
#include <functional>
#include <map>

extern "C" {
#include "../../src/base/kvlog.h"
#include "../world/zones.h"
}

namespace {

const int RUNNERS = 12;
const int64_t FIRST_CUT_MS = 4000;
const int64_t AFTER_CUTS_MS = 45000;
const int STORE_MS = 4;	       // latency of the store where it isn't slow
const int64_t LEASE_MS = 4000; // as a member's cell has it

// What besides the cuts happens in a history; each can be left out.
struct zone_faults {
	bool held_back;	  // orders stopped by a cut arrive at its end
	bool slow_clocks; // clocks of some runners are 2% slow
	bool pauses;	  // a cell is paused beside a cut
	bool parts;	  // a cell reaches only some parts of the store
	bool lag;	  // the registry is read late
	bool early_paths; // paths are cut up to 3 s before or after the store
	bool claims_back; // the former leader claims again after the cut
	bool lost;	  // orders are lost or late at any time
	bool fails;	  // tasks fail
	bool busy;	  // cells, links and the store are slow
	bool refused;	  // calls over a cut path fail at once
	bool crashes;	  // runners crash behind the cut
};

struct zone_cut {
	int64_t pause_before_ms; // since the start of the cut before
	int64_t ms;
	int paths;
	uint64_t without;
	int next; // of the two other zones, the one that claims
	int64_t claim_ms;
	int64_t unlist_ms;
	int64_t relist_ms;
	int64_t
	    paths_ms; // cut of the paths after the store's, with early_paths
	int64_t claim_back_ms;
	int pauses_cell; // 0: the leader, 1: the next one
	int64_t pause_at_ms;
	int64_t pause_ms;
	uint32_t parts;
	int crash_runner; // of the zone's
	int64_t crash_ms;
	int64_t down_ms;
};

struct zone_history {
	uint32_t seed;
	zone_faults faults;
	std::vector<zone_cut> cuts;
	int64_t submit_gap_ms;
	int copies; // one in so many jobs allows them; 0: none does
	int64_t lag_ms;
	int interval_ms; // of a busy cell's work
	int link_ms;
	int store_ms;
};

zone_cut
gen_cut()
{
	zone_cut c;
	// One in four cuts begins soon after the one before has ended.
	c.pause_before_ms = *in_range(0, 4) == 3
	    ? *in_range<int64_t>(12100, 15000)
	    : *in_range<int64_t>(18000, 24000);
	c.ms = *in_range<int64_t>(9000, 12000);
	c.paths = *in_range(0, 3);
	c.without = *in_range<uint64_t>(0, 1ULL << 48);
	c.next = *in_range(0, 2);
	c.claim_ms = *in_range<int64_t>(300, 600);
	c.unlist_ms = *in_range<int64_t>(2000, 7000);
	c.relist_ms = *in_range<int64_t>(0, 2000);
	c.paths_ms = *in_range<int64_t>(-3000, 3000);
	c.claim_back_ms = *in_range<int64_t>(0, 3000);
	c.pauses_cell = *in_range(0, 2);
	c.pause_at_ms = *in_range<int64_t>(-3000, 12000);
	c.pause_ms = *in_range<int64_t>(1000, 15000);
	c.parts = *in_range<uint32_t>(0, 16);
	c.crash_runner = *in_range(0, RUNNERS / ZONES);
	c.crash_ms = *in_range<int64_t>(-1000, 9000);
	c.down_ms = *in_range<int64_t>(100, 4000);
	return c;
}

bool
gen_switch()
{
	return *in_range(0, 2) == 1;
}

zone_history
gen_history()
{
	zone_history h;
	h.seed = *in_range<uint32_t>(1, 1000000);
	h.faults = {gen_switch(), gen_switch(), gen_switch(), gen_switch(),
	    gen_switch(), gen_switch(), gen_switch(), gen_switch(),
	    gen_switch(), gen_switch(), gen_switch(),
	    getenv("ZONES_CRASHES") != nullptr && gen_switch()};
	auto n = *in_range(1, 5);
	for (int i = 0; i < n; i++)
		h.cuts.push_back(gen_cut());
	h.submit_gap_ms = *in_range<int64_t>(250, 1000);
	h.copies = *in_range(0, 4);
	h.lag_ms = *in_range<int64_t>(600, 3000);
	h.interval_ms = *in_range(50, 300);
	h.link_ms = *in_range(0, 150);
	h.store_ms = *in_range(4, 120);
	return h;
}

// Plays a history: what is due at which time, and the world that it acts on.
struct zone_play {
	struct world *w;
	const zone_history &h;
	std::multimap<int64_t, std::function<void()>> due;
	uint32_t rng;
	int jobs = 0;

	uint32_t
	below(uint32_t n)
	{
		rng = rng * 1664525u + 1013904223u;
		return (rng >> 8) % n;
	}

	void
	at(int64_t ms, std::function<void()> fn)
	{
		due.emplace(ms, fn);
	}

	// Runs what is due until @p ms.
	void
	run_until(int64_t ms)
	{
		while (!due.empty() && due.begin()->first <= ms) {
			auto next = due.begin();
			auto fn = next->second;
			if (next->first > world_now(w))
				world_run(w, next->first - world_now(w));
			due.erase(next);
			fn();
		}
		world_run(w, ms - world_now(w));
	}
};

void
say(struct world *w, const char *what, int64_t a, int64_t b)
{
	if (getenv("LOUD") != nullptr)
		printf("at %lld: %s %lld %lld\n", (long long)world_now(w), what,
		    (long long)a, (long long)b);
}

// A job of one or two steps of 6 to 12 tasks, 0.7 to 5 s long.
void
submit(zone_play &p)
{
	const char *queues[] = {"urgent", "batch"};
	struct world_step steps[2] = {};
	int n = 1 + (int)p.below(2);
	bool copies = p.h.copies > 0 && p.below((uint32_t)p.h.copies) == 0;
	bool gang = p.below(12) == 0;
	char id[32];
	for (int i = 0; i < n; i++) {
		steps[i].count = gang ? 3 : 6 + p.below(7);
		steps[i].cpu = 1000 + p.below(1000);
		steps[i].ms = 700 + p.below(4300);
		steps[i].after = i - 1;
		steps[i].gang = gang;
		steps[i].speculative = copies && !gang;
	}
	snprintf(id, sizeof(id), "%016x", ++p.jobs);
	world_submit(p.w, id, queues[p.below(2)], steps, n);
}

void
keep_submitting(zone_play &p, int64_t until)
{
	submit(p);
	if (world_now(p.w) + p.h.submit_gap_ms < until)
		p.at(world_now(p.w) + p.h.submit_gap_ms,
		    [&p, until] { keep_submitting(p, until); });
}

void
cut_paths(zone_play &p, const zone_cut &c, int zone)
{
	say(p.w, "paths cut: zone, kind", zone, c.paths);
	zone_cut_paths(p.w, zone, (enum zone_paths)c.paths, c.without);
}

void
claim(zone_play &p, int cell, const char *what)
{
	say(p.w, what, cell, 0);
	world_claim(p.w, cell);
}

void
end_cut(zone_play &p, int zone)
{
	say(p.w, "cut ends: zone", zone, 0);
	zone_join_paths(p.w);
	world_cut_store(p.w, zone, false);
	for (int i = 0; i < ZONES; i++)
		world_cut_parts(p.w, i, 0);
}

// Cuts the zone of whoever leads off from the store, and plans the rest.
void
begin_cut(zone_play &p, const zone_cut &c, int zone)
{
	int64_t now = world_now(p.w);
	const zone_faults &f = p.h.faults;
	int next = (zone + 1 + c.next) % ZONES;
	say(p.w, "store cut: zone, next", zone, next);
	if (f.parts && c.parts % 2 == 1)
		world_cut_parts(p.w, zone, c.parts);
	else
		world_cut_store(p.w, zone, true);
	p.at(now + c.claim_ms, [&p, next] { claim(p, next, "claim"); });
	p.at(now + c.unlist_ms, [&p, zone] {
		say(p.w, "unlisted: zone", zone, 0);
		zone_list(p.w, zone, false);
	});
	p.at(now + c.ms, [&p, zone] { end_cut(p, zone); });
	p.at(now + c.ms + c.relist_ms,
	    [&p, zone] { zone_list(p.w, zone, true); });
	if (f.claims_back)
		p.at(now + c.ms + c.claim_back_ms,
		    [&p, zone] { claim(p, zone, "claims again"); });
	if (f.crashes)
		p.at(now + (c.crash_ms > 0 ? c.crash_ms : 0), [&p, &c, zone] {
			say(p.w, "crash: zone, down ms", zone, c.down_ms);
			world_runner_crash(
			    p.w, zone + ZONES * c.crash_runner, c.down_ms);
		});
}

void
plan_cut(zone_play &p, const zone_cut &c, int64_t at)
{
	const zone_faults &f = p.h.faults;
	p.at(at, [&p, &c, &f, at] {
		int zone = world_leader(p.w);
		int64_t paths = at + (f.early_paths ? c.paths_ms : 0);
		int64_t store = paths < at ? at + (at - paths) : at;
		if (paths < at)
			paths = at;
		p.at(paths, [&p, &c, zone] { cut_paths(p, c, zone); });
		p.at(store, [&p, &c, zone] { begin_cut(p, c, zone); });
	});
	if (f.pauses)
		p.at(at + c.pause_at_ms, [&p, &c] {
			int cell = (world_leader(p.w) +
				       (c.pauses_cell ? 1 + c.next : 0)) %
			    ZONES;
			say(p.w, "pause: cell, ms", cell, c.pause_ms);
			world_cell_pause(p.w, cell, c.pause_ms);
		});
}

void
set_faults(struct world *w, const zone_history &h, bool on)
{
	struct world_faults f = {};
	if (on && h.faults.lost)
		f.order_lost = f.order_late = f.order_dropped = 10;
	if (on && h.faults.fails)
		f.run_fails = 30;
	world_set_faults(w, &f);
	world_registry_lag(w, on && h.faults.lag ? h.lag_ms : 0);
	on = on && h.faults.busy;
	for (int i = 0; i < ZONES; i++)
		world_cell_set_interval(w, i, on ? h.interval_ms : 0);
	for (int i = 0; i < RUNNERS; i++)
		world_runner_set_delay(w, i, on ? h.link_ms : 0);
	world_set_store_latency(w, on ? h.store_ms : STORE_MS);
}

void
set_up(zone_play &p)
{
	world_set_verbose(p.w, getenv("LOUD") != nullptr);
	if (getenv("LOGS") != nullptr) {
		setvbuf(stdout, nullptr, _IONBF, 0);
		kvlog_open("world", KVLOG_DEBUG);
	}
	for (int i = 0; i < ZONES; i++)
		world_cell(p.w, i)->terms.lease_ms = LEASE_MS;
	if (p.h.faults.slow_clocks)
		for (int r = 0; r < RUNNERS; r += 2)
			world_runner_set_clock(p.w, r, 98);
	world_disturb(p.w);
	if (p.h.faults.held_back)
		world_hold_back(p.w);
	if (p.h.faults.refused)
		world_refuse_cuts(p.w);
	world_claim(p.w, 0);
	world_run(p.w, 1500);
	set_faults(p.w, p.h, true);
}

void
say_history(const zone_history &h)
{
	const zone_faults &f = h.faults;
	if (getenv("LOUD") == nullptr)
		return;
	printf("history: held_back=%d slow_clocks=%d pauses=%d parts=%d lag=%d "
	       "early_paths=%d claims_back=%d lost=%d fails=%d busy=%d "
	       "refused=%d crashes=%d "
	       "cuts=%zu gap=%lld copies=%d\n",
	    f.held_back, f.slow_clocks, f.pauses, f.parts, f.lag, f.early_paths,
	    f.claims_back, f.lost, f.fails, f.busy, f.refused, f.crashes,
	    h.cuts.size(), (long long)h.submit_gap_ms, h.copies);
}

// @return whether no guarantee was violated and all accepted jobs ended.
bool
play(const zone_history &h)
{
	zone_play p = {world_new(h.seed, RUNNERS), h, {}, h.seed};
	int64_t at;
	say_history(h);
	set_up(p);
	at = world_now(p.w) + FIRST_CUT_MS;
	for (auto &c : h.cuts) {
		plan_cut(p, c, at);
		at += c.pause_before_ms;
	}
	keep_submitting(p, at);
	// A cut may begin 3 s late, and runners are listed 2 s after its end.
	p.run_until(at + 18000);
	set_faults(p.w, h, false);
	world_claim(p.w, 0);
	world_run(p.w, AFTER_CUTS_MS);
	bool kept = world_violations(p.w) == 0 && world_all_jobs_ended(p.w);
	world_delete(p.w);
	return kept;
}

} // namespace

bool
zones_hold()
{
	return play(gen_history());
}
