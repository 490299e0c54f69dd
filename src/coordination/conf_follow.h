/**
 * @file Which version of the configuration a host takes.
 *
 * A version is taken when it is newer than the one in force, wherever it comes
 * from; an older one never is.
 */
#ifndef CONF_FOLLOW_H
#define CONF_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

struct conf_follow {
	uint64_t version; /**< in force */
	bool known;
};

/** @return whether the offered version must be put in force. */
bool conf_follow_offer(struct conf_follow *f, uint64_t version);
/** Whether somebody's newer version should be fetched. */
bool conf_follow_wants(const struct conf_follow *f, uint64_t version);

#endif
