#include "print.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../base/xalloc.h"

#define CELL_LEN 80 /* text of a table's cell, with the final NUL */
#define COLUMNS_MAX 24
#define BAR_MAX 50	    /* characters of a histogram's longest bar */
#define DIFF_LINES_MAX 4000 /* print_diff ignores the lines after these */
#define DAY_S 86400

static void
cell_text(const json_t *row, const struct column *c, char out[CELL_LEN])
{
	const json_t *v = json_object_get(row, c->field);
	time_t t;
	struct tm tm;

	out[0] = '\0';
	switch (c->kind) {
	case COL_TEXT:
		str_copy(out,
		    json_string_value(v) != NULL ? json_string_value(v) : "",
		    CELL_LEN);
		break;
	case COL_INT:
		snprintf(
		    out, CELL_LEN, "%lld", (long long)json_integer_value(v));
		break;
	case COL_BOOL:
		str_copy(out, json_is_true(v) ? "yes" : "no", CELL_LEN);
		break;
	case COL_REAL:
		snprintf(out, CELL_LEN, "%.6f", json_number_value(v));
		break;
	case COL_TIME:
		t = (time_t)(json_integer_value(v) / 1000);
		if (t > 0 && gmtime_r(&t, &tm) != NULL)
			strftime(out, CELL_LEN, "%Y-%m-%dT%H:%M:%SZ", &tm);
		break;
	case COL_DAY:
		t = (time_t)(json_integer_value(v) * DAY_S);
		if (gmtime_r(&t, &tm) != NULL)
			strftime(out, CELL_LEN, "%Y-%m-%d", &tm);
		break;
	}
}

static int
count_columns(const struct column *cols)
{
	int n = 0;

	while (n < COLUMNS_MAX && cols[n].field != NULL)
		n++;
	return n;
}

/* Prints one row; the last column is not padded, so its width is not used. */
static void
print_cells(FILE *out, const json_t *row, const struct column *cols,
    const int *widths, int n)
{
	char cell[CELL_LEN];
	int i;

	for (i = 0; i < n; i++) {
		cell_text(row, &cols[i], cell);
		if (i + 1 < n)
			fprintf(out, "%-*s  ", widths[i], cell);
		else
			fprintf(out, "%s\n", cell);
	}
}

void
print_table(FILE *out, const json_t *rows, const struct column *cols)
{
	int widths[COLUMNS_MAX], n = count_columns(cols), i, len;
	char cell[CELL_LEN];
	size_t r;

	for (i = 0; i < n; i++) {
		widths[i] = (int)strlen(cols[i].title);
		for (r = 0; r < json_array_size(rows); r++) {
			cell_text(json_array_get(rows, r), &cols[i], cell);
			len = (int)strlen(cell);
			widths[i] = len > widths[i] ? len : widths[i];
		}
	}
	for (i = 0; i < n; i++)
		fprintf(out, i + 1 < n ? "%-*s  " : "%-*s\n",
		    i + 1 < n ? widths[i] : 0, cols[i].title);
	for (r = 0; r < json_array_size(rows); r++)
		print_cells(out, json_array_get(rows, r), cols, widths, n);
}

void
print_csv(FILE *out, const json_t *rows, const struct column *cols)
{
	int n = count_columns(cols), i;
	char cell[CELL_LEN];
	size_t r;

	for (i = 0; i < n; i++)
		fprintf(out, "%s%s", i ? "," : "", cols[i].field);
	fputc('\n', out);
	for (r = 0; r < json_array_size(rows); r++) {
		for (i = 0; i < n; i++) {
			cell_text(json_array_get(rows, r), &cols[i], cell);
			fprintf(out, "%s%s", i ? "," : "", cell);
		}
		fputc('\n', out);
	}
}

void
print_histogram(FILE *out, const char *title, const json_t *hist)
{
	const json_t *buckets = json_object_get(hist, "buckets"), *b;
	json_int_t most = 1, count;
	size_t i;
	int bar;

	fprintf(out, "%s: count %lld, p50 %lld, p99 %lld, max %lld\n", title,
	    (long long)json_integer_value(json_object_get(hist, "count")),
	    (long long)json_integer_value(json_object_get(hist, "p50")),
	    (long long)json_integer_value(json_object_get(hist, "p99")),
	    (long long)json_integer_value(json_object_get(hist, "max")));
	for (i = 0; i < json_array_size(buckets); i++) {
		count = json_integer_value(
		    json_array_get(json_array_get(buckets, i), 1));
		most = count > most ? count : most;
	}
	for (i = 0; i < json_array_size(buckets); i++) {
		b = json_array_get(buckets, i);
		count = json_integer_value(json_array_get(b, 1));
		bar = (int)(count * BAR_MAX / most);
		fprintf(out, "%10lld ms %8lld %.*s\n",
		    (long long)json_integer_value(json_array_get(b, 0)),
		    (long long)count, bar > 0 ? bar : 1,
		    "##################################################");
	}
}

struct lines {
	char *copy; /* text that the lines point into */
	char *line[DIFF_LINES_MAX];
	int n;
};

static void
lines_init(struct lines *l, const char *text)
{
	char *s, *save;

	l->copy = xstrdup(text);
	l->n = 0;
	for (s = strtok_r(l->copy, "\n", &save);
	     s != NULL && l->n < DIFF_LINES_MAX;
	     s = strtok_r(NULL, "\n", &save))
		l->line[l->n++] = s;
}

/*
 * Computes the lengths of longest common subsequences: entry i * (b->n + 1) + j
 * is that of the lines from a->line[i] and from b->line[j] to the ends.
 */
static uint16_t *
common_lengths(const struct lines *a, const struct lines *b)
{
	size_t w = (size_t)b->n + 1;
	uint16_t *t = xcalloc(((size_t)a->n + 1) * w, sizeof(*t));
	int i, j;

	for (i = a->n - 1; i >= 0; i--)
		for (j = b->n - 1; j >= 0; j--) {
			uint16_t down = t[(size_t)(i + 1) * w + (size_t)j];
			uint16_t right = t[(size_t)i * w + (size_t)j + 1];
			uint16_t both = t[(size_t)(i + 1) * w + (size_t)j + 1];

			if (strcmp(a->line[i], b->line[j]) == 0)
				t[(size_t)i * w + (size_t)j] =
				    (uint16_t)(both + 1);
			else
				t[(size_t)i * w + (size_t)j] =
				    down > right ? down : right;
		}
	return t;
}

int
print_diff(FILE *out, const char *old_text, const char *new_text)
{
	struct lines *a = xcalloc(1, sizeof(*a)), *b = xcalloc(1, sizeof(*b));
	uint16_t *t;
	size_t w;
	int i = 0, j = 0, n = 0;

	lines_init(a, old_text);
	lines_init(b, new_text);
	t = common_lengths(a, b);
	w = (size_t)b->n + 1;
	while (i < a->n || j < b->n) {
		if (i < a->n && j < b->n &&
		    strcmp(a->line[i], b->line[j]) == 0) {
			i++;
			j++;
		} else if (j == b->n ||
		    (i < a->n &&
			t[(size_t)(i + 1) * w + (size_t)j] >=
			    t[(size_t)i * w + (size_t)j + 1])) {
			fprintf(out, "-%s\n", a->line[i++]);
			n++;
		} else {
			fprintf(out, "+%s\n", b->line[j++]);
			n++;
		}
	}
	free(t);
	free(a->copy);
	free(b->copy);
	free(a);
	free(b);
	return n;
}
