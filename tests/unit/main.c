#include <CUnit/Basic.h>

#include "unit.h"

static const struct {
	const char *suite;
	const char *name;
	void (*fn)(void);
} tests[] = {
    {"settings", "a whole file", test_settings_whole},
    {"settings", "all findings at once", test_settings_findings},
    {"settings", "terms that do not fit", test_settings_terms},
    {"classes", "a whole document", test_classes_whole},
    {"classes", "findings with their place", test_classes_findings},
    {"caller", "a form", test_form_whole},
    {"caller", "bad forms name the field", test_form_bad},
    {"caller", "ids", test_ids},
    {"base", "histogram", test_hist},
    {"base", "durations", test_durations},
    {"base", "error names", test_errors},
    {"auth", "keys", test_auth},
    {"state", "tombstones", test_tombstones},
    {"coordination", "share of shards", test_plan_even},
    {"coordination", "leaving host", test_plan_leaving},
    {"coordination", "projected wait", test_projected_wait},
    {"cell", "cell two steps", test_cell_two_steps},
    {"cell", "cell urgent swing", test_cell_urgent_swing},
    {"cell", "cell overload", test_cell_overload},
    {"cell", "cell gang whole", test_cell_gang_whole},
    {"cell", "cell cancel wave", test_cell_cancel_wave},
    {"cell", "cell runners gone", test_cell_runners_gone},
    {"cell", "cell runner cut", test_cell_runner_cut},
    {"cell", "cell bad runner", test_cell_bad_runner},
    {"cell", "cell flaky runners", test_cell_flaky_runners},
    {"cell", "cell store away", test_cell_store_away},
    {"cell", "cell takeover dark runner", test_cell_takeover_dark_runner},
    {"cell", "cell failure counts once", test_cell_failure_counts_once},
    {"cell", "cell drain", test_cell_drain},
    {"cell", "cell advice ahead", test_cell_advice_ahead},
    {"cell", "cell advice crowd", test_cell_advice_crowd},
    {"cell", "cell orders unanswered", test_cell_orders_unanswered},
    {"cell", "cell idle", test_cell_idle},
    {"cell", "cell answers lost", test_cell_answers_lost},
    {"cell", "cell answers lost under load", test_cell_answers_lost_load},
    {"cell", "cell starts unanswered", test_cell_starts_unanswered},
    {"cell", "cell holds lost", test_cell_holds_lost},
    {"base", "a request in parts", test_front_parts},
    {"cell", "cell runs of unknown size", test_cell_runs_of_unknown_size},
    {"cell", "cell frozen leader", test_cell_frozen_leader},
    {"cell", "cell slow link", test_cell_slow_link},
    {"cell", "cell refused runners row", test_cell_refused_runners_row},
    {"cell", "cell store slow", test_cell_store_slow},
    {"cell", "cell registry stale list", test_cell_registry_stale_list},
    {"cell", "cell registry gone", test_cell_registry_gone},
    {"cell", "cell unsure start still waits",
	test_cell_unsure_start_still_waits},
    {"cell", "cell late work in a crowd", test_cell_late_work_in_a_crowd},
    {"cell", "cell runners beyond a row", test_cell_runners_beyond_a_row},
    {"cell", "cell wide job", test_cell_wide_job},
    {"cell", "cell job beyond a row", test_cell_job_beyond_a_row},
    {"cell", "cell copy of dark", test_cell_copy_of_dark},
    {"cell", "cell copy of slow", test_cell_copy_of_slow},
    {"commit", "commit slow store", test_commit_slow_store},
    {"commit", "commit calm store", test_commit_calm_store},
    {"commit", "commit takeover of parts", test_commit_takeover_of_parts},
    {"commit", "commit takeover answers lost",
	test_commit_takeover_answers_lost},
    {"commit", "commit old claim takes nothing",
	test_commit_old_claim_takes_nothing},
    {"commit", "commit forgets in parts", test_commit_forgets_in_parts},
    {"calls", "calls end once", test_calls_end_once},
    {"calls", "calls ended by owners", test_calls_ended_by_owners},
    {"parts", "submission whole", test_submission_whole},
    {"parts", "submission bad", test_submission_bad},
    {"parts", "job check", test_job_check},
    {"parts", "job progress", test_job_progress},
    {"parts", "task names", test_task_names},
    {"parts", "lanes apart", test_lanes_apart},
    {"parts", "returns outlast an outage", test_returns_outlast_outage},
    {"parts", "returns by objective", test_returns_by_objective},
    {"parts", "lanes few", test_lanes_few},
    {"parts", "lanes many", test_lanes_many},
    {"parts", "relay plan spread", test_relay_plan_spread},
    {"parts", "relay plan loss", test_relay_plan_loss},
    {"parts", "rtt", test_rtt},
    {"parts", "follow busy table", test_follow_busy_table},
    {"parts", "relay detour", test_relay_detour},
    {"parts", "relay bad orders", test_relay_bad_orders},
    {"parts", "ask plan wide steps", test_ask_plan_wide_steps},
    {"parts", "ask plan first answer", test_ask_plan_first_answer},
    {"parts", "claim reserve", test_claim_reserve},
    {"parts", "urgency", test_urgency},
    {"parts", "claim", test_claim},
    {"parts", "pacing", test_pacing},
    {"parts", "config", test_config},
    {"parts", "registry", test_registry},
    {"parts", "cell settings", test_cell_settings},
};

int
main(void)
{
	CU_pSuite suite = NULL;
	const char *last = "";
	size_t i;
	unsigned failed;

	CU_initialize_registry();
	for (i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
		if (last != tests[i].suite)
			suite = CU_add_suite(tests[i].suite, NULL, NULL);
		last = tests[i].suite;
		CU_add_test(suite, tests[i].name, tests[i].fn);
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failed = CU_get_number_of_tests_failed();
	printf("\n%u passed, %u failed\n",
	    CU_get_number_of_tests_run() - failed, failed);
	CU_cleanup_registry();
	return failed > 0;
}
