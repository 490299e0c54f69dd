#include "cell_settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"
#include "yaml_doc.h"

#define S(field) offsetof(struct cell_settings, field)
#define PORT_MAX 65535
#define MINUTE_MS 60000
#define DAY_S 86400
#define MAX_HOLD_MIN_MS 1000
#define MEMORY_MIN_MB 16
/** The store is asked for the configuration several times within revoke_ms. */
#define REVOKE_MIN_MS 500
#define MAX_FDS_MIN 64
/** Holds the largest request that is served, and the growth of its buffer. */
#define CLIENT_MEMORY_MIN_KB 1024
/** Descriptors for the store, runners, peers, listeners and files. */
#define RESERVED_FDS 200
#define CALLER_CONNS_MAX 4096
#define MONITOR_CONNS_MAX 256

static const struct yaml_field fields[] = {
    {"host", YAML_NAME, S(host), 64, 0, 0, true, NULL, NULL},
    {"zone", YAML_NAME, S(zone), 64, 0, 0, true, NULL, NULL},
    {"addr", YAML_IP, S(addr), ADDR_LEN, 0, 0, true, NULL, NULL},
    {"callers", YAML_TEXT, S(callers), ADDR_LEN, 0, 0, true, NULL, NULL},
    {"readiness", YAML_TEXT, S(readiness), ADDR_LEN, 0, 0, true, NULL, NULL},
    {"store", YAML_TEXT, S(store), ADDR_LEN, 0, 0, true, NULL, NULL},
    {"advice", YAML_TEXT, S(advice), ADDR_LEN, 0, 0, false, NULL, NULL},
    {"key", YAML_TEXT, S(key), KEY_LEN, 0, 0, true, NULL, NULL},
    {"log_level", YAML_TEXT, S(log_level), 16, 0, 0, false, NULL, NULL},
    {"peer_port", YAML_INT, S(peer_port), 0, 1, PORT_MAX, true, NULL, NULL},
    {"metrics_port", YAML_INT, S(metrics_port), 0, 1, PORT_MAX, false, NULL,
	NULL},
    {"max_hold_ms", YAML_INT, S(max_hold_ms), 0, MAX_HOLD_MIN_MS, MINUTE_MS,
	false, NULL, NULL},
    {"stop_grace_ms", YAML_INT, S(stop_grace_ms), 0, 1, MINUTE_MS, false, NULL,
	NULL},
    {"status_s", YAML_INT, S(status_s), 0, 1, DAY_S, false, NULL, NULL},
    {"grace_s", YAML_INT, S(grace_s), 0, 1, 600, false, NULL, NULL},
    {"remote_factor", YAML_AMOUNT, S(remote_factor), 0, 0, 0, false, NULL,
	NULL},
    {"link_mbps", YAML_AMOUNT, S(link_mbps), 0, 0, 0, false, NULL, NULL},
    {"cores", YAML_AMOUNT, S(cores), 0, 0, 0, false, NULL, NULL},
    {"memory_mb", YAML_INT, S(memory_mb), 0, MEMORY_MIN_MB, INT32_MAX, false,
	NULL, NULL},
    {"max_fds", YAML_INT, S(max_fds), 0, MAX_FDS_MIN, INT32_MAX, false, NULL,
	NULL},
    {"client_memory_kb", YAML_INT, S(client_memory_kb), 0, CLIENT_MEMORY_MIN_KB,
	INT32_MAX, false, NULL, NULL},
    {"caller_conns", YAML_INT, S(caller_conns), 0, 1, INT32_MAX, false, NULL,
	NULL},
    {"monitor_conns", YAML_INT, S(monitor_conns), 0, 1, INT32_MAX, false, NULL,
	NULL},
    {"revoke_strict", YAML_BOOL, S(revoke_strict), 0, 0, 0, false, NULL, NULL},
    {"revoke_ms", YAML_INT, S(revoke_ms), 0, REVOKE_MIN_MS, DAY_S * 1000, false,
	NULL, NULL},
    {"quota_window_s", YAML_INT, S(quota_window_s), 0, 1, DAY_S, false, NULL,
	NULL},
    {"quota_excess", YAML_AMOUNT, S(quota_excess), 0, 0, 0, false, NULL, NULL},
    {NULL, YAML_TEXT, 0, 0, 0, 0, false, NULL, NULL},
};

static void
set_defaults(struct cell_settings *s)
{
	memset(s, 0, sizeof(*s));
	str_copy(s->log_level, "info", sizeof(s->log_level));
	s->max_hold_ms = 10000;
	s->stop_grace_ms = 400;
	s->status_s = 120;
	s->grace_s = 6;
	s->remote_factor = 1.0;
	s->cores = 1.0;
	s->link_mbps = 1000.0;
	s->memory_mb = 120;
	s->max_fds = 3075;
	s->revoke_ms = 5000;
	s->quota_window_s = 5;
}

static int64_t
clamp(int64_t value, int64_t min, int64_t max)
{
	return value < min ? min : value > max ? max : value;
}

/*
 * A sixth of the memory goes to clients, as the allocator keeps about as much
 * again beside it. Callers get half of the descriptors that aren't reserved and
 * monitoring a sixteenth; the rest is for runners, whose number a host can't
 * choose.
 */
static void
derive_limits(struct cell_settings *s)
{
	int64_t fds = clamp(s->max_fds - RESERVED_FDS, MAX_FDS_MIN, INT32_MAX);

	if (s->client_memory_kb == 0)
		s->client_memory_kb = clamp(
		    s->memory_mb * 1024 / 6, CLIENT_MEMORY_MIN_KB, INT32_MAX);
	if (s->caller_conns == 0)
		s->caller_conns = clamp(fds / 2, 16, CALLER_CONNS_MAX);
	if (s->monitor_conns == 0)
		s->monitor_conns = clamp(fds / 16, 4, MONITOR_CONNS_MAX);
}

static bool
is_endpoint(const char *text)
{
	const char *colon = strrchr(text, ':');
	char ip[ADDR_LEN];
	struct in_addr in;
	long port;
	char *end;

	if (colon == NULL)
		return false;
	str_copy(ip, text, (size_t)(colon - text) + 1);
	port = strtol(colon + 1, &end, 10);
	return *end == '\0' && port > 0 && port <= PORT_MAX &&
	    inet_pton(AF_INET, ip, &in) == 1;
}

static void
check_endpoint(struct yaml_doc *d, const char *name, const char *value)
{
	if (value[0] != '\0' && !is_endpoint(value))
		yaml_add_finding(d, yaml_doc_root(d), name,
		    "'%s' must have the form IP:PORT", value);
}

static void
check_combinations(struct yaml_doc *d, const struct cell_settings *s)
{
	check_endpoint(d, "callers", s->callers);
	check_endpoint(d, "readiness", s->readiness);
	check_endpoint(d, "store", s->store);
	check_endpoint(d, "advice", s->advice);
	settings_check_common(d, s->key, s->log_level);
}

void
cell_settings_parse(
    struct cell_settings *s, const char *text, size_t len, struct findings *fs)
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
		derive_limits(s);
	}
	yaml_doc_done(&d);
}
