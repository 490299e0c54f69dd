#include "apart.h"

#include <string.h>

/** Most of a service's runners that are kept at a time, percent. */
#define KEPT_MAX_PERCENT 25

void
apart_keep(const struct cell *c, struct run *run)
{
	const char *service = run->runner->info.service;
	int64_t now = c->ports.now();
	const struct runner *r;
	int n = 0, kept = 0;

	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (!runner_takes_work(r) ||
		    strcmp(r->info.service, service) != 0)
			continue;
		n++;
		kept += runner_is_apart(r, now);
	}
	if ((kept + 1) * 100 <= n * KEPT_MAX_PERCENT)
		run_keep_apart(run);
}

bool
apart_is_only_choice(struct cell *c, const struct step *s)
{
	struct runner *other;

	return step_granted_runners(c, s, &other, 1) == 0;
}

int
cell_runners_apart(const struct cell *c, int64_t *longest_ms)
{
	int64_t age, now = c->ports.now();
	const struct runner *r;
	const struct run *run;
	int n = 0;

	*longest_ms = 0;
	for (r = c->runners; r != NULL; r = r->hh.next) {
		if (!runner_takes_work(r) || !runner_is_apart(r, now))
			continue;
		n++;
		TAILQ_FOREACH (run, &r->runs, link) {
			age = run->apart ? now - run->ordered_ms : 0;
			*longest_ms = age > *longest_ms ? age : *longest_ms;
		}
	}
	return n;
}
