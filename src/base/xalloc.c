#include "xalloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
out_of_memory(void)
{
	static const char msg[] = "out of memory\n";

	fwrite(msg, 1, sizeof(msg) - 1, stderr);
	abort();
}

void *
xmalloc(size_t len)
{
	void *p = malloc(len ? len : 1);

	if (p == NULL)
		out_of_memory();
	return p;
}

void *
xcalloc(size_t n, size_t len)
{
	void *p = calloc(n ? n : 1, len ? len : 1);

	if (p == NULL)
		out_of_memory();
	return p;
}

void *
xrealloc(void *old, size_t len)
{
	void *p = realloc(old, len ? len : 1);

	if (p == NULL)
		out_of_memory();
	return p;
}

void *
xmemdup(const void *src, size_t len)
{
	void *p = xmalloc(len);

	if (len > 0)
		memcpy(p, src, len);
	return p;
}

char *
xstrdup(const char *s)
{
	return xmemdup(s, strlen(s) + 1);
}

char *
xasprintf(const char *fmt, ...)
{
	va_list ap;
	char *s;

	va_start(ap, fmt);
	if (vasprintf(&s, fmt, ap) == -1)
		out_of_memory();
	va_end(ap);
	return s;
}

void
str_copy(char *dst, const char *src, size_t len)
{
	size_t n = strnlen(src, len - 1);

	memcpy(dst, src, n);
	dst[n] = '\0';
}
