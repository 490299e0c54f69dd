#include "access.h"

#include <string.h>
#include <strings.h>

#include "../base/kvlog.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define SCHEME "Bearer "
/** Interval of the log lines on refused calls. */
#define LOG_MS 1000

static const char *const result_names[ACCESS_RESULTS] = {
    "allowed", "unknown-key", "account-unreadable", "config-unconfirmed"};

const char *
access_result_name(enum access_result r)
{
	return result_names[r];
}

/* The key in the header; NULL when there is none. */
static const char *
key_of(const char *authorization)
{
	const char *key;

	if (authorization == NULL ||
	    strncasecmp(authorization, SCHEME, strlen(SCHEME)) != 0)
		return NULL;
	key = authorization + strlen(SCHEME);
	key += strspn(key, " ");
	return *key != '\0' ? key : NULL;
}

static size_t
key_len(const char *key)
{
	size_t n = strlen(key);

	while (n > 0 && (key[n - 1] == ' ' || key[n - 1] == '\t'))
		n--;
	return n;
}

static enum access_result
check_key(const struct member *m, const char *key, const char **account)
{
	const struct account_terms *t = NULL;

	if (m->config->accounts_refused)
		return ACCESS_UNREADABLE;
	/* A newer configuration may have added or removed the key. */
	if (!config_freshness_holds(&m->freshness, clock_boot_ms()))
		return ACCESS_UNCONFIRMED;
	if (key != NULL)
		t = config_key_account(m->config, key, key_len(key));
	if (t == NULL)
		return ACCESS_UNKNOWN_KEY;
	*account = t->name;
	return t->unreadable ? ACCESS_UNREADABLE : ACCESS_ALLOWED;
}

static void
log_refusals(struct member *m, enum access_result r)
{
	int64_t now = clock_boot_ms();

	if (now - m->access_log_ms < LOG_MS)
		return;
	m->access_log_ms = now;
	kvlog(KVLOG_INFO, "access_refused",
	    "why=%s config_version=%llu confirmed_ms_ago=%lld bound_ms=%lld "
	    "unknown_key=%llu unreadable=%llu unconfirmed=%llu",
	    access_result_name(r), (unsigned long long)m->config->version,
	    (long long)config_freshness_age_ms(&m->freshness, now),
	    (long long)m->freshness.bound_ms,
	    (unsigned long long)m->access[ACCESS_UNKNOWN_KEY],
	    (unsigned long long)m->access[ACCESS_UNREADABLE],
	    (unsigned long long)m->access[ACCESS_UNCONFIRMED]);
}

enum access_result
member_access(struct member *m, const struct queue *q,
    const char *authorization, const char **account)
{
	enum access_result r;

	*account = "";
	if (!m->config->has_accounts || (q->is_public && authorization == NULL))
		return ACCESS_ALLOWED;
	r = check_key(m, key_of(authorization), account);
	m->access[r]++;
	if (r != ACCESS_ALLOWED)
		log_refusals(m, r);
	return r;
}
