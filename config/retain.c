#include "config/retain.h"

#include <glib.h>
#include <string.h>

/* A copy of SV without upstreams. */
static struct service *copy_service(const struct service *sv)
{
	struct service *copy = create_service(sv->name);

	copy->kind = sv->kind;
	copy->protocol = sv->protocol;
	copy->address = sv->address;
	copy->deadline_ms = sv->deadline_ms;
	copy->max_body_bytes = sv->max_body_bytes;
	copy->idle_ms = sv->idle_ms;
	return copy;
}

/* When UP joined the service, whose state before the publish is OLD. */
static uint64_t find_join_time_s(const struct service *old,
				 const struct upstream *up, uint64_t now_s)
{
	const struct upstream *same = find_upstream(old, up->id);

	return same ? same->joined_at_s : now_s;
}

static void add_removed_upstreams(struct service *sv, const struct service *old,
				  const struct service *published,
				  uint64_t now_s)
{
	for (size_t i = 0; i < old->upstream_nr; i++) {
		struct upstream up = old->upstreams[i];

		if (find_upstream(published, up.id))
			continue;
		if (!up.removed_at_s)
			up.removed_at_s = now_s;
		if (now_s >= up.removed_at_s + REMOVED_UPSTREAM_KEEP_S)
			continue;
		up.draining = true;
		add_upstream(sv, &up);
	}
}

static struct service *retain_from_service(const struct service *old,
					   const struct service *sv,
					   uint64_t now_s)
{
	struct service *copy = copy_service(sv);

	for (size_t i = 0; i < sv->upstream_nr; i++) {
		struct upstream up = sv->upstreams[i];

		up.joined_at_s = find_join_time_s(old, &up, now_s);
		add_upstream(copy, &up);
	}
	add_removed_upstreams(copy, old, sv, now_s);
	seal_service(copy);
	return copy;
}

/* SV with the data retained of its state in BEFORE; a new reference. */
static struct service *retain_service(const struct snapshot *before,
				      const struct service *sv, uint64_t now_s)
{
	const struct service *old = find_service(before, sv->id);
	bool flows = sv->kind == SERVICE_FLOWS;

	if (!flows || !old || old->kind != sv->kind || !old->upstream_nr)
		return ref_service(sv);
	return retain_from_service(old, sv, now_s);
}

struct snapshot *retain_from_previous(const struct snapshot *before,
				      struct snapshot *after, uint64_t now_s)
{
	size_t nr = snapshot_service_count(after);
	struct service **list;
	struct snapshot *sn;

	if (!before)
		return after;
	list = g_new0(struct service *, nr + 1);
	for (size_t i = 0; i < nr; i++)
		list[i] = retain_service(before, snapshot_service(after, i),
					 now_s);
	sn = create_snapshot(snapshot_epoch(after), snapshot_publish_id(after),
			     list, nr);
	for (size_t i = 0; i < nr; i++)
		unref_service(list[i]);
	g_free(list);
	unref_snapshot(after);
	return sn;
}
