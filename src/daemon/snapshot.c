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
#define REMOVE_MAX 80 /* batches deleted by one transaction */

/** A snapshot that is being stored, and the cleanup after it. */
struct snapshot_upload {
	struct journal *journal;
	uint64_t epoch; /**< shard epoch when the upload began */
	uint64_t seq;
	uint64_t remove_from; /**< first batch to delete */
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
	    j->batches_since_snapshot <
		(uint64_t)s->node->settings->snapshot_batches)
		return;
	j->snapshot = ledger_snapshot(&s->ledger, &j->snapshot_len);
	j->snapshot_seq = seq;
}

void
snapshot_discard(struct journal *j)
{
	free(j->snapshot);
	j->snapshot = NULL;
	j->snapshot_busy = false;
}

static bool
upload_current(const struct snapshot_upload *up)
{
	const struct journal *j = up->journal;

	return j->open && j->shard->held_epoch == up->epoch && j->snapshot_busy;
}

static void remove_batches(struct snapshot_upload *up);

static void
upload_free(struct snapshot_upload *up)
{
	if (upload_current(up))
		up->journal->snapshot_busy = false;
	free(up);
}

static void
batches_removed(int err, void *arg)
{
	struct snapshot_upload *up = arg;

	if (err == CC_OK && upload_current(up) && up->remove_from <= up->seq)
		remove_batches(up);
	else
		upload_free(up);
}

static void
remove_batches(struct snapshot_upload *up)
{
	struct table_tx *tx = table_tx_new();
	struct shard *s = up->journal->shard;
	char part[32], sort[24];
	int i;

	snprintf(part, sizeof(part), "log/%d", s->index);
	for (i = 0; i < REMOVE_MAX && up->remove_from <= up->seq; i++) {
		snprintf(sort, sizeof(sort), "%016" PRIu64, up->remove_from++);
		table_tx_remove(tx, part, sort);
	}
	table_write(
	    s->node->table, tx, NULL, OBJECT_TIMEOUT_MS, batches_removed, up);
	table_tx_delete(tx);
}

static void
row_written(int err, void *arg)
{
	struct snapshot_upload *up = arg;
	struct shard *s = up->journal->shard;

	if (!upload_current(up) || err != CC_OK) {
		kvlog(KVLOG_WARN, "snapshot_failed", "shard=%d step=row err=%s",
		    s->index, cc_strerror(err));
		upload_free(up);
		return;
	}
	up->remove_from = s->snapshot_seq + 1;
	s->snapshot_seq = up->seq;
	kvlog(
	    KVLOG_INFO, "snapshot", "shard=%d seq=%" PRIu64, s->index, up->seq);
	remove_batches(up);
}

static void
object_put(const struct http_answer *a, void *arg)
{
	struct snapshot_upload *up = arg;
	struct shard *s = up->journal->shard;
	struct table_tx *tx;

	if (!upload_current(up) || a->err != CC_OK || a->status / 100 != 2) {
		kvlog(KVLOG_WARN, "snapshot_failed",
		    "shard=%d step=object err=%s status=%d", s->index,
		    cc_strerror(a->err), a->status);
		upload_free(up);
		return;
	}
	tx = table_tx_new();
	owner_put_shard_row(tx, s, s->node->settings->host,
	    s->node->lease.epoch, s->held_epoch, up->seq);
	table_tx_if_num(tx, "epoch", s->held_epoch);
	table_write(
	    s->node->table, tx, NULL, OBJECT_TIMEOUT_MS, row_written, up);
	table_tx_delete(tx);
}

void
snapshot_after_commit(struct journal *j)
{
	struct shard *s = j->shard;
	struct snapshot_upload *up;
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
	up = xcalloc(1, sizeof(*up));
	up->journal = j;
	up->epoch = s->held_epoch;
	up->seq = j->snapshot_seq;
	j->snapshot_busy = true;
	j->batches_since_snapshot = 0;
	object_path(s, up->seq, path, sizeof(path));
	r.arg = up;
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
