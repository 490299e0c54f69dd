/** @file Prints tables, CSV, histograms and differences of texts. */
#ifndef PRINT_H
#define PRINT_H

#include <jansson.h>
#include <stdio.h>

/** One column: the JSON field of the rows, its title and its format. */
struct column {
	const char *field;
	const char *title;
	enum {
		COL_TEXT,
		COL_INT,
		COL_BOOL, /**< yes or no */
		COL_REAL,
		COL_TIME, /**< ms since 1970, printed as UTC */
		COL_DAY	  /**< days since 1970, printed as a date */
	} kind;
};

/** Prints an array of objects; @p cols ends with a NULL field. */
void print_table(FILE *out, const json_t *rows, const struct column *cols);
/** Prints an array of objects as CSV; the header line has the fields' names. */
void print_csv(FILE *out, const json_t *rows, const struct column *cols);
/**
 * Draws a histogram.
 * @param hist object with count, p50, p99 and max, and with "buckets", an array
 *     of pairs: a bucket's lowest value in ms and its count
 */
void print_histogram(FILE *out, const char *title, const json_t *hist);
/**
 * Prints the lines that differ, as "-old" and "+new"; empty lines are ignored.
 * @return the number of lines printed.
 */
int print_diff(FILE *out, const char *old_text, const char *new_text);

#endif
