/**
 * @file Findings: the errors that a check of a text finds, each with its line
 * and column. They are collected, so that all are reported at once.
 */
#ifndef FINDING_H
#define FINDING_H

#include <sys/queue.h>

struct finding {
	TAILQ_ENTRY(finding) link;
	int line;   /**< 1-based; 0 when it has no position */
	int column; /**< 1-based */
	char *field;
	char *text;
};

struct findings {
	TAILQ_HEAD(finding_list, finding) list;
	int count;
	char *file;
};

void findings_init(struct findings *fs, const char *file);
void findings_done(struct findings *fs);
void findings_add(struct findings *fs, int line, int column, const char *field,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
/**
 * All findings, one a line, as "file:line:column: field: text\n". The caller
 * frees.
 */
char *findings_text(const struct findings *fs);

#endif
