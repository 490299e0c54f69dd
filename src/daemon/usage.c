#include "usage.h"

#include <stdio.h>
#include <stdlib.h>

#include "../base/xalloc.h"
#include "../sys/clock.h"
#include "node.h"

/** Maximum age of a host's usage report; one comes every 5 seconds. */
#define USAGE_FRESH_MS 15000

void
usage_done(struct usage *u)
{
	struct usage_row *r, *tmp;

	HASH_ITER(hh, u->rows, r, tmp)
	{
		HASH_DEL(u->rows, r);
		free(r);
	}
}

static void
add_cpus(struct usage *u, const char *kind, const char *name, uint32_t cpus)
{
	struct usage_row *r;
	char key[80];

	if (*name == '\0')
		return;
	snprintf(key, sizeof(key), "%s/%s", kind, name);
	HASH_FIND_STR(u->rows, key, r);
	if (r == NULL) {
		r = xcalloc(1, sizeof(*r));
		str_copy(r->key, key, sizeof(r->key));
		HASH_ADD_STR(u->rows, key, r);
	}
	r->cpus += cpus;
}

void
usage_add(struct usage *u, const struct entry *e)
{
	uint32_t i, cpus = 0;

	for (i = 0; i < e->count; i++)
		if (e->members[i].state == MEMBER_SITED ||
		    e->members[i].state == MEMBER_RUNNING)
			cpus += e->size.cpus;
	if (cpus == 0)
		return;
	add_cpus(u, "class", e->class_name, cpus);
	add_cpus(u, "team", e->team, cpus);
}

void
usage_recount(struct usage *u, struct node *n)
{
	struct usage_row *r;
	struct entry *e;
	int i;

	for (r = u->rows; r != NULL; r = r->hh.next)
		r->cpus = 0;
	for (i = 0; i < n->nshards; i++) {
		if (n->shards[i].state != SHARD_OWNED)
			continue;
		for (e = n->shards[i].ledger.entries; e != NULL; e = e->hh.next)
			if (e->state != ENTRY_ENDED)
				usage_add(u, e);
	}
}

uint32_t
usage_total(struct usage *u, struct node *n, const char *kind, const char *name)
{
	struct usage_row *r;
	char key[80];
	uint32_t sum = 0;
	int64_t now = clock_boot_ms();
	int i, j;

	snprintf(key, sizeof(key), "%s/%s", kind, name);
	HASH_FIND_STR(u->rows, key, r);
	if (r != NULL)
		sum = r->cpus;
	for (i = 0; i < n->nhosts; i++) {
		if (now - n->hosts[i].usage_ms > USAGE_FRESH_MS)
			continue;
		for (j = 0; j < n->hosts[i].nusage; j++)
			if (strcmp(n->hosts[i].usage[j].key, key) == 0)
				sum += n->hosts[i].usage[j].cpus;
	}
	return sum;
}

void
usage_fill_beat(const struct usage *u, Cc__Beat *b)
{
	const struct usage_row *r;
	Cc__ClassLoad *c;

	b->classes = xcalloc(HASH_COUNT(u->rows), sizeof(*b->classes));
	for (r = u->rows; r != NULL; r = r->hh.next) {
		if (r->cpus == 0)
			continue;
		c = xcalloc(1, sizeof(*c));
		cc__class_load__init(c);
		c->class_name = (char *)r->key;
		c->cpus = r->cpus;
		b->classes[b->n_classes++] = c;
	}
}

void
usage_free_beat(Cc__Beat *b)
{
	size_t i;

	for (i = 0; i < b->n_classes; i++)
		free(b->classes[i]);
	free(b->classes);
	b->classes = NULL;
	b->n_classes = 0;
}
