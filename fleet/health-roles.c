/* Which upstreams this instance probes, and how often. */

#include "fleet/health-state.h"

#include <glib.h>
#include <string.h>

uint64_t jitter_probe(struct health *h, uint64_t ms)
{
	double share = g_rand_double_range(h->rand, 1 - JITTER, 1 + JITTER);

	return (uint64_t)((double)ms * share);
}

/* Takes over the fleet's opinion when this instance begins to probe. */
static void begin_probing(struct health *h, struct judge *j,
			  const struct upstream *up, uint64_t now_ms)
{
	enum upstream_state seen = upstream_state(h->view, up);

	if (seen != UPSTREAM_OUT && is_worse_state(seen, j->state))
		adopt_state(j, seen, now_ms);
	j->seen = seen;
	j->in_flight = false;
	j->next_probe = 0;
}

/* Leaves J with what this instance found itself. */
static void end_probing(struct judge *j, uint64_t now_ms)
{
	j->role = HEALTH_PASSIVE;
	if (j->state == UPSTREAM_UNKNOWN || j->state == UPSTREAM_DRAINING ||
	    j->state == UPSTREAM_OUT)
		adopt_state(j, UPSTREAM_WARM, now_ms);
}

/* Lets this instance probe UP if that is its role. */
static void set_role(struct health *h, const struct service *sv,
		     const struct upstream *up, uint64_t now_ms)
{
	enum health_role role = prober_role(h->probers, up);
	struct judge *j;

	if (role == HEALTH_PASSIVE)
		return;
	j = need_health_judge(h, sv, up, now_ms);
	if (j->kept)
		return;
	if (j->role == HEALTH_PASSIVE)
		begin_probing(h, j, up, now_ms);
	j->role = role;
	j->unprobed = !is_probed_kind(sv, up);
	j->kept = true;
	watch_judge(h, j);
	g_ptr_array_add(h->judged, j);
}

/* Sets the interval at which this instance sends what it may at most. */
static void set_interval(struct health *h)
{
	uint64_t units = 0; /* probes in HEALTH_STANDBY_EACH intervals */
	uint64_t ms;

	h->probed_nr = 0;
	for (guint i = 0; i < h->judged->len; i++) {
		const struct judge *j = g_ptr_array_index(h->judged, i);

		if (j->unprobed)
			continue;
		h->probed_nr++;
		units += j->role == HEALTH_PRIMARY ? HEALTH_STANDBY_EACH : 1;
	}
	ms = units * 1000 / (HEALTH_STANDBY_EACH * HEALTH_PROBES_PER_S);
	h->interval = ms > HEALTH_PROBE_MS ? ms : HEALTH_PROBE_MS;
}

/* First probes come over one interval, not all at once. */
static void spread_first_probes(struct health *h, uint64_t now_ms)
{
	for (guint i = 0; i < h->judged->len; i++) {
		struct judge *j = g_ptr_array_index(h->judged, i);

		if (!j->next_probe)
			j->next_probe = now_ms + (uint64_t)g_rand_double_range(
							 h->rand, 1,
							 (double)h->interval);
	}
}

static gboolean is_unpublished(gpointer key, gpointer value, gpointer data)
{
	const struct health *h = data;

	(void)key;
	return !upstream_of_judge(h, value);
}

/* Forgets upstreams that are no longer published. */
static void purge_judges(struct health *h)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(h->watched, 0);
	g_ptr_array_set_size(h->judged, 0);
	g_hash_table_foreach_remove(h->judges, is_unpublished, h);
	g_hash_table_iter_init(&it, h->judges);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct judge *j = value;

		j->watched = false;
		watch_judge(h, j);
		if (j->role != HEALTH_PASSIVE)
			g_ptr_array_add(h->judged, j);
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

/* Of the services of the snapshot, those that BEFORE (or NULL) lacks. */
static void assign_services(struct health *h, const struct snapshot *before,
			    uint64_t now_ms)
{
	size_t old_nr = before ? snapshot_service_nr(before) : 0;
	size_t o = 0;

	for (size_t s = 0; s < snapshot_service_nr(h->snapshot); s++) {
		const struct service *sv = snapshot_service(h->snapshot, s);

		while (o < old_nr && snapshot_service(before, o)->id < sv->id)
			o++;
		if (o == old_nr ||
		    !same_service(snapshot_service(before, o), sv))
			assign_service(h, sv, now_ms);
	}
}

/* True if this instance still has the role towards J's upstream. */
static bool keeps_role(const struct health *h, const struct judge *j)
{
	const struct service *sv = service_of_id(h, j->service);
	const struct upstream *up = sv ? find_upstream(sv, j->upstream) : NULL;

	return up && is_probed_kind(sv, up) != j->unprobed &&
	       prober_role(h->probers, up) == j->role;
}

static void drop_lost_probes(struct health *h)
{
	GPtrArray *before = h->judged;

	h->judged = g_ptr_array_new();
	for (guint i = 0; i < before->len; i++) {
		struct judge *j = g_ptr_array_index(before, i);

		j->kept = keeps_role(h, j);
		if (j->kept)
			g_ptr_array_add(h->judged, j);
	}
	for (guint i = 0; i < before->len; i++) {
		struct judge *j = g_ptr_array_index(before, i);

		if (!j->kept)
			g_ptr_array_add(h->dropped, j);
	}
	g_ptr_array_free(before, TRUE);
}

/*
 * Finds again which upstreams this instance probes; only among the services
 * that changed if the MEMBERS are the same.
 */
static void assign_probes(struct health *h, bool members, uint64_t now_ms)
{
	if (now_ms >= h->purged_at + PURGE_MS) {
		purge_judges(h);
		h->purged_at = now_ms;
	}
	drop_lost_probes(h);
	assign_services(h, members ? NULL : h->assigned_of, now_ms);
	for (guint i = 0; i < h->dropped->len; i++) {
		struct judge *j = g_ptr_array_index(h->dropped, i);

		if (!j->kept)
			end_probing(j, now_ms);
	}
	g_ptr_array_set_size(h->dropped, 0);
	set_interval(h);
	spread_first_probes(h, now_ms);
	unref_snapshot(h->assigned_of);
	h->assigned_of = ref_snapshot(h->snapshot);
}

void set_health_snapshot(struct health *h, const struct snapshot *sn,
			 uint64_t now_ms)
{
	unref_snapshot(h->snapshot);
	h->snapshot = ref_snapshot(sn);
	h->members_at = now_ms;
}

void look_at_health_members(struct health *h, uint64_t now_ms)
{
	bool fresh = h->assigned_of != h->snapshot;
	bool members = false;

	if (fresh || now_ms >= h->members_at + MEMBERS_MS) {
		members = update_probers(h->probers);
		h->members_at = now_ms;
	}
	if (fresh || members)
		assign_probes(h, members, now_ms);
}
