#include "relay.h"

#include <stdlib.h>
#include <string.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../state/job.h"
#include "../sys/clock.h"

/** Bounds of the timeout for the acknowledgement of a batch, after which a
 * relay is silent. The timeout follows the latencies observed. */
#define ACK_TIMEOUT_MIN_MS 500
#define ACK_TIMEOUT_MAX_MS 1000
/** A spec is sent again when it was last sent longer ago than this; the relay
 * caches it for longer. */
#define SPEC_RESEND_MS (RELAY_SPEC_CACHE_MS / 2)

/** A job whose spec was sent to the relay. */
struct sent_spec {
	UT_hash_handle hh;
	char job[JOB_ID_LEN];
	int64_t sent_ms;
};

static void
forget_specs(struct relay *r)
{
	struct sent_spec *s, *tmp;

	HASH_ITER(hh, r->specs, s, tmp)
	{
		HASH_DEL(r->specs, s);
		free(s);
	}
}

void
relay_batch_clear(struct relay *r)
{
	size_t i;

	for (i = 0; i < r->batch.n_orders; i++)
		cc__relay_order__free_unpacked(r->batch.orders[i], NULL);
	for (i = 0; i < r->batch.n_specs; i++)
		free(r->batch.specs[i]);
	r->batch.n_orders = r->batch.n_specs = 0;
}

struct relay *
relay_new(const char *host)
{
	struct relay *r = xcalloc(1, sizeof(*r));

	str_copy(r->host, host, sizeof(r->host));
	cc__relay_batch__init(&r->batch);
	return r;
}

void
relay_delete(struct relay *r)
{
	relay_batch_clear(r);
	forget_specs(r);
	free(r->batch.orders);
	free(r->batch.specs);
	free(r);
}

void
relay_batch_not_sent(struct relay *r)
{
	relay_batch_clear(r);
	forget_specs(r);
}

void
relay_batch_sent(struct relay *r, uint64_t peer_link)
{
	if (r->peer_link != peer_link) {
		r->nunacked = 0;
		r->silent = false;
		forget_specs(r);
	}
	r->peer_link = peer_link;
	if (r->nunacked < RELAY_UNACKED_MAX)
		r->sent_ms[r->nunacked++] = clock_boot_ms();
}

void
relay_batch_acked(struct relay *r, uint64_t peer_link)
{
	int64_t now = clock_boot_ms();

	if (r->peer_link != peer_link)
		return;
	if (r->nunacked > 0) {
		rtt_sample(&r->ack_rtt, (double)(now - r->sent_ms[0]));
		memmove(r->sent_ms, r->sent_ms + 1,
		    (size_t)--r->nunacked * sizeof(r->sent_ms[0]));
	}
	if (r->silent)
		kvlog(KVLOG_INFO, "relay_back", "peer=%s", r->host);
	r->silent = false;
}

int64_t
relay_ack_age_ms(const struct relay *r, int64_t now)
{
	return r->nunacked > 0 ? now - r->sent_ms[0] : 0;
}

bool
relay_ack_is_late(const struct relay *r, int64_t now)
{
	return relay_ack_age_ms(r, now) >
	    rtt_timeout_ms(&r->ack_rtt, ACK_TIMEOUT_MIN_MS, ACK_TIMEOUT_MAX_MS);
}

Cc__RelayOrder *
relay_add_order(struct relay *r, enum relay_verb verb, const struct target *t,
    uint64_t serial)
{
	Cc__RelayOrder *o = xcalloc(1, sizeof(*o));
	Cc__RelayBatch *b = &r->batch;

	if (b->n_orders == r->norders_max) {
		r->norders_max = r->norders_max * 2 + 16;
		b->orders =
		    xrealloc(b->orders, r->norders_max * sizeof(*b->orders));
	}
	cc__relay_order__init(o);
	o->serial = serial;
	o->verb = verb;
	o->runner = xstrdup(t->id);
	o->addr = xstrdup(t->addr);
	o->port = t->port;
	b->orders[b->n_orders++] = o;
	return o;
}

static bool
spec_was_sent(struct relay *r, const char *job, int64_t now)
{
	struct sent_spec *s, *tmp;

	HASH_ITER(hh, r->specs, s, tmp)
	{
		if (now - s->sent_ms <= SPEC_RESEND_MS)
			break;
		HASH_DEL(r->specs, s);
		free(s);
	}
	HASH_FIND_STR(r->specs, job, s);
	return s != NULL;
}

static void
note_spec(struct relay *r, const char *job, int64_t now)
{
	struct sent_spec *s = xcalloc(1, sizeof(*s));

	str_copy(s->job, job, sizeof(s->job));
	s->sent_ms = now;
	HASH_ADD_STR(r->specs, job, s);
}

uint32_t
relay_add_spec(struct relay *r, const struct start_order *o, bool force)
{
	Cc__RelayBatch *b = &r->batch;
	int64_t now = clock_boot_ms();
	struct task_ref ref;

	if (!task_ref_parse(&ref, o->task))
		return 0;
	if (!force && spec_was_sent(r, ref.id, now))
		return 0;
	if (b->n_specs == r->nspecs_max) {
		r->nspecs_max = r->nspecs_max * 2 + 8;
		b->specs =
		    xrealloc(b->specs, r->nspecs_max * sizeof(*b->specs));
	}
	b->specs[b->n_specs++] = xstrdup(o->spec);
	if (!spec_was_sent(r, ref.id, now))
		note_spec(r, ref.id, now);
	return (uint32_t)b->n_specs;
}
