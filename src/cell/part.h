/**
 * @file The parts of the store that hold a cell's jobs, and their chains.
 *
 * The store does the transactions of a part one after another. All that is
 * written goes to the first part while the store answers soon; where it is
 * slow, new jobs go to whichever part is free, and stay there with all their
 * rows.
 *
 * Every commit to a part depends on its guard. That of the first part is the
 * leader's row; a new leader takes the others by a write of theirs.
 */
#ifndef CELL_PART_H
#define CELL_PART_H

#include "cell.h"

#define PART_FIRST 0
#define ALL_PARTS ((1u << CELL_PARTS) - 1)
#define CHAIN_KEY_LEN 16

const char *part_name(int part);
/** Chain of this number in the part. */
int part_chain(int part, int number);
int chain_part(int chain);
/** Key of the chain's row. @return @p key. */
const char *chain_key(int chain, char key[CHAIN_KEY_LEN]);
/** The row that the chain's key is of; -1 when it is another's. */
int chain_of_key(int part, const char *key);
/** Table and key of the part's guard, with the version that it must have. */
struct row part_guard(const struct cell *c, int part);

#endif
