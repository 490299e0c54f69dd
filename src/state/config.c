#include "config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../base/xalloc.h"

struct config *
config_new(void)
{
	return xcalloc(1, sizeof(struct config));
}

static void
queue_done(struct queue *q)
{
	free(q->name);
	free(q->host);
	free(q->prefix);
	free(q->service);
}

void
config_delete(struct config *c)
{
	int i;

	if (c == NULL)
		return;
	for (i = 0; i < c->nqueues; i++)
		queue_done(&c->queues[i]);
	for (i = 0; i < c->nservices; i++)
		free(c->services[i].name);
	for (i = 0; i < c->nrefusals; i++)
		free(c->refusals[i].name);
	HASH_CLEAR(hh, c->accounts_by_name);
	for (i = 0; i < c->naccounts; i++) {
		free(c->accounts[i]->name);
		free(c->accounts[i]);
	}
	account_keys_delete(c->keys);
	free(c->accounts);
	free(c->queues);
	free(c->services);
	free(c->refusals);
	free(c);
}

static char *
copy_text(const char *s)
{
	return xstrdup(s != NULL ? s : "");
}

void
config_add_queue(struct config *c, const struct queue *q)
{
	struct queue *copy;

	c->queues =
	    xrealloc(c->queues, (size_t)(c->nqueues + 1) * sizeof(*c->queues));
	copy = &c->queues[c->nqueues++];
	*copy = *q;
	copy->name = copy_text(q->name);
	copy->host = copy_text(q->host);
	copy->prefix = copy_text(q->prefix);
	copy->service = copy_text(q->service);
}

void
config_add_service(struct config *c, const struct service *s)
{
	struct service *copy;

	c->services = xrealloc(
	    c->services, (size_t)(c->nservices + 1) * sizeof(*c->services));
	copy = &c->services[c->nservices++];
	*copy = *s;
	copy->name = copy_text(s->name);
}

int
config_add_account(struct config *c, const struct account_terms *t)
{
	struct account_terms *copy = xmalloc(sizeof(*copy));

	*copy = *t;
	copy->name = copy_text(t->name);
	c->accounts = xrealloc(
	    c->accounts, (size_t)(c->naccounts + 1) * sizeof(*c->accounts));
	c->accounts[c->naccounts] = copy;
	HASH_ADD_KEYPTR(
	    hh, c->accounts_by_name, copy->name, strlen(copy->name), copy);
	return c->naccounts++;
}

bool
config_add_key(struct config *c, const char *key, size_t len, int account)
{
	if (c->keys == NULL)
		c->keys = account_keys_new();
	return account_keys_add(c->keys, key, len, account);
}

const struct account_terms *
config_account(const struct config *c, const char *name)
{
	struct account_terms *t;

	HASH_FIND_STR(c->accounts_by_name, name, t);
	return t;
}

const struct account_terms *
config_key_account(const struct config *c, const char *key, size_t len)
{
	int i = ACCOUNT_KEY_UNKNOWN;

	if (c->keys != NULL)
		i = account_keys_find(c->keys, key, len);
	return i != ACCOUNT_KEY_UNKNOWN ? c->accounts[i] : NULL;
}

void
config_refuse(struct config *c, const char *name, const char *field)
{
	c->refusals = xrealloc(
	    c->refusals, (size_t)(c->nrefusals + 1) * sizeof(*c->refusals));
	c->refusals[c->nrefusals++] =
	    (struct config_refusal){.name = copy_text(name), .field = field};
}

struct config *
config_copy(const struct config *c)
{
	struct config *copy = config_new();
	int i;

	copy->version = c->version;
	copy->max_body_bytes = c->max_body_bytes;
	copy->max_header_bytes = c->max_header_bytes;
	copy->has_accounts = c->has_accounts;
	copy->accounts_refused = c->accounts_refused;
	if (c->keys != NULL)
		copy->keys = account_keys_copy(c->keys);
	for (i = 0; i < c->naccounts; i++)
		config_add_account(copy, c->accounts[i]);
	for (i = 0; i < c->nqueues; i++)
		config_add_queue(copy, &c->queues[i]);
	for (i = 0; i < c->nservices; i++)
		config_add_service(copy, &c->services[i]);
	for (i = 0; i < c->nrefusals; i++)
		config_refuse(copy, c->refusals[i].name, c->refusals[i].field);
	return copy;
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

const struct queue *
config_queue(const struct config *c, const char *name)
{
	int i;

	for (i = 0; i < c->nqueues; i++)
		if (!c->queues[i].refused &&
		    strcmp(c->queues[i].name, name) == 0)
			return &c->queues[i];
	return NULL;
}

bool
config_queue_refused(const struct config *c, const char *name)
{
	int i;

	for (i = 0; i < c->nqueues; i++)
		if (c->queues[i].refused &&
		    strcmp(c->queues[i].name, name) == 0)
			return true;
	return false;
}
