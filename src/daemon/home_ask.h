/**
 * @file Questions of a home to the owner of the shard that holds a member:
 * start it, or stop it when the request is cancelled.
 */
#ifndef HOME_ASK_H
#define HOME_ASK_H

#include "node.h"

/** Names a member across the time that an answer takes. */
struct ask {
	struct shard *home;
	uint64_t epoch;
	uint64_t attempt;
	char id[TASK_ID_LEN];
	uint32_t member;
	bool stop;
};

struct ask *ask_new(struct shard *home, struct member *m);
/** The member, if the shard is still owned and the request not settled. */
struct member *ask_member(const struct ask *a);
/** Writes "id#index". */
void member_key(const struct member *m, char key[TASK_KEY_LEN]);
/** Asks for a start, or for a stop when the request is cancelled. */
void home_ask(struct node *n, struct member *m);
/** Asks again after a short wait. */
void home_ask_later(struct node *n, struct member *m);

/* Answers, handled by the home. */
void home_place_answer(
    struct node *n, struct member *m, const Cc__PlaceReply *r);
/** The answer about a member that was running when its shard moved. */
void home_check_answer(
    struct node *n, struct member *m, const Cc__PlaceReply *r);
void home_stop_answer(
    struct node *n, struct member *m, int err, uint64_t epoch);

#endif
