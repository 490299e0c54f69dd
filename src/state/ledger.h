/**
 * @file Requests of one shard and their costs: the state that the shard's
 * journal describes.
 *
 * Every change is a journal record. One function applies it, both when the
 * owner writes it and when the next owner replays the journal. A snapshot is a
 * list of records from which the same ledger can be rebuilt.
 *
 * A request is an entry; it has one member for each task of its gang.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include <stdbool.h>
#include <sys/queue.h>
#include <uthash.h>

#include "../coordination/ready.h"
#include "../protocol/peer.pb-c.h"
#include "outcome.h"
#include "size.h"

#define TASK_ID_LEN 64
#define LEDGER_NAME_LEN 64
#define GANG_MAX 256
/** How long a settled request is kept for callers that ask again. */
#define LEDGER_KEEP_MS (24LL * 3600 * 1000)
/** Largest answer, in bytes, kept for callers that repeat a request's key. */
#define ANSWER_KEEP_MAX (64 << 10)

enum entry_state {
	ENTRY_WAITING,
	ENTRY_RUNNING,
	ENTRY_ENDED
};

enum member_state {
	MEMBER_WAITING, /**< not assigned to a shard */
	MEMBER_SITED,	/**< assigned to a shard; may have been started there */
	MEMBER_RUNNING,
	MEMBER_ENDED,
};

/** What is known of a member of a cancelled request. */
enum member_stop {
	STOP_NONE,
	STOP_NEVER_RAN,
	STOP_RAN,
	STOP_UNSURE, /**< it may have run */
};

struct entry;

struct member {
	enum member_state state;
	struct entry *entry;
	uint32_t index;
	uint32_t shard;	      /**< to which it is assigned */
	uint64_t shard_epoch; /**< of that shard at the assignment */
	char worker[LEDGER_NAME_LEN];
	/* The fields below are not in the journal. */
	struct ready_item ready;
	bool call_pending;   /**< a Place or Stop call is under way */
	bool reserved;	     /**< has a reservation for its gang */
	bool maybe_received; /**< the shard may have received a Place call */
	enum member_stop stop;
	uint64_t checked_epoch; /**< shard epoch in which the shard's owner last
				   confirmed the member; 0: never */
	uint64_t attempt;	/**< number of the last Place or Stop call */
	int64_t retry_ms;	/**< not placed before this time */
	int tries;		/**< runs that failed early and were retried */
	char avoid[LEDGER_NAME_LEN]; /**< worker on which it failed last */
};

struct entry {
	UT_hash_handle hh;
	char id[TASK_ID_LEN];
	char class_name[LEDGER_NAME_LEN];
	char team[LEDGER_NAME_LEN];
	struct size size;
	uint32_t count;
	uint64_t run_ms; /**< run time that the caller declared */
	uint64_t body_hash;
	uint64_t nonce;	 /**< of the call that created it */
	bool routed;	 /**< sent to a runner, not placed on workers */
	bool repeatable; /**< safe to run more than once */
	bool cancelled;
	bool maybe_ran; /**< a member may have run and was lost */
	enum entry_state state;
	enum outcome outcome;
	char reason[LEDGER_NAME_LEN];
	int32_t status;
	uint8_t *answer;
	size_t answer_len;
	char content_type[LEDGER_NAME_LEN];
	uint64_t ran_ms; /**< measured run time, summed over the members */
	int64_t accepted_wall_ms;
	int64_t started_wall_ms;
	int64_t ended_wall_ms;
	struct member *members;
	/* The fields below are not in the journal. */
	bool accept_durable; /**< its RecAccept is committed */
	bool ending;	     /**< its RecEnd is being written */
	int64_t accepted_ms; /**< boot clock of this host */
	TAILQ_HEAD(entry_waiter_list, entry_waiter) waiters;
};

/** A caller that waits until the request is settled. */
struct entry_waiter {
	TAILQ_ENTRY(entry_waiter) link;
	/** @p e is NULL when the entry was dropped before it was settled. */
	void (*fn)(struct entry *e, void *arg);
	void *arg;
};

/** Cost of a class and team on one day. */
struct cost_row {
	UT_hash_handle hh;
	char key[160];
	int64_t day; /**< days since 1970 */
	char class_name[LEDGER_NAME_LEN];
	char team[LEDGER_NAME_LEN];
	uint64_t tasks;
	uint64_t cpu_ms;
	uint64_t memory_mb_ms;
	uint64_t accelerator_ms;
	uint64_t control_us;
};

struct ledger {
	struct entry *entries;
	struct cost_row *costs;
	int unsettled; /**< entries that have not ended */
};

void ledger_init(struct ledger *l);
void ledger_done(struct ledger *l);
struct entry *ledger_find(struct ledger *l, const char *id);
/**
 * Applies one record.
 * @return the entry that the record changes. NULL for a record that names none
 *     and for one that is not valid in the present state; the latter changes
 *     nothing.
 */
struct entry *ledger_apply(struct ledger *l, const Cc__Rec *rec);
/** Records that rebuild the ledger, packed as a Batch. The caller frees. */
uint8_t *ledger_snapshot(const struct ledger *l, size_t *len);
/** Applies a packed Batch. @return CC_EPROTO when it cannot be read. */
int ledger_replay(
    struct ledger *l, const uint8_t *data, size_t len, uint64_t *commit_id);
/** Drops requests settled over LEDGER_KEEP_MS ago. @return their number. */
int ledger_expire(struct ledger *l, int64_t wall_ms);
/** Adds to the costs of a day. Applying a RecEnd does this itself. */
void ledger_charge(struct ledger *l, const Cc__RecCost *c);

#endif
