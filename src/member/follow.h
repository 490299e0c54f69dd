/**
 * @file Follows the rows of a table: reads them all, then watches.
 *
 * When the history is gone, all is read anew; an older row is never reported
 * after a newer one of the same key.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include <event2/event.h>

#include "../ports/ports.h"

struct follow;

typedef void (*follow_fn)(const struct row *row, void *arg);

/** What is followed; the strings are kept by the caller. */
struct follow_terms {
	const char *table;
	const char *const *parts; /**< ends with NULL */
	int64_t wait_ms;	  /**< a watch waits this long for a change */
	int64_t gap_ms; /**< watches are this far apart, so that one answer
			 * carries the changes of a table that always changes */
};

struct follow *follow_new(struct event_base *base, struct store *s,
    const struct follow_terms *t, follow_fn fn, void *arg);
void follow_delete(struct follow *f);
/** Whether all parts were read at least once. */
bool follow_ready(const struct follow *f);
/** Milliseconds since the store answered last. */
int64_t follow_age_ms(const struct follow *f);

#endif
