/**
 * @file Configuration of a cell: its queues, services and limits.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "account.h"
#include "account_keys.h"

/** How a queue uses the advice service, and how long calls to it take. */
struct advice_terms {
	bool needed;	     /**< a start needs a ticket of the service */
	double decision_ms;  /**< fixed part of a call's duration */
	double runner_ms;    /**< further duration for each runner named */
	int64_t validity_ms; /**< lifetime of a ticket */
};

struct queue {
	char *name;
	char *host;    /**< value of the Host header, without a port */
	char *prefix;  /**< of the request path */
	char *service; /**< service of the runners that run its jobs */
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int priority;	       /**< 0 is the most urgent */
	uint32_t max_attempts; /**< failures until a task fails; 0: no limit */
	/** Latency objective: stretch times the job's critical path, plus
	 * target_latency_ms. */
	double stretch;
	struct advice_terms advice;
	/** Its callers need no API key. */
	bool is_public;
	/** It takes no new jobs, as some of its terms can't be read. */
	bool refused;
};

struct service {
	char *name;
	/** The service's runners refuse a task that doesn't fit. */
	bool admission_check;
};

/** Part of a configuration that can't be read. */
struct config_refusal {
	/** Of the queue, service or account; "" when unknown. */
	char *name;
	const char *field; /**< static text */
};

struct config {
	uint64_t version; /**< 0: no configuration is known */
	struct queue *queues;
	int nqueues;
	struct service *services;
	int nservices;
	/** Client accounts. Without them no call needs an API key. */
	bool has_accounts;
	/** The list of accounts can't be read: no key is known. */
	bool accounts_refused;
	struct account_terms **accounts;
	struct account_terms *accounts_by_name; /**< hash of the same */
	int naccounts;
	struct account_keys *keys; /**< NULL: none */
	int64_t max_body_bytes;
	int64_t max_header_bytes;
	/** What the rest, which is in force, lacks. */
	struct config_refusal *refusals;
	int nrefusals;
};

struct config *config_new(void);
struct config *config_copy(const struct config *c);
/** @p c may be NULL. */
void config_delete(struct config *c);
/** Notes a part that can't be read. */
void config_refuse(struct config *c, const char *name, const char *field);
/**
 * @return the queue of @p host with the longest prefix that matches @p path;
 *     NULL when there is none.
 */
const struct queue *config_route(
    const struct config *c, const char *host, const char *path);
/** @return the queue, unless it is refused; NULL when there is none. */
const struct queue *config_queue(const struct config *c, const char *name);
/** Whether the configuration has the queue, which takes no new jobs. */
bool config_queue_refused(const struct config *c, const char *name);
/** Adds a copy of a queue, such as one of an earlier configuration for work
 * that was accepted under it. */
void config_add_queue(struct config *c, const struct queue *q);
/**
 * Adds a copy of an account's terms, without keys.
 * @return its index.
 */
int config_add_account(struct config *c, const struct account_terms *t);
/** Adds an API key of the account with that index. @return false when the key
 * is in use already. */
bool config_add_key(struct config *c, const char *key, size_t len, int account);
/** @return the terms of the account; NULL when there are none. */
const struct account_terms *config_account(
    const struct config *c, const char *name);
/** @return the terms of the account that the API key belongs to; NULL when it
 * is unknown. */
const struct account_terms *config_key_account(
    const struct config *c, const char *key, size_t len);
/** Adds a copy of a service. */
void config_add_service(struct config *c, const struct service *s);

#endif
