#include "store_page.h"

#include <stdio.h>

void
store_page_reset(struct store_page *p)
{
	p->from[0] = '\0';
}

bool
store_page_next(struct store_page *p, const struct store_result *r)
{
	if (!r->has_more || r->last_key == NULL)
		return false;
	/* No key that can be read lies between a key and this one. */
	snprintf(
	    p->from, sizeof(p->from), "%.*s\x01", STORE_KEY_MAX, r->last_key);
	return true;
}
