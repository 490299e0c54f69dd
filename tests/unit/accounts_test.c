/**
 * @file Client accounts: their entries in the configuration, API keys, caps,
 * and how long a host may accept keys.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/config_row.h"
#include "../../src/base/log2_hist.h"
#include "../../src/base/xalloc.h"
#include "../../src/cell/account_stats.h"
#include "../../src/coordination/config_freshness.h"
#include "../../src/state/account.h"
#include "unit.h"

#define REVOKE_MS 5000
#define MANY_ACCOUNTS 10000

static struct config *
decode_accounts(const char *list)
{
	char *text = xasprintf("{\"version\":7,\"tenants\":%s}", list);
	struct config *c = config_decode(text, strlen(text));

	free(text);
	return c;
}

static const char *
account_of(const struct config *c, const char *key)
{
	const struct account_terms *t = config_key_account(c, key, strlen(key));

	return t != NULL ? t->name : "";
}

/* Guards against keys that work for another account, or for none. */
void
test_accounts_keys_found(void)
{
	struct config *c = decode_accounts(
	    "[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"weight\":3,"
	    "\"cap\":{\"cpu\":500,\"mem_mb\":0}},"
	    "{\"name\":\"b\",\"api_keys\":[\"k3\",\"k1\"]}]");
	struct config *copy = config_copy(c);
	const struct account_terms *t = config_account(copy, "a");

	CU_ASSERT_TRUE(copy->has_accounts);
	CU_ASSERT_STRING_EQUAL(account_of(copy, "k1"), "a");
	CU_ASSERT_STRING_EQUAL(account_of(copy, "k2"), "a");
	CU_ASSERT_STRING_EQUAL(account_of(copy, "k3"), "b");
	CU_ASSERT_STRING_EQUAL(account_of(copy, "k"), "");
	CU_ASSERT_STRING_EQUAL(account_of(copy, ""), "");
	CU_ASSERT_EQUAL(t->cap.cpu, 500);
	CU_ASSERT_EQUAL(t->cap.mem_mb, 0);
	CU_ASSERT_EQUAL(t->weight, 3.0);
	CU_ASSERT_EQUAL(copy->nrefusals, 1); /* the second use of k1 */
	config_delete(copy);
	config_delete(c);
}

/* Guards against an odd entry that costs other accounts, or lifts a cap. */
void
test_accounts_odd_entries(void)
{
	struct config *c = decode_accounts(
	    "[{\"name\":\"a\",\"api_keys\":[\"k1\",7],\"weight\":\"x\"},"
	    "{\"name\":\"b\",\"api_keys\":[\"k2\"],\"cap\":{\"cpu\":-1}},"
	    "5,{\"name\":\"c\",\"api_keys\":[\"k3\"],\"cap\":{}}]");

	CU_ASSERT_STRING_EQUAL(account_of(c, "k1"), "a");
	CU_ASSERT_FALSE(config_account(c, "a")->unreadable);
	CU_ASSERT_EQUAL(config_account(c, "a")->weight, 1.0);
	CU_ASSERT_TRUE(config_account(c, "b")->unreadable);
	CU_ASSERT_FALSE(config_account(c, "c")->unreadable);
	CU_ASSERT_STRING_EQUAL(account_of(c, "k3"), "c");
	config_delete(c);
	c = decode_accounts("\"none\"");
	CU_ASSERT_TRUE(c->has_accounts);
	CU_ASSERT_TRUE(c->accounts_refused);
	config_delete(c);
}

/* Guards against an account with the keys of one entry and the cap of another.
 */
void
test_accounts_one_name_twice(void)
{
	struct config *c = decode_accounts(
	    "[{\"name\":\"a\",\"api_keys\":[\"k1\"],\"cap\":{\"cpu\":5}},"
	    "{\"name\":\"a\",\"api_keys\":[\"k2\"]}]");

	CU_ASSERT_EQUAL(c->naccounts, 1);
	CU_ASSERT_EQUAL(config_account(c, "a")->cap.cpu, 5);
	CU_ASSERT_STRING_EQUAL(account_of(c, "k1"), "a");
	CU_ASSERT_STRING_EQUAL(account_of(c, "k2"), "");
	CU_ASSERT_EQUAL(c->nrefusals, 1);
	config_delete(c);
}

/* Guards the path of deployments without accounts. */
void
test_accounts_none_configured(void)
{
	const char *text = "{\"version\":7,\"routes\":[]}";
	struct config *c = config_decode(text, strlen(text));
	struct resources size = {100, 100, 0};

	CU_ASSERT_FALSE(c->has_accounts);
	CU_ASSERT_EQUAL(c->nrefusals, 0);
	CU_ASSERT_TRUE(account_fits(NULL, &size));
	config_delete(c);
}

/* Guards against a lookup or a decoding that grows with the square of the
 * accounts. */
void
test_accounts_many(void)
{
	size_t max = MANY_ACCOUNTS * 64, n = 0;
	char *list = xmalloc(max), key[32];
	struct config *c;
	int i;

	for (i = 0; i < MANY_ACCOUNTS; i++)
		n += (size_t)snprintf(list + n, max - n,
		    "%c{\"name\":\"a%d\",\"api_keys\":[\"key-%d\"]}",
		    i == 0 ? '[' : ',', i, i);
	snprintf(list + n, max - n, "]");
	c = decode_accounts(list);
	CU_ASSERT_EQUAL(c->naccounts, MANY_ACCOUNTS);
	CU_ASSERT_EQUAL(account_keys_count(c->keys), MANY_ACCOUNTS);
	for (i = 0; i < MANY_ACCOUNTS; i += 997) {
		snprintf(key, sizeof(key), "key-%d", i);
		CU_ASSERT_EQUAL(atoi(account_of(c, key) + 1), i);
	}
	config_delete(c);
	free(list);
}

static struct account *
capped(struct account **all, int64_t cpu, int64_t mem_mb)
{
	struct account_terms t = {.weight = 1.0, .cap = {cpu, mem_mb, 0}};
	struct account *a = account_get(all, "a");

	account_set_terms(a, &t);
	return a;
}

/* Guards against starts above a cap, and against a task above it that never
 * runs. */
void
test_accounts_cap(void)
{
	struct account *all = NULL, *a = capped(&all, 1000, 0);
	struct resources big = {1500, 10, 0}, small = {400, 9000, 0};

	CU_ASSERT_TRUE(account_fits(a, &big));
	a->unseen.cpu = 100;
	CU_ASSERT_FALSE(account_fits(a, &big));
	CU_ASSERT_TRUE(account_fits(a, &small));
	a->unseen.cpu = 0;
	account_hold(a, &small);
	CU_ASSERT_FALSE(account_fits(a, &big));
	CU_ASSERT_TRUE(account_fits(a, &small));
	account_hold(a, &small);
	CU_ASSERT_FALSE(account_fits(a, &small));
	account_release(a, &small);
	CU_ASSERT_TRUE(account_fits(a, &small));
	account_delete_all(&all);
}

/* Guards against gangs that would start in part, or never. */
void
test_accounts_cap_gang(void)
{
	struct account *all = NULL, *a = capped(&all, 1000, 0);
	struct resources one = {50, 0, 0}, gang = {1050, 0, 0},
			 wide = {1200, 0, 0};

	CU_ASSERT_TRUE(account_fits_gang(a, &gang, 0.1));
	CU_ASSERT_FALSE(account_fits_gang(a, &wide, 0.1));
	account_hold(a, &one);
	CU_ASSERT_FALSE(account_fits_gang(a, &gang, 0.1));
	account_delete_all(&all);
}

/* Guards against a removed key that is accepted beyond the bound. */
void
test_freshness_ends_by_itself(void)
{
	struct config_freshness f;

	config_freshness_init(&f, REVOKE_MS);
	config_freshness_set_version(&f, 3);
	CU_ASSERT_FALSE(config_freshness_holds(&f, 10));
	config_freshness_confirm(&f, 1000);
	CU_ASSERT_TRUE(config_freshness_holds(&f, 1000 + 4899));
	CU_ASSERT_FALSE(config_freshness_holds(&f, 1000 + 4900));
	config_freshness_confirm(&f, 500);
	CU_ASSERT_EQUAL(config_freshness_age_ms(&f, 2000), 1000);
}

/* Guards against a peer's confirmation of another version, and against one that
 * counts from the answer and not from the question. */
void
test_freshness_of_peers(void)
{
	struct config_freshness f;

	config_freshness_init(&f, REVOKE_MS);
	config_freshness_set_version(&f, 3);
	config_freshness_confirm_peer(&f, 2, 5000, 0);
	CU_ASSERT_FALSE(config_freshness_holds(&f, 5001));
	config_freshness_confirm_peer(&f, 3, 5000, 1500);
	CU_ASSERT_EQUAL(config_freshness_age_ms(&f, 6000), 2500);
	config_freshness_set_version(&f, 4);
	CU_ASSERT_FALSE(config_freshness_holds(&f, 5001));
}

/* Guards against refused calls where no bound is set. */
void
test_freshness_without_bound(void)
{
	struct config_freshness f;

	config_freshness_init(&f, 0);
	CU_ASSERT_TRUE(config_freshness_holds(&f, 100000));
}

/* Guards against metrics that grow with the accounts, and against a sum that
 * loses or repeats what an account holds. */
void
test_accounts_shown(void)
{
	static struct cell c;
	struct account_stats s;
	struct account *a;
	char name[32];
	int64_t held = 0;
	int i;

	for (i = 0; i < 3 * ACCOUNT_STATS_MAX; i++) {
		snprintf(name, sizeof(name), "a%d", i);
		a = account_get(&c.accounts, name);
		/* Neither in rising nor in falling order. */
		a->held.cpu = (i * 7) % (3 * ACCOUNT_STATS_MAX);
		log2_hist_add(&a->first_start_ms, 10);
	}
	account_find(c.accounts, "a0")->nwaiting = 3;
	account_stats_get(&c, &s);
	CU_ASSERT_EQUAL(s.nshown, ACCOUNT_STATS_MAX);
	CU_ASSERT_EQUAL(s.nothers, 2 * ACCOUNT_STATS_MAX);
	/* It holds nothing, and all waiting steps are its own. */
	CU_ASSERT_STRING_EQUAL(s.shown[0]->name, "a0");
	for (i = 1; i < s.nshown; i++) {
		CU_ASSERT_EQUAL(
		    s.shown[i]->held.cpu, 3 * ACCOUNT_STATS_MAX - i);
		held += s.shown[i]->held.cpu;
	}
	held += s.others.held.cpu;
	CU_ASSERT_EQUAL(
	    held, 3 * ACCOUNT_STATS_MAX * (3 * ACCOUNT_STATS_MAX - 1) / 2);
	CU_ASSERT_EQUAL(s.others.nwaiting, 0);
	CU_ASSERT_EQUAL(s.others.first_start_ms.total, 2 * ACCOUNT_STATS_MAX);
	account_delete_all(&c.accounts);
}

/* Guards against quantiles below the values that were added, and against values
 * beyond the range that aren't counted. */
void
test_accounts_first_start(void)
{
	struct log2_hist h = {0}, sum = {0};
	uint64_t v;

	CU_ASSERT_EQUAL(log2_hist_quantile(&h, 0.5), 0);
	log2_hist_add(&h, 0);
	CU_ASSERT_EQUAL(log2_hist_quantile(&h, 0.99), 0);
	for (v = 1; v < 100; v++)
		log2_hist_add(&h, v);
	CU_ASSERT_EQUAL(log2_hist_quantile(&h, 0.5), 63);
	CU_ASSERT_EQUAL(log2_hist_quantile(&h, 0.99), 127);
	log2_hist_add(&h, UINT64_MAX);
	log2_hist_merge(&sum, &h);
	log2_hist_merge(&sum, &h);
	CU_ASSERT_EQUAL(sum.total, 202);
	CU_ASSERT_EQUAL(log2_hist_quantile(&sum, 1.0), (UINT64_C(1) << 31) - 1);
}
