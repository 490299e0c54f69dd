#include "finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "xalloc.h"

void
findings_init(struct findings *fs, const char *file)
{
	TAILQ_INIT(&fs->list);
	fs->count = 0;
	fs->file = xstrdup(file);
}

void
findings_done(struct findings *fs)
{
	struct finding *f;

	while ((f = TAILQ_FIRST(&fs->list)) != NULL) {
		TAILQ_REMOVE(&fs->list, f, link);
		free(f->field);
		free(f->text);
		free(f);
	}
	free(fs->file);
	fs->file = NULL;
}

void
findings_add(struct findings *fs, int line, int column, const char *field,
    const char *fmt, ...)
{
	struct finding *f = xcalloc(1, sizeof(*f));
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	f->line = line;
	f->column = column;
	f->field = xstrdup(field);
	f->text = xstrdup(text);
	TAILQ_INSERT_TAIL(&fs->list, f, link);
	fs->count++;
}

char *
findings_text(const struct findings *fs)
{
	struct finding *f;
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (out == NULL)
		abort();
	TAILQ_FOREACH (f, &fs->list, link)
		fprintf(out, "%s:%d:%d: %s: %s\n", fs->file, f->line, f->column,
		    f->field, f->text);
	fclose(out);
	return text;
}
