/**
 * @file Cursor over the pages of a listing of the store.
 */
#ifndef STORE_PAGE_H
#define STORE_PAGE_H

#include "../ports/ports.h"

/** Longest key of a row, bytes. */
#define STORE_KEY_MAX 200

struct store_page {
	/** Key that the next page begins with; "": the first page. */
	char from[STORE_KEY_MAX + 2];
};

/** Returns to the first page. */
void store_page_reset(struct store_page *p);
/** Moves past the rows of @p r. @return whether there is another page. */
bool store_page_next(struct store_page *p, const struct store_result *r);

#endif
