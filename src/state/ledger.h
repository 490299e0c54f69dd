/**
 * @file Requests of one shard, as its journal tells them.
 *
 * Every change is a record; the same function applies it when it is written
 * and when a successor replays the journal. A snapshot is the list of records
 * that makes the same ledger anew.
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
/** Settled requests are kept this long for callers that ask again. */
#define LEDGER_KEEP_MS (24LL * 3600 * 1000)
/** Answers up to this size are kept for a caller that repeats its key. */
#define ANSWER_KEEP_MAX (64 << 10)

enum entry_state {
	ENTRY_WAITING,
	ENTRY_RUNNING,
	ENTRY_ENDED
};

enum member_state {
	MEMBER_WAITING, /**< not handed to a shard */
	MEMBER_SITED,	/**< handed to a shard; may have been started there */
	MEMBER_RUNNING,
	MEMBER_ENDED,
};

/** What became of a member that was to be stopped. */
enum member_stop {
	STOP_NONE,
	STOP_NEVER_RAN,
	STOP_RAN,
	STOP_UNSURE,
};

struct entry;

struct member {
	enum member_state state;
	struct entry *entry;
	uint32_t index;
	uint32_t shard;
	uint64_t shard_epoch;
	char worker[LEDGER_NAME_LEN];
	/* not in the journal */
	struct ready_item ready;
	bool asking; /**< a Place or Stop is under way */
	bool reserved;
	bool may_have_got_it; /**< a Place of this site may have arrived */
	enum member_stop stop;
	uint64_t
	    checked_epoch; /**< of the shard when it last knew the member */
	uint64_t attempt;
	int64_t retry_ms; /**< not placed before */
	int tries;	  /**< runs that failed early */
	char avoid[LEDGER_NAME_LEN];
};

struct entry {
	UT_hash_handle hh;
	char id[TASK_ID_LEN];
	char class_name[LEDGER_NAME_LEN];
	char team[LEDGER_NAME_LEN];
	struct size size;
	uint32_t count;
	uint64_t run_ms; /**< as declared */
	uint64_t body_hash;
	uint64_t nonce; /**< of the call that made it */
	bool routed;
	bool repeatable;
	bool cancelled;
	bool maybe_ran; /**< a member may have run and was lost */
	enum entry_state state;
	enum outcome outcome;
	char reason[LEDGER_NAME_LEN];
	int32_t status;
	uint8_t *answer;
	size_t answer_len;
	char content_type[LEDGER_NAME_LEN];
	uint64_t ran_ms; /**< sum over the members */
	int64_t accepted_wall_ms;
	int64_t started_wall_ms;
	int64_t ended_wall_ms;
	struct member *members;
	/* not in the journal */
	bool accept_durable;
	bool ending;	     /**< its End record is under way */
	int64_t accepted_ms; /**< boot clock of this host */
	TAILQ_HEAD(entry_waiter_list, entry_waiter) waiters;
};

/** Somebody who waits until the request is settled. */
struct entry_waiter {
	TAILQ_ENTRY(entry_waiter) link;
	void (*fn)(struct entry *e, void *arg);
	void *arg;
};

/** Cost of a class and team on one day. */
struct cost_row {
	UT_hash_handle hh;
	char key[160];
	int64_t day; /**< since 1970 */
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
	int unsettled;
};

void ledger_init(struct ledger *l);
void ledger_done(struct ledger *l);
struct entry *ledger_find(struct ledger *l, const char *id);
/**
 * Applies one record.
 * @return the entry it names; NULL for a record without one, and for one that
 *     does not follow from the state, which changes nothing.
 */
struct entry *ledger_apply(struct ledger *l, const Cc__Rec *rec);
/** Records that make the ledger anew, packed as a Batch. The caller frees. */
uint8_t *ledger_snapshot(const struct ledger *l, size_t *len);
/** Applies a packed Batch. @return CC_EPROTO when it cannot be read. */
int ledger_replay(
    struct ledger *l, const uint8_t *data, size_t len, uint64_t *commit_id);
/** Drops settled requests older than the keep time. @return their number. */
int ledger_expire(struct ledger *l, int64_t wall_ms);
/** Adds to the costs of a day; the end of a request does so by itself. */
void ledger_charge(struct ledger *l, const Cc__RecCost *c);

#endif
