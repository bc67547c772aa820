/* Which upstreams this instance probes, and how often. */

#include "fleet/health-state.h"

#include <glib.h>
#include <string.h>

uint64_t jitter_probe(struct health *h, uint64_t ms)
{
	double factor = g_rand_double_range(h->rand, 1 - PROBE_JITTER,
					    1 + PROBE_JITTER);

	return (uint64_t)((double)ms * factor);
}

/* Starts from the fleet's state of UP, if worse, when probing begins. */
static void start_probing(struct health *h, struct health_assessment *ha,
			  const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen != UPSTREAM_OUT && is_worse_state(seen, ha->state))
		adopt_state(ha, seen, now_ms);
	ha->fleet_state = seen;
	ha->probe_in_flight = false;
	ha->next_probe_ms = 0;
}

/* Returns HA to passive, without states that only a prober can end. */
static void end_probing(struct health_assessment *ha, uint64_t now_ms)
{
	ha->role = HEALTH_PASSIVE;
	if (ha->state == UPSTREAM_UNKNOWN || ha->state == UPSTREAM_DRAINING ||
	    ha->state == UPSTREAM_OUT)
		adopt_state(ha, UPSTREAM_WARM, now_ms);
}

/* Assigns probing of UP to this instance if that is its role. */
static void set_role(struct health *h, const struct service *sv,
		     const struct upstream *up, uint64_t now_ms)
{
	enum health_role role = prober_role(h->probers, up);
	struct health_assessment *ha;

	if (role == HEALTH_PASSIVE)
		return;
	ha = get_or_create_assessment(h, sv, up, now_ms);
	if (ha->keeps_role)
		return;
	if (ha->role == HEALTH_PASSIVE)
		start_probing(h, ha, up, now_ms);
	ha->role = role;
	ha->unprobeable = !is_probeable(sv, up);
	ha->keeps_role = true;
	watch_assessment(h, ha);
	g_ptr_array_add(h->assigned, ha);
}

/* Sets the probe interval so that HEALTH_PROBES_PER_S is not exceeded. */
static void set_probe_interval(struct health *h)
{
	uint64_t probes = 0; /* in HEALTH_STANDBY_FACTOR intervals */
	uint64_t ms;

	h->probed_count = 0;
	for (guint i = 0; i < h->assigned->len; i++) {
		const struct health_assessment *ha =
			g_ptr_array_index(h->assigned, i);

		if (ha->unprobeable)
			continue;
		h->probed_count++;
		probes +=
			ha->role == HEALTH_PRIMARY ? HEALTH_STANDBY_FACTOR : 1;
	}
	ms = probes * 1000 / (HEALTH_STANDBY_FACTOR * HEALTH_PROBES_PER_S);
	h->probe_interval_ms =
		ms > HEALTH_PROBE_INTERVAL_MS ? ms : HEALTH_PROBE_INTERVAL_MS;
}

/* Spreads first probes over one interval in place of a burst. */
static void spread_first_probes(struct health *h, uint64_t now_ms)
{
	for (guint i = 0; i < h->assigned->len; i++) {
		struct health_assessment *ha =
			g_ptr_array_index(h->assigned, i);

		if (!ha->next_probe_ms)
			ha->next_probe_ms =
				now_ms + (uint64_t)g_rand_double_range(
						 h->rand, 1,
						 (double)h->probe_interval_ms);
	}
}

static gboolean is_unpublished(gpointer key, gpointer value, gpointer data)
{
	const struct health *h = data;

	(void)key;
	return !upstream_of_assessment(h, value);
}

/* Drops the assessments of upstreams that are no longer published. */
static void purge_assessments(struct health *h)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(h->watched, 0);
	g_ptr_array_set_size(h->assigned, 0);
	g_hash_table_foreach_remove(h->assessments, is_unpublished, h);
	g_hash_table_iter_init(&it, h->assessments);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct health_assessment *ha = value;

		ha->watched = false;
		watch_assessment(h, ha);
		if (ha->role != HEALTH_PASSIVE)
			g_ptr_array_add(h->assigned, ha);
	}
}

static void assign_service(struct health *h, const struct service *sv,
			   uint64_t now_ms)
{
	for (size_t u = 0; u < sv->upstream_nr; u++)
		set_role(h, sv, &sv->upstreams[u], now_ms);
}

static bool same_service(const struct service *a, const struct service *b)
{
	return a == b || (a->id == b->id && a->digest == b->digest);
}

/*
 * Assigns the services of the snapshot in force that BEFORE lacks or has in
 * another version; all of them if BEFORE is NULL.
 */
static void assign_services(struct health *h, const struct snapshot *before,
			    uint64_t now_ms)
{
	size_t old_nr = before ? snapshot_service_count(before) : 0;
	size_t o = 0;

	for (size_t s = 0; s < snapshot_service_count(h->snapshot); s++) {
		const struct service *sv = snapshot_service(h->snapshot, s);

		while (o < old_nr && snapshot_service(before, o)->id < sv->id)
			o++;
		if (o == old_nr ||
		    !same_service(snapshot_service(before, o), sv))
			assign_service(h, sv, now_ms);
	}
}

/* True if this instance still has its role for HA's upstream. */
static bool keeps_role(const struct health *h,
		       const struct health_assessment *ha)
{
	const struct service *sv = service_of_id(h, ha->service);
	const struct upstream *up = sv ? find_upstream(sv, ha->upstream) : NULL;

	return up && is_probeable(sv, up) != ha->unprobeable &&
	       prober_role(h->probers, up) == ha->role;
}

static void drop_lost_roles(struct health *h)
{
	GPtrArray *before = h->assigned;

	h->assigned = g_ptr_array_new();
	for (guint i = 0; i < before->len; i++) {
		struct health_assessment *ha = g_ptr_array_index(before, i);

		ha->keeps_role = keeps_role(h, ha);
		if (ha->keeps_role)
			g_ptr_array_add(h->assigned, ha);
	}
	for (guint i = 0; i < before->len; i++) {
		struct health_assessment *ha = g_ptr_array_index(before, i);

		if (!ha->keeps_role)
			g_ptr_array_add(h->unassigned, ha);
	}
	g_ptr_array_free(before, TRUE);
}

/*
 * Recomputes which upstreams this instance probes: all of them if
 * MEMBERS_CHANGED, else those of changed services only.
 */
static void assign_roles(struct health *h, bool members_changed,
			 uint64_t now_ms)
{
	if (now_ms >= h->purged_at_ms + PURGE_INTERVAL_MS) {
		purge_assessments(h);
		h->purged_at_ms = now_ms;
	}
	drop_lost_roles(h);
	assign_services(h, members_changed ? NULL : h->assigned_snapshot,
			now_ms);
	for (guint i = 0; i < h->unassigned->len; i++) {
		struct health_assessment *ha =
			g_ptr_array_index(h->unassigned, i);

		if (!ha->keeps_role)
			end_probing(ha, now_ms);
	}
	g_ptr_array_set_size(h->unassigned, 0);
	set_probe_interval(h);
	spread_first_probes(h, now_ms);
	unref_snapshot(h->assigned_snapshot);
	h->assigned_snapshot = ref_snapshot(h->snapshot);
}

void set_health_snapshot(struct health *h, const struct snapshot *sn,
			 uint64_t now_ms)
{
	unref_snapshot(h->snapshot);
	h->snapshot = ref_snapshot(sn);
	h->members_checked_at_ms = now_ms;
}

void update_health_roles(struct health *h, uint64_t now_ms)
{
	bool new_snapshot = h->assigned_snapshot != h->snapshot;
	bool members_changed = false;

	if (new_snapshot ||
	    now_ms >= h->members_checked_at_ms + MEMBERS_CHECK_MS) {
		members_changed = update_probers(h->probers);
		h->members_checked_at_ms = now_ms;
	}
	if (new_snapshot || members_changed)
		assign_roles(h, members_changed, now_ms);
}
