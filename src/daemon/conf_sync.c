#include "conf_sync.h"

#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/conf_follow.h"
#include "../sys/clock.h"
#include "peers.h"

#define POLL_MS 2000
#define TABLE_TIMEOUT_MS 2000
#define PEER_TIMEOUT_MS 2000
/** Versions kept in the history. */
#define HISTORY_KEEP 200

struct conf_sync {
	struct node *node;
	struct event *timer;
	struct conf_follow follow;
	bool reading;  /**< a read of the table is under way */
	bool fetching; /**< a fetch from a peer is under way */
};

/** One version that an operator applies. */
struct apply {
	struct conf_sync *sync;
	uint64_t version;
	uint64_t id; /**< tells this write from another of the same version */
	char *text;
	char who[64];
	int64_t wall_ms;
	conf_fn fn;
	void *arg;
};

static void
put_in_force(struct conf_sync *c, uint64_t version, const char *text,
    const char *who, int64_t wall_ms)
{
	struct node *n = c->node;
	struct classes classes;
	struct findings fs;

	findings_init(&fs, "config");
	classes_parse(&classes, text, strlen(text), &fs);
	if (fs.count > 0) {
		kvlog(KVLOG_ERROR, "config_bad",
		    "version=%" PRIu64 " findings=%d", version, fs.count);
		classes_done(&classes);
		findings_done(&fs);
		return;
	}
	findings_done(&fs);
	if (!conf_follow_offer(&c->follow, version)) {
		classes_done(&classes);
		return;
	}
	classes_done(&n->conf.classes);
	free(n->conf.text);
	n->conf.classes = classes;
	n->conf.text = xstrdup(text);
	n->conf.version = version;
	n->conf.known = true;
	n->conf.applied_wall_ms = wall_ms;
	n->conf.in_force_wall_ms = clock_wall_ms();
	str_copy(n->conf.who, who, sizeof(n->conf.who));
	kvlog(KVLOG_INFO, "config_in_force",
	    "version=%" PRIu64 " after_ms=%" PRId64, version,
	    n->conf.in_force_wall_ms - wall_ms);
	beats_send(n, false);
}

/* Puts the table's document in force if it is newer. */
static void
apply_document(struct conf_sync *c, const struct table_item *it)
{
	size_t len;
	uint8_t *data = table_item_data(it, "d", &len);
	char *text = xcalloc(1, len + 1);

	if (data != NULL)
		memcpy(text, data, len);
	put_in_force(c, table_item_num(it, "version"), text,
	    table_item_text(it, "who"), (int64_t)table_item_num(it, "wall_ms"));
	free(text);
	free(data);
}

static void
document_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct conf_sync *c = arg;

	c->reading = false;
	if (err == CC_OK && count > 0)
		apply_document(c, &items[0]);
}

static void
version_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct conf_sync *c = arg;
	uint64_t version;

	c->reading = false;
	if (err != CC_OK)
		return;
	c->node->table_ok_ms = clock_boot_ms();
	if (count == 0) {
		/* No configuration was ever applied. */
		conf_follow_offer(&c->follow, 0);
		c->node->conf.known = true;
		return;
	}
	version = table_item_num(&items[0], "version");
	if (!conf_follow_wants(&c->follow, version))
		return;
	c->reading = true;
	table_query(
	    c->node->table, "conf", "", TABLE_TIMEOUT_MS, document_read, c);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conf_sync *c = arg;

	(void)fd;
	(void)what;
	if (c->reading)
		return;
	c->reading = true;
	table_query(
	    c->node->table, "confv", "", TABLE_TIMEOUT_MS, version_read, c);
}

static void
document_received(int err, const Cc__Frame *f, void *arg)
{
	struct conf_sync *c = arg;

	c->fetching = false;
	if (err != CC_OK || f->body_case != CC__FRAME__BODY_CONF ||
	    f->conf->version == 0)
		return;
	put_in_force(
	    c, f->conf->version, f->conf->text, f->conf->who, f->conf->wall_ms);
}

void
conf_sync_peer_version(struct conf_sync *c, const char *host, uint64_t version)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__ConfGet g = CC__CONF_GET__INIT;

	if (version == 0 || c->fetching ||
	    !conf_follow_wants(&c->follow, version))
		return;
	c->fetching = true;
	g.have = c->follow.version;
	f.body_case = CC__FRAME__BODY_CONF_GET;
	f.conf_get = &g;
	peer_call(
	    c->node->peers, host, &f, PEER_TIMEOUT_MS, document_received, c);
}

void
conf_sync_serve(struct node *n, const struct peer_request *rq)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Conf m = CC__CONF__INIT;

	m.version = n->conf.version;
	m.text = n->conf.text != NULL ? n->conf.text : "";
	m.wall_ms = n->conf.applied_wall_ms;
	m.who = n->conf.who;
	f.body_case = CC__FRAME__BODY_CONF;
	f.conf = &m;
	peer_reply(n->peers, rq, &f);
}

/* ---- applying ---- */

static void
apply_finish(struct apply *a, int err)
{
	if (err == CC_OK)
		put_in_force(a->sync, a->version, a->text, a->who, a->wall_ms);
	a->fn(err, a->version, a->arg);
	free(a->text);
	free(a);
}

static void
apply_read_back(
    int err, const struct table_item *items, size_t count, void *arg)
{
	struct apply *a = arg;

	if (err != CC_OK)
		apply_finish(a, CC_EUNAVAIL);
	else if (count > 0 && table_item_num(&items[0], "id") == a->id)
		apply_finish(a, CC_OK);
	else {
		/* The operator's answer contains the configuration in force. */
		if (count > 0)
			apply_document(a->sync, &items[0]);
		apply_finish(a, CC_ECONFLICT);
	}
}

static void
apply_written(int err, void *arg)
{
	struct apply *a = arg;

	if (err == CC_OK) {
		apply_finish(a, CC_OK);
		return;
	}
	if (err == CC_ENOTSENT) {
		apply_finish(a, CC_EUNAVAIL);
		return;
	}
	table_query(a->sync->node->table, "conf", "", TABLE_TIMEOUT_MS,
	    apply_read_back, a);
}

void
conf_sync_apply(struct conf_sync *c, uint64_t seen, const char *text,
    const char *who, conf_fn fn, void *arg)
{
	struct apply *a = xcalloc(1, sizeof(*a));
	struct table_tx *tx = table_tx_new();
	char sort[24];

	a->sync = c;
	a->version = seen + 1;
	evutil_secure_rng_get_bytes(&a->id, sizeof(a->id));
	a->text = xstrdup(text);
	str_copy(a->who, who, sizeof(a->who));
	a->wall_ms = clock_wall_ms();
	a->fn = fn;
	a->arg = arg;
	table_tx_put(tx, "conf", "current");
	table_tx_num(tx, "version", a->version);
	table_tx_num(tx, "id", a->id);
	table_tx_text(tx, "who", who);
	table_tx_num(tx, "wall_ms", (uint64_t)a->wall_ms);
	table_tx_data(tx, "d", (const uint8_t *)text, strlen(text));
	if (seen > 0)
		table_tx_if_num(tx, "version", seen);
	else
		table_tx_if_absent(tx);
	table_tx_put(tx, "confv", "current");
	table_tx_num(tx, "version", a->version);
	snprintf(sort, sizeof(sort), "%016" PRIu64, a->version);
	table_tx_put(tx, "confh", sort);
	table_tx_num(tx, "version", a->version);
	table_tx_text(tx, "who", who);
	table_tx_num(tx, "wall_ms", (uint64_t)a->wall_ms);
	table_tx_num(tx, "bytes", strlen(text));
	if (a->version > HISTORY_KEEP) {
		snprintf(sort, sizeof(sort), "%016" PRIu64,
		    a->version - HISTORY_KEEP);
		table_tx_remove(tx, "confh", sort);
	}
	table_write(
	    c->node->table, tx, NULL, TABLE_TIMEOUT_MS, apply_written, a);
	table_tx_delete(tx);
}

void
conf_sync_history(struct conf_sync *c, conf_history_fn fn, void *arg)
{
	table_query(c->node->table, "confh", "", TABLE_TIMEOUT_MS, fn, arg);
}

struct conf_sync *
conf_sync_new(struct node *n)
{
	struct conf_sync *c = xcalloc(1, sizeof(*c));
	struct timeval tv = {POLL_MS / 1000, (POLL_MS % 1000) * 1000};
	struct timeval now = {0, 0};

	c->node = n;
	c->timer = event_new(n->base, -1, EV_PERSIST, on_timer, c);
	event_add(c->timer, &tv);
	event_base_once(n->base, -1, EV_TIMEOUT, on_timer, c, &now);
	return c;
}

void
conf_sync_delete(struct conf_sync *c)
{
	event_free(c->timer);
	free(c);
}
