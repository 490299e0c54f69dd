#include "config_parts.h"

#include <stdlib.h>
#include <string.h>

#include "../base/err.h"
#include "../base/xalloc.h"

void
config_parts_init(struct config_parts *p)
{
	*p = (struct config_parts){0};
}

void
config_parts_done(struct config_parts *p)
{
	free(p->text);
}

void
config_parts_reset(struct config_parts *p)
{
	config_parts_done(p);
	config_parts_init(p);
}

static void
begin(struct config_parts *p, uint64_t version, size_t total)
{
	config_parts_reset(p);
	p->version = version;
	p->total = total;
	p->text = xmalloc(total);
}

int
config_parts_add(struct config_parts *p, const struct config_part *part)
{
	if (part->version == 0 || part->len == 0 ||
	    part->total > CONFIG_TEXT_MAX_BYTES) {
		config_parts_reset(p);
		return CC_EINVAL;
	}
	if (part->version != p->version || part->total != p->total)
		begin(p, part->version, part->total);
	if (part->offset != p->len || part->len > p->total - p->len) {
		config_parts_reset(p);
		return CC_EINVAL;
	}
	memcpy(p->text + p->len, part->data, part->len);
	p->len += part->len;
	return CC_OK;
}

bool
config_parts_complete(const struct config_parts *p)
{
	return p->version != 0 && p->len == p->total;
}
