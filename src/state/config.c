#include "config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../base/xalloc.h"

void
config_init(struct config *m)
{
	memset(m, 0, sizeof(*m));
}

void
config_done(struct config *m)
{
	free(m->queues);
	free(m->services);
	config_init(m);
}

/* The header may carry a port behind the name. */
static bool
host_matches(const char *host, const char *header)
{
	size_t n = strlen(host);

	return strncasecmp(host, header, n) == 0 &&
	    (header[n] == '\0' || header[n] == ':');
}

const struct queue *
config_route(const struct config *m, const char *host, const char *path)
{
	const struct queue *best = NULL;
	size_t best_len = 0;
	int i;

	for (i = 0; i < m->nqueues; i++) {
		const struct queue *q = &m->queues[i];
		size_t n = strlen(q->prefix);

		if (strncmp(path, q->prefix, n) != 0 ||
		    !host_matches(q->host, host))
			continue;
		if (best == NULL || n > best_len) {
			best = q;
			best_len = n;
		}
	}
	return best;
}

void
config_keep(struct config *m, const struct queue *q)
{
	m->queues =
	    xrealloc(m->queues, (size_t)(m->nqueues + 1) * sizeof(*m->queues));
	m->queues[m->nqueues++] = *q;
}

const struct queue *
config_queue(const struct config *m, const char *name)
{
	int i;

	for (i = 0; i < m->nqueues; i++)
		if (strcmp(m->queues[i].name, name) == 0)
			return &m->queues[i];
	return NULL;
}
