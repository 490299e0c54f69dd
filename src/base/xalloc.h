/** @file Allocation functions that abort when there is no memory. */
#ifndef XALLOC_H
#define XALLOC_H

#include <stddef.h>

void *xmalloc(size_t len);
void *xcalloc(size_t n, size_t len);
void *xrealloc(void *p, size_t len);
char *xstrdup(const char *s);
void *xmemdup(const void *p, size_t len);
/** Formats into a new string. The caller frees. */
char *xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Copies at most @p len - 1 bytes of @p src, and terminates the copy. */
void str_copy(char *dst, const char *src, size_t len);

#endif
