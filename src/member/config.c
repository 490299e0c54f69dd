/* The configuration in force: read from the store, or fetched from peers. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "member_internal.h"

/** Most refused parts of a configuration that are logged. */
#define REFUSALS_LOGGED_MAX 16

static void
log_refusals(const struct config *c)
{
	int i;

	for (i = 0; i < c->nrefusals && i < REFUSALS_LOGGED_MAX; i++)
		kvlog(KVLOG_WARN, "config_part_refused",
		    "version=%llu name=" KVLOG_TEXT " field=%s refused=%d",
		    (unsigned long long)c->version, c->refusals[i].name,
		    c->refusals[i].field, c->nrefusals);
}

static void
set_config(struct member *m, struct config *new, const void *value, size_t len,
    const char *from)
{
	config_delete(m->config);
	free(m->config_text);
	m->config = new;
	m->config_text = xmalloc(len + 1);
	memcpy(m->config_text, value, len);
	m->config_text[len] = '\0';
	m->config_len = len;
	config_freshness_set_version(&m->freshness, new->version);
	cell_set_config(&m->cell, config_copy(new));
	kvlog(KVLOG_INFO, "config_in_force",
	    "version=%llu queues=%d accounts=%d keys=%u refused=%d from=%s",
	    (unsigned long long)new->version, new->nqueues, new->naccounts,
	    new->keys != NULL ? account_keys_count(new->keys) : 0,
	    new->nrefusals, from);
	log_refusals(new);
}

/* Decoding a large text takes a weak host many milliseconds. */
static bool
is_in_force(const struct member *m, const void *value, size_t len)
{
	return m->config != NULL && len == m->config_len &&
	    memcmp(value, m->config_text, len) == 0;
}

bool
member_apply_config(
    struct member *m, const void *value, size_t len, const char *from)
{
	struct config *new;

	if (is_in_force(m, value, len))
		return true;
	new = m->ports.config_decode(value, len);
	if (new == NULL) {
		m->configs_unreadable++;
		return false;
	}
	if (new->version > m->config_read_version)
		m->config_read_version = new->version;
	if (m->config == NULL || new->version > m->config->version) {
		set_config(m, new, value, len, from);
		return true;
	}
	if (new->version < m->config->version)
		kvlog(KVLOG_INFO, "config_older",
		    "version=%llu in_force=%llu from=%s",
		    (unsigned long long)new->version,
		    (unsigned long long)m->config->version, from);
	config_delete(new);
	return true;
}

void
member_config_row(const struct row *row, void *arg)
{
	struct member *m = arg;

	if (row->deleted || !m->ports.is_config_row(row))
		return;
	m->config_unreadable =
	    !member_apply_config(m, row->value, row->len, "store");
}
