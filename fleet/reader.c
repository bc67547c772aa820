#include "fleet/reader.h"

#include <string.h>
#include <xxhash.h>

#define READER_SEED 0x726561646572 /* apart from other rendezvous */

static uint64_t weight_of(const struct member *m)
{
	return XXH64(&m->id, sizeof(m->id), READER_SEED);
}

static bool outranks(const struct member *m, const struct member *self)
{
	uint64_t a = weight_of(m);
	uint64_t b = weight_of(self);

	if (m->strength != self->strength)
		return m->strength > self->strength;

	return a > b || (a == b && m->id > self->id);
}

bool is_reader(const struct view *v)
{
	const struct member *self = find_member(v, view_self(v));
	const struct member *ms;
	unsigned int above = 0;
	unsigned int members = 1;
	bool alone = true;
	size_t nr;

	if (!self)
		return true;
	ms = view_members(v, &nr);
	for (size_t i = 0; i < nr; i++) {
		if (ms[i].id == self->id || !is_live_member(&ms[i]))
			continue;
		if (strcmp(ms[i].domain, self->domain) != 0) {
			alone = false;
			continue;
		}
		members++;
		above += outranks(&ms[i], self);
	}
	return above < (members < READERS_DOMAIN_MIN && !alone
				? 1
				: READERS_PER_DOMAIN);
}
