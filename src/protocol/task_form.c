#include "task_form.h"

#include <ctype.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "../base/err.h"
#include "../base/xalloc.h"

enum form_kind {
	FORM_ID,
	FORM_NAME,
	FORM_U32,
	FORM_U64
};

static const struct form_field {
	const char *name;
	enum form_kind kind;
	size_t offset;
	int64_t min;
	int64_t max;
	bool required;
} fields[] = {
    {"id", FORM_ID, offsetof(struct task_form, id), 0, 0, false},
    {"team", FORM_NAME, offsetof(struct task_form, team), 0, 0, false},
    {"cpus", FORM_U32, offsetof(struct task_form, size.cpus), 1, CPUS_MAX,
	true},
    {"memory_mb", FORM_U32, offsetof(struct task_form, size.memory_mb), 1,
	MEMORY_MB_MAX, true},
    {"accelerators", FORM_U32, offsetof(struct task_form, size.accelerators), 0,
	ACCELERATORS_MAX, false},
    {"count", FORM_U32, offsetof(struct task_form, count), 1, GANG_MAX, false},
    {"run_ms", FORM_U64, offsetof(struct task_form, run_ms), 1, RUN_MS_MAX,
	true},
};

#define NFIELDS (sizeof(fields) / sizeof(fields[0]))

bool
id_valid(const char *id)
{
	size_t n = strlen(id);

	if (n == 0 || n >= TASK_ID_LEN)
		return false;
	for (; *id != '\0'; id++)
		if (!isalnum((unsigned char)*id) && strchr("-_.", *id) == NULL)
			return false;
	return true;
}

static int
fail(struct form_error *err, const char *field, const char *text)
{
	str_copy(err->field, field, sizeof(err->field));
	str_copy(err->text, text, sizeof(err->text));
	return CC_EINVAL;
}

static int
read_number(const struct form_field *f, const json_t *v, struct task_form *form,
    struct form_error *err)
{
	char text[96];
	json_int_t n = json_integer_value(v);
	uint32_t u32 = (uint32_t)n;
	uint64_t u64 = (uint64_t)n;

	if (!json_is_integer(v) || n < f->min || n > f->max) {
		snprintf(text, sizeof(text),
		    "must be a whole number from %" PRId64 " to %" PRId64,
		    f->min, f->max);
		return fail(err, f->name, text);
	}
	if (f->kind == FORM_U32)
		memcpy((char *)form + f->offset, &u32, sizeof(u32));
	else
		memcpy((char *)form + f->offset, &u64, sizeof(u64));
	return CC_OK;
}

static int
read_field(const struct form_field *f, const json_t *v, struct task_form *form,
    struct form_error *err)
{
	const char *s = json_string_value(v);

	if (f->kind == FORM_U32 || f->kind == FORM_U64)
		return read_number(f, v, form, err);
	if (s == NULL || !id_valid(s))
		return fail(err, f->name,
		    "must be 1 to 63 letters, digits, '-', '_' or '.'");
	str_copy((char *)form + f->offset, s, LEDGER_NAME_LEN);
	return CC_OK;
}

static const struct form_field *
field_of(const char *name)
{
	size_t i;

	for (i = 0; i < NFIELDS; i++)
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	return NULL;
}

static int
read_fields(json_t *body, struct task_form *form, struct form_error *err)
{
	const struct form_field *f;
	const char *key;
	json_t *v;
	size_t i;

	if (!json_is_object(body))
		return fail(err, "body", "must be a JSON object");
	json_object_foreach(body, key, v)
	{
		f = field_of(key);
		if (f == NULL)
			return fail(err, key, "unknown field");
		if (read_field(f, v, form, err) != CC_OK)
			return CC_EINVAL;
	}
	for (i = 0; i < NFIELDS; i++)
		if (fields[i].required &&
		    json_object_get(body, fields[i].name) == NULL)
			return fail(err, fields[i].name, "is missing");
	return CC_OK;
}

int
task_form_parse(
    struct task_form *f, const char *body, size_t len, struct form_error *err)
{
	json_error_t je;
	json_t *j = json_loadb(body, len, JSON_REJECT_DUPLICATES, &je);
	int rc;

	memset(f, 0, sizeof(*f));
	f->count = 1;
	if (j == NULL)
		return fail(err, "body", je.text);
	rc = read_fields(j, f, err);
	json_decref(j);
	return rc;
}

uint64_t
task_form_hash(const struct task_form *f, const char *class_name)
{
	char text[320];
	int n;

	n = snprintf(text, sizeof(text), "%s/%s/%u/%u/%u/%u/%" PRIu64,
	    class_name, f->team, f->size.cpus, f->size.memory_mb,
	    f->size.accelerators, f->count, f->run_ms);
	return XXH64(text, (size_t)n, 0);
}
