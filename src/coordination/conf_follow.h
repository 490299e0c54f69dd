/**
 * @file Which version of the configuration a host puts in force.
 *
 * A host accepts a version that is newer than the one in force, from whatever
 * source, and never an older one.
 */
#ifndef CONF_FOLLOW_H
#define CONF_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

struct conf_follow {
	uint64_t version; /**< in force */
	bool known;	  /**< a version was put in force */
};

/**
 * Accepts the offered version if it is newer.
 * @return whether the caller must put it in force.
 */
bool conf_follow_offer(struct conf_follow *f, uint64_t version);
/** Whether a version that another host has should be fetched. */
bool conf_follow_wants(const struct conf_follow *f, uint64_t version);

#endif
