#include "config_fetch.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "member_internal.h"

/** Peers are asked this long after a version was announced: by then the watch
 * has usually brought it. */
#define REQUEST_DELAY_MS 200
/** The same while an answer of the store arrives: 2.5 MB at 10 Mbit/s. */
#define RECEIVING_DELAY_MS 2000
/** 64 KB take 0.5 s at 1 Mbit/s. */
#define PART_BYTES (64u << 10)
#define PART_TIMEOUT_MS 1000
/** Pause after a request that brought nothing. */
#define RETRY_MS 300

/** A request to a peer for a part of its configuration. */
struct part_request {
	struct member *member;
	int64_t sent_ms;
};

void
config_fetch_init(struct config_fetch *f)
{
	*f = (struct config_fetch){0};
	config_parts_init(&f->parts);
	/* Hosts that are behind at the same time begin with different peers. */
	RAND_bytes((unsigned char *)&f->turn, sizeof(f->turn));
}

void
config_fetch_done(struct config_fetch *f)
{
	config_parts_done(&f->parts);
}

static uint64_t
version_in_force(const struct member *m)
{
	return m->config != NULL ? m->config->version : 0;
}

/* Updates the newest version that linked peers have announced.
 * @return how many of them have it */
static int
count_announcers(struct member *m)
{
	uint64_t newest = 0;
	int i, n = 0;

	for (i = 0; i < m->nhosts; i++) {
		if (m->hosts[i].config_version < newest ||
		    !member_linked(m, m->hosts[i].host))
			continue;
		if (m->hosts[i].config_version > newest)
			n = 0;
		newest = m->hosts[i].config_version;
		n++;
	}
	m->config_fetch.announced = newest;
	return n;
}

/* @return the peer whose turn it is among the @p n that have the version. */
static const struct cell_host *
choose_peer(const struct member *m, int n)
{
	uint32_t skip = m->config_fetch.turn % (uint32_t)n;
	int i;

	for (i = 0; i < m->nhosts; i++)
		if (m->hosts[i].config_version == m->config_fetch.announced &&
		    member_linked(m, m->hosts[i].host) && skip-- == 0)
			return &m->hosts[i];
	return NULL;
}

/* Whether the store's answer is still likely to come first. */
static bool
awaits_store(const struct member *m, int64_t now)
{
	int64_t behind = now - m->config_fetch.behind_since_ms;

	if (behind < REQUEST_DELAY_MS)
		return true;
	return follow_receiving(m->configs) && behind < RECEIVING_DELAY_MS;
}

static void
note_failure(struct config_fetch *f, int err, const Cc__Conf *c)
{
	f->failures++;
	f->turn++;
	f->retry_ms = clock_boot_ms() + RETRY_MS;
	kvlog(KVLOG_INFO, "config_part_failed",
	    "why=%s announced=%llu offered=%llu have_bytes=%zu failures=%llu",
	    cc_strerror(err), (unsigned long long)f->announced,
	    (unsigned long long)(c != NULL ? c->version : 0), f->parts.len,
	    (unsigned long long)f->failures);
}

static void
apply_text(struct member *m, const struct part_request *r, const Cc__Conf *c,
    const char *text, size_t len)
{
	member_apply_config(m, text, len, "peer");
	if (c->has_age)
		config_freshness_confirm_peer(
		    &m->freshness, c->version, r->sent_ms, c->age_ms);
}

static int
add_part(struct member *m, const struct part_request *r, const Cc__Conf *c)
{
	struct config_fetch *f = &m->config_fetch;
	struct config_part part = {c->version, (size_t)c->total,
	    (size_t)c->offset, c->part.data, c->part.len};
	int rc;

	if (c->version <= version_in_force(m)) {
		config_parts_reset(&f->parts);
		return CC_ENOENT;
	}
	/* A peer of an earlier version sends the whole text. */
	if (c->total == 0 && c->text[0] != '\0') {
		apply_text(m, r, c, c->text, strlen(c->text));
		return CC_OK;
	}
	rc = config_parts_add(&f->parts, &part);
	if (rc != CC_OK)
		return rc;
	f->received++;
	if (config_parts_complete(&f->parts)) {
		apply_text(m, r, c, f->parts.text, f->parts.len);
		config_parts_reset(&f->parts);
	}
	return CC_OK;
}

static void
on_part(int err, const Cc__Frame *f, void *arg)
{
	struct part_request *r = arg;
	struct member *m = r->member;
	const Cc__Conf *c = NULL;

	m->config_fetch.waiting = false;
	if (err == CC_OK && f->body_case == CC__FRAME__BODY_CONF)
		c = f->conf;
	else if (err == CC_OK)
		err = CC_EPROTO;
	if (err == CC_OK)
		err = add_part(m, r, c);
	if (err == CC_OK)
		config_fetch_tick(m);
	else
		note_failure(&m->config_fetch, err, c);
	free(r);
}

static void
send_request(struct member *m, const struct cell_host *peer, int64_t now)
{
	struct config_fetch *cf = &m->config_fetch;
	struct part_request *r = xcalloc(1, sizeof(*r));
	Cc__Frame f = CC__FRAME__INIT;
	Cc__ConfGet get = CC__CONF_GET__INIT;

	get.have = version_in_force(m);
	get.part_bytes = PART_BYTES;
	get.version = cf->parts.version;
	get.offset = cf->parts.len;
	f.body_case = CC__FRAME__BODY_CONF_GET;
	f.conf_get = &get;
	cf->waiting = true;
	r->member = m;
	r->sent_ms = now;
	peer_call(m->peers, peer->host, &f, PART_TIMEOUT_MS, on_part, r);
}

void
config_fetch_tick(struct member *m)
{
	struct config_fetch *f = &m->config_fetch;
	int64_t now = clock_boot_ms();
	const struct cell_host *peer;
	int n = count_announcers(m);

	if (f->announced <= version_in_force(m)) {
		f->behind_since_ms = 0;
		if (f->parts.version != 0)
			config_parts_reset(&f->parts);
		return;
	}
	if (f->behind_since_ms == 0)
		f->behind_since_ms = now;
	if (f->waiting || now < f->retry_ms || awaits_store(m, now))
		return;
	peer = choose_peer(m, n);
	if (peer != NULL)
		send_request(m, peer, now);
}

/* Sets the part of the text that the peer requests. One that began with another
 * version gets the first part of the version in force. */
static void
set_part(const struct member *m, const Cc__ConfGet *get, Cc__Conf *c)
{
	size_t from = get->version == c->version ? get->offset : 0, left;
	size_t most =
	    get->part_bytes < PART_BYTES ? get->part_bytes : PART_BYTES;

	if (from >= m->config_len)
		return;
	left = m->config_len - from;
	c->total = m->config_len;
	c->offset = from;
	c->part.data = (uint8_t *)m->config_text + from;
	c->part.len = left < most ? left : most;
}

void
config_fetch_reply(
    struct member *m, const struct peer_request *rq, const Cc__ConfGet *get)
{
	Cc__Frame f = CC__FRAME__INIT;
	Cc__Conf c = CC__CONF__INIT;
	int64_t age = config_freshness_age_ms(&m->freshness, clock_boot_ms());

	c.version = version_in_force(m);
	if (m->config_text != NULL && get->part_bytes > 0)
		set_part(m, get, &c);
	else if (m->config_text != NULL)
		c.text = m->config_text;
	c.has_age = m->config != NULL && age >= 0;
	c.age_ms = c.has_age ? age : 0;
	f.body_case = CC__FRAME__BODY_CONF;
	f.conf = &c;
	peer_reply(m->peers, rq, &f);
}
