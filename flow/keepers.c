#include "flow/keepers.h"

#include <glib.h>
#include <xxhash.h>

#define CACHE_NR 1024 /* pairs, a power of two */
#define RECENT_NR 32  /* changes of members looked back on */

struct cached_pair {
	uint64_t service;
	uint32_t slot;
	uint32_t generation; /* 0 when empty */
	struct keeper_pair pair;
};

/* A member that came or went. */
struct member_change {
	uint64_t id;
	uint64_t at; /* ms; 0 when unused */
	bool came;
};

struct keepers {
	const struct view *view;
	uint32_t generation;
	GArray *live; /* ids, sorted */
	struct member_change recent[RECENT_NR];
	unsigned int next_recent;
	struct cached_pair cache[CACHE_NR];
};

struct keepers *create_keepers(const struct view *view)
{
	struct keepers *ks = g_new0(struct keepers, 1);

	ks->view = view;
	ks->generation = 1;
	ks->live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return ks;
}

void destroy_keepers(struct keepers *ks)
{
	if (!ks)
		return;
	g_array_free(ks->live, TRUE);
	g_free(ks);
}

static void note_change(struct keepers *ks, uint64_t id, bool came,
			uint64_t now_ms)
{
	struct member_change *c = &ks->recent[ks->next_recent++ % RECENT_NR];

	c->id = id;
	c->at = now_ms ? now_ms : 1;
	c->came = came;
}

/* Notes what differs between two sorted lists; true if anything does. */
static bool note_changes(struct keepers *ks, const GArray *old,
			 const GArray *now, uint64_t now_ms)
{
	bool changed = false;
	guint i = 0;
	guint j = 0;

	while (i < old->len || j < now->len) {
		uint64_t a = i < old->len ? g_array_index(old, uint64_t, i)
					  : UINT64_MAX;
		uint64_t b = j < now->len ? g_array_index(now, uint64_t, j)
					  : UINT64_MAX;

		i += a <= b;
		j += b <= a;
		if (a == b)
			continue;
		note_change(ks, a < b ? a : b, b < a, now_ms);
		changed = true;
	}
	return changed;
}

bool update_keepers(struct keepers *ks, uint64_t now_ms)
{
	GArray *live = list_live_members(ks->view);

	if (!note_changes(ks, ks->live, live, now_ms)) {
		g_array_free(live, TRUE);
		return false;
	}
	g_array_free(ks->live, TRUE);
	ks->live = live;
	ks->generation++;
	return true;
}

size_t newly_live(const struct keepers *ks, uint64_t now_ms, uint64_t *ids,
		  size_t nr)
{
	size_t n = 0;

	for (int i = 0; i < RECENT_NR && n < nr; i++)
		if (ks->recent[i].came && ks->recent[i].at == now_ms)
			ids[n++] = ks->recent[i].id;
	return n;
}

size_t other_live_nr(const struct keepers *ks)
{
	uint64_t self = view_self(ks->view);
	size_t nr = 0;

	for (guint i = 0; i < ks->live->len; i++)
		nr += g_array_index(ks->live, uint64_t, i) != self;
	return nr;
}

static uint64_t slot_key(uint64_t service, uint32_t slot)
{
	return XXH64(&service, sizeof(service), slot);
}

static struct keeper_pair rank_pair(const struct view *v, uint64_t key)
{
	const struct member *ms[KEEPER_NR];
	struct keeper_pair pair = { 0 };

	pair.nr = (uint8_t)rank_members(v, key, ms, KEEPER_NR);
	for (uint8_t i = 0; i < pair.nr; i++)
		pair.id[i] = ms[i]->id;
	if (pair.nr)
		pair.print = (uint16_t)XXH64(pair.id, sizeof(pair.id), 0) | 1;
	return pair;
}

struct keeper_pair find_keepers(struct keepers *ks, uint64_t service,
				uint32_t slot)
{
	uint64_t key = slot_key(service, slot);
	struct cached_pair *c = &ks->cache[key & (CACHE_NR - 1)];

	if (c->generation == ks->generation && c->service == service &&
	    c->slot == slot)
		return c->pair;
	c->service = service;
	c->slot = slot;
	c->generation = ks->generation;
	c->pair = rank_pair(ks->view, key);
	return c->pair;
}

bool is_keeper(const struct keeper_pair *pair, uint64_t id)
{
	for (uint8_t i = 0; i < pair->nr; i++)
		if (pair->id[i] == id)
			return true;
	return false;
}

/*
 * Counts the members that lately came, or went, and outrank the member LAST
 * for KEY.
 */
static size_t count_recent(const struct keepers *ks, uint64_t key,
			   const struct member *last, bool came,
			   uint64_t now_ms)
{
	uint64_t floor = XXH64(&last->id, sizeof(last->id), key);
	size_t nr = 0;

	for (int i = 0; i < RECENT_NR; i++) {
		const struct member_change *c = &ks->recent[i];

		if (!c->at || c->came != came ||
		    now_ms - c->at > KEEPER_RECENT_MS)
			continue;
		nr += XXH64(&c->id, sizeof(c->id), key) >= floor;
	}
	return nr;
}

/* True if ID stopped being live within the last WITHIN_MS. */
static bool went_lately(const struct keepers *ks, uint64_t id,
			uint64_t within_ms, uint64_t now_ms)
{
	for (int i = 0; i < RECENT_NR; i++) {
		const struct member_change *c = &ks->recent[i];

		if (c->at && !c->came && c->id == id &&
		    now_ms - c->at <= within_ms)
			return true;
	}
	return false;
}

/*
 * Appends members that say that they leave, still run, and were keepers
 * before: until their copies have arrived they know more than the others.
 */
static size_t add_leaving(const struct keepers *ks, uint64_t key,
			  uint64_t now_ms, const struct member **out, size_t nr)
{
	const struct member *last = out[MIN(nr, KEEPER_NR) - 1];
	uint64_t floor = XXH64(&last->id, sizeof(last->id), key);
	const struct member *ms;
	size_t member_nr;

	ms = view_members(ks->view, &member_nr);
	for (size_t i = 0; i < member_nr && nr < KEEPER_WALK_MAX; i++) {
		if (ms[i].state != MEMBER_LEAVING ||
		    XXH64(&ms[i].id, sizeof(ms[i].id), key) < floor)
			continue;
		if (went_lately(ks, ms[i].id, KEEPER_LEAVING_MS, now_ms))
			out[nr++] = &ms[i];
	}
	return nr;
}

size_t rank_holders(const struct keepers *ks, uint64_t service, uint32_t slot,
		    uint64_t now_ms, const struct member **out)
{
	uint64_t key = slot_key(service, slot);
	size_t nr = rank_members(ks->view, key, out, KEEPER_NR);
	size_t wanted = KEEPER_NR;

	if (nr < KEEPER_NR)
		return nr ? add_leaving(ks, key, now_ms, out, nr) : 0;
	wanted += count_recent(ks, key, out[KEEPER_NR - 1], true, now_ms);
	if (count_recent(ks, key, out[KEEPER_NR - 1], false, now_ms) >=
	    KEEPER_NR)
		wanted = KEEPER_WALK_MAX;
	if (wanted > KEEPER_NR)
		nr = rank_members(ks->view, key, out,
				  MIN(wanted, KEEPER_WALK_MAX));
	return add_leaving(ks, key, now_ms, out, nr);
}
