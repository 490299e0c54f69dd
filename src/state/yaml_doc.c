#include "yaml_doc.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

#define PATH_LEN 256
#define FIELDS_MAX 64
#define FILE_MAX_BYTES (1 << 20)

static const struct {
	const char *unit;
	int64_t ms;
} units[] = {
    {"ms", 1},
    {"s", 1000},
    {"m", 60000},
    {"h", 3600000},
    {"d", 86400000},
};

bool
yaml_doc_init(
    struct yaml_doc *d, const char *text, size_t len, struct findings *fs)
{
	yaml_parser_t p;

	d->findings = fs;
	yaml_parser_initialize(&p);
	yaml_parser_set_input_string(&p, (const unsigned char *)text, len);
	d->loaded = yaml_parser_load(&p, &d->doc);
	if (!d->loaded)
		findings_add(fs, (int)p.problem_mark.line + 1,
		    (int)p.problem_mark.column + 1, "syntax", "%s",
		    p.problem ? p.problem : "not YAML");
	yaml_parser_delete(&p);
	return d->loaded;
}

void
yaml_doc_done(struct yaml_doc *d)
{
	if (d->loaded)
		yaml_document_delete(&d->doc);
	d->loaded = false;
}

yaml_node_t *
yaml_doc_root(struct yaml_doc *d)
{
	return d->loaded ? yaml_document_get_root_node(&d->doc) : NULL;
}

void
yaml_add_finding(struct yaml_doc *d, const yaml_node_t *node, const char *path,
    const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	findings_add(d->findings, (int)node->start_mark.line + 1,
	    (int)node->start_mark.column + 1, path, "%s", text);
}

int64_t
yaml_duration_ms(const char *s)
{
	char *end;
	long long n;
	size_t i;

	if (!isdigit((unsigned char)*s))
		return -1;
	errno = 0;
	n = strtoll(s, &end, 10);
	if (errno != 0 || n > INT64_MAX / 86400000)
		return -1;
	for (i = 0; i < sizeof(units) / sizeof(units[0]); i++)
		if (strcmp(end, units[i].unit) == 0)
			return n * units[i].ms;
	return -1;
}

static bool
is_name(const char *s)
{
	if (*s == '\0')
		return false;
	for (; *s != '\0'; s++)
		if (!isalnum((unsigned char)*s) && strchr("-_.", *s) == NULL)
			return false;
	return true;
}

static bool
parse_int(const char *s, const char *suffix, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(s, &end, 10);
	return errno == 0 && end != s && strcmp(end, suffix) == 0;
}

static bool
parse_bool(const char *s, bool *out)
{
	*out = strcmp(s, "yes") == 0 || strcmp(s, "true") == 0;
	return *out || strcmp(s, "no") == 0 || strcmp(s, "false") == 0;
}

static bool
is_ip(const char *s)
{
	unsigned char buf[16];

	return inet_pton(AF_INET, s, buf) == 1 ||
	    inet_pton(AF_INET6, s, buf) == 1;
}

static void
read_number(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *f, const char *s, void *dst)
{
	int64_t n = 0;
	bool ok;

	if (f->kind == YAML_DURATION) {
		n = yaml_duration_ms(s);
		ok = n >= 0;
	} else {
		ok = parse_int(s, f->kind == YAML_PERCENT ? "%" : "", &n);
	}
	if (!ok) {
		yaml_add_finding(d, node, path, "'%s' is not %s", s,
		    f->kind == YAML_DURATION ? "a time such as 500ms, 5s, 2m"
			: f->kind == YAML_PERCENT ? "a share such as 40%"
						  : "a whole number");
		return;
	}
	if (n < f->min || n > f->max) {
		yaml_add_finding(d, node, path,
		    "'%s' is out of bounds, allowed are %" PRId64 " to %" PRId64
		    "%s",
		    s, f->min, f->max,
		    f->kind == YAML_DURATION	  ? " ms"
			: f->kind == YAML_PERCENT ? " percent"
						  : "");
		return;
	}
	memcpy(dst, &n, sizeof(n));
}

static void
read_amount(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const char *s, void *dst)
{
	char *end;
	double v = strtod(s, &end);

	if (end == s || *end != '\0' || !(v >= 0.0 && v < 1e9)) {
		yaml_add_finding(d, node, path,
		    "'%s' is not a price, allowed are numbers from 0", s);
		return;
	}
	memcpy(dst, &v, sizeof(v));
}

static void
read_choice(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *f, const char *s, void *dst)
{
	char allowed[128] = "";
	int i;

	for (i = 0; f->choices[i] != NULL; i++) {
		if (strcmp(f->choices[i], s) == 0) {
			memcpy(dst, &i, sizeof(i));
			return;
		}
		strncat(allowed, i ? ", " : "",
		    sizeof(allowed) - strlen(allowed) - 1);
		strncat(allowed, f->choices[i],
		    sizeof(allowed) - strlen(allowed) - 1);
	}
	yaml_add_finding(
	    d, node, path, "'%s' is unknown, allowed are %s", s, allowed);
}

static void
read_text(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *f, const char *s, void *dst)
{
	if (*s == '\0' || strlen(s) >= f->size) {
		yaml_add_finding(d, node, path,
		    "allowed are 1 to %zu characters", f->size - 1);
		return;
	}
	if (f->kind == YAML_NAME && !is_name(s)) {
		yaml_add_finding(d, node, path,
		    "'%s' is not a name, allowed are letters, digits, '-', "
		    "'_' and '.'",
		    s);
		return;
	}
	if (f->kind == YAML_IP && !is_ip(s)) {
		yaml_add_finding(d, node, path, "'%s' is not an IP number", s);
		return;
	}
	str_copy(dst, s, f->size);
}

static void
read_scalar(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *f, void *dst)
{
	const char *s = (const char *)node->data.scalar.value;
	bool b;

	switch (f->kind) {
	case YAML_INT:
	case YAML_DURATION:
	case YAML_PERCENT:
		read_number(d, node, path, f, s, dst);
		break;
	case YAML_AMOUNT:
		read_amount(d, node, path, s, dst);
		break;
	case YAML_BOOL:
		if (parse_bool(s, &b))
			memcpy(dst, &b, sizeof(b));
		else
			yaml_add_finding(
			    d, node, path, "'%s' is neither yes nor no", s);
		break;
	case YAML_CHOICE:
		read_choice(d, node, path, f, s, dst);
		break;
	default:
		read_text(d, node, path, f, s, dst);
	}
}

static int
field_index(const struct yaml_field *fields, const char *key)
{
	int i;

	for (i = 0; fields[i].key != NULL; i++)
		if (strcmp(fields[i].key, key) == 0)
			return i;
	return -1;
}

static void
read_pair(struct yaml_doc *d, yaml_node_t *val, const char *path,
    const struct yaml_field *f, void *base)
{
	if (f->kind == YAML_CUSTOM)
		f->read(d, val, path, base);
	else if (val->type != YAML_SCALAR_NODE)
		yaml_add_finding(d, val, path, "must be a single value");
	else
		read_scalar(d, val, path, f, (char *)base + f->offset);
}

void
yaml_read_map(struct yaml_doc *d, yaml_node_t *node, const char *path,
    const struct yaml_field *fields, void *base)
{
	bool seen[FIELDS_MAX] = {false};
	char sub[PATH_LEN];
	yaml_node_pair_t *pair;
	int i;

	if (node == NULL || node->type != YAML_MAPPING_NODE) {
		if (node != NULL)
			yaml_add_finding(d, node, path, "must be a mapping");
		return;
	}
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *k = yaml_document_get_node(&d->doc, pair->key);
		yaml_node_t *v = yaml_document_get_node(&d->doc, pair->value);
		const char *key = k->type == YAML_SCALAR_NODE
		    ? (const char *)k->data.scalar.value
		    : "?";

		snprintf(
		    sub, sizeof(sub), "%s%s%s", path, *path ? "." : "", key);
		i = field_index(fields, key);
		if (i < 0) {
			yaml_add_finding(d, k, sub, "unknown key");
			continue;
		}
		if (seen[i]) {
			yaml_add_finding(d, k, sub, "the key stands twice");
			continue;
		}
		seen[i] = true;
		read_pair(d, v, sub, &fields[i], base);
	}
	for (i = 0; fields[i].key != NULL; i++) {
		if (!fields[i].required || seen[i])
			continue;
		snprintf(sub, sizeof(sub), "%s%s%s", path, *path ? "." : "",
		    fields[i].key);
		yaml_add_finding(d, node, sub, "is missing");
	}
}

char *
yaml_read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "r");
	char *text;

	if (f == NULL)
		return NULL;
	text = xmalloc(FILE_MAX_BYTES + 1);
	*len = fread(text, 1, FILE_MAX_BYTES, f);
	text[*len] = '\0';
	fclose(f);
	return text;
}
