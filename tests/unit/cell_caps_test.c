/**
 * @file Caps of client accounts when a leader, power or a path is lost, and
 * when caps change. The simulated environment judges the caps.
 */
#include <CUnit/CUnit.h>

#include "../../src/base/err.h"
#include "unit.h"
#include "unit_world.h"

#define RUNNERS 4
#define FIRST "00000000000000a1"
#define SECOND "00000000000000a2"

/* Two tasks fill a cap of 4000. */
static const struct world_step two_long = {
    .count = 2, .cpu = 2000, .ms = 9000, .after = -1};
static const struct world_step eight_short = {
    .count = 8, .cpu = 2000, .ms = 800, .after = -1};

static void
set_cap(struct world *w, int64_t cap)
{
	struct world_account a = {"a", cap, 100};

	world_set_accounts(w, &a, 1);
}

static struct world *
start_capped(int64_t cap, const struct world_step *first)
{
	struct world *w = new_world(1, RUNNERS);

	set_cap(w, cap);
	world_run(w, 500);
	world_claim(w, 0);
	world_run(w, LEADER_READY_MS);
	world_submit_as(w, FIRST, "batch", "a", first, 1);
	world_run(w, 500);
	return w;
}

static void
submit_second(struct world *w)
{
	world_submit_as(w, SECOND, "batch", "a", &eight_short, 1);
	world_run(w, 200);
	CU_ASSERT_TRUE(world_accepted(w, SECOND));
}

/* Cuts the cell off from the runners of the bit mask. */
static void
cut_paths(struct world *w, int cell, uint32_t runners)
{
	int i;

	for (i = 0; i < RUNNERS; i++)
		world_path_cut(w, cell, i, (runners >> i & 1) != 0);
}

static void
finish_capped(struct world *w)
{
	world_run(w, 60000);
	CU_ASSERT_TRUE(world_all_jobs_ended(w));
	finish_world(w);
}

/* Guards against QUOTA: the next leader starts an accepted job beside runs that
 * it can't see, on the runners that it reaches. */
void
test_caps_leader_lost_before_start(void)
{
	struct world *w = start_capped(4000, &two_long);

	submit_second(w);
	CU_ASSERT_EQUAL(world_live_runs(w, FIRST), 2);
	cut_paths(w, 1, 3); /* where the first job's tasks are */
	world_cell_restart(w, 0);
	world_claim(w, 1);
	/* A job that isn't inherited needn't wait for the runners. */
	world_run(w, 300);
	world_submit_as(w, "00000000000000a3", "batch", "a", &eight_short, 1);
	world_run(w, 2500);
	CU_ASSERT_EQUAL(world_live_runs(w, SECOND), 0);
	cut_paths(w, 1, 0);
	finish_capped(w);
}

/* Guards against QUOTA and LOST: accounts and caps aren't known any more, or
 * runs of before count for ever. */
void
test_caps_power_lost(void)
{
	struct world *w = start_capped(4000, &two_long);
	int i;

	submit_second(w);
	for (i = 0; i < RUNNERS; i++)
		world_runner_crash(w, i, 2000);
	for (i = 0; i < WORLD_CELLS_MAX; i++)
		world_cell_restart(w, i);
	world_run(w, 1000);
	world_claim(w, 1);
	finish_capped(w);
}

/* Guards against a cap of the configuration before that stays in force. An
 * account that is added stands for the key: the leader knows no keys. */
void
test_caps_config_changed_twice(void)
{
	struct world_account list[] = {{"a", 16000, 100}, {"b", 1000, 100}};
	struct world *w = start_capped(16000, &two_long);

	world_set_accounts(w, list, 2);
	world_run(w, 510);
	list[0].cap_cpu = 4000;
	world_set_accounts(w, list, 2);
	world_run(w, 480);
	submit_second(w);
	world_run(w, 1000);
	CU_ASSERT_EQUAL(world_live_runs(w, SECOND), 0);
	finish_capped(w);
}

/* Guards against QUOTA: runs of a runner that is cut off are taken for over
 * while their lease lasts, or a lowered cap is never met again. */
void
test_caps_lowered_behind_cut(void)
{
	struct world *w = start_capped(16000, &two_long);

	world_runner_cut(w, 0, true);
	world_runner_cut(w, 1, true);
	set_cap(w, 2000);
	world_run(w, 600);
	submit_second(w);
	CU_ASSERT_EQUAL(world_live_runs(w, SECOND), 0);
	world_run(w, 12000);
	world_runner_cut(w, 0, false);
	world_runner_cut(w, 1, false);
	finish_capped(w);
}

/* Guards against QUOTA: two leaders, each on half of the runners, start tasks
 * up to the whole cap. */
void
test_caps_two_leaders(void)
{
	struct world *w = start_capped(6000, &eight_short);

	submit_second(w);
	world_cut_store(w, 0, true);
	cut_paths(w, 0, 12);
	cut_paths(w, 1, 3);
	world_claim(w, 1);
	world_run(w, 300);
	world_submit_as(w, "00000000000000a3", "batch", "a", &eight_short, 1);
	world_run(w, 12000);
	world_cut_store(w, 0, false);
	cut_paths(w, 0, 0);
	cut_paths(w, 1, 0);
	finish_capped(w);
}

/* Guards against QUOTA: the next leader doesn't count runs of a job that was
 * canceled just before the takeover and are still being stopped. */
void
test_caps_canceled_before_takeover(void)
{
	struct world *w = start_capped(4000, &two_long);

	submit_second(w);
	cut_paths(w, 0, 15);
	cut_paths(w, 1, 3);
	world_cancel(w, FIRST);
	world_run(w, 100);
	world_claim(w, 1);
	world_run(w, 300);
	world_submit_as(w, "00000000000000a3", "batch", "a", &eight_short, 1);
	world_run(w, 2000);
	cut_paths(w, 0, 0);
	cut_paths(w, 1, 0);
	finish_capped(w);
}

static int
get_error(struct world *w, const char *account)
{
	struct cell_answer a;

	cell_get(world_cell(w, 0), &(struct cell_caller){"batch", account},
	    FIRST, &a);
	return a.error;
}

static void
note_error(const struct cell_answer *a, void *arg)
{
	*(int *)arg = a->error;
}

/* Guards against callers without a key, who may use public queues, and those of
 * other accounts: they must not see or cancel an account's job. */
void
test_caps_other_callers(void)
{
	struct world *w = start_capped(4000, &two_long);
	int keyless = 1, other = 1;

	CU_ASSERT_EQUAL(get_error(w, "a"), CC_OK);
	CU_ASSERT_EQUAL(get_error(w, "b"), CC_EPERM);
	CU_ASSERT_EQUAL(get_error(w, ""), CC_EPERM);
	cell_cancel(world_cell(w, 0), &(struct cell_caller){"public", ""},
	    FIRST, note_error, &keyless);
	cell_cancel(world_cell(w, 0), &(struct cell_caller){"batch", "b"},
	    FIRST, note_error, &other);
	CU_ASSERT_EQUAL(keyless, CC_EPERM);
	CU_ASSERT_EQUAL(other, CC_EPERM);
	finish_capped(w);
}

/* Guards against a cap that ends with its account's entry while the next leader
 * still has jobs of it. */
void
test_caps_account_removed(void)
{
	struct world *w = start_capped(4000, &eight_short);
	struct world_account b = {"b", 1000, 100};

	world_set_accounts(w, &b, 1);
	world_run(w, 1000);
	world_claim(w, 1);
	world_run(w, 500);
	CU_ASSERT_EQUAL(
	    account_find(world_cell(w, 1)->accounts, "a")->cap.cpu, 4000);
	finish_capped(w);
}
