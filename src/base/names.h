/**
 * @file Names that many records share, such as those of services and racks: one
 * copy of each, which stays for the life of the process.
 */
#ifndef NAMES_H
#define NAMES_H

#include <stddef.h>

/** Most bytes of all names together. */
#define NAMES_MAX_BYTES ((size_t)4 << 20)

/** @return the one copy of the text; NULL when there is no room for more. */
const char *names_get(const char *text);

#endif
