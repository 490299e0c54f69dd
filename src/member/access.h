/** @file Whether a caller may use a queue, and for which client account. */
#ifndef ACCESS_H
#define ACCESS_H

#include "member.h"

enum access_result {
	ACCESS_ALLOWED,
	ACCESS_UNKNOWN_KEY, /**< the caller needs a key, and its key, if any, is
			       in no configuration */
	ACCESS_UNREADABLE,  /**< the terms of its account can't be read */
	ACCESS_UNCONFIRMED, /**< this host can't prove that the key is still
			       valid */
	ACCESS_RESULTS
};

/**
 * Checks the key of a call by the configuration in force.
 * @param authorization value of the call's Authorization header; NULL: none
 * @param account set to the name of the client account, valid while the
 * configuration is in force; "": the call has none
 */
enum access_result member_access(struct member *m, const struct queue *q,
    const char *authorization, const char **account);
/** Name of a result, for logs and metrics. */
const char *access_result_name(enum access_result r);

#endif
