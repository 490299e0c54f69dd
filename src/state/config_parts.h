/**
 * @file The text of a configuration that arrives in parts, in order.
 *
 * All hosts hold the same text of a version, so its parts may come from several
 * of them.
 */
#ifndef CONFIG_PARTS_H
#define CONFIG_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest text, bytes. */
#define CONFIG_TEXT_MAX_BYTES ((size_t)64 << 20)

struct config_parts {
	uint64_t version; /**< of the text that arrives; 0: none */
	char *text;	  /**< its bytes so far */
	size_t len;
	size_t total;
};

/** One part, as a host sent it. */
struct config_part {
	uint64_t version;
	size_t total; /**< bytes of the whole text */
	size_t offset;
	const uint8_t *data;
	size_t len;
};

void config_parts_init(struct config_parts *p);
void config_parts_done(struct config_parts *p);
/** Drops what has arrived. */
void config_parts_reset(struct config_parts *p);
/**
 * Adds a part. One of another version replaces what has arrived.
 * @return CC_EINVAL when the part isn't the next one or is out of range;
 *     nothing is kept then
 */
int config_parts_add(struct config_parts *p, const struct config_part *part);
/** Whether the text is whole. */
bool config_parts_complete(const struct config_parts *p);

#endif
