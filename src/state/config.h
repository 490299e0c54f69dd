/**
 * @file Config of a cell: queues, services, limits, with its version.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUEUE_NAME_LEN 64

struct advice_terms {
	bool needed;
	double decision_ms; /**< time of a call, without runners */
	double runner_ms;   /**< time that each runner named adds */
	int64_t validity_ms;
};

struct queue {
	char name[QUEUE_NAME_LEN];
	char host[128];
	char prefix[128];
	char service[64];
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int priority; /**< 0 comes first */
	uint32_t max_attempts;
	double stretch;
	struct advice_terms advice;
};

struct service {
	char name[64];
	bool admission_check; /**< its runners refuse what doesn't fit */
};

struct config {
	uint64_t version; /**< 0: none is known */
	struct queue *queues;
	int nqueues;
	struct service *services;
	int nservices;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
};

void config_init(struct config *m);
void config_done(struct config *m);
/** Longest prefix of that host that the path begins with; NULL for none. */
const struct queue *config_route(
    const struct config *m, const char *host, const char *path);
const struct queue *config_queue(const struct config *m, const char *name);
/** Adds a queue that a configuration before had, for work accepted then. */
void config_keep(struct config *m, const struct queue *q);

#endif
