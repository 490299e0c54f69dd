/**
 * @file A member of a cell: one daemon, which leads the cell or follows its
 * leader.
 *
 * A member tracks the other members and the configuration, exchanges
 * heartbeats with the others, takes part in leader election, and forwards
 * callers' calls to the leader.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <event2/event.h>

#include "../cell/cell.h"
#include "../state/cell_settings.h"
#include "../transport/peer_net.h"

struct member;

/** What the platform adapter provides to a member. */
struct member_ports {
	struct store *store;
	struct runner_port *runners;
	/** Calls the advice service from this host. */
	void (*advise)(void *arg, const char *step, const char *const *runners,
	    int nrunners, int64_t timeout_ms, advice_fn fn, void *fn_arg);
	const char *config_table;
	const char *config_part;
	bool (*is_config_row)(const struct row *row);
	struct config *(*config_decode)(const void *value, size_t len);
	const char *registry_table;
	const char *registry_part;
	bool (*registry_decode)(const struct row *row, struct runner_info *out);
	void *arg;
};

enum call_verb {
	CALL_SUBMIT,
	CALL_GET,
	CALL_CANCEL,
	CALL_PENDING, /**< number of pending jobs of the queue */
};

struct member_call {
	enum call_verb verb;
	const char *queue;
	const char *id;	     /**< job id; "" for CALL_PENDING */
	const char *account; /**< client account of the caller; "": none */
	Cc__JobRow *job;     /**< for CALL_SUBMIT; member_call() frees it */
	int64_t timeout_ms;  /**< time until the caller's deadline */
};

/** @return NULL when the port for links to other members cannot be bound. */
struct member *member_new(struct event_base *base,
    const struct cell_settings *s, const struct member_ports *p);
void member_delete(struct member *m);
/** Begins a graceful shutdown: releases leadership and reports not ready.
 * Calls are still served. */
void member_leave(struct member *m);
/** Readiness: whether the load balancer should send new callers here. */
bool member_ready(const struct member *m);
/** The configuration in force on this host; NULL until one was read. */
const struct config *member_config(const struct member *m);
/** Serves a caller's call, here or at the leader. @p fn is called exactly once,
 * possibly before this function returns. */
void member_call(
    struct member *m, const struct member_call *call, cell_fn fn, void *arg);
/** A state view as JSON, for operators.
 * @param name cell, members, runners, jobs, failed, runs or accounts
 * @return a string to be freed; NULL for an unknown name */
char *member_view(const struct member *m, const char *name);
/** Counters and latency quantiles as text, one a line; to be freed. */
char *member_metrics(const struct member *m);

#endif
