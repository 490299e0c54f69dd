/** @file Texts of configurations that arrive in parts. */
#include <CUnit/CUnit.h>
#include <string.h>

#include "../../src/base/err.h"
#include "../../src/state/config_parts.h"
#include "unit.h"

static int
add(struct config_parts *p, uint64_t version, size_t total, size_t offset,
    const char *data)
{
	struct config_part part = {
	    version, total, offset, (const uint8_t *)data, strlen(data)};

	return config_parts_add(p, &part);
}

/* Guards against a text of two versions, where the peer that is asked next has
 * put a newer one in force. */
void
test_config_parts_newer_version(void)
{
	struct config_parts p;

	config_parts_init(&p);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 0, "abc"), CC_OK);
	CU_ASSERT_FALSE(config_parts_complete(&p));
	CU_ASSERT_EQUAL(add(&p, 5, 4, 0, "de"), CC_OK);
	CU_ASSERT_EQUAL(p.version, 5);
	CU_ASSERT_EQUAL(add(&p, 5, 4, 2, "fg"), CC_OK);
	CU_ASSERT(config_parts_complete(&p));
	CU_ASSERT(memcmp(p.text, "defg", 4) == 0);
	config_parts_done(&p);
}

/* Guards against a text with a gap, or longer than announced, by a late or
 * wrong part. */
void
test_config_parts_out_of_order(void)
{
	struct config_parts p;

	config_parts_init(&p);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 3, "def"), CC_EINVAL);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 0, "abc"), CC_OK);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 2, "cd"), CC_EINVAL);
	CU_ASSERT_EQUAL(p.version, 0);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 0, "abcdefg"), CC_EINVAL);
	CU_ASSERT_EQUAL(add(&p, 3, 6, 0, ""), CC_EINVAL);
	CU_ASSERT_EQUAL(
	    add(&p, 3, CONFIG_TEXT_MAX_BYTES + 1, 0, "abc"), CC_EINVAL);
	CU_ASSERT_FALSE(config_parts_complete(&p));
	config_parts_done(&p);
}
