/**
 * @file Classes and teams: the document that operators apply.
 *
 * A class is described by targets only. There is no key for a weight or for a
 * host.
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
	char service[CLASS_NAME_LEN]; /**< runners that serve it */
	int64_t start_within_ms;
	int64_t longest_wait_ms;
	int64_t share_pct;
	int64_t answer_within_ms;
	bool repeatable;
	double price_cpu_hour;
	double price_gib_hour;
	double price_accelerator_hour;
	double price_request;
};

struct team_conf {
	char name[CLASS_NAME_LEN];
	int64_t quota_cpus;
};

struct classes {
	struct class_conf *classes;
	int nclasses;
	struct team_conf *teams;
	int nteams;
};

/** Parses and checks a document; on findings the result must not be used. */
void classes_parse(
    struct classes *c, const char *text, size_t len, struct findings *fs);
void classes_done(struct classes *c);
const struct class_conf *classes_find(
    const struct classes *c, const char *name);
const struct team_conf *classes_team(const struct classes *c, const char *name);

#endif
