/**
 * @file Calls that a cut path holds back until it is whole again.
 */
#ifndef CELL_HELD_H
#define CELL_HELD_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/queue.h>

#define ADDR_TEXT_LEN 48

/** Serves a call as if it had arrived now. */
typedef void (*held_fn)(struct evhttp_request *req, void *arg);
/** Carries out a call whose caller has closed its connection.
 * @param target incarnation that it is meant for; empty: any */
typedef void (*held_late_fn)(
    const json_t *body, const char *target, const char *from, void *arg);

struct held_call;
TAILQ_HEAD(held_list, held_call);

/** Holds back a call. @p late may be NULL: the call is forgotten when its
 * connection closes. */
void held_add(struct held_list *list, struct evhttp_request *req, held_fn fn,
    held_late_fn late, void *arg);
/** Serves all calls that are held back, in the order of their arrival. */
void held_serve(struct held_list *list);
/** Forgets all calls that are held back. */
void held_clear(struct held_list *list);
/** Address that the call comes from. */
void caller_addr(struct evhttp_request *req, char buf[ADDR_TEXT_LEN]);

#endif
