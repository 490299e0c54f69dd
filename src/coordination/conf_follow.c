#include "conf_follow.h"

bool
conf_follow_wants(const struct conf_follow *f, uint64_t version)
{
	return !f->known || version > f->version;
}

bool
conf_follow_offer(struct conf_follow *f, uint64_t version)
{
	bool first = !f->known;

	f->known = true;
	if (version < f->version || (version == f->version && !first))
		return false;
	f->version = version;
	return true;
}
