/* Preemption: stops long work when urgent work finds no room and would miss its
 * latency objective. */
#include "../coordination/preempt.h"
#include "../base/kvlog.h"
#include "cell_internal.h"

/** Time that urgent work waits for free room before it preempts. */
#define PREEMPT_WAIT_MS 80
/** Largest share of the cell's processors held by runs that are being stopped,
 * percent. */
#define STOPPING_MAX_PERCENT 15

static int64_t
stopping_cpu(const struct cell *c, int64_t *total)
{
	const struct runner *r;
	const struct run *run;
	int64_t sum = 0;

	*total = 0;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		*total += r->info.cpu;
		TAILQ_FOREACH (run, &r->runs, link)
			if (run->state == RUN_STOPPING)
				sum += run->cpu;
	}
	return sum;
}

/* Whether the step is urgent, has waited, and would still meet its objective if
 * a preempted run made room. */
static bool
may_preempt_for(const struct cell *c, const struct step *s, int64_t now)
{
	const struct job *j = s->occurrence->job;
	struct urgency u = step_urgency(s, now);

	return urgency_is_first(&u) && s->ready_ms != 0 && j->stored &&
	    !job_ended(j) && !s->spec->gang && s->near_until_ms <= now &&
	    now - s->ready_ms >= PREEMPT_WAIT_MS &&
	    !(c->adopting && j->inherited) &&
	    now + s->spec->estimate_ms + c->terms.stop_grace_ms / 2 < j->due_ms;
}

/* Stops runs on runners that the step may use until @p need is freed.
 * @return processors that become free, thousandths of a core. */
static int64_t
make_room(struct cell *c, struct step *s, int64_t need, int64_t now)
{
	struct runner *list[PREEMPT_RUNNERS_MAX];
	int i, n = step_granted_runners(c, s, list, PREEMPT_RUNNERS_MAX);
	int64_t freed = 0;
	struct run *run;

	for (i = 0; i < n && freed < need; i++) {
		run = preempt_pick(
		    list[i], s->spec, s->occurrence->job->priority, now);
		if (run == NULL)
			continue;
		freed += run->cpu;
		c->counters.preempted++;
		cell_stop(c, run, "preempted");
	}
	return freed;
}

void
cell_preempt(struct cell *c)
{
	int64_t now = c->ports.now(), total, need;
	int64_t stopping = -1, most = 0, wanted = 0;
	struct step *s;

	TAILQ_FOREACH (s, &c->steps, link) {
		if (s->occurrence->job->queue == NULL ||
		    !may_preempt_for(c, s, now))
			continue;
		if (stopping < 0) {
			stopping = stopping_cpu(c, &total);
			most = total * STOPPING_MAX_PERCENT / 100;
		}
		need = (int64_t)(s->spec->count - s->ndone - s->nheld) *
		    s->spec->cpu;
		wanted += need;
		if (wanted <= stopping || stopping >= most)
			continue;
		stopping += make_room(c, s, wanted - stopping, now);
	}
}
