/** @file Builds packed batches of journal records. */
#ifndef LEDGER_PACK_H
#define LEDGER_PACK_H

#include "ledger.h"

/** Records in packed form, one after the other, as fields of a Batch. */
struct batch_builder {
	uint8_t *data;
	size_t len;
	size_t room;
	int count;
};

void batch_builder_init(struct batch_builder *b);
void batch_builder_done(struct batch_builder *b);
void batch_add(struct batch_builder *b, const Cc__Rec *rec);
/** Moves all of @p src behind what @p b holds. */
void batch_append(struct batch_builder *b, struct batch_builder *src);
void batch_add_entry(struct batch_builder *b, const struct entry *e);
void batch_add_cost(struct batch_builder *b, const struct cost_row *c);
/** The packed Batch; empties the builder. The caller frees. */
uint8_t *batch_builder_finish(
    struct batch_builder *b, uint64_t commit_id, size_t *len);

struct size size_unpack(const Cc__Size *s);
/** Copies a size into a message that is initialised here. */
void size_pack(Cc__Size *out, const struct size *s);

#endif
