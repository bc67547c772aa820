#include "flow/replicas.h"

#include <glib.h>
#include <xxhash.h>

#define PAIR_CACHE_SIZE 1024  /* a power of two */
#define MEMBER_CHANGES_MAX 32 /* latest changes that are remembered */

struct cached_pair {
	uint64_t service;
	uint32_t slot;
	uint32_t generation; /* of the live members; 0: unused */
	struct replica_pair pair;
};

/* A member that became live or stopped being so. */
struct member_change {
	uint64_t id;
	uint64_t at_ms; /* 0: unused */
	bool joined;
};

struct flow_replicas {
	const struct view *view;
	uint32_t generation;
	GArray *live_ids; /* sorted */
	struct member_change recent_changes[MEMBER_CHANGES_MAX];
	unsigned int change_index;
	struct cached_pair cache[PAIR_CACHE_SIZE];
};

struct flow_replicas *create_flow_replicas(const struct view *view)
{
	struct flow_replicas *rs = g_new0(struct flow_replicas, 1);

	rs->view = view;
	rs->generation = 1;
	rs->live_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return rs;
}

void destroy_flow_replicas(struct flow_replicas *rs)
{
	if (!rs)
		return;
	g_array_free(rs->live_ids, TRUE);
	g_free(rs);
}

static void record_member_change(struct flow_replicas *rs, uint64_t id,
				 bool joined, uint64_t now_ms)
{
	struct member_change *c =
		&rs->recent_changes[rs->change_index++ % MEMBER_CHANGES_MAX];

	c->id = id;
	c->at_ms = now_ms ? now_ms : 1;
	c->joined = joined;
}

/* Records the differences of two sorted lists of ids; true if any. */
static bool record_member_changes(struct flow_replicas *rs, const GArray *old,
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
		record_member_change(rs, a < b ? a : b, b < a, now_ms);
		changed = true;
	}
	return changed;
}

bool update_flow_replicas(struct flow_replicas *rs, uint64_t now_ms)
{
	GArray *live = list_live_members(rs->view);

	if (!record_member_changes(rs, rs->live_ids, live, now_ms)) {
		g_array_free(live, TRUE);
		return false;
	}
	g_array_free(rs->live_ids, TRUE);
	rs->live_ids = live;
	rs->generation++;
	return true;
}

size_t list_joined_members(const struct flow_replicas *rs, uint64_t now_ms,
			   uint64_t *ids, size_t nr)
{
	size_t n = 0;

	for (int i = 0; i < MEMBER_CHANGES_MAX && n < nr; i++)
		if (rs->recent_changes[i].joined &&
		    rs->recent_changes[i].at_ms == now_ms)
			ids[n++] = rs->recent_changes[i].id;
	return n;
}

size_t other_live_count(const struct flow_replicas *rs)
{
	uint64_t self = view_self(rs->view);
	size_t nr = 0;

	for (guint i = 0; i < rs->live_ids->len; i++)
		nr += g_array_index(rs->live_ids, uint64_t, i) != self;
	return nr;
}

static uint64_t slot_key(uint64_t service, uint32_t slot)
{
	return XXH64(&service, sizeof(service), slot);
}

static struct replica_pair choose_pair(const struct view *v, uint64_t key)
{
	const struct member *ms[FLOW_REPLICA_NR];
	struct replica_pair pair = { 0 };

	pair.nr = (uint8_t)rank_members(v, key, ms, FLOW_REPLICA_NR);
	for (uint8_t i = 0; i < pair.nr; i++)
		pair.id[i] = ms[i]->id;
	if (pair.nr)
		pair.fingerprint =
			(uint16_t)XXH64(pair.id, sizeof(pair.id), 0) | 1;
	return pair;
}

struct replica_pair find_flow_replicas(struct flow_replicas *rs,
				       uint64_t service, uint32_t slot)
{
	uint64_t key = slot_key(service, slot);
	struct cached_pair *c = &rs->cache[key & (PAIR_CACHE_SIZE - 1)];

	if (c->generation == rs->generation && c->service == service &&
	    c->slot == slot)
		return c->pair;
	c->service = service;
	c->slot = slot;
	c->generation = rs->generation;
	c->pair = choose_pair(rs->view, key);
	return c->pair;
}

bool is_flow_replica(const struct replica_pair *pair, uint64_t id)
{
	for (uint8_t i = 0; i < pair->nr; i++)
		if (pair->id[i] == id)
			return true;
	return false;
}

/*
 * Counts the members that recently joined (JOINED), or left, and that rank
 * before the member LAST for KEY.
 */
static size_t count_recent_changes(const struct flow_replicas *rs, uint64_t key,
				   const struct member *last, bool joined,
				   uint64_t now_ms)
{
	uint64_t last_rank = XXH64(&last->id, sizeof(last->id), key);
	size_t nr = 0;

	for (int i = 0; i < MEMBER_CHANGES_MAX; i++) {
		const struct member_change *c = &rs->recent_changes[i];

		if (!c->at_ms || c->joined != joined ||
		    now_ms - c->at_ms > FLOW_REPLICA_RECENT_MS)
			continue;
		nr += XXH64(&c->id, sizeof(c->id), key) >= last_rank;
	}
	return nr;
}

/* True if ID stopped being live within the last WITHIN_MS. */
static bool left_recently(const struct flow_replicas *rs, uint64_t id,
			  uint64_t within_ms, uint64_t now_ms)
{
	for (int i = 0; i < MEMBER_CHANGES_MAX; i++) {
		const struct member_change *c = &rs->recent_changes[i];

		if (c->at_ms && !c->joined && c->id == id &&
		    now_ms - c->at_ms <= within_ms)
			return true;
	}
	return false;
}

/*
 * Appends members that have announced that they leave, still run, and were
 * replicas before: until their records have been handed over, they have flows
 * that the new replicas lack.
 */
static size_t append_leaving_members(const struct flow_replicas *rs,
				     uint64_t key, uint64_t now_ms,
				     const struct member **out, size_t nr)
{
	const struct member *last = out[MIN(nr, FLOW_REPLICA_NR) - 1];
	uint64_t last_rank = XXH64(&last->id, sizeof(last->id), key);
	const struct member *ms;
	size_t member_nr;

	ms = view_members(rs->view, &member_nr);
	for (size_t i = 0; i < member_nr && nr < FLOW_HOLDERS_MAX; i++) {
		if (ms[i].state != MEMBER_LEAVING ||
		    XXH64(&ms[i].id, sizeof(ms[i].id), key) < last_rank)
			continue;
		if (left_recently(rs, ms[i].id, FLOW_REPLICA_LEAVING_MS,
				  now_ms))
			out[nr++] = &ms[i];
	}
	return nr;
}

size_t rank_record_holders(const struct flow_replicas *rs, uint64_t service,
			   uint32_t slot, uint64_t now_ms,
			   const struct member **out)
{
	uint64_t key = slot_key(service, slot);
	size_t nr = rank_members(rs->view, key, out, FLOW_REPLICA_NR);
	size_t holder_nr = FLOW_REPLICA_NR;

	if (nr < FLOW_REPLICA_NR)
		return nr ? append_leaving_members(rs, key, now_ms, out, nr)
			  : 0;
	holder_nr += count_recent_changes(rs, key, out[FLOW_REPLICA_NR - 1],
					  true, now_ms);
	if (count_recent_changes(rs, key, out[FLOW_REPLICA_NR - 1], false,
				 now_ms) >= FLOW_REPLICA_NR)
		holder_nr = FLOW_HOLDERS_MAX;
	if (holder_nr > FLOW_REPLICA_NR)
		nr = rank_members(rs->view, key, out,
				  MIN(holder_nr, FLOW_HOLDERS_MAX));
	return append_leaving_members(rs, key, now_ms, out, nr);
}
