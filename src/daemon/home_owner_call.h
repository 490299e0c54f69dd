/**
 * @file Calls from a home to the owner of the shard that a member is assigned
 * to: start the member, or stop it when the request is cancelled.
 */
#ifndef HOME_OWNER_CALL_H
#define HOME_OWNER_CALL_H

#include "node.h"

/**
 * Refers to a member while a call, a write or a timer is pending: by then the
 * home shard may be lost, or the request settled and dropped.
 */
struct member_ref {
	struct shard *home;
	uint64_t epoch; /**< shard epoch of the home shard */
	uint64_t attempt;
	char id[TASK_ID_LEN];
	uint32_t member;
	bool stop;
};

struct member_ref *member_ref_new(struct shard *home, struct member *m);
/**
 * Finds the member.
 * @return NULL when the home shard is no longer owned under the same epoch, or
 *     when the request is settled.
 */
struct member *member_ref_find(const struct member_ref *ref);
/** Writes "id#index". */
void member_key(const struct member *m, char key[TASK_KEY_LEN]);
/**
 * Sends a start call, or a stop call when the request is cancelled. A start
 * call for a member that is running already is answered with its worker.
 */
void home_call_owner(struct node *n, struct member *m);
/** Sends the call again after a random delay. */
void home_call_owner_later(struct node *n, struct member *m);

/* Replies, handled by home_answer.c. */

/** Handles the reply to a start call for a member that wasn't known to run. */
void home_place_answer(
    struct node *n, struct member *m, const Cc__PlaceReply *r);
/** Handles the reply to a start call for a member that was running when its
 * shard changed owner. */
void home_check_answer(
    struct node *n, struct member *m, const Cc__PlaceReply *r);
/** Handles the reply to a stop call.
 * @param epoch shard epoch under which the owner replied */
void home_stop_answer(
    struct node *n, struct member *m, int err, uint64_t epoch);

#endif
