/**
 * @file One daemon of a cell: follows the leader, or leads.
 *
 * Knows the other members and the config, beats to them, claims the lead
 * when it is free, and passes callers' calls to the leader.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <event2/event.h>

#include "../cell/cell.h"
#include "../state/cell_settings.h"
#include "../transport/peer_net.h"

struct member;

/** What the adapter gives a member. */
struct member_ports {
	struct store *store;
	struct runner_port *runners;
	/** Asks the advice service from this host. */
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
	CALL_PENDING,
};

struct member_call {
	enum call_verb verb;
	const char *queue;
	const char *id;	    /**< "" for CALL_PENDING */
	Cc__JobRow *job;    /**< of CALL_SUBMIT; taken over */
	int64_t timeout_ms; /**< the caller waits this long */
};

/** NULL when the port for peers cannot be bound. */
struct member *member_new(struct event_base *base,
    const struct cell_settings *s, const struct member_ports *p);
void member_delete(struct member *m);
/** Gives the lead up and becomes unready; calls still work. */
void member_leave(struct member *m);
/** Whether new callers should be sent here. */
bool member_ready(const struct member *m);
/** The configuration in force here; NULL before the first. */
const struct config *member_config(const struct member *m);
/** @p fn is called once, perhaps before this returns. */
void member_call(
    struct member *m, const struct member_call *call, cell_fn fn, void *arg);
/** One of cell, members, runners, jobs, runs as JSON; NULL for hosts. */
char *member_view(const struct member *m, const char *name);
/** Counters as text, a line each. */
char *member_metrics(const struct member *m);

#endif
