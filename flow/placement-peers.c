/* Loads reported by peers, and the running means computed from them. */

#include <math.h>

#include "flow/placement-state.h"

/* Weight of the newest sample in running means. */
#define PEER_LOAD_MEAN_WEIGHT 0.1

static struct peer_load *get_or_create_peer_load(struct placer *pl,
						 uint64_t member)
{
	struct peer_load new = { .member_id = member };

	for (guint i = 0; i < pl->peer_loads->len; i++) {
		struct peer_load *p =
			&g_array_index(pl->peer_loads, struct peer_load, i);

		if (p->member_id == member)
			return p;
	}
	new.loads =
		g_array_new(FALSE, FALSE, sizeof(struct peer_upstream_load));
	g_array_append_val(pl->peer_loads, new);
	return &g_array_index(pl->peer_loads, struct peer_load,
			      pl->peer_loads->len - 1);
}

/* Subtracts the loads of P from the sums. */
static void retract_peer_load(struct placer *pl, struct peer_load *p)
{
	for (guint i = 0; i < p->loads->len; i++) {
		const struct peer_upstream_load *pr =
			&g_array_index(p->loads, struct peer_upstream_load, i);
		struct upstream_load *ul =
			get_or_create_upstream_load(pl, pr->upstream);

		ul->peer_busy_weight -=
			MIN(ul->peer_busy_weight, pr->busy_weight);
		ul->peer_expected_weight -=
			MIN(ul->peer_expected_weight, pr->expected_weight);
		ul->peers_dead -= MIN(ul->peers_dead, (uint32_t)pr->dead);
		ul->peers_dead_or_cut_off -= MIN(ul->peers_dead_or_cut_off,
						 (uint32_t)pr->dead_or_cut_off);
	}
	g_array_set_size(p->loads, 0);
}

void handle_peer_loads(struct placer *pl, uint64_t member,
		       const struct upstream_load_row *rows, size_t nr,
		       uint64_t now_ms)
{
	struct peer_load *p = get_or_create_peer_load(pl, member);

	retract_peer_load(pl, p);
	p->received_ms = now_ms;
	if (pl->quality)
		begin_peer_reports(pl->quality, member, now_ms);
	for (size_t i = 0; i < nr; i++) {
		struct peer_upstream_load pr = {
			find_upstream_by_cookie(pl->catalog, rows[i].cookie),
			rows[i].busy_flows, rows[i].expected_flows,
			rows[i].health == HEALTH_DEAD,
			rows[i].health == HEALTH_DEAD ||
				rows[i].health == HEALTH_UNREACHABLE
		};
		uint64_t alive_ms = now_ms - MIN(now_ms, rows[i].silent_ms);
		struct upstream_load *ul;

		if (pr.upstream == CATALOG_NONE)
			continue;
		if (pl->quality)
			add_peer_report(pl->quality, pr.upstream,
					rows[i].quality);
		ul = get_or_create_upstream_load(pl, pr.upstream);
		ul->peer_busy_weight += pr.busy_weight;
		ul->peer_expected_weight += pr.expected_weight;
		ul->peers_dead += pr.dead;
		ul->peers_dead_or_cut_off += pr.dead_or_cut_off;
		if (rows[i].silent_ms < UINT16_MAX)
			note_peer_sign_of_life(pl, pr.upstream, ul, alive_ms,
					       now_ms);
		if (pr.dead_or_cut_off)
			note_peer_assessment(pl, pr.upstream, ul, now_ms);
		g_array_append_val(p->loads, pr);
	}
}

uint32_t busy_request_count(const struct placer *pl)
{
	return (uint32_t)lround(weight_as_requests(pl->busy_weight));
}

bool has_load_changed(const struct placer *pl)
{
	uint32_t busy = busy_request_count(pl);
	uint32_t change = busy > pl->sent_busy_requests
				  ? busy - pl->sent_busy_requests
				  : pl->sent_busy_requests - busy;

	if (pl->quality && has_quality_news(pl->quality))
		return true;
	return change >= PLACEMENT_URGENT_CHANGE_MIN &&
	       2 * change >= pl->sent_busy_requests;
}

void list_own_loads(struct placer *pl, uint64_t now_ms, GArray *rows)
{
	/* last, since a heartbeat has room for HEARTBEAT_ROWS_MAX rows */
	GArray *idle_rows =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_load_row));

	pl->sent_busy_requests = busy_request_count(pl);
	if (pl->quality)
		clear_quality_news(pl->quality);
	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		const struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);
		const struct catalog_upstream *up =
			get_upstream(pl->catalog, (upstream_index_t)i);
		struct upstream_load_row lr = { 0 };
		bool idle = ul && !ul->open_flows && ul->health == HEALTH_GOOD;
		double expected;

		if (!ul || !up)
			continue;
		if (pl->quality)
			lr.quality = own_quality_report(
				pl->quality, (upstream_index_t)i, now_ms);
		if (idle && !lr.quality)
			continue;
		lr.cookie = up->cookie;
		lr.busy_flows = (uint16_t)MIN(ul->busy_weight, UINT16_MAX);
		expected = own_expected_load(pl, (upstream_index_t)i);
		lr.expected_flows = (uint16_t)MIN(
			lround(expected * IN_FLIGHT_WEIGHT_ONE), UINT16_MAX);
		/* what peers saw would become younger by each delay */
		lr.silent_ms =
			ul->own_alive_ms
				? (uint16_t)MIN(now_ms - ul->own_alive_ms,
						UINT16_MAX)
				: UINT16_MAX;
		lr.health = (uint8_t)ul->health;
		g_array_append_val(idle ? idle_rows : rows, lr);
	}
	g_array_append_vals(rows, idle_rows->data, idle_rows->len);
	g_array_free(idle_rows, TRUE);
}

static void update_mean_peer_loads(struct placer *pl)
{
	for (guint i = 0; i < pl->upstream_loads->len; i++) {
		struct upstream_load *ul =
			g_ptr_array_index(pl->upstream_loads, i);

		if (!ul)
			continue;
		ul->mean_peer_busy +=
			PEER_LOAD_MEAN_WEIGHT *
			(weight_as_requests(ul->peer_busy_weight) -
			 ul->mean_peer_busy);
		ul->mean_peer_expected +=
			PEER_LOAD_MEAN_WEIGHT *
			(weight_as_requests(ul->peer_expected_weight) -
			 ul->mean_peer_expected);
	}
}

void tick_placer(struct placer *pl, uint64_t now_ms, GArray *checks)
{
	for (guint i = pl->peer_loads->len; i > 0; i--) {
		struct peer_load *p =
			&g_array_index(pl->peer_loads, struct peer_load, i - 1);

		if (now_ms - p->received_ms < PLACEMENT_PEER_TIMEOUT_MS)
			continue;
		retract_peer_load(pl, p);
		g_array_free(p->loads, TRUE);
		g_array_remove_index_fast(pl->peer_loads, i - 1);
	}
	if (now_ms - pl->means_updated_ms >= PLACEMENT_MEANS_INTERVAL_MS) {
		pl->means_updated_ms = now_ms;
		update_mean_peer_loads(pl);
		sample_routes(pl, now_ms);
		assess_upstreams(pl, now_ms);
	}
	tick_placer_links(pl, now_ms, checks);
	if (pl->notices && tick_health_notices(pl->notices, now_ms))
		forget_unanswered_packets(pl);
	if (pl->has_unhealthy)
		list_due_checks(pl, now_ms, checks);
}
