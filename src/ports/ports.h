/**
 * @file What a cell needs of the platform, as interfaces.
 *
 * The adapter implements them over the platform's protocols; unit tests
 * implement them in memory. Every callback is called exactly once, and never
 * from inside the call that registers it.
 */
#ifndef PORTS_H
#define PORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RUNNER_ID_LEN 64
#define TICKET_LEN 64
#define TASK_NAME_LEN 64
#define SAVED_LEN 64
#define RUNNER_LABELS_MAX 8
#define LABEL_LEN 48
#define RUNNER_ADDR_LEN 48

struct row {
	const char *table;
	const char *key;
	const void *value;
	size_t len;
	uint64_t version; /**< 0: there is no such row */
	bool deleted;
};

/** An atomic change: done whole if every condition holds. */
struct store_txn {
	const char *part;
	const struct row *conditions; /**< by table, key and version */
	int nconditions;
	const struct row *writes;
	int nwrites;
	const struct row *removes;
	int nremoves;
};

struct store_result {
	/**
	 * CC_OK; CC_ECONFLICT with the rows of the conditions; CC_EUNAVAIL
	 * when certainly nothing was done; CC_ETIMEOUT when it may have been
	 * done or may still be done; CC_ENOENT when the history asked for is
	 * gone; CC_EINVAL when the call breaks a limit of the store: nothing
	 * was done, and nothing will be however often it is repeated.
	 */
	int err;
	uint64_t version; /**< newest version of the store */
	const struct row *rows;
	int nrows;
	bool has_more;
};

typedef void (*store_fn)(const struct store_result *r, void *arg);

struct store;
struct store_ops {
	void (*txn)(struct store *s, const struct store_txn *t,
	    int64_t timeout_ms, store_fn fn, void *arg);
	/** Rows of a part from a key on, in the order of keys. */
	void (*list)(struct store *s, const char *table, const char *part,
	    const char *from, int limit, store_fn fn, void *arg);
	/** Changes of a table after a version; waits for the first. */
	void (*watch)(struct store *s, const char *table, uint64_t after,
	    int64_t wait_ms, store_fn fn, void *arg);
};
struct store {
	const struct store_ops *ops;
};

/** Outcome of an order to a runner. */
enum order_result {
	ORDER_OK,
	ORDER_FENCED, /**< a newer leader has been there */
	ORDER_OLD,    /**< this run or a later one ended there */
	ORDER_LATE,   /**< it arrived past its deadline */
	ORDER_NO_ROOM,
	ORDER_NO_TICKET,
	ORDER_UNHEALTHY, /**< nothing was done; the runner is not well */
	ORDER_INVALID,	 /**< the runner can't read it */
	ORDER_OTHER_INCARNATION, /**< the runner was restarted */
	ORDER_NOT_SENT,
	ORDER_UNKNOWN, /**< it may have been done, or may be done later */
};

enum run_end {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,
	END_PEER_ENDED,	  /**< another member of its gang ended */
	END_GANG_TIMEOUT, /**< its gang was not complete in time */
	END_LOST,	  /**< its runner was restarted or lost */
};

struct run_seen {
	const char *task;
	uint32_t run;
	const char *saved;
	int percent;
	int load; /**< tail latency in ms of a task with such a target; else cpu
		     in use */
};

struct end_seen {
	uint64_t
	    number; /**< in order of ends of this incarnation of the runner */
	const char *task;
	uint32_t run;
	enum run_end how;
	const char *saved;
};

struct hold_result {
	enum order_result result;
	int64_t clock_ms; /**< the runner's steady clock; 0: not given */
	int64_t born_ms;  /**< start of this incarnation; 0: not given */
	const struct run_seen *runs;
	int nruns;
	const struct end_seen *ends;
	int nends;
};

/** An order without an answer for this long is settled by other means; a
 * runner answers within milliseconds. Longer while answers are slow. */
#define ORDER_TIMEOUT_MIN_MS 60
#define ORDER_TIMEOUT_MAX_MS 1000

struct order_answer {
	enum order_result result;
	int64_t clock_ms;
};

struct target {
	const char *addr; /**< IP number */
	uint16_t port;
	const char *id;
};

struct start_order {
	const char *task;
	uint32_t run;
	const char *spec;
	int64_t until_ms; /**< on the runner's clock */
	uint64_t fence;
	const char *saved;  /**< "" for none */
	const char *ticket; /**< "" for none */
};

struct hold_order {
	int64_t until_ms; /**< 0: the lease is left as it is */
	uint64_t fence;
	/**
	 * Ends up to this one may be forgotten. Sent only on a connection that
	 * was answered on before: a new one may reach a new incarnation of the
	 * runner, whose ends are numbered from 1 again.
	 */
	uint64_t seen;
	int64_t born_ms; /**< incarnation whose ends those are; 0: not known */
	int64_t wait_ms;
};

typedef void (*order_fn)(const struct order_answer *a, void *arg);
typedef void (*hold_fn)(const struct hold_result *r, void *arg);

struct runner_port;
struct runner_ops {
	void (*start)(struct runner_port *p, const struct target *t,
	    const struct start_order *o, bool fresh, order_fn fn, void *arg);
	void (*stop)(struct runner_port *p, const struct target *t,
	    const char *task, uint32_t run, uint64_t fence, order_fn fn,
	    void *arg);
	void (*hold)(struct runner_port *p, const struct target *t,
	    const struct hold_order *o, bool fresh, hold_fn fn, void *arg);
	void (*pace)(struct runner_port *p, const struct target *t,
	    const char *task, uint32_t run, int percent, uint64_t fence,
	    order_fn fn, void *arg);
};
struct runner_port {
	const struct runner_ops *ops;
};

/** A runner as the registry shows it. */
struct runner_info {
	char id[RUNNER_ID_LEN];
	char addr[RUNNER_ADDR_LEN];
	uint16_t port;
	char service[64];
	char zone[64];
	int64_t cpu; /**< thousandths of a core */
	int64_t mem_mb;
	int64_t gpu;
	char labels[RUNNER_LABELS_MAX][LABEL_LEN];
	int nlabels;
	char rack[LABEL_LEN];
	bool draining;
	int64_t
	    remaining_ms; /**< least time left while draining; -1: unknown */
	int64_t born_ms;  /**< 0: not given */
	int64_t cold_ms;
	uint64_t version; /**< of the entry; an older one is not news */
};

struct advice_row {
	const char *runner;
	const char *ticket;
};
typedef void (*advice_fn)(int err, const struct advice_row *rows, int nrows,
    int64_t validity_ms, void *arg);

struct advice_port;
struct advice_ops {
	/** Asks in the lane of a member; CC_EBUSY when its queue is full. */
	void (*ask)(struct advice_port *p, const char *member, const char *step,
	    const char *const *runners, int nrunners, int64_t timeout_ms,
	    advice_fn fn, void *arg);
};
struct advice_port {
	const struct advice_ops *ops;
};

#endif
