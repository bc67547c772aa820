#include "flow/placing.h"

#include <string.h>

#include "flow/placing-state.h"

#define MEAN_WEIGHT 0.1	     /* of the newest sample in the running mean */
#define ANSWER_MS_START 50.0 /* until answers were seen */
#define BUSY_RATIO_START 0.5 /* share of open flows with a request */

struct placing *create_placing(const struct catalog *cat,
			       const struct view *view, struct shares *shares,
			       const char *domain, uint32_t seed)
{
	struct placing *pl = g_new0(struct placing, 1);

	pl->cat = cat;
	pl->view = view;
	pl->shares = shares;
	pl->domain = g_strdup(domain);
	pl->far_cost = PLACING_FAR_COST;
	pl->cold_factor = 1;
	pl->rand = g_rand_new_with_seed(seed);
	pl->rows = g_ptr_array_new_with_free_func(g_free);
	pl->services = g_array_new(FALSE, TRUE, sizeof(struct service_mean));
	pl->peers = g_array_new(FALSE, FALSE, sizeof(struct peer_load));
	pl->changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	return pl;
}

void set_cold_bounds(struct placing *pl, double factor, double slack)
{
	pl->cold_factor = factor;
	pl->cold_slack = slack;
}

void set_far_cost(struct placing *pl, double cost)
{
	pl->far_cost = cost;
}

void destroy_placing(struct placing *pl)
{
	if (!pl)
		return;
	for (guint i = 0; i < pl->peers->len; i++)
		g_array_free(g_array_index(pl->peers, struct peer_load, i).rows,
			     TRUE);
	g_array_free(pl->peers, TRUE);
	g_array_free(pl->changes, TRUE);
	g_array_free(pl->services, TRUE);
	g_ptr_array_free(pl->rows, TRUE);
	g_rand_free(pl->rand);
	g_free(pl->domain);
	g_free(pl);
}

struct upstream_load *find_load_row(const struct placing *pl, upstream_nr_t nr)
{
	return nr < pl->rows->len ? g_ptr_array_index(pl->rows, nr) : NULL;
}

struct upstream_load *need_load_row(struct placing *pl, upstream_nr_t nr)
{
	while (pl->rows->len <= nr)
		g_ptr_array_add(pl->rows, NULL);
	if (!g_ptr_array_index(pl->rows, nr))
		g_ptr_array_index(pl->rows, nr) =
			g_new0(struct upstream_load, 1);
	return g_ptr_array_index(pl->rows, nr);
}

struct service_mean *need_service_mean(struct placing *pl, service_nr_t sv)
{
	struct service_mean start = { .answer_ms = ANSWER_MS_START,
				      .usual_ms = ANSWER_MS_START,
				      .busy_ratio = BUSY_RATIO_START };

	while (pl->services->len <= sv)
		g_array_append_val(pl->services, start);
	return &g_array_index(pl->services, struct service_mean, sv);
}

static double row_load(const struct upstream_load *r, double busy_ratio)
{
	double busy = r->busy + r->peer_mean;
	double idle = (double)r->open + r->peer_open - busy;

	return busy + (idle > 0 ? busy_ratio * idle : 0);
}

/* Flows that this instance has sent to the cold upstream of R in a window. */
static uint32_t recent_cold_flows(const struct upstream_load *r,
				  uint64_t now_ms)
{
	uint32_t n = 0;

	for (size_t i = 0; i < PLACING_COLD_MAX; i++)
		n += r->cold[i] && now_ms - r->cold[i] < PLACING_COLD_WINDOW_MS;
	return n;
}

/* Whether most of the members that were heard lately still live. */
static bool sees_majority(const struct placing *pl)
{
	size_t known;

	view_members(pl->view, &known);
	return 2 * live_member_nr(pl->view) > known;
}

static bool may_take_cold(const struct placing *pl, upstream_nr_t nr,
			  const struct upstream_load *r, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);
	const struct catalog_service *sv = get_service(pl->cat, up->service);
	double half = (sv->cold_per_s * pl->cold_factor + pl->cold_slack) / 2;
	uint32_t bears = (uint32_t)MIN(MIN(sv->cold_per_s, half),
				       (double)PLACING_COLD_MAX);

	/* the shares of a view that lacks most members are others' too */
	if (!is_view_settled(pl->view) || !sees_majority(pl))
		return false;
	return recent_cold_flows(r, now_ms) <
	       upstream_share(pl->shares, up->report.id, bears, now_ms);
}

static bool was_tried(const upstream_nr_t *tried, size_t nr, upstream_nr_t up)
{
	for (size_t i = 0; i < nr; i++)
		if (tried[i] == up)
			return true;
	return false;
}

static double far_cost(const struct placing *pl,
		       const struct catalog_upstream *up)
{
	return strcmp(domain_name(pl->cat, up->domain), pl->domain) != 0
		       ? pl->far_cost
		       : 0;
}

/* Requests in flight for each slot of NR as last told, without averaging. */
static double present_load(const struct placing *pl, upstream_nr_t nr)
{
	const struct upstream_load *r = find_load_row(pl, nr);

	return (double)(r->busy + r->peer_busy) /
	       get_upstream(pl->cat, nr)->report.slots;
}

/*
 * Expected wait for a slot at LOAD, in requests for each slot, is that of
 * the requests ahead beyond those that run.
 */
static bool is_too_late(double load, double answer_ms, uint32_t deadline_ms)
{
	return load > 1 && (load - 1) * answer_ms > deadline_ms;
}

/* Requests a slot beyond which an answer is expected later than AIM_MS. */
static double crowded_load(const struct service_mean *mean, uint32_t aim_ms)
{
	if (!aim_ms)
		return PLACING_FULL_LOAD;
	return CLAMP(aim_ms / mean->usual_ms, PLACING_CROWDED_MIN,
		     PLACING_FULL_LOAD);
}

struct placement place_new_flow(struct placing *pl,
				const struct place_wish *wish, uint64_t now_ms)
{
	const struct catalog_service *sv = get_service(pl->cat, wish->service);
	struct placement best = { CATALOG_NONE, PLACE_NONE_LISTED, 0 };
	const struct service_mean *mean = need_service_mean(pl, wish->service);
	double best_score = 0;
	bool best_doubted = false;

	for (guint i = 0; sv && i < sv->upstreams->len; i++) {
		upstream_nr_t nr =
			g_array_index(sv->upstreams, upstream_nr_t, i);
		const struct catalog_upstream *up = get_upstream(pl->cat, nr);
		struct upstream_load *r = need_load_row(pl, nr);
		bool cold = is_cold_upstream(pl->cat, nr, now_ms);
		bool doubted = r->health == HEALTH_DOUBTED || r->peer_dead;
		double load;
		double score;

		if (!accepts_flows(pl->cat, nr))
			continue;
		if (is_out_of_question(r) ||
		    was_tried(wish->tried, wish->tried_nr, nr)) {
			if (best.upstream == CATALOG_NONE &&
			    best.reason == PLACE_NONE_LISTED)
				best.reason = PLACE_ALL_DEAD;
			continue;
		}
		if (cold && !may_take_cold(pl, nr, r, now_ms)) {
			if (best.upstream == CATALOG_NONE)
				best.reason = PLACE_ALL_COLD;
			continue;
		}
		load = row_load(r, mean->busy_ratio) / up->report.slots;
		score = load + far_cost(pl, up) +
			g_rand_double(pl->rand) * 0.01; /* ties */
		if (best.upstream != CATALOG_NONE &&
		    (doubted > best_doubted ||
		     (doubted == best_doubted && score >= best_score)))
			continue;
		best.upstream = nr;
		best.reason = doubted ? PLACE_DOUBTED
			      : cold  ? PLACE_COLD
				      : PLACE_LEAST_LOADED;
		best.load = load;
		best_score = score;
		best_doubted = doubted;
	}
	if (best.upstream == CATALOG_NONE)
		return best;
	if (is_too_late(best.load, mean->answer_ms, wish->deadline_ms)) {
		best.upstream = CATALOG_NONE;
		best.reason = PLACE_OVERLOADED;
		return best;
	}
	if (present_load(pl, best.upstream) >= PLACING_FULL_LOAD)
		best.reason = PLACE_FULL;
	else if (best.load >= crowded_load(mean, wish->aim_ms))
		best.reason = PLACE_CROWDED;
	if (is_cold_upstream(pl->cat, best.upstream, now_ms)) {
		struct upstream_load *r = find_load_row(pl, best.upstream);

		r->cold[r->cold_at++ % PLACING_COLD_MAX] = now_ms;
	}
	return best;
}

void note_flow_open(struct placing *pl, upstream_nr_t nr)
{
	need_load_row(pl, nr)->open++;
}

void note_flow_end(struct placing *pl, upstream_nr_t nr)
{
	struct upstream_load *r = need_load_row(pl, nr);

	if (r->open)
		r->open--;
}

void note_request(struct placing *pl, upstream_nr_t nr)
{
	need_load_row(pl, nr)->busy++;
	pl->busy++;
}

void note_request_end(struct placing *pl, upstream_nr_t nr)
{
	struct upstream_load *r = need_load_row(pl, nr);

	if (!r->busy)
		return;
	r->busy--;
	pl->busy--;
}

void note_answer(struct placing *pl, upstream_nr_t nr, uint64_t took_ms,
		 uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(pl->cat, nr);

	if (up) {
		struct service_mean *mean = need_service_mean(pl, up->service);

		add_duration(&mean->answers, took_ms);
		mean->answer_ms +=
			MEAN_WEIGHT * ((double)took_ms - mean->answer_ms);
		if (present_load(pl, nr) <= 1)
			mean->usual_ms += MEAN_WEIGHT *
					  ((double)took_ms - mean->usual_ms);
	}
	note_life(pl, nr, now_ms);
}

const struct histogram *answer_times(const struct placing *pl,
				     service_nr_t service)
{
	return service < pl->services->len
		       ? &g_array_index(pl->services, struct service_mean,
					service)
				  .answers
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
