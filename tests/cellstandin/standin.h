/**
 * @file Stand-in for the platform of a cell: store, runners, advice.
 *
 * Speaks the platform's published formats over HTTP on loopback, has faults
 * that its own port switches on, and notes every broken promise it sees.
 */
#ifndef CELL_STANDIN_H
#define CELL_STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum fault_mode {
	FAULT_NONE,
	FAULT_BUSY,   /**< 503, nothing done */
	FAULT_RESET,  /**< the connection is closed, nothing done */
	FAULT_SILENT, /**< no answer, nothing done */
	FAULT_LOST,   /**< some calls are done and not answered */
	FAULT_SLOW,   /**< answers come late */
	FAULT_LATE,   /**< answers to writes come after watches tell of them */
};

struct store_sim;
struct runner_sim;

/** What was seen; filled by all parts. */
struct record {
	int broken;
	json_t *texts; /**< of the first broken promises */
	int starts;
	int done;
};

void record_broken(struct record *r, const char *what, const char *name);

/** Parameter of a query as text; NULL when absent. */
const char *query_get(struct evkeyvalq *q, const char *name);
json_t *request_json(struct evhttp_request *req);
void reply_json(struct evhttp_request *req, int status, json_t *body);
/** Ends a request without an answer, by a reset or by silence. */
void reply_reset(struct evhttp_request *req);
int64_t now_ms(void);
enum fault_mode fault_mode_of(const char *name);

struct store_sim *store_sim_new(struct event_base *base, uint16_t port);
void store_sim_fault(struct store_sim *s, enum fault_mode mode);
/** Forgets the history, so that watches must read anew. */
void store_sim_compact(struct store_sim *s);
/** Writes a row as the operator or a runner does. */
void store_sim_put(
    struct store_sim *s, const char *table, const char *key, json_t *value);
void store_sim_remove(struct store_sim *s, const char *table, const char *key);

struct runner_sim *runner_sim_new(struct event_base *base,
    struct store_sim *store, struct record *rec, int index, uint16_t port);
void runner_sim_fault(struct runner_sim *r, enum fault_mode mode);
/** The process dies, and comes back with a new incarnation after a time. */
void runner_sim_crash(struct runner_sim *r, int64_t down_ms);
void runner_sim_drain(struct runner_sim *r);

void advice_sim_new(struct event_base *base, uint16_t port);

/** Jobs as their own spec describes them: COUNTxCPUxMS[>AFTER],... */
struct job_sim;
struct job_sim *job_sim_get(const char *id, const char *spec);
/** Whether a start of the job was ever seen. */
bool job_sim_known(const char *id);

#endif
