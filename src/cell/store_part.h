/**
 * @file Partitions of the store ("parts") that hold a cell's jobs, and the
 * commit chains in them.
 *
 * The store executes the transactions of one part serially. While it answers
 * fast, everything is written to the first part. While it is slow, each new
 * job goes to any part that is free, and keeps all its rows there.
 *
 * Every commit to a part is conditional on the version of the part's guard
 * row, so that it fails once another host leads. The guard of the first part
 * is the leader's row; a new leader claims the other parts by writing their
 * guard rows.
 */
#ifndef STORE_PART_H
#define STORE_PART_H

#include "cell.h"

#define PART_FIRST 0
#define ALL_PARTS ((1u << CELL_PARTS) - 1)
#define CHAIN_KEY_LEN 16

const char *part_name(int part);
/** Index in the cell's chains of the part's chain @p number, counted from 0. */
int part_chain(int part, int number);
/** Part that the chain belongs to. */
int chain_part(int chain);
/** Writes the key of the chain's row to @p key. @return @p key. */
const char *chain_key(int chain, char key[CHAIN_KEY_LEN]);
/** Chain whose row has this key; -1 when it is the key of another row. */
int chain_of_key(int part, const char *key);
/** Table and key of the part's guard row, with the version that it must have.
 */
struct row part_guard(const struct cell *c, int part);

#endif
