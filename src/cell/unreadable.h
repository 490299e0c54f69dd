/**
 * @file Jobs whose rows in the store this host can't read.
 *
 * Such a job isn't taken for absent: callers are told to come back, and nothing
 * is written over its rows.
 */
#ifndef CELL_UNREADABLE_H
#define CELL_UNREADABLE_H

#include <stdbool.h>
#include <uthash.h>

#include "../state/job.h"

struct unreadable_job {
	UT_hash_handle hh;
	char id[JOB_ID_LEN];
	int part; /**< part of the store that has its rows */
};

/** Adds the job, with a log line about the row @p key. */
void unreadable_add(
    struct unreadable_job **list, const char *id, int part, const char *key);
bool unreadable_has(const struct unreadable_job *list, const char *id);
/** Drops the jobs of one part. */
void unreadable_drop_part(struct unreadable_job **list, int part);
void unreadable_drop_all(struct unreadable_job **list);

#endif
