/**
 * @file Reads YAML mappings into structs, as tables of fields describe them.
 *
 * A row of the table gives a field's key, type, bounds and place in the
 * struct. An unknown key, a repeated key, a missing required key and a value
 * out of bounds are findings, each with its line and column.
 */
#ifndef YAML_DOC_H
#define YAML_DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

#include "../base/finding.h"

enum yaml_kind {
	YAML_TEXT,     /**< char[size]; not empty */
	YAML_NAME,     /**< char[size]; letters, digits, '-', '_', '.' */
	YAML_INT,      /**< int64_t */
	YAML_DURATION, /**< int64_t, ms: 500ms, 5s, 2m, 1h, 1d */
	YAML_PERCENT,  /**< int64_t, percent: 40% */
	YAML_AMOUNT,   /**< double, at least 0 */
	YAML_BOOL,     /**< bool: yes, no, true, false */
	YAML_IP,       /**< char[size]; an IPv4 or IPv6 address */
	YAML_CHOICE,   /**< int; index into choices */
	YAML_CUSTOM,   /**< read by the row's function */
};

struct yaml_doc {
	yaml_document_t doc;
	struct findings *findings;
	bool loaded;
};

struct yaml_field;
typedef void (*yaml_read_fn)(
    struct yaml_doc *d, yaml_node_t *node, const char *path, void *base);

struct yaml_field {
	const char *key;
	enum yaml_kind kind;
	size_t offset; /**< in the struct */
	size_t size;   /**< of a text, with its terminator */
	int64_t min;
	int64_t max;
	bool required;
	const char *const *choices;
	yaml_read_fn read;
};

/** Parses @p text. @return false after a syntax error, which is a finding. */
bool yaml_doc_init(
    struct yaml_doc *d, const char *text, size_t len, struct findings *fs);
void yaml_doc_done(struct yaml_doc *d);
yaml_node_t *yaml_doc_root(struct yaml_doc *d);
/** Reads a mapping into @p base; the table @p fields ends with a NULL key. */
void yaml_read_map(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *fields, void *base);
/** Adds a finding at the position of @p node. */
void yaml_add_finding(struct yaml_doc *d, const yaml_node_t *node,
    const char *path, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
/** Parses "500ms", "5s", "2m", "1h" or "1d". @return ms, or -1. */
int64_t yaml_duration_ms(const char *s);
/** Reads up to 1 MiB of a file; NULL when it can't be opened. The caller
 * frees. */
char *yaml_read_file(const char *path, size_t *len);

#endif
