#include "snapshot.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "journal.h"
#include "node.h"
#include "owner.h"

#define OBJECT_TIMEOUT_MS 5000
#define REMOVE_MAX 80 /* items of one transaction */

struct store {
	struct journal *journal;
	uint64_t epoch;
	uint64_t seq;
	uint64_t from; /**< first batch to remove */
};

static void
object_path(const struct shard *s, uint64_t seq, char *out, size_t len)
{
	snprintf(out, len, "/celerycart/shard-%d/%016" PRIu64, s->index, seq);
}

void
snapshot_capture(struct journal *j, uint64_t seq)
{
	struct shard *s = j->shard;

	if (j->snapshot_busy || j->snapshot != NULL ||
	    j->batches < (uint64_t)s->node->settings->snapshot_batches)
		return;
	j->snapshot = ledger_snapshot(&s->ledger, &j->snapshot_len);
	j->snapshot_seq = seq;
}

void
snapshot_forget(struct journal *j)
{
	free(j->snapshot);
	j->snapshot = NULL;
	j->snapshot_busy = false;
}

static bool
store_current(const struct store *st)
{
	const struct journal *j = st->journal;

	return j->open && j->shard->own_epoch == st->epoch && j->snapshot_busy;
}

static void remove_batches(struct store *st);

static void
store_free(struct store *st)
{
	if (store_current(st))
		st->journal->snapshot_busy = false;
	free(st);
}

static void
removed(int err, void *arg)
{
	struct store *st = arg;

	if (err == CC_OK && store_current(st) && st->from <= st->seq)
		remove_batches(st);
	else
		store_free(st);
}

static void
remove_batches(struct store *st)
{
	struct table_tx *tx = table_tx_new();
	struct shard *s = st->journal->shard;
	char part[32], sort[24];
	int i;

	snprintf(part, sizeof(part), "log/%d", s->index);
	for (i = 0; i < REMOVE_MAX && st->from <= st->seq; i++) {
		snprintf(sort, sizeof(sort), "%016" PRIu64, st->from++);
		table_tx_remove(tx, part, sort);
	}
	table_write(s->node->table, tx, NULL, OBJECT_TIMEOUT_MS, removed, st);
	table_tx_delete(tx);
}

static void
row_written(int err, void *arg)
{
	struct store *st = arg;
	struct shard *s = st->journal->shard;

	if (!store_current(st) || err != CC_OK) {
		kvlog(KVLOG_WARN, "snapshot_failed", "shard=%d step=row err=%s",
		    s->index, cc_strerror(err));
		store_free(st);
		return;
	}
	st->from = s->snap_seq + 1;
	s->snap_seq = st->seq;
	kvlog(
	    KVLOG_INFO, "snapshot", "shard=%d seq=%" PRIu64, s->index, st->seq);
	remove_batches(st);
}

static void
object_put(const struct http_answer *a, void *arg)
{
	struct store *st = arg;
	struct shard *s = st->journal->shard;
	struct table_tx *tx;

	if (!store_current(st) || a->err != CC_OK || a->status / 100 != 2) {
		kvlog(KVLOG_WARN, "snapshot_failed",
		    "shard=%d step=object err=%s status=%d", s->index,
		    cc_strerror(a->err), a->status);
		store_free(st);
		return;
	}
	tx = table_tx_new();
	owner_put_shard_row(tx, s, s->node->settings->host,
	    s->node->lease.epoch, s->own_epoch, st->seq);
	table_tx_if_num(tx, "epoch", s->own_epoch);
	table_write(
	    s->node->table, tx, NULL, OBJECT_TIMEOUT_MS, row_written, st);
	table_tx_delete(tx);
}

void
snapshot_after_commit(struct journal *j)
{
	struct shard *s = j->shard;
	struct store *st;
	char path[80];
	struct http_request r = {
	    .addr = s->node->settings->objects.addr,
	    .port = (uint16_t)s->node->settings->objects.port,
	    .method = EVHTTP_REQ_PUT,
	    .path = path,
	    .body = j->snapshot,
	    .len = j->snapshot_len,
	    .content_type = "application/octet-stream",
	    .timeout_ms = OBJECT_TIMEOUT_MS,
	    .fn = object_put,
	};

	if (j->snapshot == NULL || j->snapshot_busy || j->seq < j->snapshot_seq)
		return;
	st = xcalloc(1, sizeof(*st));
	st->journal = j;
	st->epoch = s->own_epoch;
	st->seq = j->snapshot_seq;
	j->snapshot_busy = true;
	j->batches = 0;
	object_path(s, st->seq, path, sizeof(path));
	r.arg = st;
	http_call(s->node->http, &r);
	free(j->snapshot);
	j->snapshot = NULL;
}

void
snapshot_get(struct shard *s, uint64_t seq, http_fn fn, void *arg)
{
	char path[80];
	struct http_request r = {
	    .addr = s->node->settings->objects.addr,
	    .port = (uint16_t)s->node->settings->objects.port,
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = OBJECT_TIMEOUT_MS,
	    .fn = fn,
	    .arg = arg,
	};

	object_path(s, seq, path, sizeof(path));
	http_call(s->node->http, &r);
}
