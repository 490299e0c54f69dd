#include "settings.h"

#include <stddef.h>
#include <string.h>

#include "../base/kvlog.h"
#include "../base/xalloc.h"
#include "yaml_doc.h"

#define S(field) offsetof(struct settings, field)
#define PORT_MAX 65535
#define HOUR_MS 3600000
#define KEY_MIN_CHARS 16

static void read_endpoint(
    struct yaml_doc *d, yaml_node_t *n, const char *path, struct endpoint *e);

static void
read_table(struct yaml_doc *d, yaml_node_t *n, const char *path, void *base)
{
	read_endpoint(d, n, path, &((struct settings *)base)->table);
}

static void
read_objects(struct yaml_doc *d, yaml_node_t *n, const char *path, void *base)
{
	read_endpoint(d, n, path, &((struct settings *)base)->objects);
}

static void
read_hostlist(struct yaml_doc *d, yaml_node_t *n, const char *path, void *base)
{
	read_endpoint(d, n, path, &((struct settings *)base)->hostlist);
}

static void
read_seeds(struct yaml_doc *d, yaml_node_t *n, const char *path, void *base)
{
	struct settings *s = base;
	yaml_node_item_t *it;

	if (n->type != YAML_SEQUENCE_NODE) {
		yaml_add_finding(d, n, path, "must be a list");
		return;
	}
	for (it = n->data.sequence.items.start; it < n->data.sequence.items.top;
	     it++) {
		if (s->nseeds == SEEDS_MAX) {
			yaml_add_finding(
			    d, n, path, "more than %d entries", SEEDS_MAX);
			return;
		}
		read_endpoint(d, yaml_document_get_node(&d->doc, *it), path,
		    &s->seeds[s->nseeds++]);
	}
}

static const struct yaml_field endpoint_fields[] = {
    {"addr", YAML_IP, offsetof(struct endpoint, addr), ADDR_LEN, 0, 0, true,
	NULL, NULL},
    {"port", YAML_INT, offsetof(struct endpoint, port), 0, 1, PORT_MAX, true,
	NULL, NULL},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

static const struct yaml_field fields[] = {
    {"host", YAML_NAME, S(host), 64, 0, 0, true, NULL, NULL},
    {"zone", YAML_NAME, S(zone), 64, 0, 0, true, NULL, NULL},
    {"addr", YAML_IP, S(addr), ADDR_LEN, 0, 0, true, NULL, NULL},
    {"caller_port", YAML_INT, S(caller_port), 0, 1, PORT_MAX, true, NULL, NULL},
    {"operator_port", YAML_INT, S(operator_port), 0, 1, PORT_MAX, true, NULL,
	NULL},
    {"peer_port", YAML_INT, S(peer_port), 0, 1, PORT_MAX, true, NULL, NULL},
    {"table", YAML_CUSTOM, 0, 0, 0, 0, true, NULL, read_table},
    {"objects", YAML_CUSTOM, 0, 0, 0, 0, true, NULL, read_objects},
    {"hostlist", YAML_CUSTOM, 0, 0, 0, 0, true, NULL, read_hostlist},
    {"seeds", YAML_CUSTOM, 0, 0, 0, 0, false, NULL, read_seeds},
    {"key", YAML_TEXT, S(key), KEY_LEN, 0, 0, true, NULL, NULL},
    {"log_level", YAML_TEXT, S(log_level), 16, 0, 0, false, NULL, NULL},
    {"shards", YAML_INT, S(shards), 0, 1, 256, false, NULL, NULL},
    {"lease_hold", YAML_DURATION, S(lease_hold_ms), 0, 200, HOUR_MS, false,
	NULL, NULL},
    {"lease_take", YAML_DURATION, S(lease_take_ms), 0, 200, HOUR_MS, false,
	NULL, NULL},
    {"lease_renew", YAML_DURATION, S(lease_renew_ms), 0, 50, HOUR_MS, false,
	NULL, NULL},
    {"start_guard", YAML_DURATION, S(start_guard_ms), 0, 10, HOUR_MS, false,
	NULL, NULL},
    {"worker_lease", YAML_DURATION, S(worker_lease_ms), 0, 500, HOUR_MS, false,
	NULL, NULL},
    {"worker_watch", YAML_DURATION, S(worker_watch_ms), 0, 100, HOUR_MS, false,
	NULL, NULL},
    {"hostlist_poll", YAML_DURATION, S(hostlist_ms), 0, 100, HOUR_MS, false,
	NULL, NULL},
    {"commit_every", YAML_DURATION, S(commit_ms), 0, 1, 1000, false, NULL,
	NULL},
    {"body_max", YAML_INT, S(body_max), 0, 1024, 64 << 20, false, NULL, NULL},
    {"runner_slots", YAML_INT, S(runner_slots), 0, 1, 1024, false, NULL, NULL},
    {"snapshot_batches", YAML_INT, S(snapshot_batches), 0, 10, 100000, false,
	NULL, NULL},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

static void
read_endpoint(
    struct yaml_doc *d, yaml_node_t *n, const char *path, struct endpoint *e)
{
	yaml_read_map(d, n, path, endpoint_fields, e);
}

static void
set_defaults(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	str_copy(s->log_level, "info", sizeof(s->log_level));
	s->shards = 16;
	s->lease_hold_ms = 5000;
	s->lease_take_ms = 6500;
	s->lease_renew_ms = 1500;
	s->start_guard_ms = 500;
	s->worker_lease_ms = 30000;
	s->worker_watch_ms = 10000;
	s->hostlist_ms = 2000;
	s->commit_ms = 60;
	s->body_max = 1 << 20;
	s->runner_slots = 8;
	s->snapshot_batches = 500;
}

void
settings_check_common(
    struct yaml_doc *d, const char *key, const char *log_level)
{
	yaml_node_t *root = yaml_doc_root(d);

	if (key[0] != '\0' && strlen(key) < KEY_MIN_CHARS)
		yaml_add_finding(d, root, "key", "needs at least %d characters",
		    KEY_MIN_CHARS);
	if (kvlog_level_of(log_level) < 0)
		yaml_add_finding(d, root, "log_level",
		    "'%s' is unknown, allowed are "
		    "error, warn, info, debug",
		    log_level);
}

static void
check_combinations(struct yaml_doc *d, const struct settings *s)
{
	yaml_node_t *root = yaml_doc_root(d);

	if (s->lease_take_ms * 10 < s->lease_hold_ms * 11)
		yaml_add_finding(d, root, "lease_take",
		    "must exceed lease_hold by at least a tenth");
	if (s->lease_renew_ms * 2 > s->lease_hold_ms)
		yaml_add_finding(d, root, "lease_renew",
		    "must be at most half of lease_hold");
	if (s->start_guard_ms * 2 > s->lease_hold_ms)
		yaml_add_finding(d, root, "start_guard",
		    "must be at most half of lease_hold");
	if (s->worker_watch_ms * 2 > s->worker_lease_ms)
		yaml_add_finding(d, root, "worker_watch",
		    "must be at most half of worker_lease");
	settings_check_common(d, s->key, s->log_level);
	if (s->caller_port != 0 &&
	    (s->caller_port == s->operator_port ||
		s->caller_port == s->peer_port ||
		s->operator_port == s->peer_port))
		yaml_add_finding(
		    d, root, "caller_port", "the three ports must differ");
}

void
settings_parse(
    struct settings *s, const char *text, size_t len, struct findings *fs)
{
	struct yaml_doc d;

	set_defaults(s);
	if (!yaml_doc_init(&d, text, len, fs))
		return;
	if (yaml_doc_root(&d) == NULL) {
		findings_add(fs, 1, 1, "host", "the file is empty");
	} else {
		yaml_read_map(&d, yaml_doc_root(&d), "", fields, s);
		check_combinations(&d, s);
	}
	yaml_doc_done(&d);
}

struct lease_terms
settings_lease_terms(const struct settings *s)
{
	return (struct lease_terms){
	    .hold_ms = s->lease_hold_ms,
	    .take_ms = s->lease_take_ms,
	    .renew_ms = s->lease_renew_ms,
	};
}
