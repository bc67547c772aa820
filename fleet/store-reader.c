#include "fleet/store-reader.h"

#include <string.h>
#include <xxhash.h>

/* Differs from the seeds of other rendezvous hashes. */
#define READER_HASH_SEED 0x726561646572

static uint64_t reader_weight(const struct member *m)
{
	return XXH64(&m->id, sizeof(m->id), READER_HASH_SEED);
}

static bool is_ranked_higher(const struct member *m, const struct member *self)
{
	uint64_t a = reader_weight(m);
	uint64_t b = reader_weight(self);

	if (m->link_mbps != self->link_mbps)
		return m->link_mbps > self->link_mbps;

	return a > b || (a == b && m->id > self->id);
}

bool is_store_reader(const struct view *v)
{
	return is_store_reader_after(v, 0);
}

bool is_store_reader_after(const struct view *v, unsigned int doublings)
{
	const struct member *self = find_member(v, view_self(v));
	const struct member *ms;
	unsigned int readers;
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
		above += is_ranked_higher(&ms[i], self);
	}
	readers = members < SECOND_READER_DOMAIN_MEMBERS && !alone
			  ? 1
			  : STORE_READERS_PER_DOMAIN;
	for (; doublings && readers < members; doublings--)
		readers *= 2;
	return above < readers;
}
