/** @file Jobs of client accounts: their rates, and whether they are
 * admitted (coordination/admission.h). */
#ifndef ACCOUNT_ADMIT_H
#define ACCOUNT_ADMIT_H

#include "../coordination/admission.h"
#include "cell.h"

/** Decides on a job, and counts it for its account. */
struct admission account_admit(struct cell *c, const char *id,
    const Cc__JobRow *row, int64_t objective_ms);
/** Takes a token of its account for a stored job that was accepted within the
 * last second. */
void account_admit_loaded(struct cell *c, struct job *j);

#endif
