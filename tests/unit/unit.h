#ifndef UNIT_H
#define UNIT_H

void test_settings_whole(void);
void test_settings_findings(void);
void test_settings_terms(void);
void test_classes_whole(void);
void test_classes_findings(void);
void test_form_whole(void);
void test_form_bad(void);
void test_ids(void);
void test_hist(void);
void test_durations(void);
void test_errors(void);
void test_auth(void);
void test_tombstones(void);
void test_plan_even(void);
void test_plan_leaving(void);
void test_projected_wait(void);

void test_cell_two_steps(void);
void test_cell_urgent_swing(void);
void test_cell_overload(void);
void test_cell_gang_whole(void);
void test_cell_cancel_wave(void);
void test_cell_runners_gone(void);
void test_cell_runner_cut(void);
void test_cell_bad_runner(void);
void test_cell_store_away(void);
void test_cell_takeover_dark_runner(void);
void test_cell_failure_counts_once(void);
void test_cell_drain(void);
void test_cell_advice_ahead(void);
void test_cell_idle(void);
void test_submission_whole(void);
void test_submission_bad(void);
void test_job_check(void);
void test_job_progress(void);
void test_task_names(void);
void test_lanes_apart(void);
void test_lanes_few(void);
void test_urgency(void);
void test_claim(void);
void test_manifest(void);
void test_registry(void);
void test_cell_settings(void);

#endif
