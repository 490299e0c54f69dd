/** @file Parsing of the settings file and of the classes document. */
#include <CUnit/CUnit.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/state/classes.h"
#include "../../src/state/settings.h"
#include "../../src/state/yaml_doc.h"
#include "unit.h"

#define PORTS "caller_port: 1\noperator_port: 2\npeer_port: 3\n"
#define ADDRESSES                                                              \
	"table: {addr: 127.0.0.1, port: 4}\n"                                  \
	"objects: {addr: 127.0.0.1, port: 4}\n"                                \
	"hostlist: {addr: 127.0.0.1, port: 4}\n"
#define SETTINGS_OK                                                            \
	"host: e1\nzone: nave-norte\naddr: 127.0.0.1\n" PORTS ADDRESSES        \
	"key: 0123456789abcdef\n"

static char *
settings_findings(const char *text, struct settings *s)
{
	struct findings fs;
	char *report;

	findings_init(&fs, "s.yaml");
	settings_parse(s, text, strlen(text), &fs);
	report = findings_text(&fs);
	findings_done(&fs);
	return report;
}

static char *
classes_findings(const char *text, struct classes *c)
{
	struct findings fs;
	char *report;

	findings_init(&fs, "c.yaml");
	classes_parse(c, text, strlen(text), &fs);
	report = findings_text(&fs);
	findings_done(&fs);
	return report;
}

static void
expect_settings(const char *text, const char *part)
{
	struct settings s;
	char *r = settings_findings(text, &s);

	CU_ASSERT_PTR_NOT_NULL(strstr(r, part));
	if (strstr(r, part) == NULL)
		printf("wanted '%s' in:\n%s", part, r);
	free(r);
}

void
test_settings_complete_file(void)
{
	struct settings s;
	char *r =
	    settings_findings(SETTINGS_OK "lease_hold: 2s\nlease_take: 3s\n"
					  "lease_renew: 500ms\n",
		&s);

	CU_ASSERT_STRING_EQUAL(r, "");
	CU_ASSERT_STRING_EQUAL(s.host, "e1");
	CU_ASSERT_EQUAL(s.peer_port, 3);
	CU_ASSERT_EQUAL(s.lease_hold_ms, 2000);
	CU_ASSERT_EQUAL(s.shards, 16);
	CU_ASSERT_EQUAL(s.table.port, 4);
	free(r);
}

void
test_settings_all_findings_reported(void)
{
	const char *text = "host: e 1\nzone: z\naddr: example.org\n"
			   "caller_port: 99999\nweight: 3\n" ADDRESSES
			   "host: e2\nshards: many\n";

	expect_settings(text, "s.yaml:1:7: host: 'e 1' is not a name");
	expect_settings(text, "s.yaml:3:7: addr: 'example.org' is not an IP");
	expect_settings(text,
	    "s.yaml:4:14: caller_port: '99999' is out of "
	    "bounds, allowed are 1 to 65535");
	expect_settings(text, "s.yaml:5:1: weight: unknown key");
	expect_settings(text, "s.yaml:9:1: host: the key stands twice");
	expect_settings(text, "shards: 'many' is not a whole number");
	expect_settings(text, "key: is missing");
	expect_settings("host: [\n", "syntax");
	expect_settings("", "the file is empty");
}

void
test_settings_conflicting_durations(void)
{
	expect_settings(SETTINGS_OK "lease_hold: 5s\nlease_take: 5s\n",
	    "lease_take: must exceed lease_hold");
	expect_settings(SETTINGS_OK "lease_renew: 4s\n",
	    "lease_renew: must be at most half");
	expect_settings(SETTINGS_OK "worker_watch: 20s\n",
	    "worker_watch: must be at most half");
	expect_settings(
	    SETTINGS_OK "log_level: loud\n", "log_level: 'loud' is unknown");
}

#define CLASS_OK                                                               \
	"classes:\n  cure:\n    kind: task\n    start_within: 2s\n"            \
	"    longest_wait: 10m\n    share: 90%\n    repeatable: yes\n"

void
test_classes_complete_document(void)
{
	struct classes c;
	char *r = classes_findings(CLASS_OK
	    "    price_cpu_hour: 0.05\nteams:\n  norte: "
	    "{quota_cpus: 40}\n",
	    &c);

	CU_ASSERT_STRING_EQUAL(r, "");
	CU_ASSERT_EQUAL(c.nclasses, 1);
	CU_ASSERT_EQUAL(classes_find(&c, "cure")->share_pct, 90);
	CU_ASSERT_EQUAL(classes_find(&c, "cure")->longest_wait_ms, 600000);
	CU_ASSERT_TRUE(classes_find(&c, "cure")->repeatable);
	CU_ASSERT_EQUAL(classes_team(&c, "norte")->quota_cpus, 40);
	CU_ASSERT_PTR_NULL(classes_find(&c, "watch"));
	classes_done(&c);
	free(r);
}

static void
expect_classes(const char *text, const char *part)
{
	struct classes c;
	char *r = classes_findings(text, &c);

	CU_ASSERT_PTR_NOT_NULL(strstr(r, part));
	if (strstr(r, part) == NULL)
		printf("wanted '%s' in:\n%s", part, r);
	classes_done(&c);
	free(r);
}

void
test_classes_findings_name_place(void)
{
	expect_classes(CLASS_OK "    weight: 5\n",
	    "c.yaml:8:5: classes.cure.weight: unknown key");
	expect_classes(CLASS_OK "    hosts: [10.0.0.1]\n", "unknown key");
	expect_classes("classes:\n  a:\n    share: 140%\n",
	    "c.yaml:3:12: classes.a.share: '140%' is out of bounds");
	expect_classes("classes:\n  a:\n    kind: batch\n",
	    "'batch' is unknown, allowed are request, task");
	expect_classes(CLASS_OK "  cure:\n    kind: task\n", "stands twice");
	expect_classes("classes:\n  b:\n    kind: request\n    share: 5%\n",
	    "a class of kind request needs a service");
	expect_classes("teams: {}\n", "classes: is missing");
	expect_classes(
	    CLASS_OK "    price_gib_hour: -1\n", "'-1' is not a price");
}
