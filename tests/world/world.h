/**
 * @file A store, runners and an advice service in memory, in virtual time.
 *
 * Drives cells through their ports, with faults by a seeded generator, and
 * notes every broken promise as the runners and the store see it.
 */
#ifndef WORLD_H
#define WORLD_H

#include "../../src/cell/cell.h"

#define WORLD_RUNNERS_MAX 16
#define WORLD_CELLS_MAX 3

struct world;

/** Shares of calls, in thousandths. */
struct world_faults {
	int store_lost;	   /**< done, and not answered */
	int store_late;	   /**< done one to six seconds later, not answered */
	int store_refused; /**< not done */
	int order_lost;	   /**< done, and not answered */
	int order_dropped; /**< not done, and not answered */
	int order_late;	   /**< done two to twelve seconds later, no answer */
	int order_refused; /**< not done, and said so */
	int run_fails;
};

struct world *world_new(uint32_t seed, int nrunners);
void world_delete(struct world *w);
void world_set_faults(struct world *w, const struct world_faults *f);
int64_t world_now(const struct world *w);
/** Longest value that a row of the store takes. */
void world_row_bytes(struct world *w, size_t most);
/** Each transaction of the store takes so long; for half of it the others of
 * its part wait. */
void world_store_ms(struct world *w, int ms);
/** Time-outs of calls to runners that don't follow the answers. */
void world_fixed_timeouts(struct world *w);
/** Runs everything that is due in this many ms. */
void world_run(struct world *w, int64_t ms);

/** A cell of this index; its leader is a host of its own. */
struct cell *world_cell(struct world *w, int i);
/** The cell claims the lead; the one before isn't told. */
void world_claim(struct world *w, int i);
/** The cell's process is gone, and all it knew. */
void world_kill(struct world *w, int i);
/** The host of the cell can't reach the store. */
void world_cut_store(struct world *w, int i, bool cut);

void world_runner_crash(struct world *w, int r, int64_t down_ms);
/** Nobody reaches the runner, which runs on. */
void world_runner_cut(struct world *w, int r, bool cut);
/** Each answer of the runner takes so much longer, each order up to that. */
void world_runner_link(struct world *w, int r, int ms);
/** The cell's processor gets to its work only this often. */
void world_slow_cell(struct world *w, int i, int every_ms);
void world_runner_drain(struct world *w, int r, int64_t left_ms);

/** A step as tests write it. */
struct world_step {
	uint32_t count;
	uint32_t cpu;
	uint32_t ms;
	int after; /**< -1: none */
	bool gang;
	bool lasting;
	bool saves;
	bool speculative;
};

/** Submits to the cell that leads; the answer is counted. */
void world_submit(struct world *w, const char *id, const char *queue,
    const struct world_step *steps, int n);
void world_cancel(struct world *w, const char *id);
/** State at the leader; -1 when it has no answer. */
int world_state(struct world *w, const char *id);
bool world_accepted(const struct world *w, const char *id);
bool world_refused(const struct world *w, const char *id);
/** Virtual ms from submission until the caller was told of its acceptance; -1:
 * it wasn't yet. */
int64_t world_accept_ms(const struct world *w, const char *id);
/** Virtual ms from submission until it was shown as completed; -1: not yet. */
int64_t world_took_ms(const struct world *w, const char *id);

/** Broken promises so far; each is printed when @p loud. */
int world_broken(const struct world *w);
void world_loud(struct world *w, bool loud);
/** Whether every accepted job that isn't lasting has ended. */
bool world_all_ended(struct world *w);
/** Tasks of a job at work now. */
int world_at_work(const struct world *w, const char *id);
/** Starts that a runner has seen of a task. */
int world_starts(const struct world *w, const char *task);
const char *world_runner_of(const struct world *w, const char *task);
int world_advice_calls(const struct world *w);
int world_holds(const struct world *w);
/** Sets a task's runs on a runner to this many times their length. */
void world_runner_slow(struct world *w, int r, double factor);
/** The runner fails this share of its runs, soon after their start. */
void world_runner_fails(struct world *w, int r, int thousandths);

#endif
