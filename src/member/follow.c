#include "follow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "../base/err.h"
#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "../state/store_page.h"
#include "../sys/clock.h"

#define RETRY_MS 150
#define PAGE_ROWS 500

/** Newest version of a row that was reported. */
struct reported {
	UT_hash_handle hh;
	char key[STORE_KEY_MAX + 1];
	uint64_t version;
};

struct follow {
	struct store *store;
	struct follow_options options;
	int part; /**< index of the part that is being listed */
	struct store_page page;
	uint64_t version;      /**< the next watch reports changes after it */
	uint64_t list_version; /**< of the first page of this listing */
	int64_t watch_sent_ms; /**< time of the last watch */
	int64_t list_sent_ms;  /**< time of the first call of this listing */
	int64_t answered_ms;   /**< time of the last answer */
	int64_t failing_since_ms; /**< start of a failure; 0: none */
	int64_t call_sent_ms;	  /**< time of the pending call */
	uint64_t failures; /**< calls that failed since the last answer */
	bool reading;	   /**< the table is being listed, not watched */
	bool ready;	   /**< it was listed completely at least once */
	bool deleted;	   /**< freed when the pending call ends */
	struct reported *reported;
	struct event *next; /**< timer of the next call */
	follow_fn fn;
	void *arg;
};

static void follow_next(struct follow *f);

static void
report(struct follow *f, const struct row *row)
{
	struct reported *p;

	HASH_FIND_STR(f->reported, row->key, p);
	if (p == NULL) {
		p = xcalloc(1, sizeof(*p));
		str_copy(p->key, row->key, sizeof(p->key));
		HASH_ADD_STR(f->reported, key, p);
	} else if (row->version <= p->version) {
		return;
	}
	p->version = row->version;
	f->fn(row, f->arg);
}

static void
follow_free(struct follow *f)
{
	struct reported *p, *tmp;

	HASH_ITER(hh, f->reported, p, tmp)
	{
		HASH_DEL(f->reported, p);
		free(p);
	}
	event_free(f->next);
	free(f);
}

static void
start_reading(struct follow *f)
{
	f->reading = true;
	f->part = 0;
	store_page_reset(&f->page);
	f->list_version = 0;
	f->list_sent_ms = clock_boot_ms();
}

static void
schedule_call(struct follow *f, int64_t ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	evtimer_add(f->next, &tv);
}

/* Logs the first failure and then each whose number is a power of two. */
static void
log_failure(const struct follow *f, const struct store_result *r)
{
	if ((f->failures & (f->failures - 1)) != 0)
		return;
	kvlog(KVLOG_WARN, "follow_lost",
	    "table=%s call=%s why=%s version=%llu failures=%llu received=%llu "
	    "took_ms=%lld failing_ms=%lld",
	    f->options.table, f->reading ? "list" : "watch",
	    cc_strerror(r->err), (unsigned long long)f->version,
	    (unsigned long long)f->failures, (unsigned long long)r->received,
	    (long long)(clock_boot_ms() - f->call_sent_ms),
	    (long long)(clock_boot_ms() - f->failing_since_ms));
}

static void
retry_later(struct follow *f, const struct store_result *r)
{
	if (f->failing_since_ms == 0)
		f->failing_since_ms = clock_boot_ms();
	f->failures++;
	log_failure(f, r);
	schedule_call(f, RETRY_MS);
}

static void
note_answer(struct follow *f, const struct store_result *r)
{
	f->answered_ms = clock_boot_ms();
	if (f->failing_since_ms != 0)
		kvlog(KVLOG_INFO, "follow_back",
		    "table=%s after_ms=%lld failures=%llu received=%llu",
		    f->options.table,
		    (long long)(f->answered_ms - f->failing_since_ms),
		    (unsigned long long)f->failures,
		    (unsigned long long)r->received);
	f->failing_since_ms = 0;
	f->failures = 0;
}

static void
page_read(struct follow *f, const struct store_result *r)
{
	if (f->list_version == 0)
		f->list_version = r->version;
	if (store_page_next(&f->page, r))
		return;
	store_page_reset(&f->page);
	if (f->options.parts[++f->part] != NULL)
		return;
	f->reading = false;
	f->ready = true;
	f->version = f->list_version;
}

static void
report_current(struct follow *f, bool was_reading)
{
	if (f->options.current != NULL && !f->reading)
		f->options.current(
		    was_reading ? f->list_sent_ms : f->watch_sent_ms, f->arg);
}

/* @return ms until the next watch may be sent. */
static int64_t
watch_delay_ms(const struct follow *f)
{
	int64_t since = clock_boot_ms() - f->watch_sent_ms;

	if (f->reading || since >= f->options.min_interval_ms)
		return 0;
	return f->options.min_interval_ms - since;
}

static void
on_rows(const struct store_result *r, void *arg)
{
	struct follow *f = arg;
	bool was_reading = f->reading;
	int i;

	if (f->deleted) {
		follow_free(f);
		return;
	}
	if (r->err == CC_ENOENT && !f->reading) {
		kvlog(KVLOG_INFO, "follow_reread", "table=%s version=%llu",
		    f->options.table, (unsigned long long)f->version);
		start_reading(f);
		follow_next(f);
		return;
	}
	if (r->err != CC_OK) {
		retry_later(f, r);
		return;
	}
	note_answer(f, r);
	for (i = 0; i < r->nrows && !f->deleted; i++)
		report(f, &r->rows[i]);
	if (f->deleted) {
		follow_free(f);
		return;
	}
	if (f->reading)
		page_read(f, r);
	else if (r->version > f->version)
		f->version = r->version;
	report_current(f, was_reading);
	if (watch_delay_ms(f) > 0)
		schedule_call(f, watch_delay_ms(f));
	else
		follow_next(f);
}

static void
follow_next(struct follow *f)
{
	f->call_sent_ms = clock_boot_ms();
	if (f->reading) {
		f->store->ops->list(f->store, f->options.table,
		    f->options.parts[f->part], f->page.from, PAGE_ROWS, on_rows,
		    f);
		return;
	}
	f->watch_sent_ms = f->call_sent_ms;
	f->store->ops->watch(f->store, f->options.table, f->version,
	    f->failing_since_ms != 0 ? 0 : f->options.wait_ms, on_rows, f);
}

static void
on_next(evutil_socket_t fd, short what, void *arg)
{
	struct follow *f = arg;

	(void)fd;
	(void)what;
	if (f->deleted)
		follow_free(f);
	else
		follow_next(f);
}

struct follow *
follow_new(struct event_base *base, struct store *s,
    const struct follow_options *o, follow_fn fn, void *arg)
{
	struct follow *f = xcalloc(1, sizeof(*f));

	f->store = s;
	f->options = *o;
	f->fn = fn;
	f->arg = arg;
	f->next = evtimer_new(base, on_next, f);
	start_reading(f);
	follow_next(f);
	return f;
}

void
follow_delete(struct follow *f)
{
	f->deleted = true;
}

bool
follow_ready(const struct follow *f)
{
	return f->ready;
}

bool
follow_receiving(const struct follow *f)
{
	const struct store_ops *ops = f->store->ops;

	return ops->receiving != NULL && ops->receiving(f->store, f);
}

uint64_t
follow_failures(const struct follow *f)
{
	return f->failures;
}

int64_t
follow_age_ms(const struct follow *f)
{
	return clock_boot_ms() - f->answered_ms;
}
