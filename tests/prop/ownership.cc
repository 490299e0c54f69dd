// Ownership of shards: three hosts, each with its own clock, compete for shards
// through a table whose answers may be late or lost. At no time may two hosts
// with valid leases own the same shard.
#include "prop.h"

#include <cstring>
#include <map>

extern "C" {
#include "../../src/coordination/lease.h"
#include "../../src/coordination/shard_plan.h"
}

namespace {

const int HOSTS = 3, SHARDS = 2;
const lease_terms TERMS = {1000, 1300, 300};

struct HostRow {
	uint64_t epoch = 0, beat = 0;
	bool expired = false;
};

struct ShardRow {
	int owner = -1;
	uint64_t owner_epoch = 0, epoch = 0;
};

struct Table {
	HostRow hosts[HOSTS];
	ShardRow shards[SHARDS];
};

// An answer of the table that a host has not received yet.
struct Answer {
	bool renewal;
	bool ok;
	uint64_t epoch, beat;
	Table seen; // what a read returned
};

struct Host {
	lease l = {};
	lease_watch watches[HOSTS] = {};
	Table view; // result of the last read
	bool read_once = false;
	uint64_t beat = 0;
	uint64_t try_epoch = 0;
	std::vector<Answer> answers;
	bool renewing = false, reading = false;
	uint64_t owned[SHARDS] = {};	// the shard's epoch; 0: not owned
	uint64_t released[SHARDS] = {}; // last epoch that it released
	int64_t skew = 0;		// its clock minus World::now, ms
};

struct World {
	Table table;
	Host hosts[HOSTS];
	int64_t now = 10000;

	int64_t
	clock(int h) const
	{
		return now + hosts[h].skew;
	}
};

// Renews or acquires the lease. lost: no answer arrives; applied: the write
// reaches the table.
void
renew(World &w, int h, bool lost, bool applied)
{
	Host &me = w.hosts[h];
	if (me.renewing || (!me.l.held && !me.read_once))
		return;
	HostRow &row = w.table.hosts[h];
	uint64_t have = me.l.held ? me.l.epoch : me.view.hosts[h].epoch;
	me.try_epoch = me.l.held ? me.l.epoch : have + 1;
	lease_sent(&me.l, w.clock(h));
	bool ok = applied && row.epoch == have;
	uint64_t beat = ++me.beat;
	if (ok)
		row = HostRow{me.try_epoch, beat, false};
	me.renewing = !lost;
	if (!lost)
		me.answers.push_back(Answer{true, ok, me.try_epoch, beat, {}});
}

// After the lease is lost, nothing is owned and the table must be read again.
void
drop_lease(Host &me)
{
	lease_lost(&me.l);
	me.read_once = false;
	memset(me.owned, 0, sizeof(me.owned));
}

void
receive_answer(World &w, int h)
{
	Host &me = w.hosts[h];
	if (me.answers.empty())
		return;
	Answer a = me.answers.front();
	me.answers.erase(me.answers.begin());
	if (a.renewal) {
		me.renewing = false;
		if (!a.ok)
			drop_lease(me);
		else if (a.epoch >= me.view.hosts[h].epoch)
			lease_renewed(&me.l, &TERMS, a.epoch, a.beat);
		return;
	}
	me.reading = false;
	me.view = a.seen;
	me.read_once = true;
	for (int i = 0; i < HOSTS; i++)
		lease_watch_observe(&me.watches[i], a.seen.hosts[i].epoch,
		    a.seen.hosts[i].beat, w.clock(h));
	if (me.l.held && a.seen.hosts[h].epoch > me.l.epoch)
		drop_lease(me);
	for (int s = 0; s < SHARDS; s++) {
		const ShardRow &r = a.seen.shards[s];
		if (me.l.held && r.owner == h && r.owner_epoch == me.l.epoch &&
		    r.epoch > me.released[s])
			me.owned[s] = r.epoch;
		else if (me.owned[s] && r.epoch > me.owned[s])
			me.owned[s] = 0;
	}
}

void
read_table(World &w, int h)
{
	Host &me = w.hosts[h];
	if (me.reading)
		return;
	me.reading = true;
	me.answers.push_back(Answer{false, true, 0, 0, w.table});
}

// Carries out what plan_decide says, as conditional writes.
void
apply_plan(World &w, int h)
{
	Host &me = w.hosts[h];
	if (!me.read_once || !lease_valid(&me.l, w.clock(h), 0))
		return;
	static plan_view v;
	memset(&v, 0, sizeof(v));
	char names[HOSTS][8];
	for (int i = 0; i < HOSTS; i++) {
		snprintf(names[i], sizeof(names[i]), "h%d", i);
		const HostRow &r = me.view.hosts[i];
		plan_host &p = v.hosts[i];
		strcpy(p.name, names[i]);
		p.epoch = r.epoch;
		p.expired = r.expired || r.epoch == 0;
		p.lapsed = i != h &&
		    lease_watch_lapsed(&me.watches[i], &TERMS, w.clock(h));
		p.known_ms = 10000;
	}
	v.self = names[h];
	v.self_epoch = me.l.epoch;
	v.nhosts = HOSTS;
	v.nshards = SHARDS;
	for (int s = 0; s < SHARDS; s++) {
		const ShardRow &r = me.view.shards[s];
		if (r.owner >= 0)
			strcpy(v.shards[s].owner, names[r.owner]);
		v.shards[s].owner_epoch = r.owner_epoch;
		v.shards[s].free_ms = 10000;
	}
	plan_action actions[8];
	int n = plan_decide(&v, actions, 8);
	for (int i = 0; i < n; i++) {
		int x = actions[i].index;
		if (actions[i].verb == PLAN_EXPIRE) {
			HostRow &r = w.table.hosts[x];
			if (r.epoch == me.watches[x].epoch &&
			    r.beat == me.watches[x].beat)
				r = HostRow{r.epoch + 1, r.beat, true};
			continue;
		}
		ShardRow &r = w.table.shards[x];
		uint64_t seen = me.view.shards[x].epoch;
		if (actions[i].verb == PLAN_RELEASE) {
			if (!me.owned[x] || r.epoch != me.owned[x])
				continue;
			me.released[x] = me.owned[x];
			me.owned[x] = 0; // stops its work before the release
			r = ShardRow{-1, 0, r.epoch + 1};
		} else if (r.epoch == seen &&
		    w.table.hosts[h].epoch == me.l.epoch) {
			r = ShardRow{h, me.l.epoch, r.epoch + 1};
		}
	}
}

int
valid_owners(const World &w, int s)
{
	int n = 0;
	for (int h = 0; h < HOSTS; h++)
		n += w.hosts[h].owned[s] != 0 &&
		    lease_valid(&w.hosts[h].l, w.clock(h), 0);
	return n;
}

} // namespace

bool
prop_ownership()
{
	return property("a shard has at most one valid owner",
	    rc::check("a shard has at most one valid owner", [] {
		    World w;
		    for (int h = 0; h < HOSTS; h++)
			    w.hosts[h].skew = *in_range<int64_t>(0, 5000);
		    auto steps = *rc::gen::container<std::vector<int>>(
			400, in_range(0, 3 * 64));
		    bool owned = false;
		    for (int step : steps) {
			    int h = step % HOSTS, what = step / HOSTS;
			    if (what < 14)
				    renew(w, h, false, true);
			    else if (what < 16)
				    renew(w, h, true, true);
			    else if (what < 17)
				    renew(w, h, false, false);
			    else if (what < 30)
				    read_table(w, h);
			    else if (what < 48)
				    receive_answer(w, h);
			    else if (what < 58)
				    apply_plan(w, h);
			    else
				    w.now += what < 62 ? 60 : 700;
			    for (int s = 0; s < SHARDS; s++) {
				    int n = valid_owners(w, s);
				    owned = owned || n > 0;
				    RC_ASSERT(n <= 1);
			    }
		    }
		    RC_CLASSIFY(owned, "some shard was owned");
	    }));
}
