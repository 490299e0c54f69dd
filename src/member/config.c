/*
 * The configuration in force: read from the store, or requested from a peer
 * that announced a newer version.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "member_internal.h"

#define REQUEST_INTERVAL_MS 300
#define REQUEST_TIMEOUT_MS 1000
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

bool
member_apply_config(
    struct member *m, const void *value, size_t len, const char *from)
{
	struct config *new = m->ports.config_decode(value, len);

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

/** A request to a peer for its configuration. */
struct config_request {
	struct member *member;
	int64_t sent_ms;
};

static void
on_config(int err, const Cc__Frame *f, void *arg)
{
	struct config_request *r = arg;
	struct member *m = r->member;

	if (err == CC_OK && f->body_case == CC__FRAME__BODY_CONF &&
	    f->conf->version != 0) {
		member_apply_config(
		    m, f->conf->text, strlen(f->conf->text), "peer");
		if (f->conf->has_age)
			config_freshness_confirm_peer(&m->freshness,
			    f->conf->version, r->sent_ms, f->conf->age_ms);
	}
	free(r);
}

void
member_request_config(struct member *m)
{
	uint64_t have = m->config != NULL ? m->config->version : 0;
	int64_t now = clock_boot_ms();
	const struct cell_host *best = NULL;
	struct config_request *r;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__ConfGet get = CC__CONF_GET__INIT;
	int i;

	if (now - m->config_requested_ms < REQUEST_INTERVAL_MS)
		return;
	for (i = 0; i < m->nhosts; i++)
		if (m->hosts[i].config_version > have &&
		    member_linked(m, m->hosts[i].host) &&
		    (best == NULL ||
			m->hosts[i].config_version > best->config_version))
			best = &m->hosts[i];
	if (best == NULL)
		return;
	m->config_requested_ms = now;
	get.have = have;
	f.body_case = CC__FRAME__BODY_CONF_GET;
	f.conf_get = &get;
	r = xcalloc(1, sizeof(*r));
	r->member = m;
	r->sent_ms = now;
	peer_call(m->peers, best->host, &f, REQUEST_TIMEOUT_MS, on_config, r);
}
