#include "classes.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "yaml_doc.h"

#define DAY_MS 86400000LL
#define DEFAULT_ANSWER_MS 30000
#define F(field) offsetof(struct class_conf, field)

static const char *const kinds[] = {"request", "task", NULL};

static const struct yaml_field class_fields[] = {
    {"kind", YAML_CHOICE, F(kind), 0, 0, 0, true, kinds, NULL},
    {"service", YAML_NAME, F(service), CLASS_NAME_LEN, 0, 0, false, NULL, NULL},
    {"start_within", YAML_DURATION, F(start_within_ms), 0, 1, DAY_MS, true,
	NULL, NULL},
    {"longest_wait", YAML_DURATION, F(longest_wait_ms), 0, 1, 30 * DAY_MS, true,
	NULL, NULL},
    {"share", YAML_PERCENT, F(share_pct), 0, 1, 100, true, NULL, NULL},
    {"answer_within", YAML_DURATION, F(answer_within_ms), 0, 1, DAY_MS, false,
	NULL, NULL},
    {"repeatable", YAML_BOOL, F(repeatable), 0, 0, 0, true, NULL, NULL},
    {"price_cpu_hour", YAML_AMOUNT, F(price_cpu_hour), 0, 0, 0, false, NULL,
	NULL},
    {"price_gib_hour", YAML_AMOUNT, F(price_gib_hour), 0, 0, 0, false, NULL,
	NULL},
    {"price_accelerator_hour", YAML_AMOUNT, F(price_accelerator_hour), 0, 0, 0,
	false, NULL, NULL},
    {"price_request", YAML_AMOUNT, F(price_request), 0, 0, 0, false, NULL,
	NULL},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

static const struct yaml_field team_fields[] = {
    {"quota_cpus", YAML_INT, offsetof(struct team_conf, quota_cpus), 0, 0,
	1000000, true, NULL, NULL},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

typedef void (*entry_fn)(struct yaml_doc *d, yaml_node_t *node,
    const char *path, const char *name, struct classes *c);

static void
check_class(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct class_conf *cl)
{
	if (cl->kind == CLASS_REQUEST && cl->service[0] == '\0')
		yaml_add_finding(
		    d, node, path, "a class of kind request needs a service");
	if (cl->longest_wait_ms < cl->start_within_ms)
		yaml_add_finding(d, node, path,
		    "longest_wait must not be shorter than start_within");
}

static void
read_class(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const char *name, struct classes *c)
{
	struct class_conf *cl;

	c->classes = xrealloc(
	    c->classes, (size_t)(c->nclasses + 1) * sizeof(*c->classes));
	cl = &c->classes[c->nclasses++];
	memset(cl, 0, sizeof(*cl));
	str_copy(cl->name, name, sizeof(cl->name));
	cl->kind = -1;
	cl->answer_within_ms = DEFAULT_ANSWER_MS;
	yaml_read_map(d, node, path, class_fields, cl);
	check_class(d, node, path, cl);
}

static void
read_team(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const char *name, struct classes *c)
{
	struct team_conf *t;

	c->teams =
	    xrealloc(c->teams, (size_t)(c->nteams + 1) * sizeof(*c->teams));
	t = &c->teams[c->nteams++];
	memset(t, 0, sizeof(*t));
	str_copy(t->name, name, sizeof(t->name));
	yaml_read_map(d, node, path, team_fields, t);
}

static void
read_entries(struct yaml_doc *d, yaml_node_t *node, const char *path, int max,
    struct classes *c, entry_fn fn)
{
	yaml_node_pair_t *pair;
	char sub[160];
	int n = 0;

	if (node->type != YAML_MAPPING_NODE) {
		yaml_add_finding(d, node, path, "must be a mapping of names");
		return;
	}
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *k = yaml_document_get_node(&d->doc, pair->key);
		const char *name = k->type == YAML_SCALAR_NODE
		    ? (const char *)k->data.scalar.value
		    : "";

		snprintf(sub, sizeof(sub), "%s.%.64s", path, name);
		if (*name == '\0' || strlen(name) >= CLASS_NAME_LEN ||
		    strspn(name,
			"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQ"
			"RSTUVWXYZ0123456789-_.") != strlen(name))
			yaml_add_finding(d, k, sub,
			    "is not a name of 1 to %d "
			    "letters, digits, '-', '_', '.'",
			    CLASS_NAME_LEN - 1);
		else if (++n > max)
			yaml_add_finding(
			    d, k, sub, "more than %d entries", max);
		else
			fn(d, yaml_document_get_node(&d->doc, pair->value), sub,
			    name, c);
	}
}

static void
read_classes(
    struct yaml_doc *d, yaml_node_t *node, const char *path, void *base)
{
	read_entries(d, node, path, CLASSES_MAX, base, read_class);
}

static void
read_teams(struct yaml_doc *d, yaml_node_t *node, const char *path, void *base)
{
	read_entries(d, node, path, TEAMS_MAX, base, read_team);
}

static const struct yaml_field root_fields[] = {
    {"classes", YAML_CUSTOM, 0, 0, 0, 0, true, NULL, read_classes},
    {"teams", YAML_CUSTOM, 0, 0, 0, 0, false, NULL, read_teams},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

static void
check_duplicates(struct findings *fs, const struct classes *c)
{
	int i, j;

	for (i = 0; i < c->nclasses; i++)
		for (j = 0; j < i; j++)
			if (strcmp(c->classes[i].name, c->classes[j].name) == 0)
				findings_add(fs, 0, 0, c->classes[i].name,
				    "the class stands twice");
}

void
classes_parse(
    struct classes *c, const char *text, size_t len, struct findings *fs)
{
	struct yaml_doc d;

	memset(c, 0, sizeof(*c));
	if (!yaml_doc_init(&d, text, len, fs))
		return;
	if (yaml_doc_root(&d) == NULL)
		findings_add(fs, 1, 1, "classes", "is missing");
	else
		yaml_read_map(&d, yaml_doc_root(&d), "", root_fields, c);
	yaml_doc_done(&d);
	check_duplicates(fs, c);
}

void
classes_done(struct classes *c)
{
	free(c->classes);
	free(c->teams);
	memset(c, 0, sizeof(*c));
}

const struct class_conf *
classes_find(const struct classes *c, const char *name)
{
	int i;

	for (i = 0; i < c->nclasses; i++)
		if (strcmp(c->classes[i].name, name) == 0)
			return &c->classes[i];
	return NULL;
}

const struct team_conf *
classes_team(const struct classes *c, const char *name)
{
	int i;

	for (i = 0; i < c->nteams; i++)
		if (strcmp(c->teams[i].name, name) == 0)
			return &c->teams[i];
	return NULL;
}
