/**
 * @file Stand-in for the platform of a cell: store, runners and the
 * advice service.
 *
 * It speaks the platform's published formats over HTTP on loopback. A control
 * port switches faults on and reports every violated guarantee that was seen.
 */
#ifndef CELL_STANDIN_H
#define CELL_STANDIN_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "held.h"

enum fault_mode {
	FAULT_NONE,
	FAULT_BUSY,   /**< the call is refused with 503 and not applied */
	FAULT_RESET,  /**< the connection is closed, the call not applied */
	FAULT_SILENT, /**< the call gets no answer and is not applied */
	FAULT_LOST,   /**< some calls are applied but not answered */
	FAULT_SLOW,   /**< answers are delayed */
	FAULT_LATE,   /**< watches show a write before it is answered */
	/** The call is served when the fault ends, if its connection is still
	 * open then. */
	FAULT_HELD,
	/** As FAULT_HELD; orders to runners are carried out then even if their
	 * connection has closed. */
	FAULT_HELD_ALL,
	/** Runners carry calls out and don't answer; the store does nothing. */
	FAULT_UNANSWERED,
};

/** Callers of a zone reach store and runners at the zone's own address, so that
 * paths can be cut between one zone and one runner. The first address is for
 * callers of any zone. */
#define VIEWS 4
/** Address of the view: 127.0.0.1, 127.0.0.201 and so on. */
const char *view_addr(int view);

struct store_sim;
struct runner_sim;

/** Counts for the report, updated by all parts of the stand-in. */
struct record {
	int broken;    /**< violated guarantees */
	json_t *texts; /**< the first violations, as text */
	int starts;    /**< runs started */
	int done;      /**< runs ended as done */
	int crashes;   /**< of runners under a task */
	/** Starts of tasks that had ended as done, also where the lease lapsed
	 * before that end was acknowledged. */
	int repeats;
};

/** Counts and prints a violation @p what, seen at the task @p name. */
void record_broken(struct record *r, const char *what, const char *name);

/** Query parameter as text; NULL when absent. */
const char *query_get(struct evkeyvalq *q, const char *name);
json_t *request_json(struct evhttp_request *req);
void reply_json(struct evhttp_request *req, int status, json_t *body);
/** Ends a request without an answer by closing its connection. */
void reply_reset(struct evhttp_request *req);
int64_t now_ms(void);
/** Sets the bytes a second that the connections of @p g write together.
 * @param g NULL: creates the group; @return the group */
struct bufferevent_rate_limit_group *rate_limit_set(struct event_base *base,
    struct bufferevent_rate_limit_group *g, int bytes_per_s);
enum fault_mode fault_mode_of(const char *name);

struct store_sim *store_sim_new(struct event_base *base, uint16_t port);

/** What a stand-in with zones does for the store (zones.h, held.h). */
struct store_zones {
	int nhosts; /**< whose addresses in rows are mapped for other zones */
	/** As link_sim_map_row. */
	void (*map_row)(int nhosts, int view, char *plain, size_t len);
	/** As held_add and held_serve. */
	void (*hold)(struct held_list *list, struct evhttp_request *req,
	    held_fn fn, held_late_fn late, void *arg);
	void (*serve_held)(struct held_list *list);
};
/** Without it, calls on paths that hold back are forgotten. */
void store_sim_set_zones(struct store_sim *s, const struct store_zones *z);
void store_sim_fault(struct store_sim *s, enum fault_mode mode);
/** As store_sim_fault, for the callers of one view. */
void store_sim_view_fault(struct store_sim *s, int view, enum fault_mode mode);
/** Limits the bytes a second of all answers to the callers of one view. */
void store_sim_view_rate(struct store_sim *s, int view, int bytes_per_s);
/** Drops the history of changes, so that watchers must read all rows again. */
void store_sim_compact(struct store_sim *s);
/** Writes a row without conditions, as the operator or a runner does. */
void store_sim_put(
    struct store_sim *s, const char *table, const char *key, json_t *value);
void store_sim_remove(struct store_sim *s, const char *table, const char *key);

struct runner_sim *runner_sim_new(struct event_base *base,
    struct store_sim *store, struct record *rec, int index, uint16_t port);
void runner_sim_fault(struct runner_sim *r, enum fault_mode mode);
/** As runner_sim_fault, for the callers of one view. */
void runner_sim_view_fault(
    struct runner_sim *r, int view, enum fault_mode mode);
/** Whether the runner is cut off from the store: its entry is removed after
 * some silent heartbeats, and is back within two seconds after the cut. */
void runner_sim_cut_store(struct runner_sim *r, bool cut);
/** Sets the rate of the runner's clock, percent of real time. */
void runner_sim_clock_rate(struct runner_sim *r, int pct);
/** Sends each answer @p ms later. */
void runner_sim_delay(struct runner_sim *r, int ms);
/** Sets the runner's capacity, thousandths of a core. */
void runner_sim_resize(struct runner_sim *r, int cpu);
/** Sets how long the runner is down after a crash under a task. */
void runner_sim_crash_down(struct runner_sim *r, int64_t ms);
/** Ends the runner's process; after @p down_ms a new incarnation starts. */
void runner_sim_crash(struct runner_sim *r, int64_t down_ms);
/** Reports the runner as draining and removes its row after a grace period. */
void runner_sim_drain(struct runner_sim *r);

void advice_sim_new(struct event_base *base, uint16_t port);

/**
 * A job as its spec text describes it: one COUNTxCPUxMS[!][~][>AFTER] for
 * each step, separated by commas. AFTER is the index of the step that must end
 * first. With "!" the step's first task crashes each runner that starts it; "~"
 * marks a step whose tasks may run twice at a time.
 */
struct job_sim;
/** The job of this id; created from @p spec when it is not known yet. */
struct job_sim *job_sim_get(const char *id, const char *spec);
/** Whether a start of the job ever passed a runner's fence and lease checks. */
bool job_sim_known(const char *id);

#endif
