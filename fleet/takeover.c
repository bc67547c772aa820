/* Which members get to know of flows that they may have to take over. */

#include <xxhash.h>

#include "fleet/heartbeat-state.h"

/* A member that may keep the split flows of a domain; higher weights go first. */
struct keeper {
	const struct member *member;
	uint64_t weight;
};

/* The keepers that one domain has of another one's split flows. */
struct keepers {
	struct keeper at[TAKEOVER_KEEPERS];
	size_t nr;
};

/* Adds M to the keepers of DOMAIN's split flows if it is among the first. */
static void add_keeper(struct keepers *ks, const struct member *m,
		       const char *domain)
{
	struct keeper k = { m, XXH64(domain, strlen(domain), m->id) };

	for (size_t i = 0; i < ks->nr; i++)
		if (k.weight > ks->at[i].weight) {
			struct keeper lower = ks->at[i];

			ks->at[i] = k;
			k = lower;
		}
	if (ks->nr < TAKEOVER_KEEPERS)
		ks->at[ks->nr++] = k;
}

/* The live member that P is, if it understands notices; else NULL. */
static const struct member *
find_keeper_candidate(const struct heartbeat_tracker *ht, const struct peer *p)
{
	const struct member *m = find_member(ht->view, p->id);

	return p->takes_split_flows && m && is_live_member(m) ? m : NULL;
}

/* The own domain's keepers of DOMAIN's split flows. */
static struct keepers find_own_keepers(const struct heartbeat_tracker *ht,
				       const char *domain)
{
	struct keepers ks = { .nr = 0 };

	add_keeper(&ks, &ht->self, domain);
	for (guint i = 0; i < ht->peers->len; i++) {
		const struct member *m = find_keeper_candidate(
			ht, &g_array_index(ht->peers, struct peer, i));

		if (m && !is_remote_member(ht, m))
			add_keeper(&ks, m, domain);
	}
	return ks;
}

static bool is_own_keeper(const struct heartbeat_tracker *ht,
			  const struct keepers *ks)
{
	for (size_t i = 0; i < ks->nr; i++)
		if (ks->at[i].member->id == ht->self.id)
			return true;
	return false;
}

size_t pick_keepers(const struct heartbeat_tracker *ht, const char *domain,
		    struct endpoint to[TAKEOVER_KEEPERS])
{
	struct keepers ks = find_own_keepers(ht, domain);
	size_t nr = 0;

	if (is_own_keeper(ht, &ks))
		return 0;
	for (; nr < ks.nr; nr++)
		to[nr] = member_endpoint(ks.at[nr].member);
	return nr;
}

/* Whether members of other domains are not told everything. */
static bool has_untold_members(const struct heartbeat_tracker *ht)
{
	size_t nr;

	/* also those that have just been lost */
	view_members(ht->view, &nr);
	return nr > HEARTBEAT_REMOTE_FLEET_MEMBERS;
}

static bool is_away(const struct heartbeat_tracker *ht,
		    const struct heard_domain *hd, uint64_t now_ms)
{
	uint64_t silent_ms = now_ms - hd->last_ready_ms;

	return hd->last_ready_ms && silent_ms > TAKEOVER_AWAY_MS &&
	       silent_ms > TAKEOVER_AWAY_MISSES *
				   expected_domain_ms(ht, hd->name) &&
	       strcmp(hd->name, ht->self.domain) != 0;
}

const char *next_away_domain(struct heartbeat_tracker *ht, uint64_t now_ms)
{
	if (!has_untold_members(ht))
		return NULL;
	for (guint i = 0; i < ht->heard_domains->len; i++) {
		struct heard_domain *hd = &g_array_index(
			ht->heard_domains, struct heard_domain, i);

		if (hd->away || !is_away(ht, hd, now_ms))
			continue;
		hd->away = true;
		return hd->name;
	}
	return NULL;
}

const char *next_kept_domain(struct heartbeat_tracker *ht, uint64_t now_ms)
{
	if (now_ms - ht->kept_checked_ms < TAKEOVER_KEPT_CHECK_MS ||
	    !has_untold_members(ht) || !is_view_settled(ht->view))
		return NULL;
	for (guint i = 0; i < ht->heard_domains->len; i++) {
		struct heard_domain *hd = &g_array_index(
			ht->heard_domains, struct heard_domain, i);
		struct keepers ks = find_own_keepers(ht, hd->name);
		bool was_kept = hd->kept;

		if (!strcmp(hd->name, ht->self.domain))
			continue;
		hd->kept = is_own_keeper(ht, &ks);
		if (hd->kept && !was_kept)
			return hd->name;
	}
	ht->kept_checked_ms = now_ms;
	return NULL;
}

size_t pick_members_of(const struct heartbeat_tracker *ht, const char *domain,
		       GRand *rand, struct endpoint *to, size_t nr)
{
	guint n = ht->peers->len;
	guint at = n ? (guint)g_rand_int_range(rand, 0, (gint32)n) : 0;
	size_t found = 0;

	for (guint i = 0; i < n && found < nr; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, (at + i) % n);
		const struct member *m = find_keeper_candidate(ht, p);

		if (m && p->ready && !strcmp(m->domain, domain))
			to[found++] = member_endpoint(m);
	}
	return found;
}

/* Numbers of live members by domain, without this instance. */
static GHashTable *count_live_members(const struct heartbeat_tracker *ht)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	const struct member *ms;
	size_t nr;

	ms = view_members(ht->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		guint before = GPOINTER_TO_UINT(
			g_hash_table_lookup(counts, ms[i].domain));

		if (ms[i].id != ht->self.id && is_live_member(&ms[i]))
			g_hash_table_insert(counts, (char *)ms[i].domain,
					    GUINT_TO_POINTER(before + 1));
	}
	return counts;
}

/* The keepers of the own split flows in DOMAIN, added to BY_DOMAIN if new. */
static struct keepers *get_remote_keepers(GHashTable *by_domain,
					  const char *domain)
{
	struct keepers *ks = g_hash_table_lookup(by_domain, domain);

	if (!ks) {
		ks = g_new0(struct keepers, 1);
		g_hash_table_insert(by_domain, (char *)domain, ks);
	}
	return ks;
}

/* Appends the keepers that other domains have of the own split flows to TO. */
static void list_remote_keepers(const struct heartbeat_tracker *ht,
				GHashTable *counts, GArray *to)
{
	GHashTable *by_domain =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter it;
	gpointer value;

	for (guint i = 0; i < ht->peers->len; i++) {
		const struct member *m = find_keeper_candidate(
			ht, &g_array_index(ht->peers, struct peer, i));

		/* small domains are told as a whole */
		if (m && is_remote_member(ht, m) &&
		    GPOINTER_TO_UINT(g_hash_table_lookup(counts, m->domain)) >
			    TAKEOVER_DOMAIN_MIN)
			add_keeper(get_remote_keepers(by_domain, m->domain), m,
				   ht->self.domain);
	}
	g_hash_table_iter_init(&it, by_domain);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct keepers *ks = value;

		for (size_t i = 0; i < ks->nr; i++) {
			struct endpoint at = member_endpoint(ks->at[i].member);

			g_array_append_val(to, at);
		}
	}
	g_hash_table_destroy(by_domain);
}

void list_takeover_endpoints(const struct heartbeat_tracker *ht, GArray *to)
{
	GHashTable *counts = count_live_members(ht);
	bool to_all =
		live_member_count(ht->view) <= HEARTBEAT_REMOTE_FLEET_MEMBERS ||
		GPOINTER_TO_UINT(g_hash_table_lookup(counts, ht->self.domain)) <
			TAKEOVER_DOMAIN_MIN;

	for (guint i = 0; i < ht->peers->len; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i);
		const struct member *m = find_member(ht->view, p->id);
		struct endpoint at;

		if (!p->takes_split_flows || !m || m->state == MEMBER_DEAD)
			continue;
		at = member_endpoint(m);
		if (to_all || !is_remote_member(ht, m) ||
		    GPOINTER_TO_UINT(g_hash_table_lookup(counts, m->domain)) <=
			    TAKEOVER_DOMAIN_MIN)
			g_array_append_val(to, at);
	}
	if (!to_all)
		list_remote_keepers(ht, counts, to);
	g_hash_table_destroy(counts);
}
