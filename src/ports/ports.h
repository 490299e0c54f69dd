/**
 * @file Interfaces between a cell and the platform: the store, the runners and
 * the advice service.
 *
 * The platform adapter implements them over the platform's protocols; unit
 * tests implement them in memory. Every callback is called exactly once, and
 * never from inside the call that registers it.
 */
#ifndef PORTS_H
#define PORTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RUNNER_ID_LEN 64
#define TASK_NAME_LEN 64
#define RUNNER_LABELS_MAX 8
#define RUNNER_ADDR_LEN 48

/** A versioned row of the store. */
struct row {
	const char *table;
	const char *key;
	const void *value;
	size_t len;
	uint64_t version; /**< 0: no such row exists */
	bool deleted;
};

/** An atomic transaction: applied as a whole if every condition holds. */
struct store_txn {
	const char *part;
	const struct row *conditions; /**< expected versions of rows */
	int nconditions;
	const struct row *writes;
	int nwrites;
	const struct row *removes;
	int nremoves;
};

struct store_result {
	/**
	 * CC_OK: done.
	 * CC_ECONFLICT: a condition failed; @c rows are the current rows of
	 * the conditions.
	 * CC_EUNAVAIL: certainly nothing was done.
	 * CC_ETIMEOUT: the call may have taken effect or may still do so.
	 * CC_ENOENT: the requested history is no longer available.
	 * CC_EINVAL: the call exceeds a limit of the store; nothing was done,
	 * and a retry of the same call can't succeed.
	 */
	int err;
	uint64_t version; /**< newest version of the store */
	int64_t clock_ms; /**< the store's steady clock; 0: not given */
	const struct row *rows;
	int nrows;
	bool has_more;
	/** Bytes of the answer that arrived, also of one that isn't whole. */
	uint64_t received;
	/** Key of the last row of a listing, also when that row couldn't be
	 * read and isn't among @c rows; NULL: there was none. */
	const char *last_key;
};

typedef void (*store_fn)(const struct store_result *r, void *arg);

struct store;
struct store_ops {
	void (*txn)(struct store *s, const struct store_txn *t,
	    int64_t timeout_ms, store_fn fn, void *arg);
	/** Reads up to @p limit rows of a part, in key order from @p from. */
	void (*list)(struct store *s, const char *table, const char *part,
	    const char *from, int limit, store_fn fn, void *arg);
	/** Reads the changes of a table after a version; a long poll that
	 * waits up to @p wait_ms for the first change. */
	void (*watch)(struct store *s, const char *table, uint64_t after,
	    int64_t wait_ms, store_fn fn, void *arg);
	/** Whether the answer of the pending call with this @p arg has begun
	 * to arrive; NULL: not known of any call. */
	bool (*receiving)(const struct store *s, const void *arg);
};
struct store {
	const struct store_ops *ops;
};

/** Result of an order (start, stop, hold or pace) to a runner. */
enum order_result {
	ORDER_OK,
	ORDER_FENCED, /**< the runner knows a higher fencing token */
	ORDER_OLD,    /**< the runner already ended this run or a later one */
	ORDER_LATE,   /**< the order arrived after its deadline */
	ORDER_NO_ROOM,
	ORDER_NO_TICKET,
	ORDER_UNHEALTHY, /**< nothing was done; the runner is overloaded or
			    unavailable (HTTP 429 or 503) */
	ORDER_INVALID, /**< the runner can't parse or doesn't know the order */
	ORDER_OTHER_INCARNATION, /**< the runner was restarted since */
	ORDER_NOT_SENT,
	ORDER_UNKNOWN,	 /**< no answer: the order may have taken effect or may
			    still do so */
	ORDER_RESTARTED, /**< nothing was done: the order is bound to another
			    incarnation than the present one of this id */
};

/** How a run ended. */
enum run_end {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,	  /**< the lease on the runner expired */
	END_PEER_ENDED,	  /**< another member of the gang ended */
	END_GANG_TIMEOUT, /**< the gang was not complete in time */
	END_LOST,	  /**< the runner was restarted or lost */
};

/** A run in the runner's list of running tasks. */
struct run_seen {
	const char *task;
	uint32_t run;
	const char *saved; /**< last checkpoint */
	int percent;	   /**< pace at which the run may work */
	int load; /**< tail latency in ms for a task with a latency target;
		     otherwise the CPU in use */
};

/** An ended run in the runner's list of finished tasks. */
struct end_seen {
	uint64_t number; /**< counts the ends of this runner incarnation,
			    from 1 */
	const char *task;
	uint32_t run;
	enum run_end how;
	const char *saved; /**< last checkpoint */
};

/** A runner's answer to a hold. */
struct hold_result {
	enum order_result result;
	int64_t clock_ms; /**< the runner's monotonic clock; 0: not given */
	int64_t born_ms;  /**< start time of this runner incarnation; 0: not
			     given */
	const struct run_seen *runs;
	int nruns;
	const struct end_seen *ends;
	int nends;
	bool more; /**< not answered in time; a late answer may follow */
	/** There is no answer, and the runner's end has closed a connection
	 * since its last one, as a process that ends does. A cut leaves
	 * connections silent or refuses new ones. */
	bool closed;
};

/**
 * Bounds of the answer timeout of an order. The timeout follows the observed
 * answer times: normally a runner answers within milliseconds. After a timeout
 * the result is ORDER_UNKNOWN, and the runner's list of runs settles it.
 */
#define ORDER_TIMEOUT_MIN_MS 60
#define ORDER_TIMEOUT_MAX_MS 1000
/** Time after the time-out of a hold for which its answer is waited for. */
#define HOLD_LATE_MS 3000
/** Holds of a runner whose late answers are waited for at the same time. */
#define HOLDS_LATE_MAX 2

struct order_answer {
	enum order_result result;
	int64_t clock_ms; /**< the runner's monotonic clock; 0: not given */
};

/** Where an order is sent. */
struct target {
	const char *addr; /**< IP address */
	uint16_t port;
	const char *id;
};

struct start_order {
	const char *task;
	uint32_t run;
	const char *spec;
	int64_t until_ms;   /**< deadline of the start, and end of the lease
			       that it grants; on the runner's clock */
	uint64_t fence;	    /**< fencing token */
	const char *saved;  /**< checkpoint to resume from; "" for none */
	const char *ticket; /**< of the advice service; "" for none */
	/** Start time of the incarnation on whose clock until_ms is; no other
	 * one carries the start out. 0: unknown, any may. */
	int64_t born_ms;
};

/** A hold renews the runner's lease, acknowledges ends and reads the lists of
 * running and finished tasks. */
struct hold_order {
	/**
	 * New end of the lease, on the runner's clock; 0: the lease is not
	 * renewed. Sent only on a connection on which the incarnation of
	 * born_ms has answered: a new connection may reach a new incarnation,
	 * whose clock starts anew. Else the hold goes out without it and
	 * without a wait, so that the next one can renew the lease.
	 */
	int64_t until_ms;
	uint64_t fence; /**< fencing token */
	/** The runner may forget its ends up to this number. Sent as until_ms
	 * is, since a new incarnation numbers its ends from 1 again. */
	uint64_t seen;
	int64_t born_ms; /**< start time of the incarnation on whose clock
			    until_ms is and that numbered those ends; 0:
			    unknown */
	int64_t wait_ms; /**< long poll: longest time until the answer */
};

typedef void (*order_fn)(const struct order_answer *a, void *arg);
typedef void (*hold_fn)(const struct hold_result *r, void *arg);

struct runner_port;
/** Orders to runners. With @p fresh an order goes out on a new connection. */
struct runner_ops {
	void (*start)(struct runner_port *p, const struct target *t,
	    const struct start_order *o, bool fresh, order_fn fn, void *arg);
	void (*stop)(struct runner_port *p, const struct target *t,
	    const char *task, uint32_t run, uint64_t fence, order_fn fn,
	    void *arg);
	/**
	 * Calls @p fn once; or twice for a hold that times out: first with
	 * ORDER_UNKNOWN and `more`, then with the late answer or, when none
	 * came within HOLD_LATE_MS, without one.
	 */
	void (*hold)(struct runner_port *p, const struct target *t,
	    const struct hold_order *o, bool fresh, hold_fn fn, void *arg);
	/** Sets the pace of a best-effort run; 100 percent is unthrottled. */
	void (*pace)(struct runner_port *p, const struct target *t,
	    const char *task, uint32_t run, int percent, uint64_t fence,
	    order_fn fn, void *arg);
};
struct runner_port {
	const struct runner_ops *ops;
};

/** A runner's entry in the registry. */
struct runner_info {
	char id[RUNNER_ID_LEN];
	char addr[RUNNER_ADDR_LEN];
	uint16_t port;
	/** Names of names.h; "" for none, and likewise those below. */
	const char *service;
	int64_t cpu; /**< thousandths of a core */
	int64_t mem_mb;
	int64_t gpu;
	const char *labels[RUNNER_LABELS_MAX];
	int nlabels;
	const char *rack;
	bool draining;
	int64_t remaining_ms; /**< least time until a draining runner leaves;
				 -1: unknown */
	int64_t born_ms;  /**< start time of the incarnation; 0: not given */
	int64_t cold_ms;  /**< the registry's cold_left_ms */
	uint64_t version; /**< of the entry; lower versions are ignored */
};

/** A runner that the advice service allows, and the ticket to start on it. */
struct advice_row {
	const char *runner;
	const char *ticket;
};
typedef void (*advice_fn)(int err, const struct advice_row *rows, int nrows,
    int64_t validity_ms, void *arg);

struct advice_port;
struct advice_ops {
	/** Requests advice from the service through the host @p member;
	 * CC_EBUSY when that host's queue is full. */
	void (*ask)(struct advice_port *p, const char *member, const char *step,
	    const char *const *runners, int nrunners, int64_t timeout_ms,
	    advice_fn fn, void *arg);
};
struct advice_port {
	const struct advice_ops *ops;
};

#endif
