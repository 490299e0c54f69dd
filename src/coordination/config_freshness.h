/**
 * @file How long a host may act on its copy of the configuration.
 *
 * A host learns of a newer configuration only as long as it reaches the store
 * or its peers. Where a removed API key must not be accepted beyond a bound,
 * permission to accept keys is therefore a lease: it lasts for that bound after
 * the time as of which the copy is confirmed as the newest, and ends by itself.
 */
#ifndef CONFIG_FRESHNESS_H
#define CONFIG_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

struct config_freshness {
	bool bounded;	  /**< there is a bound */
	int64_t bound_ms; /**< longest time since the confirmation */
	uint64_t version; /**< of the copy in force */
	/** The store had no newer version then; 0: not confirmed. */
	int64_t confirmed_ms;
};

/** @param revoke_ms time after which a removed key must not be accepted; 0: no
 * bound. The bound allows for the rate of this host's clock. */
void config_freshness_init(struct config_freshness *f, int64_t revoke_ms);
/** A new version is in force, which is not confirmed yet. */
void config_freshness_set_version(struct config_freshness *f, uint64_t version);
/**
 * The store answered a read that was sent at @p sent_ms and showed no version
 * above that in force.
 */
void config_freshness_confirm(struct config_freshness *f, int64_t sent_ms);
/**
 * A peer answered a message that was sent at @p sent_ms: it has this version
 * in force, and had confirmed it @p age_ms before its answer.
 */
void config_freshness_confirm_peer(struct config_freshness *f, uint64_t version,
    int64_t sent_ms, int64_t age_ms);
/** Age of the confirmation; -1: there is none. */
int64_t config_freshness_age_ms(const struct config_freshness *f, int64_t now);
/** Whether calls with API keys may be accepted. */
bool config_freshness_holds(const struct config_freshness *f, int64_t now);

#endif
