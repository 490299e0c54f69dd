/**
 * @file Configuration of a cell: its queues, services and limits.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUEUE_NAME_LEN 64

/** How a queue uses the advice service, and how long calls to it take. */
struct advice_terms {
	bool needed;	     /**< a start needs a ticket of the service */
	double decision_ms;  /**< fixed part of a call's duration */
	double runner_ms;    /**< further duration for each runner named */
	int64_t validity_ms; /**< lifetime of a ticket */
};

struct queue {
	char name[QUEUE_NAME_LEN];
	char host[128];	  /**< value of the Host header, without a port */
	char prefix[128]; /**< of the request path */
	char service[64]; /**< service of the runners that run its jobs */
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int priority;	       /**< 0 is the most urgent */
	uint32_t max_attempts; /**< failures until a task fails; 0: no limit */
	/** Latency objective: stretch times the job's critical path, plus
	 * target_latency_ms. */
	double stretch;
	struct advice_terms advice;
};

struct service {
	char name[64];
	/** The service's runners refuse a task that doesn't fit. */
	bool admission_check;
};

struct config {
	uint64_t version; /**< 0: no configuration is known */
	struct queue *queues;
	int nqueues;
	struct service *services;
	int nservices;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
};

void config_init(struct config *c);
void config_done(struct config *c);
/**
 * @return the queue of @p host with the longest prefix that matches @p path;
 *     NULL when there is none.
 */
const struct queue *config_route(
    const struct config *c, const char *host, const char *path);
const struct queue *config_queue(const struct config *c, const char *name);
/** Adds a queue of an earlier configuration, for work accepted under it. */
void config_add_queue(struct config *c, const struct queue *q);

#endif
