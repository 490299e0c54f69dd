#include "shard_load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "home.h"
#include "node.h"
#include "placer.h"
#include "snapshot.h"

#define READ_TIMEOUT_MS 2000

/** A read for one load; an answer for an earlier load is dropped. */
struct ledger_load {
	struct shard *shard;
	uint64_t number;
};

static struct ledger_load *
load_new(struct shard *s)
{
	struct ledger_load *l = xcalloc(1, sizeof(*l));

	l->shard = s;
	l->number = s->load_number;
	return l;
}

/* Frees @p l and returns its shard, or NULL if that load was superseded. */
static struct shard *
load_take(struct ledger_load *l)
{
	struct shard *s = l->shard;
	bool current = s->state == SHARD_LOADING && s->load_number == l->number;

	free(l);
	return current ? s : NULL;
}

static void
load_failed(struct shard *s, const char *step, int err)
{
	kvlog(KVLOG_WARN, "load_failed", "shard=%d step=%s err=%s", s->index,
	    step, cc_strerror(err));
	s->loading = false;
}

static int
replay_item(struct shard *s, const struct table_item *it, uint64_t want)
{
	uint64_t seq = strtoull(table_item_sort(it), NULL, 10);
	size_t len;
	uint8_t *data = table_item_data(it, "d", &len);
	int err = CC_EPROTO;

	/* A gap in the numbers means lost records: the load must fail. */
	if (seq == want && data != NULL)
		err = ledger_replay(&s->ledger, data, len, NULL);
	free(data);
	return err;
}

static void
shard_ready(struct shard *s, uint64_t seq)
{
	journal_open(&s->journal, seq);
	s->loading = false;
	s->state = SHARD_OWNED;
	kvlog(KVLOG_INFO, "shard_owned",
	    "shard=%d epoch=%" PRIu64 " seq=%" PRIu64 " unsettled=%d", s->index,
	    s->held_epoch, seq, s->ledger.unsettled);
	placer_shard_owned(s->node->placer, s);
	home_shard_owned(s->node->home, s);
}

static void
log_read(int err, const struct table_item *items, size_t count, void *arg)
{
	struct shard *s = load_take(arg);
	uint64_t seq;
	size_t i;

	if (s == NULL)
		return;
	seq = s->snapshot_seq;
	for (i = 0; i < count && err == CC_OK; i++)
		err = replay_item(s, &items[i], ++seq);
	if (err != CC_OK)
		load_failed(s, "log", err);
	else
		shard_ready(s, seq);
}

static void
read_log(struct shard *s)
{
	char part[32], after[24];

	snprintf(part, sizeof(part), "log/%d", s->index);
	snprintf(after, sizeof(after), "%016" PRIu64, s->snapshot_seq);
	table_query(s->node->table, part, s->snapshot_seq > 0 ? after : "",
	    READ_TIMEOUT_MS, log_read, load_new(s));
}

static void
snapshot_read(const struct http_answer *a, void *arg)
{
	struct shard *s = load_take(arg);
	int err = a->err;

	if (s == NULL)
		return;
	if (err == CC_OK && a->status != 200)
		err = CC_EPROTO;
	if (err == CC_OK)
		err = ledger_replay(&s->ledger, a->body, a->len, NULL);
	if (err != CC_OK)
		load_failed(s, "snapshot", err);
	else
		read_log(s);
}

void
shard_load_start(struct shard *s)
{
	s->loading = true;
	s->load_number++;
	ledger_done(&s->ledger);
	ledger_init(&s->ledger);
	if (s->snapshot_seq > 0)
		snapshot_get(s, s->snapshot_seq, snapshot_read, load_new(s));
	else
		read_log(s);
}
