/* Speculative copies (hedged runs): a late task of a step that allows it gets a
 * second run on another runner, and the first to end counts. */
#include <stdlib.h>

#include "../base/kvlog.h"
#include "cell_internal.h"

/** A run is late after LATE_FACTOR times its estimate plus LATE_MIN_MS:
 * estimates are off by half. */
#define LATE_FACTOR 2
#define LATE_MIN_MS 300

uint32_t
step_pending_starts(const struct step *s)
{
	return s->spec->count - s->ndone - s->nheld + s->ncopies;
}

/* Whether to request a copy: the task's run is late or its runner silent. */
static bool
needs_copy(const struct task *t, int64_t now)
{
	const struct run *run = t->run;
	int64_t late_after =
	    (int64_t)t->step->spec->estimate_ms * LATE_FACTOR + LATE_MIN_MS;

	if (run == NULL || t->done || t->copy != NULL || t->wants_copy ||
	    t->crashes.n + t->crashes.unsettled > 0)
		return false;
	return run->runner->silent_since_ms != 0 ||
	    now - run->ordered_ms > late_after;
}

static void
request_copies(struct cell *c, struct step *s, int64_t now)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (!needs_copy(&s->tasks[i], now))
			continue;
		s->tasks[i].wants_copy = true;
		s->ncopies++;
	}
	if (s->ncopies > 0)
		cell_list_step(c, s);
}

void
cell_request_copies(struct cell *c)
{
	int64_t now = c->ports.now();
	struct job *j;
	uint32_t i;
	size_t k;

	TAILQ_FOREACH (j, &c->live, live_link)
		for (i = 0; i < j->noccurrences; i++)
			for (k = 0; k < j->row->n_steps; k++) {
				struct step *s = &j->occurrences[i]->steps[k];

				if (s->spec->speculative && !s->spec->gang &&
				    s->nheld > 0)
					request_copies(c, s, now);
			}
}

static struct candidate *
pick_other(struct candidate *list, int n, const struct placing_want *w,
    const struct runner *excluded)
{
	struct candidate *best = NULL;
	int i;

	for (i = 0; i < n; i++) {
		if (list[i].runner == excluded ||
		    !placing_feasible(list[i].runner, w))
			continue;
		list[i].score = placing_score(list[i].runner, w);
		if (best == NULL || list[i].score < best->score)
			best = &list[i];
	}
	return best;
}

static void
start_copy(struct cell *c, struct task *t, struct candidate *d)
{
	if (cell_start(c, d->runner, t, cell_next_run(c, t), d->ticket, true))
		task_withdraw_copy_request(t);
}

void
cell_place_copies(struct cell *c, struct step *s, int64_t now)
{
	struct placing_want w = {.step = s,
	    .renewed_ms = c->renewed_ms,
	    .service = s->occurrence->job->queue->service,
	    .remote_factor = c->terms.remote_factor,
	    .urgent = s->occurrence->job->priority == 0,
	    .now_ms = now};
	struct candidate *list = cell_scratch(c), *d;
	int n = step_candidates(c, s, &w, list);
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		struct task *t = &s->tasks[i];

		if (!t->wants_copy)
			continue;
		if (t->done || t->run == NULL || t->copy != NULL) {
			task_withdraw_copy_request(t);
			continue;
		}
		d = pick_other(list, n, &w, t->run->runner);
		if (d != NULL)
			start_copy(c, t, d);
	}
}
