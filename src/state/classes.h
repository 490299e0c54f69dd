/**
 * @file Classes of work and teams, as operators apply them in one YAML
 * document.
 *
 * A class is described only by its targets, such as the longest wait. It can
 * name neither a weight nor a host.
 */
#ifndef CLASSES_H
#define CLASSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/finding.h"

#define CLASS_NAME_LEN 64
#define CLASSES_MAX 256
#define TEAMS_MAX 256

enum class_kind {
	CLASS_REQUEST,
	CLASS_TASK
};

struct class_conf {
	char name[CLASS_NAME_LEN];
	int kind;		      /**< enum class_kind */
	char service[CLASS_NAME_LEN]; /**< service of the runners that run it */
	int64_t start_within_ms; /**< target for the wait until the start */
	int64_t longest_wait_ms; /**< work that waits longer is given up */
	int64_t share_pct; /**< largest share of the capacity, in percent */
	int64_t answer_within_ms; /**< timeout for the answer of a runner */
	bool repeatable;	  /**< safe to run more than once */
	double price_cpu_hour;
	double price_gib_hour;
	double price_accelerator_hour;
	double price_request;
};

struct team_conf {
	char name[CLASS_NAME_LEN];
	int64_t quota_cpus; /**< 0: no quota */
};

struct classes {
	struct class_conf *classes;
	int nclasses;
	struct team_conf *teams;
	int nteams;
};

/** Parses and checks a document; on findings @p c must not be used. */
void classes_parse(
    struct classes *c, const char *text, size_t len, struct findings *fs);
void classes_done(struct classes *c);
const struct class_conf *classes_find(
    const struct classes *c, const char *name);
const struct team_conf *classes_team(const struct classes *c, const char *name);

#endif
