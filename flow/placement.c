#include "flow/placement.h"

#include <string.h>

#include "flow/placement-limit.h"
#include "flow/placement-state.h"

#define ANSWER_MEAN_WEIGHT 0.1 /* of the newest sample */
/*
 * In an overload no samples come, and the mean stays as it is: a larger weight
 * would leave it at a random value.
 */
#define UNQUEUED_MEAN_WEIGHT 0.02
#define ANSWER_MS_START 50.0 /* until answers were observed */

struct placer *create_placer(const struct catalog *cat, const struct view *view,
			     struct quotas *quotas, const char *domain,
			     uint32_t seed)
{
	struct placer *pl = g_new0(struct placer, 1);

	pl->catalog = cat;
	pl->view = view;
	pl->quotas = quotas;
	pl->domain = g_strdup(domain);
	pl->remote_domain_cost = PLACEMENT_REMOTE_DOMAIN_COST;
	pl->cold_factor = 1;
	pl->rand = g_rand_new_with_seed(seed);
	pl->upstream_loads = g_ptr_array_new_with_free_func(g_free);
	pl->service_stats =
		g_array_new(FALSE, TRUE, sizeof(struct service_stats));
	pl->routes = g_ptr_array_new_with_free_func(destroy_placer_route);
	get_placer_route(pl, 0, 0); /* the unknown one */
	pl->peer_loads = g_array_new(FALSE, FALSE, sizeof(struct peer_load));
	pl->health_changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));
	pl->domain_controls =
		g_array_new(FALSE, TRUE, sizeof(struct domain_control));
	return pl;
}

void set_cold_bounds(struct placer *pl, double factor, double slack)
{
	pl->cold_factor = factor;
	pl->cold_slack = slack;
}

void set_remote_domain_cost(struct placer *pl, double cost)
{
	pl->remote_domain_cost = cost;
}

void destroy_placer(struct placer *pl)
{
	if (!pl)
		return;
	for (guint i = 0; i < pl->peer_loads->len; i++)
		g_array_free(g_array_index(pl->peer_loads, struct peer_load, i)
				     .loads,
			     TRUE);
	g_array_free(pl->peer_loads, TRUE);
	destroy_upstream_quality(pl->quality);
	g_array_free(pl->health_changes, TRUE);
	for (guint i = 0; i < pl->service_stats->len; i++)
		destroy_in_flight_estimator(g_array_index(pl->service_stats,
							  struct service_stats,
							  i)
						    .in_flight);
	g_array_free(pl->domain_controls, TRUE);
	g_array_free(pl->service_stats, TRUE);
	g_ptr_array_free(pl->upstream_loads, TRUE);
	g_ptr_array_free(pl->routes, TRUE);
	g_rand_free(pl->rand);
	g_free(pl->domain);
	g_free(pl);
}

struct upstream_load *find_upstream_load(const struct placer *pl,
					 upstream_index_t nr)
{
	return nr < pl->upstream_loads->len
		       ? g_ptr_array_index(pl->upstream_loads, nr)
		       : NULL;
}

struct upstream_load *get_or_create_upstream_load(struct placer *pl,
						  upstream_index_t nr)
{
	while (pl->upstream_loads->len <= nr)
		g_ptr_array_add(pl->upstream_loads, NULL);
	if (!g_ptr_array_index(pl->upstream_loads, nr))
		g_ptr_array_index(pl->upstream_loads, nr) =
			g_new0(struct upstream_load, 1);
	return g_ptr_array_index(pl->upstream_loads, nr);
}

struct service_stats *get_or_create_service_stats(struct placer *pl,
						  service_index_t sv)
{
	struct service_stats start = { .mean_answer_ms = ANSWER_MS_START,
				       .mean_unqueued_ms = ANSWER_MS_START };

	while (pl->service_stats->len <= sv)
		g_array_append_val(pl->service_stats, start);
	return &g_array_index(pl->service_stats, struct service_stats, sv);
}

/* Requests in flight, of which those of peers change between reports. */
static double busy_load(const struct placer *pl, const struct upstream_load *ul)
{
	return weight_as_requests(ul->busy_weight) +
	       estimate_peer_load(pl, ul->mean_peer_busy, ul->peer_busy_weight);
}

/* Requests in flight in the time of the next one, to compare upstreams. */
static double expected_load(const struct placer *pl, upstream_index_t nr)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return own_expected_load(pl, nr) +
	       estimate_peer_load(pl, ul->mean_peer_expected,
				  ul->peer_expected_weight);
}

/* Flows that this instance placed on the cold upstream in the last window. */
static uint32_t recent_cold_flow_count(const struct upstream_load *ul,
				       uint64_t now_ms)
{
	uint32_t n = 0;

	for (size_t i = 0; i < PLACEMENT_COLD_FLOWS_MAX; i++)
		n += ul->cold_flow_ms[i] &&
		     now_ms - ul->cold_flow_ms[i] < PLACEMENT_COLD_WINDOW_MS;
	return n;
}

/* Whether more than half of the known members are alive. */
static bool sees_majority(const struct placer *pl)
{
	size_t known;

	view_members(pl->view, &known);
	return 2 * live_member_count(pl->view) > known;
}

static bool may_place_on_cold(const struct placer *pl, upstream_index_t nr,
			      const struct upstream_load *ul, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	const struct catalog_service *sv =
		get_service(pl->catalog, up->service);
	double instances_limit =
		(sv->cold_flows_per_s * pl->cold_factor + pl->cold_slack) / 2;
	uint32_t limit =
		(uint32_t)MIN(MIN(sv->cold_flows_per_s, instances_limit),
			      (double)PLACEMENT_COLD_FLOWS_MAX);

	/* a view that lacks most members grants quota that others use too */
	if (!is_view_settled(pl->view) || !sees_majority(pl))
		return false;
	return recent_cold_flow_count(ul, now_ms) <
	       upstream_quota(pl->quotas, up->report.id, limit, now_ms);
}

static bool is_excluded(const upstream_index_t *excluded, size_t nr,
			upstream_index_t up)
{
	for (size_t i = 0; i < nr; i++)
		if (excluded[i] == up)
			return true;
	return false;
}

static double remote_domain_cost(const struct placer *pl,
				 const struct catalog_upstream *up)
{
	return strcmp(domain_name(pl->catalog, up->domain), pl->domain) != 0
		       ? pl->remote_domain_cost
		       : 0;
}

double current_load(const struct placer *pl, upstream_index_t nr)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);

	return weight_as_requests(ul->busy_weight + ul->peer_busy_weight) /
	       get_upstream(pl->catalog, nr)->report.slots;
}

/*
 * Whether the wait for a slot is expected to exceed the deadline. At LOAD
 * requests for each slot, one runs and LOAD - 1 are ahead in the queue.
 */
static bool would_miss_deadline(double load, double answer_ms,
				uint32_t deadline_ms)
{
	return load > 1 && (load - 1) * answer_ms > deadline_ms;
}

/* Whether the chosen upstream, or all of its service, are crowded or full. */
static enum place_reason assess_room(const struct placer *pl,
				     const struct placement *best,
				     const struct placement_request *request,
				     const struct service_stats *stats,
				     const struct service_load *sl)
{
	size_t instance_nr = pl->peer_loads->len + 1;
	bool limits_mean = is_large_fleet(pl);
	struct load_limits limits =
		get_load_limits(stats, request->target_ms,
				upstream_slowness(pl, best->upstream),
				request->urgent_share, limits_mean);
	struct load_limits mean_limits = get_mean_load_limits(
		stats, request->target_ms, request->urgent_share);
	double mean = limits_mean ? mean_service_load(sl, instance_nr) : 0;

	if (current_load(pl, best->upstream) >= limits.full ||
	    mean >= mean_limits.full)
		return PLACE_FULL;
	if (best->load >= limits.crowded || mean >= mean_limits.crowded)
		return PLACE_CROWDED;
	return best->reason;
}

struct placement place_new_flow(struct placer *pl,
				const struct placement_request *request,
				uint64_t now_ms)
{
	const struct catalog_service *sv =
		get_service(pl->catalog, request->service);
	struct placement best = { CATALOG_NONE, PLACE_NONE_LISTED, 0 };
	const struct service_stats *stats =
		get_or_create_service_stats(pl, request->service);
	struct service_load sl = { 0 };
	double best_score = 0;
	bool best_avoided = false;

	for (guint i = 0; sv && i < sv->upstreams->len; i++) {
		upstream_index_t nr =
			g_array_index(sv->upstreams, upstream_index_t, i);
		const struct catalog_upstream *up =
			get_upstream(pl->catalog, nr);
		struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
		bool cold = is_cold_upstream(pl->catalog, nr, now_ms);
		bool suspect = ul->health == HEALTH_SUSPECTED || ul->peers_dead;
		bool avoided;
		double load;
		double score;

		if (!accepts_flows(pl->catalog, nr))
			continue;
		if (is_dead_or_cut_off(ul) || is_behind_lost_link(pl, nr) ||
		    is_excluded(request->excluded, request->excluded_nr, nr)) {
			if (best.upstream == CATALOG_NONE &&
			    best.reason == PLACE_NONE_LISTED)
				best.reason = PLACE_ALL_DEAD;
			continue;
		}
		if (cold && !may_place_on_cold(pl, nr, ul, now_ms)) {
			if (best.upstream == CATALOG_NONE)
				best.reason = PLACE_ALL_COLD;
			continue;
		}
		load = busy_load(pl, ul) / up->report.slots;
		add_service_load(&sl, pl, ul, up->report.slots);
		score = completion_score(pl, nr,
					 expected_load(pl, nr) /
						 up->report.slots) +
			remote_domain_cost(pl, up) +
			g_rand_double(pl->rand) * 0.01; /* breaks ties */
		avoided =
			suspect || avoids_failing(pl, nr, request->repeatable);
		if (best.upstream != CATALOG_NONE &&
		    (avoided > best_avoided ||
		     (avoided == best_avoided && score >= best_score)))
			continue;
		best.upstream = nr;
		best.reason = suspect ? PLACE_SUSPECT
			      : cold  ? PLACE_COLD
				      : PLACE_LEAST_LOADED;
		best.load = load;
		best_score = score;
		best_avoided = avoided;
	}
	if (best.upstream == CATALOG_NONE)
		return best;
	if (would_miss_deadline(best.load, stats->mean_answer_ms,
				request->deadline_ms)) {
		best.upstream = CATALOG_NONE;
		best.reason = PLACE_OVERLOADED;
		return best;
	}
	best.reason = assess_room(pl, &best, request, stats, &sl);
	if (is_cold_upstream(pl->catalog, best.upstream, now_ms)) {
		struct upstream_load *ul =
			find_upstream_load(pl, best.upstream);

		ul->cold_flow_ms[ul->cold_flow_next++ %
				 PLACEMENT_COLD_FLOWS_MAX] = now_ms;
	}
	return best;
}

void note_answer(struct placer *pl, upstream_index_t nr, uint64_t took_ms,
		 uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);

	if (up) {
		struct service_stats *stats =
			get_or_create_service_stats(pl, up->service);

		add_duration(&stats->answer_histogram, took_ms);
		stats->mean_answer_ms +=
			ANSWER_MEAN_WEIGHT *
			((double)took_ms - stats->mean_answer_ms);
		if (current_load(pl, nr) <= 1)
			stats->mean_unqueued_ms +=
				UNQUEUED_MEAN_WEIGHT *
				((double)took_ms - stats->mean_unqueued_ms);
		note_in_flight_answer(pl, nr, took_ms, now_ms);
	}
	note_upstream_answer(pl, nr, now_ms - MIN(now_ms, took_ms), now_ms);
}

const struct histogram *answer_times(const struct placer *pl,
				     service_index_t service)
{
	return service < pl->service_stats->len
		       ? &g_array_index(pl->service_stats, struct service_stats,
					service)
				  .answer_histogram
		       : NULL;
}

const char *place_reason_name(enum place_reason r)
{
	static const char *const names[PLACE_REASON_NR] = {
		"least-loaded", "cold",	   "doubted", "none-listed", "all-dead",
		"all-cold",	"crowded", "full",    "overloaded"
	};

	return names[r];
}
