#include "fleet/view.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct view {
	uint64_t self_id;
	bool settled;
	GArray *members;	     /* of struct member, sorted by id */
	GHashTable *domains_out;     /* names of domains taken out */
	GHashTable *upstream_states; /* uint64_t id -> enum upstream_state */
};

struct view *create_view(uint64_t self)
{
	struct view *v = g_new0(struct view, 1);

	v->self_id = self;
	v->members = g_array_new(FALSE, TRUE, sizeof(struct member));
	v->domains_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->upstream_states = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	return v;
}

void destroy_view(struct view *v)
{
	if (!v)
		return;
	g_array_free(v->members, TRUE);
	g_hash_table_destroy(v->domains_out);
	g_hash_table_destroy(v->upstream_states);
	g_free(v);
}

uint64_t view_self(const struct view *v)
{
	return v->self_id;
}

/* Index of the first member whose id is not below ID. */
static guint member_index(const struct view *v, uint64_t id)
{
	guint low = 0;
	guint high = v->members->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;

		if (g_array_index(v->members, struct member, mid).id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct member *find_member(const struct view *v, uint64_t id)
{
	guint i = member_index(v, id);
	const struct member *m;

	if (i == v->members->len)
		return NULL;
	m = &g_array_index(v->members, struct member, i);
	return m->id == id ? m : NULL;
}

void set_view_member(struct view *v, const struct member *m)
{
	guint i = member_index(v, m->id);

	if (find_member(v, m->id))
		g_array_index(v->members, struct member, i) = *m;
	else
		g_array_insert_val(v->members, i, *m);
}

void remove_member(struct view *v, uint64_t id)
{
	if (find_member(v, id))
		g_array_remove_index(v->members, member_index(v, id));
}

const struct member *view_members(const struct view *v, size_t *nr)
{
	*nr = v->members->len;
	return (const struct member *)(void *)v->members->data;
}

bool is_view_settled(const struct view *v)
{
	return v->settled;
}

void set_view_settled(struct view *v, bool settled)
{
	v->settled = settled;
}

struct endpoint member_endpoint(const struct member *m)
{
	struct endpoint ep = m->address;

	ep.port = m->peer_port;
	return ep;
}

bool is_live_member(const struct member *m)
{
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
}

GArray *list_live_members(const struct view *v)
{
	GArray *live = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < v->members->len; i++) {
		const struct member *m =
			&g_array_index(v->members, struct member, i);

		if (is_live_member(m))
			g_array_append_val(live, m->id);
	}
	return live;
}

size_t live_member_count(const struct view *v)
{
	size_t n = 0;

	for (guint i = 0; i < v->members->len; i++)
		n += is_live_member(
			&g_array_index(v->members, struct member, i));
	return n;
}

void set_domain_out(struct view *v, const char *domain, bool out)
{
	if (out)
		g_hash_table_add(v->domains_out, g_strdup(domain));
	else
		g_hash_table_remove(v->domains_out, domain);
}

bool is_domain_out(const struct view *v, const char *domain)
{
	return g_hash_table_contains(v->domains_out, domain);
}

void set_upstream_state(struct view *v, uint64_t id, enum upstream_state s)
{
	g_hash_table_insert(v->upstream_states, g_memdup2(&id, sizeof(id)),
			    GINT_TO_POINTER(s));
}

enum upstream_state published_upstream_state(const struct view *v, uint64_t id)
{
	return (enum upstream_state)GPOINTER_TO_INT(
		g_hash_table_lookup(v->upstream_states, &id));
}

enum upstream_state upstream_state(const struct view *v,
				   const struct upstream *up)
{
	enum upstream_state s = published_upstream_state(v, up->id);

	if (is_domain_out(v, up->domain))
		return UPSTREAM_OUT;
	if (up->draining && s != UPSTREAM_DOWN)
		return UPSTREAM_DRAINING;
	return s;
}

const char *upstream_state_name(enum upstream_state s)
{
	static const char *const names[UPSTREAM_STATE_NR] = {
		"unknown", "cold", "warming", "warm", "draining", "down", "out"
	};

	return names[s];
}

const char *member_state_name(enum member_state s)
{
	static const char *const names[MEMBER_STATE_NR] = { "alive", "suspect",
							    "leaving", "dead" };

	return names[s];
}

/* True if a member of OUT's first NR is in M's domain, or is M itself. */
static bool is_excluded(const struct member *const *out, size_t nr,
			const struct member *m, bool any_domain)
{
	for (size_t i = 0; i < nr; i++)
		if (out[i] == m ||
		    (!any_domain && !strcmp(out[i]->domain, m->domain)))
			return true;
	return false;
}

static const struct member *
highest_ranked_member(const struct view *v, uint64_t key,
		      const struct member *const *out, size_t nr,
		      bool any_domain)
{
	const struct member *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < v->members->len; i++) {
		const struct member *m =
			&g_array_index(v->members, struct member, i);
		uint64_t weight = XXH64(&m->id, sizeof(m->id), key);

		if (!is_live_member(m) || is_excluded(out, nr, m, any_domain))
			continue;
		if (!best || weight > best_weight) {
			best = m;
			best_weight = weight;
		}
	}
	return best;
}

size_t rank_members(const struct view *v, uint64_t key,
		    const struct member **out, size_t nr)
{
	size_t n = 0;

	while (n < nr) {
		const struct member *m =
			highest_ranked_member(v, key, out, n, false);

		if (!m)
			m = highest_ranked_member(v, key, out, n, true);
		if (!m)
			break;
		out[n++] = m;
	}
	return n;
}
