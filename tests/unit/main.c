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
