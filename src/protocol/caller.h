/** @file Callers' JSON: checks what comes in and names the field. */
#ifndef CALLER_H
#define CALLER_H

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
	char id[TASK_ID_LEN]; /**< empty: none was given */
	char team[LEDGER_NAME_LEN];
	struct size size;
	uint32_t count;
	uint64_t run_ms;
};

/** What is wrong with a form. */
struct form_error {
	char field[64];
	char text[160];
};

/** @return CC_OK or CC_EINVAL, then @p err is filled in. */
int task_form_parse(
    struct task_form *f, const char *body, size_t len, struct form_error *err);
/** Whether the text may be a request's id. */
bool id_valid(const char *id);
/** Hash that is equal for equal forms. */
uint64_t task_form_hash(const struct task_form *f, const char *class_name);

#endif
