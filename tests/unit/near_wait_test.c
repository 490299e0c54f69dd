/** @file The decision to wait for rack-local capacity, under each load. */
#include <CUnit/CUnit.h>
#include <stddef.h>

#include "../../src/coordination/estimate_error.h"
#include "../../src/coordination/near_wait.h"
#include "unit.h"

#define RUN_MS 1000
#define GAIN_MS 1000 /* with the factor below */
#define FAR_MS 1000000

static struct near_wait_input
input(int64_t now, int64_t free_ms)
{
	return (struct near_wait_input){.now_ms = now,
	    .ready_ms = 0,
	    .deadline_ms = FAR_MS,
	    .run_ms = RUN_MS,
	    .remote_factor = 2,
	    .free_ms = free_ms};
}

static bool
waits(const struct near_wait_input *in)
{
	return near_wait_decide(in).waits;
}

/* Capacity that becomes free just before the end of the wait is waited for,
 * and just after it isn't: guards against a wait that can't gain anything. */
void
test_near_wait_free_around_bound(void)
{
	struct near_wait_input in = input(0, GAIN_MS - 1);

	CU_ASSERT(waits(&in));
	CU_ASSERT_EQUAL(near_wait_decide(&in).until_ms, GAIN_MS);
	in.free_ms = GAIN_MS;
	CU_ASSERT_FALSE(waits(&in));
	in = input(GAIN_MS - 1, GAIN_MS - 1);
	CU_ASSERT(waits(&in));
	in.now_ms = GAIN_MS;
	CU_ASSERT_FALSE(waits(&in));
}

/* A wait leaves time for a remote start that meets the objective, and doesn't
 * begin again when that start is late: guards against objectives missed by
 * waits alone. */
void
test_near_wait_meets_deadline(void)
{
	const int64_t latest = 300;
	struct near_wait_input in = input(0, 100);

	in.deadline_ms = 2 * RUN_MS + latest;
	CU_ASSERT(waits(&in));
	CU_ASSERT_EQUAL(
	    near_wait_decide(&in).until_ms, latest - NEAR_WAIT_MARGIN_MS);
	in.free_ms = latest;
	CU_ASSERT_FALSE(waits(&in));
	in.now_ms = latest + 1;
	in.free_ms = latest + 2;
	CU_ASSERT_FALSE(waits(&in));
}

/* When no remote start meets the objective, the gain and the longest wait bound
 * the wait: guards against a late job that waits for ever. */
void
test_near_wait_deadline_missed(void)
{
	struct near_wait_input in = input(0, 100);

	in.deadline_ms = RUN_MS;
	CU_ASSERT(waits(&in));
	CU_ASSERT_EQUAL(near_wait_end(&in), GAIN_MS);
	in.run_ms = FAR_MS;
	CU_ASSERT_EQUAL(near_wait_end(&in), NEAR_WAIT_MAX_MS);
	in.now_ms = NEAR_WAIT_MAX_MS;
	in.free_ms = NEAR_WAIT_MAX_MS + 1;
	CU_ASSERT_FALSE(waits(&in));
}

/* Data of all tasks on one rack, which serves four in a run time: only those
 * that it serves in time wait. Guards against a wait of all behind each
 * other. */
void
test_near_wait_data_on_one_rack(void)
{
	struct near_wait_input in;
	int i, n = 0;

	for (i = 0; i < 100; i++) {
		in = input(0, (i / 4) * (RUN_MS / 2) + 1);
		n += waits(&in);
	}
	CU_ASSERT_EQUAL(n, 8);
}

/* A run time that isn't known promises no gain, so there is no wait. */
void
test_near_wait_run_time_unknown(void)
{
	struct near_wait_input in = input(0, 1);

	in.run_ms = 0;
	CU_ASSERT_FALSE(waits(&in));
	in = input(0, 1);
	in.remote_factor = 1;
	CU_ASSERT_FALSE(waits(&in));
}

/* Estimates ten times too long or too short: the wait costs at most the
 * estimated gain and the longest wait, also when the capacity doesn't come.
 * Guards against a loss that grows with the error. */
void
test_near_wait_run_time_wrong(void)
{
	const int64_t estimates[] = {RUN_MS / 10, RUN_MS, 10 * RUN_MS, FAR_MS};
	struct near_wait_input in;
	size_t i;

	for (i = 0; i < sizeof(estimates) / sizeof(estimates[0]); i++) {
		in = input(0, 0);
		in.run_ms = estimates[i];
		in.deadline_ms = 0;
		while (in.free_ms = in.now_ms + 1, waits(&in))
			in.now_ms += 10;
		CU_ASSERT(in.now_ms <= estimates[i] + 10);
		CU_ASSERT(in.now_ms <= NEAR_WAIT_MAX_MS + 10);
	}
}

/* One run in thirty takes seven times as long: the upper quantile isn't drawn
 * up as a mean would be, and a run beyond the usual errors counts as one of the
 * long ones. Guards against waits for a run that has overrun. */
void
test_near_wait_heavy_tail(void)
{
	struct estimate_error e = {0};
	double q = estimate_error_quantile(&e, 0, 0.75);

	CU_ASSERT(q > 1.3 && q < 1.6);
	CU_ASSERT(estimate_error_quantile(&e, 1.5, 0.75) > 1.7);
	CU_ASSERT_DOUBLE_EQUAL(estimate_error_quantile(&e, 2, 0.75), 7, 0.01);
	CU_ASSERT(estimate_error_quantile(&e, 7.5, 0.75) < 0);
}

/* Measured errors replace the initial ones: guards against a forecast that
 * stays wrong where all estimates are ten times too short. */
void
test_near_wait_errors_measured(void)
{
	struct estimate_error e = {0};
	int i;

	for (i = 0; i < ESTIMATE_ERROR_RATIOS; i++)
		estimate_error_add(&e, 10);
	CU_ASSERT_DOUBLE_EQUAL(estimate_error_quantile(&e, 0, 0.75), 10, 0.01);
	CU_ASSERT(estimate_error_quantile(&e, 10.5, 0.75) < 0);
}

/* A rack full of long-running work never becomes free: no wait at all. */
void
test_near_wait_long_running_rack(void)
{
	struct near_wait_input in = input(0, NEAR_NEVER);

	CU_ASSERT_FALSE(waits(&in));
	in.deadline_ms = 0;
	CU_ASSERT_FALSE(waits(&in));
}

/* Of 10,000 waiting tasks that ten racks serve, those wait that are served
 * within the gain, and the others start at once: guards against a queue that
 * waits as a whole. */
void
test_near_wait_ten_thousand(void)
{
	struct near_wait_input in;
	int i, n = 0;

	for (i = 0; i < 10000; i++) {
		in = input(0, (i / 480 + 1) * (int64_t)RUN_MS / 2);
		n += waits(&in);
	}
	CU_ASSERT_EQUAL(n, 480);
}
