#include "flow/placement.h"

#include <string.h>

#include "flow/placement-state.h"

#define ANSWER_MEAN_WEIGHT 0.1 /* of the newest sample */
#define ANSWER_MS_START 50.0   /* until answers were observed */
#define BUSY_RATIO_START 0.5   /* until flows were observed */

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
	pl->peer_loads = g_array_new(FALSE, FALSE, sizeof(struct peer_load));
	pl->health_changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));
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
	g_array_free(pl->service_stats, TRUE);
	g_ptr_array_free(pl->upstream_loads, TRUE);
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
				       .mean_unqueued_ms = ANSWER_MS_START,
				       .mean_busy_ratio = BUSY_RATIO_START };

	while (pl->service_stats->len <= sv)
		g_array_append_val(pl->service_stats, start);
	return &g_array_index(pl->service_stats, struct service_stats, sv);
}

static double expected_load(const struct upstream_load *ul, double busy_ratio)
{
	double busy = ul->busy_requests + ul->mean_peer_busy;
	double idle = (double)ul->open_flows + ul->peer_open_flows - busy;

	return busy + (idle > 0 ? busy_ratio * idle : 0);
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

	return (double)(ul->busy_requests + ul->peer_busy_requests) /
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

/* Requests for each slot above which answers are expected after TARGET_MS. */
static double crowded_load(const struct service_stats *stats,
			   uint32_t target_ms)
{
	if (!target_ms)
		return PLACEMENT_FULL_LOAD;
	return CLAMP(target_ms / stats->mean_unqueued_ms,
		     PLACEMENT_CROWDED_LOAD_MIN, PLACEMENT_FULL_LOAD);
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
		if (is_dead_or_cut_off(ul) ||
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
		load = expected_load(ul, stats->mean_busy_ratio) /
		       up->report.slots;
		score = completion_score(pl, nr, load) +
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
	if (current_load(pl, best.upstream) >= PLACEMENT_FULL_LOAD)
		best.reason = PLACE_FULL;
	else if (best.load >= crowded_load(stats, request->target_ms))
		best.reason = PLACE_CROWDED;
	if (is_cold_upstream(pl->catalog, best.upstream, now_ms)) {
		struct upstream_load *ul =
			find_upstream_load(pl, best.upstream);

		ul->cold_flow_ms[ul->cold_flow_next++ %
				 PLACEMENT_COLD_FLOWS_MAX] = now_ms;
	}
	return best;
}

void note_flow_open(struct placer *pl, upstream_index_t nr)
{
	get_or_create_upstream_load(pl, nr)->open_flows++;
}

void note_flow_end(struct placer *pl, upstream_index_t nr)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (ul->open_flows)
		ul->open_flows--;
}

void note_request_start(struct placer *pl, upstream_index_t nr)
{
	get_or_create_upstream_load(pl, nr)->busy_requests++;
	pl->busy_requests++;
}

void note_request_end(struct placer *pl, upstream_index_t nr)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	if (!ul->busy_requests)
		return;
	ul->busy_requests--;
	pl->busy_requests--;
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
				ANSWER_MEAN_WEIGHT *
				((double)took_ms - stats->mean_unqueued_ms);
	}
	note_upstream_alive(pl, nr, now_ms);
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
