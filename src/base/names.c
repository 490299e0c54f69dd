#include "names.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "kvlog.h"
#include "xalloc.h"

struct name {
	UT_hash_handle hh;
	char text[];
};

static struct name *names;
static size_t names_bytes;

static struct name *
names_add(const char *text, size_t len)
{
	struct name *n = xcalloc(1, sizeof(*n) + len + 1);

	memcpy(n->text, text, len);
	HASH_ADD_KEYPTR(hh, names, n->text, len, n);
	names_bytes += sizeof(*n) + len + 1;
	return n;
}

const char *
names_get(const char *text)
{
	size_t len = strlen(text);
	struct name *n;

	HASH_FIND(hh, names, text, len, n);
	if (n != NULL)
		return n->text;
	if (len > NAMES_MAX_BYTES ||
	    names_bytes + sizeof(*n) + len + 1 > NAMES_MAX_BYTES) {
		kvlog(KVLOG_WARN, "names_full", "bytes=%zu len=%zu",
		    names_bytes, len);
		return NULL;
	}
	return names_add(text, len)->text;
}
