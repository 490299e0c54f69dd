/**
 * @file Fallback to another relay for runners that their relay can't reach.
 *
 * The network can fail between one host and some runners only. After several
 * consecutive unanswered calls a runner's orders go through the next relay in
 * its order of preference (see relay_plan_pick()). They stay with a relay as
 * long as the runner answers.
 */
#ifndef RELAY_FALLBACK_H
#define RELAY_FALLBACK_H

#include <stdbool.h>

struct relay_fallback;

struct relay_fallbacks {
	struct relay_fallback *list; /**< hash by runner; only runners with an
					unanswered call so far */
};

void relay_fallbacks_done(struct relay_fallbacks *d);
/** Position, from 0, of the runner's relay in its order of preference. */
int relay_fallbacks_choice(const struct relay_fallbacks *d, const char *runner);
/**
 * Records whether a call to the runner was answered.
 * @return whether its orders go through another relay from now on.
 */
bool relay_fallbacks_note(
    struct relay_fallbacks *d, const char *runner, bool answered);

#endif
