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

#endif
