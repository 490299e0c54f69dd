/** @file Rates and shares of client accounts: each test names its load. */
#include <CUnit/CUnit.h>

#include "../../src/coordination/admission.h"
#include "../../src/coordination/fair_share.h"
#include "../../src/state/account.h"
#include "../../src/state/rate_window.h"
#include "../../src/state/token_bucket.h"
#include "unit.h"

#define WINDOW_MS 5000
#define SLOT_MS (WINDOW_MS / RATE_WINDOW_SLOTS)
#define NACCOUNTS 20
#define NLARGE 3
#define MANY 200

static const struct resources total = {100000, 100000, 0};

/* Of a cell without free processors. */
static struct admission_request
request(double rate, double tokens, uint32_t refused, int64_t waiting_core_ms)
{
	return (struct admission_request){.has_account = true,
	    .rate = rate,
	    .tokens = tokens,
	    .refused = refused,
	    .waiting_cpu = waiting_core_ms,
	    .waiting_core_ms = waiting_core_ms,
	    .total_cpu = total.cpu,
	    .critical_path_ms = 500,
	    .objective_ms = 1000};
}

/* Sends submissions at that interval for 20 s. @return those admitted */
static int
count_admitted(double rate, int interval_ms, int64_t waiting_core_ms)
{
	struct token_bucket bucket = {0};
	struct rate_window refused = {0};
	struct admission_request q;
	struct admission a;
	int64_t now;
	int n = 0;

	for (now = 0; now < 4 * WINDOW_MS; now += interval_ms) {
		q = request(rate,
		    token_bucket_tokens(
			&bucket, rate, admission_burst(rate), now),
		    rate_window_count(&refused, WINDOW_MS, now),
		    waiting_core_ms);
		a = admission_decide(&q);
		n += a.admitted;
		if (!a.over_rate)
			token_bucket_take(&bucket);
		else if (!a.admitted)
			rate_window_add(&refused, WINDOW_MS, now);
	}
	return n;
}

/* Guards against one account that sends eight times its rate into a full cell,
 * and against its refusal while there is capacity. */
void
test_admission_eight_times_rate(void)
{
	int full = count_admitted(10, 12, 1000000);

	CU_ASSERT(full <= 210 && full >= 190);
	CU_ASSERT_EQUAL(count_admitted(10, 12, 0), 1667);
	CU_ASSERT(count_admitted(10, 100, 1000000) >= 190);
}

/* Guards against retries of refused submissions that come back at one time. */
void
test_admission_retries_spread(void)
{
	struct admission_request q = request(2, 0, 4, 1000000);
	int64_t first = admission_decide(&q).retry_after_ms;

	q.refused++;
	CU_ASSERT_EQUAL(admission_decide(&q).retry_after_ms, first + 500);
	q.refused = 1000;
	CU_ASSERT_EQUAL(admission_decide(&q).retry_after_ms, 15000);
}

/* Guards against a caller that returns early and takes the token of another,
 * and against one that is refused while tokens are left unused. */
void
test_admission_early_return(void)
{
	struct admission_request q = request(10, 2, 3, 1000000);
	struct admission a;

	q.retry_due_in_ms = 700;
	a = admission_decide(&q);
	CU_ASSERT_FALSE(a.admitted);
	CU_ASSERT_TRUE(a.retry_pending);
	CU_ASSERT_EQUAL(a.retry_after_ms, 700);
	q.tokens = 9;
	CU_ASSERT_TRUE(admission_decide(&q).admitted);
}

/* Guards against work that waits for advice beside free processors, which would
 * count as a backlog. */
void
test_admission_free_processors(void)
{
	struct admission_request q = request(10, 0, 0, 1000000);

	CU_ASSERT_FALSE(admission_decide(&q).admitted);
	q.free_cpu = q.waiting_cpu;
	CU_ASSERT_TRUE(admission_decide(&q).admitted);
	CU_ASSERT_TRUE(admission_decide(&q).over_rate);
}

/* Guards against three large accounts that take the shares of the other
 * seventeen, and against an idle share that isn't lent. */
void
test_share_three_large_accounts(void)
{
	struct fair_share list[NACCOUNTS];
	int i;

	for (i = 0; i < NACCOUNTS; i++)
		list[i] = (struct fair_share){.weight = i < NLARGE ? 10 : 1,
		    .held = {i < NLARGE ? 25000 : 1000, 100, 0},
		    .active = true};
	fair_share_decide(list, NACCOUNTS, &total);
	for (i = 0; i < NACCOUNTS; i++)
		CU_ASSERT_EQUAL(list[i].above, i < NLARGE);
	for (i = NLARGE; i < NACCOUNTS; i++)
		list[i].active = false;
	fair_share_decide(list, NACCOUNTS, &total);
	for (i = 0; i < NACCOUNTS; i++)
		CU_ASSERT_FALSE(list[i].above);
}

/* Guards against a small account's only job, wider than its share, that is
 * refused or put last in a full cell. */
void
test_share_small_wide_job(void)
{
	struct fair_share list[] = {{.weight = 0.1, .active = true},
	    {.weight = 50, .held = {95000, 0, 0}, .active = true}};
	struct admission_request q = request(0.1, 4, 0, 100000000);

	fair_share_decide(list, 2, &total);
	CU_ASSERT_FALSE(list[0].above);
	CU_ASSERT_TRUE(admission_decide(&q).admitted);
	CU_ASSERT_FALSE(admission_decide(&q).over_rate);
}

/* Guards against shares that bind while capacity is left over: all accounts are
 * at their caps, which alone hold back their starts. */
void
test_share_all_at_caps(void)
{
	struct fair_share list[NACCOUNTS];
	struct account a = {
	    .cap = {2000, 0, 0}, .held = {2000, 0, 0}, .nruns = 1};
	struct resources size = {1, 0, 0};
	int i;

	for (i = 0; i < NACCOUNTS; i++)
		list[i] = (struct fair_share){
		    .weight = 1, .held = a.held, .active = true};
	fair_share_decide(list, NACCOUNTS, &total);
	for (i = 0; i < NACCOUNTS; i++)
		CU_ASSERT_FALSE(list[i].above);
	CU_ASSERT_FALSE(account_fits(&a, &size));
}

/* Guards against bursts on both sides of a fixed window's edge, which would
 * pass at twice the rate. */
void
test_rate_window_slides(void)
{
	struct rate_window w = {0};
	int64_t t = 4 * WINDOW_MS - 1, now;
	int i;

	for (i = 0; i < 50; i++)
		rate_window_add(&w, WINDOW_MS, t);
	for (now = t; now < t + WINDOW_MS; now += 10)
		CU_ASSERT_EQUAL(rate_window_count(&w, WINDOW_MS, now), 50);
	rate_window_add(&w, WINDOW_MS, t + WINDOW_MS - 1);
	CU_ASSERT_EQUAL(
	    rate_window_count(&w, WINDOW_MS, t + WINDOW_MS + SLOT_MS), 1);
}

/* Guards against counts and shares left over from before when 200 accounts come
 * back at once after a month. */
void
test_rate_window_long_idle(void)
{
	const int64_t month = 30LL * 24 * 3600 * 1000;
	struct fair_share list[MANY];
	int i;

	for (i = 0; i < MANY; i++) {
		struct rate_window w = {0};
		int64_t now = 1000 + i * 37;

		rate_window_add(&w, WINDOW_MS, now);
		now += month;
		CU_ASSERT_EQUAL(rate_window_count(&w, WINDOW_MS, now), 0);
		rate_window_add(&w, WINDOW_MS, now);
		CU_ASSERT_EQUAL(rate_window_count(&w, WINDOW_MS, now), 1);
		list[i] = (struct fair_share){.weight = 1, .active = true};
	}
	fair_share_decide(list, MANY, &(struct resources){0, 0, 0});
	for (i = 0; i < MANY; i++)
		CU_ASSERT_FALSE(list[i].above);
}
