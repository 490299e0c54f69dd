/** @file Serializes journal records into the packed form of a Batch. */
#ifndef LEDGER_PACK_H
#define LEDGER_PACK_H

#include "ledger.h"

/** A Batch under construction: its records, already in wire form. */
struct batch_builder {
	uint8_t *data;
	size_t len;
	size_t capacity;
	int count; /**< records */
};

void batch_builder_init(struct batch_builder *b);
void batch_builder_done(struct batch_builder *b);
void batch_add(struct batch_builder *b, const Cc__Rec *rec);
/** Moves all records of @p src to the end of @p b. */
void batch_append(struct batch_builder *b, struct batch_builder *src);
void batch_add_entry(struct batch_builder *b, const struct entry *e);
void batch_add_cost(struct batch_builder *b, const struct cost_row *c);
/** @return the packed Batch, which the caller frees; @p b is then empty. */
uint8_t *batch_builder_finish(
    struct batch_builder *b, uint64_t commit_id, size_t *len);

struct size size_unpack(const Cc__Size *s);
/** Initialises @p out and copies @p s into it. */
void size_pack(Cc__Size *out, const struct size *s);

#endif
