/*
 * Usage: cellstandin PORT RUNNERS [RECORD [HOSTS]]
 * Serves the store on PORT, advice on PORT+1, control (faults and report) on
 * PORT+2 and the runners from PORT+10 on. The events at the runners are
 * appended to the file RECORD. Between HOSTS hosts of three zones it serves the
 * paths to their peer port, PORT+102.
 *
 * Faults of zones: cut=ZONE cuts a zone off from the store and from the hosts
 * of other zones; runners=own (default) also from the runners of other zones,
 * and its runners from other hosts; runners=all from no runner; runners=none
 * from all. held=1 serves calls after the cut if their connection is open then,
 * held=2 orders to runners even if it isn't; held=3 has runners carry them out
 * at once and drops the answers; held=0 (default) drops them. cut=none ends all
 * cuts. clock=PERCENT sets the clock rate of runner=N, or of all.
 *
 * config=N puts the next version of the configuration, with N queues that
 * nobody uses.
 *
 * Rates: rate=BYTES&view=N limits the store's answers to the callers of a view,
 * rate=BYTES without a view each path between hosts, to that many a second.
 *
 * Faults of runners: runner=N is one of them, runner=K/M each whose number
 * leaves K when divided by M. mode=silent&view=all cuts them off from all
 * hosts, mode=ok&view=all ends it. registry=cut cuts them off from the store,
 * which removes their entries after some silent heartbeats; registry=ok ends
 * it. mode=crash&down=MS ends their process for that time; crash_down=MS sets
 * the time for later crashes under a task.
 */
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../src/base/xalloc.h"
#include "events.h"
#include "held.h"
#include "standin.h"
#include "zones.h"

#define RUNNERS_MAX 64
#define PEER_PORT 102 /* offset of the hosts' peer port */
#define TEXTS_MAX 20  /* violations kept as text */

static const struct {
	const char *name;
	enum fault_mode mode;
} modes[] = {
    {"ok", FAULT_NONE},
    {"busy", FAULT_BUSY},
    {"reset", FAULT_RESET},
    {"silent", FAULT_SILENT},
    {"lost", FAULT_LOST},
    {"slow", FAULT_SLOW},
    {"late", FAULT_LATE},
    {"held", FAULT_HELD},
    {"held-all", FAULT_HELD_ALL},
    {"unanswered", FAULT_UNANSWERED},
};

struct standin {
	struct store_sim *store;
	struct runner_sim *runners[RUNNERS_MAX];
	int nrunners;
	struct link_sim *links; /**< NULL: hosts reach each other directly */
	struct record record;
	int version; /**< next version of the configuration */
};

int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

enum fault_mode
fault_mode_of(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++)
		if (strcmp(modes[i].name, name) == 0)
			return modes[i].mode;
	return FAULT_NONE;
}

void
record_broken(struct record *r, const char *what, const char *name)
{
	r->broken++;
	fprintf(stderr, "BROKEN %s %s\n", what, name);
	if (json_array_size(r->texts) < TEXTS_MAX)
		json_array_append_new(
		    r->texts, json_sprintf("%s %s", what, name));
}

const char *
query_get(struct evkeyvalq *q, const char *name)
{
	return evhttp_find_header(q, name);
}

json_t *
request_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

void
reply_json(struct evhttp_request *req, int status, json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(body, JSON_COMPACT);

	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

void
reply_reset(struct evhttp_request *req)
{
	struct evhttp_connection *c = evhttp_request_get_connection(req);

	if (c != NULL)
		evhttp_connection_free(c);
}

/* Queues that only make the configuration larger. */
static void
add_queues(json_t *routes, int n)
{
	char name[32], prefix[32];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "more%d", i);
		snprintf(prefix, sizeof(prefix), "/more%d/", i);
		json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name",
			name, "host", "cell.example", "prefix", prefix,
			"timeout_ms", 3000, "target_latency_ms", 1200,
			"priority", 2, "service", "work", "max_attempts", 3,
			"stretch", 2.2));
	}
}

/* @param more queues beside the two that callers use */
static void
put_config(struct standin *s, int more)
{
	json_t *advice = json_pack("{s:f,s:f,s:i}", "decision_ms", 5.0,
	    "period_ms", 0.1, "validity_ms", 2500);
	json_t *routes = json_pack("[{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:o},"
				   "{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}]",
	    "name", "urgent", "host", "cell.example", "prefix", "/urgent/",
	    "timeout_ms", 3000, "target_latency_ms", 250, "priority", 0,
	    "service", "work", "max_attempts", 3, "stretch", 1.5, "advice",
	    advice, "name", "batch", "host", "cell.example", "prefix",
	    "/batch/", "timeout_ms", 3000, "target_latency_ms", 1200,
	    "priority", 2, "service", "work", "max_attempts", 3, "stretch",
	    2.2);

	add_queues(routes, more);
	store_sim_put(s->store, "op", "config",
	    json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{s:i}}", "version", s->version,
		"routes", routes, "services", "name", "work", "admission_check",
		0, "limits", "max_body_bytes", 262144));
	s->version += 2;
}

/* Whether a fault for the runners @p which, "N" or "K/M", is for this one. */
static bool
selects(const char *which, int index)
{
	int rest, every;

	if (sscanf(which, "%d/%d", &rest, &every) == 2 && every > 0)
		return index % every == rest;
	return atoi(which) == index;
}

static void
set_runner_mode(struct runner_sim *r, struct evkeyvalq *q, const char *mode)
{
	const char *down = query_get(q, "down");
	const char *view = query_get(q, "view");
	int v;

	if (strcmp(mode, "crash") == 0)
		runner_sim_crash(r, down != NULL ? atoi(down) : 1000);
	else if (strcmp(mode, "drain") == 0)
		runner_sim_drain(r);
	else if (view == NULL)
		runner_sim_fault(r, fault_mode_of(mode));
	else if (strcmp(view, "all") != 0)
		runner_sim_view_fault(
		    r, atoi(view) % VIEWS, fault_mode_of(mode));
	else
		for (v = 0; v < VIEWS; v++)
			runner_sim_view_fault(r, v, fault_mode_of(mode));
}

static void
fault_runner(struct runner_sim *r, struct evkeyvalq *q)
{
	const char *v;

	if ((v = query_get(q, "cpu")) != NULL)
		runner_sim_resize(r, atoi(v));
	if ((v = query_get(q, "delay")) != NULL)
		runner_sim_delay(r, atoi(v));
	if ((v = query_get(q, "crash_down")) != NULL)
		runner_sim_crash_down(r, atoi(v));
	if ((v = query_get(q, "registry")) != NULL)
		runner_sim_cut_store(r, strcmp(v, "cut") == 0);
	if ((v = query_get(q, "mode")) != NULL)
		set_runner_mode(r, q, v);
}

static void
set_runner_fault(struct standin *s, struct evkeyvalq *q)
{
	const char *which = query_get(q, "runner");
	int i;

	for (i = 0; which != NULL && i < s->nrunners; i++)
		if (selects(which, i))
			fault_runner(s->runners[i], q);
}

static void
set_clock_rate(struct standin *s, struct evkeyvalq *q)
{
	const char *which = query_get(q, "runner");
	const char *pct = query_get(q, "clock");
	int i;

	for (i = 0; pct != NULL && i < s->nrunners; i++)
		if (which == NULL || selects(which, i))
			runner_sim_clock_rate(s->runners[i], atoi(pct));
}

static enum zone_reach
reach_of(const char *name)
{
	if (name != NULL && strcmp(name, "all") == 0)
		return REACH_ALL;
	if (name != NULL && strcmp(name, "none") == 0)
		return REACH_NONE;
	return REACH_OWN;
}

static void
set_zone_cut(struct standin *s, struct evkeyvalq *q)
{
	static const enum fault_mode held_modes[] = {
	    FAULT_SILENT, FAULT_HELD, FAULT_HELD_ALL, FAULT_UNANSWERED};
	const char *zone = query_get(q, "cut");
	const char *held = query_get(q, "held");
	struct zone_cut cut;

	if (zone == NULL)
		return;
	zones_heal(s->store, s->runners, s->nrunners, s->links);
	if (strcmp(zone, "none") == 0)
		return;
	cut.zone = atoi(zone) % ZONES;
	cut.reach = reach_of(query_get(q, "runners"));
	cut.mode = held_modes[held != NULL ? atoi(held) % 4 : 0];
	zones_cut(s->store, s->runners, s->nrunners, s->links, &cut);
}

static void
set_rate(struct standin *s, struct evkeyvalq *q)
{
	const char *rate = query_get(q, "rate"), *view = query_get(q, "view");

	if (rate != NULL && view != NULL)
		store_sim_view_rate(s->store, atoi(view) % VIEWS, atoi(rate));
	else if (rate != NULL && s->links != NULL)
		link_sim_rate(s->links, atoi(rate));
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
	struct standin *s = arg;
	struct evkeyvalq q;
	const char *v, *view;

	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	view = query_get(&q, "view");
	if ((v = query_get(&q, "store")) != NULL) {
		if (view != NULL)
			store_sim_view_fault(
			    s->store, atoi(view) % VIEWS, fault_mode_of(v));
		else if (strcmp(v, "compact") == 0)
			store_sim_compact(s->store);
		else
			store_sim_fault(s->store, fault_mode_of(v));
	}
	if ((v = query_get(&q, "config")) != NULL)
		put_config(s, atoi(v));
	set_runner_fault(s, &q);
	set_clock_rate(s, &q);
	set_zone_cut(s, &q);
	set_rate(s, &q);
	evhttp_clear_headers(&q);
	reply_json(req, 200, json_object());
}

static void
on_report(struct evhttp_request *req, void *arg)
{
	struct standin *s = arg;

	reply_json(req, 200,
	    json_pack("{s:i,s:i,s:i,s:i,s:i,s:O}", "broken", s->record.broken,
		"starts", s->record.starts, "done", s->record.done, "crashes",
		s->record.crashes, "repeats", s->record.repeats, "texts",
		s->record.texts));
}

/* Answers 200 when the job is known to job_sim_known, else 404. */
static void
on_ran(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq q;
	const char *id;
	bool ran;

	(void)arg;
	evhttp_parse_query_str(
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	id = query_get(&q, "id");
	ran = id != NULL && job_sim_known(id);
	evhttp_clear_headers(&q);
	reply_json(req, ran ? 200 : 404, json_object());
}

int
main(int argc, char **argv)
{
	struct event_base *base = event_base_new();
	struct standin s = {.version = 3};
	struct evhttp *http;
	int port, i, nhosts;

	if (argc < 3 || argc > 5) {
		fprintf(stderr,
		    "usage: cellstandin PORT RUNNERS [RECORD [HOSTS]]\n");
		return 1;
	}
	if (argc > 3 && !events_open(argv[3])) {
		fprintf(stderr, "cellstandin: can't write %s\n", argv[3]);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	port = atoi(argv[1]);
	s.nrunners = atoi(argv[2]);
	nhosts = argc > 4 ? atoi(argv[4]) : 0;
	s.record.texts = json_array();
	s.store = store_sim_new(base, (uint16_t)port);
	if (s.store != NULL)
		store_sim_set_zones(s.store,
		    &(struct store_zones){.nhosts = nhosts,
			.map_row = link_sim_map_row,
			.hold = held_add,
			.serve_held = held_serve});
	if (nhosts > 0)
		s.links =
		    link_sim_new(base, nhosts, (uint16_t)(port + PEER_PORT));
	advice_sim_new(base, (uint16_t)(port + 1));
	for (i = 0; i < s.nrunners && i < RUNNERS_MAX; i++)
		s.runners[i] = runner_sim_new(
		    base, s.store, &s.record, i, (uint16_t)(port + 10 + i));
	http = evhttp_new(base);
	evhttp_set_cb(http, "/fault", on_fault, &s);
	evhttp_set_cb(http, "/report", on_report, &s);
	evhttp_set_cb(http, "/ran", on_ran, &s);
	if (s.store == NULL || (nhosts > 0 && s.links == NULL) ||
	    evhttp_bind_socket(http, "127.0.0.1", (uint16_t)(port + 2)) != 0) {
		fprintf(stderr, "cellstandin: port %d is taken\n", port);
		return 1;
	}
	put_config(&s, 0);
	event_base_dispatch(base);
	return 0;
}
