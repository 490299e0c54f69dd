/* Names and keys of the store's parts, and the layout of commit chains. */
#include "store_part.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/xalloc.h"

static const char *const names[CELL_PARTS] = {CELL_PART, "c1", "c2", "c3"};

const char *
part_name(int part)
{
	return names[part];
}

int
part_chain(int part, int number)
{
	return part * PART_CHAINS + number;
}

int
chain_part(int chain)
{
	return chain / PART_CHAINS;
}

const char *
chain_key(int chain, char key[CHAIN_KEY_LEN])
{
	int number = chain % PART_CHAINS;

	if (number == 0)
		str_copy(key, COMMIT_KEY, CHAIN_KEY_LEN);
	else
		snprintf(key, CHAIN_KEY_LEN, COMMIT_KEY "%d", number);
	return key;
}

int
chain_of_key(int part, const char *key)
{
	int number;

	if (strncmp(key, COMMIT_KEY, strlen(COMMIT_KEY)) != 0)
		return -1;
	number = atoi(key + strlen(COMMIT_KEY));
	return number >= 0 && number < PART_CHAINS ? part_chain(part, number)
						   : -1;
}

struct row
part_guard(const struct cell *c, int part)
{
	if (part == PART_FIRST)
		return (struct row){.table = MEMBER_TABLE,
		    .key = LEADER_KEY,
		    .version = c->fence};
	return (struct row){.table = CELL_TABLE,
	    .key = GUARD_KEY,
	    .version = c->parts[part].guard};
}
