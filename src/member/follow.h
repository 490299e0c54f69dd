/**
 * @file Follows the rows of a store table: lists them, then watches for changes
 * by long polling.
 *
 * When the store no longer has the history since the last version seen, the
 * table is listed again. An older version of a row is never reported after a
 * newer one.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include <event2/event.h>

#include "../ports/ports.h"

struct follow;

/** Called for each new version of a row, deletions included. */
typedef void (*follow_fn)(const struct row *row, void *arg);

/**
 * Called for each answer that shows the table's newest state, after its rows
 * were reported.
 * @param sent_ms when the call was sent: the state is at least as new
 */
typedef void (*follow_current_fn)(int64_t sent_ms, void *arg);

/** What to follow. The caller keeps the strings until follow_delete(). */
struct follow_options {
	const char *table;
	const char *const *parts; /**< parts to list; ends with NULL */
	int64_t wait_ms;	  /**< long-poll timeout of a watch */
	/**
	 * Least time between the starts of two watches, so that one answer
	 * carries several changes of a table that changes all the time.
	 */
	int64_t min_interval_ms;
	follow_current_fn current; /**< NULL: not needed */
};

/** Starts to list the table at once; @p fn is called from the event loop. */
struct follow *follow_new(struct event_base *base, struct store *s,
    const struct follow_options *o, follow_fn fn, void *arg);
/** Ends the calls of @p fn; the memory is freed after the pending store call.
 */
void follow_delete(struct follow *f);
/** Whether all parts have been listed at least once. */
bool follow_ready(const struct follow *f);
/** Whether an answer of the store has begun to arrive. */
bool follow_receiving(const struct follow *f);
/** Calls that have failed since the store last answered. */
uint64_t follow_failures(const struct follow *f);
/** Milliseconds since the store last answered. */
int64_t follow_age_ms(const struct follow *f);

#endif
