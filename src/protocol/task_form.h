/** @file Parses and checks the JSON of a task that a caller submits. */
#ifndef TASK_FORM_H
#define TASK_FORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "../state/ledger.h"

#define RUN_MS_MAX (366LL * 24 * 3600 * 1000)
#define CPUS_MAX 100000
#define MEMORY_MB_MAX 100000000
#define ACCELERATORS_MAX 10000

/** A task as a caller submits it. */
struct task_form {
	char id[TASK_ID_LEN]; /**< empty when the caller gave none */
	char team[LEDGER_NAME_LEN];
	struct size size;
	uint32_t count;
	uint64_t run_ms;
};

/** First error in a form. */
struct form_error {
	char field[64]; /**< its name, or "body" */
	char text[160];
};

/** @return CC_OK, or CC_EINVAL with the error in @p err. */
int task_form_parse(
    struct task_form *f, const char *body, size_t len, struct form_error *err);
/** Whether the text is valid as the id of a request. */
bool id_valid(const char *id);
/** Hash of a form and its class, but not its id; equal for equal forms. */
uint64_t task_form_hash(const struct task_form *f, const char *class_name);

#endif
