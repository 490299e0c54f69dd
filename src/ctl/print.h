/** @file Tables and histograms in the terminal. */
#ifndef PRINT_H
#define PRINT_H

#include <jansson.h>
#include <stdio.h>

/** One column: the field of each row, its title, and how it is shown. */
struct column {
	const char *field;
	const char *title;
	enum {
		COL_TEXT,
		COL_INT,
		COL_BOOL,
		COL_REAL,
		COL_TIME,
		COL_DAY
	} kind;
};

/** Prints an array of objects; columns end with a NULL field. */
void print_table(FILE *out, const json_t *rows, const struct column *cols);
void print_csv(FILE *out, const json_t *rows, const struct column *cols);
/** Draws a histogram of pairs of lowest value and count. */
void print_histogram(FILE *out, const char *title, const json_t *hist);
/** Prints the lines that differ, as "-old" and "+new". @return their number. */
int print_diff(FILE *out, const char *old_text, const char *new_text);

#endif
