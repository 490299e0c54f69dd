#include "wait_log.h"

#include <stdio.h>

#include "../base/kvlog.h"
#include "account_cap.h"
#include "lead_lease.h"

/** Wait after which a step is logged, and the interval of the lines. */
#define LOG_MS 1000
/** Most steps that are logged at a time. */
#define STEPS_MAX 4
#define COUNTS_LEN 256

/** The waiting tasks of a step. */
struct waiting {
	uint32_t tasks;
	bool apart;	  /**< the longest waiting one must run apart */
	int64_t since_ms; /**< since when that one waits */
};

static void
count_waiting(const struct step *s, int64_t now, struct waiting *out)
{
	const struct task *t;
	int64_t since;
	uint32_t i;

	*out = (struct waiting){.since_ms = now};
	for (i = 0; i < s->spec->count; i++) {
		t = &s->tasks[i];
		if (t->done || t->run != NULL || t->retry_ms > now)
			continue;
		out->tasks++;
		since = t->retry_ms > s->ready_ms ? t->retry_ms : s->ready_ms;
		if (since >= out->since_ms)
			continue;
		out->since_ms = since;
		out->apart = task_crashes_suspected(&t->crashes);
	}
}

/* What keeps all tasks of the step from being started, or "none". */
static const char *
held_by(const struct cell *c, const struct step *s)
{
	if (s->occurrence->job->queue == NULL)
		return "queue";
	if (!lead_lease_allows_start(c))
		return "lease";
	if (!cell_capacities_current(c))
		return "registry";
	if (!cell_may_start(c, s))
		return "adoption";
	if (!account_cap_allows(c, s))
		return "account-cap";
	return step_may_have_candidates(s) ? "none" : "advice";
}

/* Writes the number of runners for each reason that refuses any. */
static void
format_refusals(const struct cell *c, const struct step *s, bool apart,
    int64_t now, char out[COUNTS_LEN])
{
	const struct queue *q = s->occurrence->job->queue;
	struct placing_want w = {.step = s,
	    .renewed_ms = c->renewed_ms,
	    .service = q != NULL ? q->service : "",
	    .apart = apart,
	    .beside = apart ? BESIDE_NOTHING : BESIDE_ANY,
	    .now_ms = now};
	int counts[PLACING_REFUSALS] = {0}, i, n = 0;
	const struct runner *r;

	for (r = c->runners; r != NULL; r = r->hh.next)
		counts[placing_check(r, &w)]++;
	out[0] = '\0';
	for (i = 0; i < PLACING_REFUSALS && n < COUNTS_LEN; i++)
		if (counts[i] > 0)
			n += snprintf(out + n, (size_t)(COUNTS_LEN - n),
			    "%s%s:%d", n > 0 ? "," : "",
			    placing_refusal_name((enum placing_refusal)i),
			    counts[i]);
}

static void
log_step(const struct cell *c, const struct step *s, const struct waiting *wt,
    int64_t now)
{
	char refusals[COUNTS_LEN];

	format_refusals(c, s, wt->apart, now, refusals);
	kvlog(KVLOG_INFO, "step_waits",
	    "job=%s occurrence=%u step=%u tasks=%u waited_ms=%lld apart=%d "
	    "held=%s runners=%s",
	    s->occurrence->job->id, s->occurrence->number, s->index, wt->tasks,
	    (long long)(now - wt->since_ms), wt->apart, held_by(c, s),
	    refusals);
}

void
wait_log(struct cell *c)
{
	int64_t now = c->ports.now();
	struct waiting wt;
	struct step *s;
	int n = 0;

	if (now - c->wait_log_ms < LOG_MS)
		return;
	c->wait_log_ms = now;
	TAILQ_FOREACH (s, &c->steps, link) {
		if (s->ready_ms == 0 || now - s->ready_ms < LOG_MS)
			continue;
		count_waiting(s, now, &wt);
		if (wt.tasks == 0 || now - wt.since_ms < LOG_MS)
			continue;
		log_step(c, s, &wt, now);
		if (++n == STEPS_MAX)
			return;
	}
}
