#include "fleet/health-probers.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct probers {
	const struct view *view;
	GHashTable *domains; /* name -> GArray of ids of live members */
	GArray *live_ids;    /* ids of all live members */
	char own_domain[CONFIG_NAME_MAX];
	uint64_t fingerprint;  /* hash of all input of prober_role() */
	uint64_t members_hash; /* hash of all members' ids and liveness */
};

static void free_ids(gpointer ids)
{
	g_array_free(ids, TRUE);
}

static GArray *new_ids(void)
{
	return g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

struct probers *create_probers(const struct view *view)
{
	struct probers *ps = g_new0(struct probers, 1);

	ps->view = view;
	ps->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_ids);
	ps->live_ids = new_ids();
	return ps;
}

void destroy_probers(struct probers *ps)
{
	if (!ps)
		return;
	g_hash_table_destroy(ps->domains);
	g_array_free(ps->live_ids, TRUE);
	g_free(ps);
}

static void add_live_member(struct probers *ps, const struct member *m)
{
	GArray *ids = g_hash_table_lookup(ps->domains, m->domain);

	if (!ids) {
		ids = new_ids();
		g_hash_table_insert(ps->domains, g_strdup(m->domain), ids);
	}
	g_array_append_val(ids, m->id);
	g_array_append_val(ps->live_ids, m->id);
}

static uint64_t hash_ids(const GArray *ids)
{
	if (!ids)
		return 0;
	return XXH64(ids->data, ids->len * sizeof(uint64_t), 0);
}

/*
 * Hash of everything that prober_role() depends on: the own domain's live
 * members and the number of domains or, if some domain has no live member, all
 * live members.
 */
static uint64_t make_fingerprint(const struct probers *ps, size_t domain_nr)
{
	bool covered = g_hash_table_size(ps->domains) == domain_nr;
	uint64_t own =
		hash_ids(g_hash_table_lookup(ps->domains, ps->own_domain));

	if (covered)
		return own ^ domain_nr;
	return own ^ hash_ids(ps->live_ids) ^ g_hash_table_size(ps->domains);
}

/* Fills PS from the view; true if prober_role() may return other roles. */
static bool read_members(struct probers *ps)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t before = ps->fingerprint;
	const struct member *ms;
	size_t nr;

	g_hash_table_remove_all(ps->domains);
	g_array_set_size(ps->live_ids, 0);
	ms = view_members(ps->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		g_hash_table_add(seen, (gpointer)ms[i].domain);
		if (ms[i].id == view_self(ps->view))
			memcpy(ps->own_domain, ms[i].domain,
			       sizeof(ps->own_domain));
		if (is_live_member(&ms[i]))
			add_live_member(ps, &ms[i]);
	}
	ps->fingerprint = make_fingerprint(ps, g_hash_table_size(seen));
	g_hash_table_destroy(seen);
	return ps->fingerprint != before;
}

static uint64_t hash_members(const struct view *v)
{
	const struct member *ms;
	uint64_t h;
	size_t nr;

	ms = view_members(v, &nr);
	h = nr;
	for (size_t i = 0; i < nr; i++)
		h = XXH64(&ms[i].id, sizeof(ms[i].id),
			  h + is_live_member(&ms[i]));
	return h;
}

bool update_probers(struct probers *ps)
{
	uint64_t members = hash_members(ps->view);

	if (members == ps->members_hash)
		return false;
	ps->members_hash = members;
	return read_members(ps);
}

/* How many of IDS outrank SELF for KEY, counted up to HEALTH_PROBERS. */
static unsigned int count_higher_ranked(const GArray *ids, uint64_t self,
					uint64_t key)
{
	uint64_t own = XXH64(&self, sizeof(self), key);
	unsigned int higher = 0;

	for (guint i = 0; i < ids->len && higher < HEALTH_PROBERS; i++) {
		uint64_t other = g_array_index(ids, uint64_t, i);
		uint64_t weight = XXH64(&other, sizeof(other), key);

		higher += weight > own || (weight == own && other > self);
	}
	return higher;
}

bool is_self_domain(const struct probers *ps, const char *domain)
{
	return !strcmp(domain, ps->own_domain);
}

enum health_role prober_role(const struct probers *ps,
			     const struct upstream *up)
{
	const GArray *ids = g_hash_table_lookup(ps->domains, up->domain);

	if (!ids)
		ids = ps->live_ids;
	else if (!is_self_domain(ps, up->domain))
		return HEALTH_PASSIVE;
	switch (count_higher_ranked(ids, view_self(ps->view), up->id)) {
	case 0:
		return HEALTH_PRIMARY;
	case 1:
		return HEALTH_STANDBY;
	default:
		return HEALTH_PASSIVE;
	}
}
