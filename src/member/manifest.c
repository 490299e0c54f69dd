/* The manifest in force: from the store, or from a peer that has a newer. */
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "parts.h"

#define ASK_EVERY_MS 300
#define ASK_TIMEOUT_MS 1000

static void
set_manifest(struct member *m, struct manifest *new, const void *value,
    size_t len, const char *from)
{
	if (m->manifest != NULL) {
		manifest_done(m->manifest);
		free(m->manifest);
	}
	free(m->manifest_text);
	m->manifest = new;
	m->manifest_text = xmalloc(len + 1);
	memcpy(m->manifest_text, value, len);
	m->manifest_text[len] = '\0';
	m->manifest_len = len;
	cell_set_manifest(&m->cell, m->ports.manifest_decode(value, len));
	kvlog(KVLOG_INFO, "manifest_in_force", "version=%llu queues=%d from=%s",
	    (unsigned long long)new->version, new->nqueues, from);
}

void
member_take_manifest(
    struct member *m, const void *value, size_t len, const char *from)
{
	struct manifest *new = m->ports.manifest_decode(value, len);

	if (new == NULL)
		return;
	if (m->manifest == NULL || new->version > m->manifest->version) {
		set_manifest(m, new, value, len, from);
		return;
	}
	manifest_done(new);
	free(new);
}

void
member_manifest_row(const struct row *row, void *arg)
{
	struct member *m = arg;

	if (row->deleted || !m->ports.manifest_is(row))
		return;
	member_take_manifest(m, row->value, row->len, "store");
}

static void
on_manifest(int err, const Cc__Frame *f, void *arg)
{
	struct member *m = arg;

	if (err != CC_OK || f->body_case != CC__FRAME__BODY_CONF ||
	    f->conf->version == 0)
		return;
	member_take_manifest(m, f->conf->text, strlen(f->conf->text), "peer");
}

void
member_ask_manifest(struct member *m)
{
	uint64_t have = m->manifest != NULL ? m->manifest->version : 0;
	int64_t now = clock_boot_ms();
	const struct other *best = NULL;
	Cc__Frame f = CC__FRAME__INIT;
	Cc__ConfGet get = CC__CONF_GET__INIT;
	int i;

	if (now - m->manifest_asked_ms < ASK_EVERY_MS)
		return;
	for (i = 0; i < m->nothers; i++)
		if (m->others[i].manifest_version > have &&
		    member_linked(m, m->others[i].host) &&
		    (best == NULL ||
			m->others[i].manifest_version > best->manifest_version))
			best = &m->others[i];
	if (best == NULL)
		return;
	m->manifest_asked_ms = now;
	get.have = have;
	f.body_case = CC__FRAME__BODY_CONF_GET;
	f.conf_get = &get;
	peer_call(m->peers, best->host, &f, ASK_TIMEOUT_MS, on_manifest, m);
}
