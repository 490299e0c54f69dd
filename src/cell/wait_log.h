/** @file Logs why waiting tasks have no runner. */
#ifndef WAIT_LOG_H
#define WAIT_LOG_H

#include "cell_internal.h"

/** Once a second, logs for a few steps whose tasks wait what refuses them: the
 * number of runners by reason, or what holds all starts. */
void wait_log(struct cell *c);

#endif
