#include "config/merge.h"

#include <glib.h>
#include <string.h>

static bool is_covered(const struct publish_change *change, uint64_t id,
		       const GHashTable *changed_ids)
{
	if (!change->only)
		return true;
	if (g_hash_table_contains((GHashTable *)changed_ids, &id))
		return true;
	for (size_t i = 0; i < change->removed_nr; i++)
		if (service_id(change->removed[i]) == id)
			return true;
	return false;
}

static GHashTable *make_id_set(const struct publish_change *change)
{
	GHashTable *ids = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (size_t i = 0; i < change->service_nr; i++)
		g_hash_table_add(ids, &change->services[i]->id);
	return ids;
}

struct snapshot *merge_publish(const struct snapshot *base,
			       const struct publish_change *change,
			       uint64_t epoch, const char *publish_id)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTable *changed_ids = make_id_set(change);
	struct snapshot *sn;

	for (size_t i = 0; base && i < snapshot_service_count(base); i++) {
		const struct service *sv = snapshot_service(base, i);

		if (!is_covered(change, sv->id, changed_ids))
			g_ptr_array_add(list, (gpointer)sv);
	}
	for (size_t i = 0; i < change->service_nr; i++)
		g_ptr_array_add(list, change->services[i]);
	sn = create_snapshot(epoch, publish_id,
			     (struct service *const *)list->pdata, list->len);
	g_ptr_array_free(list, TRUE);
	g_hash_table_destroy(changed_ids);
	return sn;
}

/* Number of upstreams of SV, without those that its owner deleted. */
static size_t count_published_upstreams(const struct service *sv)
{
	size_t n = 0;

	for (size_t i = 0; i < sv->upstream_nr; i++)
		n += !sv->upstreams[i].removed_at_s;
	return n;
}

/*
 * Number of upstreams of OLD that SV no longer has (all if SV is NULL), without
 * those that the owner of OLD had deleted before.
 */
static size_t count_lost_upstreams(const struct service *old,
				   const struct service *sv)
{
	size_t n = 0;

	for (size_t i = 0; i < old->upstream_nr; i++) {
		const struct upstream *up = &old->upstreams[i];

		n += !up->removed_at_s && (!sv || !find_upstream(sv, up->id));
	}
	return n;
}

void check_removals(const struct snapshot *base, const struct snapshot *next,
		    struct problems *ps)
{
	size_t total_lost = 0;
	size_t total_before = 0;

	for (size_t i = 0; base && i < snapshot_service_count(base); i++) {
		const struct service *old = snapshot_service(base, i);
		const struct service *sv = find_service(next, old->id);
		size_t lost = count_lost_upstreams(old, sv);
		size_t old_nr = count_published_upstreams(old);

		total_lost += lost;
		total_before += old_nr;
		if (!sv)
			add_problem(ps, old->name, 0,
				    "the service would be removed");
		else if (lost * 2 > old_nr)
			add_problem(ps, old->name, 0,
				    "%zu of %zu upstreams would be removed",
				    lost, old_nr);
	}
	if (total_lost * 2 > total_before)
		add_problem(ps, "all services", 0,
			    "%zu of %zu upstreams would be removed", total_lost,
			    total_before);
}

static void append_name(char *buf, size_t size, const char *sign,
			const char *name)
{
	size_t len = strlen(buf);

	if (len + strlen(name) + 8 < size)
		g_snprintf(buf + len, size - len, "%s%s%s", len ? " " : "",
			   sign, name);
	else if (!g_str_has_suffix(buf, "..."))
		g_strlcat(buf, " ...", size);
}

size_t list_changes(const struct snapshot *base, const struct snapshot *next,
		    char *buf, size_t size)
{
	size_t n = 0;

	buf[0] = '\0';
	for (size_t i = 0; i < snapshot_service_count(next); i++) {
		const struct service *sv = snapshot_service(next, i);
		const struct service *old =
			base ? find_service(base, sv->id) : NULL;

		if (old && old->digest == sv->digest)
			continue;
		append_name(buf, size, old ? "" : "+", sv->name);
		n++;
	}
	for (size_t i = 0; base && i < snapshot_service_count(base); i++) {
		const struct service *old = snapshot_service(base, i);

		if (find_service(next, old->id))
			continue;
		append_name(buf, size, "-", old->name);
		n++;
	}
	return n;
}

static uint64_t service_digest_in(const struct snapshot *sn, uint64_t id)
{
	const struct service *sv = sn ? find_service(sn, id) : NULL;

	return sv ? sv->digest : 0;
}

/* A service of A that CHANGE covers and that differs in B; NULL if none. */
static const char *find_difference(const struct publish_change *change,
				   const GHashTable *changed_ids,
				   const struct snapshot *a,
				   const struct snapshot *b)
{
	for (size_t i = 0; a && i < snapshot_service_count(a); i++) {
		const struct service *sv = snapshot_service(a, i);

		if (service_digest_in(b, sv->id) != sv->digest &&
		    is_covered(change, sv->id, changed_ids))
			return sv->name;
	}
	return NULL;
}

const char *find_conflicting_service(const struct publish_change *change,
				     const struct snapshot *first,
				     const struct snapshot *now)
{
	GHashTable *changed_ids = make_id_set(change);
	const char *name = find_difference(change, changed_ids, now, first);

	if (!name)
		name = find_difference(change, changed_ids, first, now);
	g_hash_table_destroy(changed_ids);
	return name;
}
