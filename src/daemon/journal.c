#include "journal.h"

#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../coordination/retry.h"
#include "../sys/clock.h"
#include "node.h"
#include "owner.h"
#include "snapshot.h"

/** A batch that is larger takes no further records. */
#define BATCH_BYTES_MAX (256 << 10)
#define COMMIT_TIMEOUT_MS 2000
/*
 * Maximum delays by enum journal_when. Even JOURNAL_NOW waits, so that records
 * written one after the other share a commit.
 */
#define NOW_DELAY_MS 4
#define SOON_DELAY_MS 250
#define LAZY_DELAY_MS 500
/** Commits that may be sent in one burst. */
#define COMMIT_CREDITS_MAX 8
#define BACKOFF_BASE_MS 50
#define BACKOFF_MAX_MS 1000

static void commit_send(struct journal *j);

static void
set_timer(struct journal *j, int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	evtimer_add(j->timer, &tv);
}

static struct journal_batch *
batch_new(void)
{
	struct journal_batch *b = xcalloc(1, sizeof(*b));

	batch_builder_init(&b->recs);
	TAILQ_INIT(&b->waiters);
	return b;
}

static void
batch_finish(struct journal_batch *b, int err)
{
	struct journal_waiter *w;

	while ((w = TAILQ_FIRST(&b->waiters)) != NULL) {
		TAILQ_REMOVE(&b->waiters, w, link);
		if (w->fn != NULL)
			w->fn(err, w->arg);
		free(w);
	}
	batch_builder_done(&b->recs);
	free(b);
}

/* Adds one credit for each commit period since the last refill. */
static void
refill_credits(struct journal *j, int64_t now)
{
	int64_t period = j->shard->node->settings->commit_ms;
	int64_t n = (now - j->credits_ms) / period;

	if (n <= 0)
		return;
	j->credits = j->credits + n > COMMIT_CREDITS_MAX ? COMMIT_CREDITS_MAX
							 : j->credits + (int)n;
	j->credits_ms += n * period;
}

/*
 * Sets the timer for when the pending records are due, but not before the next
 * commit credit.
 */
static void
schedule(struct journal *j)
{
	int64_t now = clock_boot_ms(), wait, credit_wait;

	if (j->committing != NULL || TAILQ_EMPTY(&j->pending))
		return;
	refill_credits(j, now);
	wait = j->due_ms - now;
	credit_wait = j->credits_ms + j->shard->node->settings->commit_ms - now;
	if (j->credits == 0 && wait < credit_wait)
		wait = credit_wait;
	set_timer(j, wait > 0 ? wait : 0);
}

static void
commit_finish(struct journal *j)
{
	struct journal_batch *b = j->committing;

	j->committing = NULL;
	free(j->data);
	j->data = NULL;
	j->seq++;
	j->batches_since_snapshot++;
	batch_finish(b, CC_OK);
	if (!j->open)
		return;
	snapshot_after_commit(j);
	schedule(j);
}

static void
retry_later(struct journal *j)
{
	uint32_t rnd;

	evutil_secure_rng_get_bytes(&rnd, sizeof(rnd));
	set_timer(j,
	    retry_backoff_ms(++j->tries, BACKOFF_BASE_MS, BACKOFF_MAX_MS, rnd));
}

static bool
is_current(struct journal *j, uint64_t commit_id)
{
	return j->open && j->committing != NULL && j->commit_id == commit_id;
}

/** A transaction or a read-back; ignored unless its commit is under way. */
struct commit_call {
	struct journal *journal;
	uint64_t commit_id;
};

static struct commit_call *
commit_call_new(struct journal *j)
{
	struct commit_call *c = xcalloc(1, sizeof(*c));

	c->journal = j;
	c->commit_id = j->commit_id;
	return c;
}

static uint64_t
item_commit_id(const struct table_item *it)
{
	size_t len;
	uint8_t *data = table_item_data(it, "d", &len);
	Cc__Batch *b = cc__batch__unpack(NULL, len, data);
	uint64_t id = b != NULL ? b->commit_id : 0;

	if (b != NULL)
		cc__batch__free_unpacked(b, NULL);
	free(data);
	return id;
}

static void
read_back_done(int err, const struct table_item *items, size_t n, void *arg)
{
	struct commit_call *c = arg;
	struct journal *j = c->journal;
	uint64_t id = c->commit_id;

	free(c);
	if (!is_current(j, id))
		return;
	if (err != CC_OK) {
		retry_later(j);
		return;
	}
	if (n > 0 && item_commit_id(&items[0]) == id) {
		commit_finish(j);
		return;
	}
	kvlog(KVLOG_WARN, "commit_fenced", "shard=%d seq=%" PRIu64,
	    j->shard->index, j->seq + 1);
	owner_shard_lost(j->shard->node, j->shard, "commit");
}

static void
read_back(struct journal *j)
{
	char part[32], after[24];

	snprintf(part, sizeof(part), "log/%d", j->shard->index);
	snprintf(after, sizeof(after), "%016" PRIu64, j->seq);
	table_query(j->shard->node->table, part, after, COMMIT_TIMEOUT_MS,
	    read_back_done, commit_call_new(j));
}

static void
commit_done(int err, void *arg)
{
	struct commit_call *c = arg;
	struct journal *j = c->journal;
	uint64_t id = c->commit_id;

	free(c);
	if (!is_current(j, id))
		return;
	if (err == CC_OK) {
		j->shard->node->table_ok_ms = clock_boot_ms();
		stats_commit(&j->shard->node->stats,
		    clock_boot_ms() - j->commit_start_ms);
		commit_finish(j);
	} else if (err == CC_ECONFLICT) {
		read_back(j);
	} else {
		kvlog(KVLOG_WARN, "commit_retry", "shard=%d err=%s tries=%d",
		    j->shard->index, cc_strerror(err), j->tries);
		retry_later(j);
	}
}

static void
commit_send(struct journal *j)
{
	struct shard *s = j->shard;
	struct table_tx *tx = table_tx_new();
	char part[32], sort[24], token[40];

	snprintf(sort, sizeof(sort), "%d", s->index);
	table_tx_check(tx, "shard", sort);
	table_tx_if_num(tx, "epoch", s->held_epoch);
	snprintf(part, sizeof(part), "log/%d", s->index);
	snprintf(sort, sizeof(sort), "%016" PRIu64, j->seq + 1);
	table_tx_put(tx, part, sort);
	table_tx_data(tx, "d", j->data, j->len);
	table_tx_if_absent(tx);
	snprintf(token, sizeof(token), "%016" PRIx64, j->commit_id);
	table_write(s->node->table, tx, token, COMMIT_TIMEOUT_MS, commit_done,
	    commit_call_new(j));
	table_tx_delete(tx);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct journal *j = arg;

	(void)fd;
	(void)what;
	if (!j->open)
		return;
	if (j->committing != NULL) {
		commit_send(j);
		return;
	}
	j->committing = TAILQ_FIRST(&j->pending);
	if (j->committing == NULL)
		return;
	TAILQ_REMOVE(&j->pending, j->committing, link);
	evutil_secure_rng_get_bytes(&j->commit_id, sizeof(j->commit_id));
	j->tries = 0;
	j->commit_start_ms = clock_boot_ms();
	refill_credits(j, j->commit_start_ms);
	if (j->credits > 0)
		j->credits--;
	j->due_ms = TAILQ_EMPTY(&j->pending) ? INT64_MAX : j->commit_start_ms;
	if (TAILQ_EMPTY(&j->pending))
		snapshot_capture(j, j->seq + 1);
	j->data =
	    batch_builder_finish(&j->committing->recs, j->commit_id, &j->len);
	commit_send(j);
}

void
journal_init(struct journal *j, struct shard *s)
{
	memset(j, 0, sizeof(*j));
	j->shard = s;
	TAILQ_INIT(&j->pending);
	j->timer = evtimer_new(s->node->base, on_timer, j);
}

void
journal_open(struct journal *j, uint64_t seq)
{
	j->seq = seq;
	j->batches_since_snapshot = 0;
	j->credits = COMMIT_CREDITS_MAX;
	j->credits_ms = clock_boot_ms();
	j->due_ms = INT64_MAX;
	j->open = true;
}

void
journal_close(struct journal *j)
{
	struct journal_batch *b;

	j->open = false;
	evtimer_del(j->timer);
	free(j->data);
	j->data = NULL;
	b = j->committing;
	j->committing = NULL;
	if (b != NULL)
		batch_finish(b, CC_ENOTOWNER);
	while ((b = TAILQ_FIRST(&j->pending)) != NULL) {
		TAILQ_REMOVE(&j->pending, b, link);
		batch_finish(b, CC_ENOTOWNER);
	}
	snapshot_discard(j);
}

void
journal_done(struct journal *j)
{
	journal_close(j);
	event_free(j->timer);
}

static const int64_t delays_ms[] = {
    [JOURNAL_NOW] = NOW_DELAY_MS,
    [JOURNAL_SOON] = SOON_DELAY_MS,
    [JOURNAL_LAZY] = LAZY_DELAY_MS,
};

void
journal_append(struct journal *j, enum journal_when when, const Cc__Rec *rec,
    journal_fn fn, void *arg)
{
	int64_t due = clock_boot_ms() + delays_ms[when];
	struct journal_batch *b = TAILQ_LAST(&j->pending, journal_batches);
	struct journal_waiter *w;

	if (!j->open)
		return;
	if (b == NULL || b->recs.len > BATCH_BYTES_MAX) {
		b = batch_new();
		TAILQ_INSERT_TAIL(&j->pending, b, link);
	}
	if (rec != NULL)
		batch_add(&b->recs, rec);
	if (fn != NULL) {
		w = xcalloc(1, sizeof(*w));
		w->fn = fn;
		w->arg = arg;
		TAILQ_INSERT_TAIL(&b->waiters, w, link);
	}
	if (due < j->due_ms) {
		j->due_ms = due;
		schedule(j);
	}
}

bool
journal_idle(const struct journal *j)
{
	return j->committing == NULL && TAILQ_EMPTY(&j->pending) &&
	    !j->snapshot_busy;
}

bool
journal_retrying(const struct journal *j)
{
	return j->committing != NULL && j->tries > 0;
}
