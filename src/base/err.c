#include "err.h"

static const char *const names[] = {
    "ok",
    "timeout",
    "connection",
    "not-sent",
    "conflict",
    "protocol",
    "not-owner",
    "invalid",
    "no-entry",
    "busy",
    "store-unavailable",
    "rate-limited",
    "forbidden",
};

const char *
cc_strerror(int e)
{
	int n = (int)(sizeof(names) / sizeof(names[0]));

	return (-e >= 0 && -e < n) ? names[-e] : "other";
}
