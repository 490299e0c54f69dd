#include "queue_terms.h"

#include "../base/xalloc.h"

Cc__QueueTerms *
queue_terms_pack(const struct queue *q)
{
	Cc__QueueTerms *t = xcalloc(1, sizeof(*t));

	cc__queue_terms__init(t);
	t->service = xstrdup(q->service);
	t->target_latency_ms = q->target_latency_ms;
	t->priority = q->priority;
	t->max_attempts = q->max_attempts;
	t->stretch = q->stretch;
	t->advice_needed = q->advice.needed;
	t->advice_decision_ms = q->advice.decision_ms;
	t->advice_runner_ms = q->advice.runner_ms;
	t->advice_validity_ms = q->advice.validity_ms;
	return t;
}

void
queue_terms_add(struct config *c, const char *name, const Cc__QueueTerms *t)
{
	struct queue q = {
	    .name = (char *)(uintptr_t)name,
	    .service = t->service,
	    .target_latency_ms = t->target_latency_ms,
	    .priority = t->priority,
	    .max_attempts = t->max_attempts,
	    .stretch = t->stretch,
	    .advice = {.needed = t->advice_needed,
		.decision_ms = t->advice_decision_ms,
		.runner_ms = t->advice_runner_ms,
		.validity_ms = t->advice_validity_ms},
	};

	config_add_queue(c, &q);
}
