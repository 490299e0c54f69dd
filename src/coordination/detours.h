/**
 * @file Runners that their relay can't reach, though others may.
 *
 * A path can be cut between one host and some runners. After some calls in a
 * row without an answer a runner's orders take the next relay, and so on in
 * turn; where there is an answer they stay.
 */
#ifndef DETOURS_H
#define DETOURS_H

#include <stdbool.h>

struct detour;

struct detours {
	struct detour *list; /**< by runner; only those that ever failed */
};

void detours_done(struct detours *d);
/** How many places behind the first choice the runner's relay is. */
int detours_nth(const struct detours *d, const char *runner);
/** Notes whether a call to the runner had an answer. @return whether its
 * orders take another relay from now on. */
bool detours_note(struct detours *d, const char *runner, bool answered);

#endif
