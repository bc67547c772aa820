/*
 * Chooses the few members that this instance keeps links to. The members of a
 * domain form FLEET_LOCAL_RINGS rings in different pseudo-random orders; each
 * member watches its successor on every ring. On FLEET_CROSS_RINGS further
 * rings of the whole fleet each member is linked to its next successor of
 * another domain. So members have about as many links in as out, and the union
 * of some random rings has a small diameter. A member that comes or goes
 * changes one link on each ring.
 */

#include "fleet/internal.h"

#include <string.h>
#include <xxhash.h>

#define FIRST_PING_MAX_MS 100 /* latest first ping of a new link */

static uint64_t ring_position(uint64_t id, unsigned int ring)
{
	return XXH64(&id, sizeof(id), ring + 1);
}

static bool is_avoided(const struct fleet *f, uint64_t id)
{
	const uint64_t *until = g_hash_table_lookup(f->avoided_until, &id);

	return until && f->now_ms < *until;
}

static bool may_link(const struct fleet *f, const struct member *m, bool cross)
{
	bool own = !strcmp(m->domain, f->self.domain);

	if (m->id == f->self.id || own == cross)
		return false;
	if (!is_live_member(m))
		return false;
	return !cross || (m->state == MEMBER_ALIVE && !is_avoided(f, m->id));
}

static const struct member *find_successor(const struct fleet *f,
					   unsigned int ring, bool cross)
{
	uint64_t own = ring_position(f->self.id, ring);
	const struct member *best = NULL;
	uint64_t best_distance = 0;
	const struct member *ms;
	size_t nr;

	ms = view_members(f->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		uint64_t distance;

		if (!may_link(f, &ms[i], cross))
			continue;
		distance = ring_position(ms[i].id, ring) - own;
		if (best && distance >= best_distance)
			continue;
		best = &ms[i];
		best_distance = distance;
	}
	return best;
}

static struct link *find_link_in(struct link *links, size_t nr, uint64_t id)
{
	for (size_t i = 0; i < nr; i++)
		if (links[i].id == id)
			return &links[i];
	return NULL;
}

struct link *find_link(struct fleet *f, uint64_t id)
{
	return find_link_in(f->links, f->link_nr, id);
}

static bool carries_all_records(unsigned int ring)
{
	return ring < FLEET_LOCAL_PUSH_RINGS ||
	       (ring >= FLEET_LOCAL_RINGS &&
		ring < FLEET_LOCAL_RINGS + FLEET_CROSS_PUSH_RINGS);
}

/* Appends a link to M, with its state if it was linked before. */
static void append_link(struct fleet *f, struct link *new, size_t *nr,
			const struct member *m, unsigned int ring)
{
	const struct link *old = find_link(f, m->id);
	struct link *same = find_link_in(new, *nr, m->id);
	struct link l = { .id = m->id };

	if (same) {
		same->carries_all_records |= carries_all_records(ring);
		return;
	}
	if (old)
		l = *old;
	else
		l.due_at_ms = f->now_ms +
			      (uint64_t)g_rand_int_range(f->rand, 0,
							 FIRST_PING_MAX_MS);
	l.address = member_endpoint(m);
	l.watched = ring < FLEET_LOCAL_RINGS;
	l.carries_all_records = carries_all_records(ring);
	new[(*nr)++] = l;
}

void choose_links(struct fleet *f)
{
	struct link new[FLEET_LINK_MAX] = { 0 };
	size_t nr = 0;

	for (unsigned int r = 0; r < FLEET_LINK_MAX; r++) {
		bool cross = r >= FLEET_LOCAL_RINGS;
		const struct member *m = find_successor(f, r, cross);

		if (m)
			append_link(f, new, &nr, m, r);
	}
	memcpy(f->links, new, nr * sizeof(*new));
	f->link_nr = nr;
	f->links_stale = false;
}
