/* Use of the quality of upstreams in placement. */

#include "flow/placement-state.h"

void set_placer_quality(struct placer *pl, bool enabled)
{
	if (enabled == !!pl->quality)
		return;
	if (enabled) {
		pl->quality = create_upstream_quality();
		return;
	}
	destroy_upstream_quality(pl->quality);
	pl->quality = NULL;
}

double upstream_slowness(const struct placer *pl, upstream_index_t nr)
{
	return pl->quality ? quality_ratio(pl->quality, nr) : 1;
}

void note_response_time(struct placer *pl, upstream_index_t nr, uint64_t route,
			double load, uint64_t took_ms, uint64_t now_ms)
{
	if (!pl->quality || !get_upstream(pl->catalog, nr))
		return;
	/*
	 * Of LOAD requests for a slot, all but one wait. The load then may be
	 * known here only later, from peers.
	 */
	load = MAX(load, current_load(pl, nr));
	note_quality_time(pl->quality, nr, route,
			  (double)took_ms / MAX(load, 1), now_ms);
}

void pop_placer_quality_changes(struct placer *pl, GArray *changes)
{
	if (pl->quality)
		pop_quality_changes(pl->quality, changes);
}

/*
 * True for one in FACTOR new flows of NR's fair share in its domain. Without
 * any flow it would not be known when NR is usual again.
 */
static bool is_trial_flow(struct placer *pl, upstream_index_t nr, double factor)
{
	const struct catalog_service *sv = get_service(
		pl->catalog, get_upstream(pl->catalog, nr)->service);
	double share = (double)MAX(catalog_domain_count(pl->catalog), 1) /
		       MAX(sv->upstreams->len, 1);

	return g_rand_double(pl->rand) * factor < share;
}

void note_response_size(struct placer *pl, upstream_index_t nr, uint64_t route,
			uint64_t took_ms, uint32_t bytes, uint64_t now_ms)
{
	if (!pl->quality || !get_upstream(pl->catalog, nr))
		return;
	/* a failing upstream looks idle; one with a queue may shed */
	note_quality_size(pl->quality, nr, route, (double)took_ms, bytes,
			  current_load(pl, nr) >= PLACEMENT_CROWDED_LOAD_MIN,
			  now_ms);
}

bool avoids_failing(struct placer *pl, upstream_index_t nr, bool repeatable)
{
	if (!pl->quality || !is_failing_upstream(pl->quality, nr))
		return false;
	return !repeatable || !is_trial_flow(pl, nr, QUALITY_TRIAL_FACTOR);
}

double completion_score(struct placer *pl, upstream_index_t nr, double load)
{
	double ratio = upstream_slowness(pl, nr);

	if (ratio == 1 || (ratio > 1 && is_trial_flow(pl, nr, ratio)))
		return load;
	return (load + 1) * ratio - 1;
}

void assess_upstreams(struct placer *pl, uint64_t now_ms)
{
	GArray *upstreams;

	if (!pl->quality)
		return;
	upstreams = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	sum_quality_reports(pl->quality, now_ms);
	for (size_t i = 0; i < catalog_service_count(pl->catalog); i++) {
		const struct catalog_service *sv =
			get_service(pl->catalog, (service_index_t)i);

		g_array_set_size(upstreams, 0);
		for (guint k = 0; k < sv->upstreams->len; k++) {
			upstream_index_t nr = g_array_index(
				sv->upstreams, upstream_index_t, k);

			if (accepts_flows(pl->catalog, nr))
				g_array_append_val(upstreams, nr);
		}
		assess_service_quality(
			pl->quality,
			(const upstream_index_t *)(void *)upstreams->data,
			upstreams->len, live_member_count(pl->view), now_ms);
	}
	g_array_free(upstreams, TRUE);
}
