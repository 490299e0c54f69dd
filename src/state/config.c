#include "config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../base/xalloc.h"

void
config_init(struct config *c)
{
	memset(c, 0, sizeof(*c));
}

void
config_done(struct config *c)
{
	free(c->queues);
	free(c->services);
	config_init(c);
}

/* The Host header may have a port after the name. */
static bool
host_matches(const char *host, const char *header)
{
	size_t n = strlen(host);

	return strncasecmp(host, header, n) == 0 &&
	    (header[n] == '\0' || header[n] == ':');
}

const struct queue *
config_route(const struct config *c, const char *host, const char *path)
{
	const struct queue *best = NULL;
	size_t best_len = 0;
	int i;

	for (i = 0; i < c->nqueues; i++) {
		const struct queue *q = &c->queues[i];
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
config_add_queue(struct config *c, const struct queue *q)
{
	c->queues =
	    xrealloc(c->queues, (size_t)(c->nqueues + 1) * sizeof(*c->queues));
	c->queues[c->nqueues++] = *q;
}

const struct queue *
config_queue(const struct config *c, const char *name)
{
	int i;

	for (i = 0; i < c->nqueues; i++)
		if (strcmp(c->queues[i].name, name) == 0)
			return &c->queues[i];
	return NULL;
}
