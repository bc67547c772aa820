/* Requests in flight at upstreams, weighted by whether they still run. */

#include "flow/placement-state.h"

static struct in_flight_estimator *find_estimator(struct placer *pl,
						  upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(pl->catalog, nr);
	struct service_stats *stats;

	if (!up)
		return NULL;
	stats = get_or_create_service_stats(pl, up->service);
	if (!stats->in_flight)
		stats->in_flight = create_in_flight_estimator();
	return stats->in_flight;
}

/*
 * Share of the requests running now that are taken to have ended when a new one
 * gets its turn. Until then flows of the same upstream become busy instead, so
 * that their number tends to what is usual.
 */
#define EXPECTED_ENDED_SHARE 0.5

void destroy_placer_route(gpointer data)
{
	struct placer_route *r = data;

	g_array_free(r->flows, TRUE);
	g_free(r);
}

static route_index_t add_placer_route(struct placer *pl, uint32_t ip,
				      uint16_t port)
{
	struct placer_route *r = g_new0(struct placer_route, 1);

	r->ip = ip;
	r->port = port;
	r->flows = g_array_new(FALSE, TRUE, sizeof(struct route_flows));
	g_ptr_array_add(pl->routes, r);
	return (route_index_t)(pl->routes->len - 1);
}

route_index_t get_placer_route(struct placer *pl, uint32_t ip, uint16_t port)
{
	for (guint i = 1; i < pl->routes->len; i++) {
		const struct placer_route *r = g_ptr_array_index(pl->routes, i);

		if (r->ip == ip && r->port == port)
			return (route_index_t)i;
	}
	return pl->routes->len <= UINT16_MAX ? add_placer_route(pl, ip, port)
					     : 0;
}

static struct placer_route *find_placer_route(const struct placer *pl,
					      route_index_t route)
{
	return g_ptr_array_index(pl->routes, route);
}

/* The flows of R at NR, added if there are none. */
static struct route_flows *get_or_create_route_flows(struct placer_route *r,
						     upstream_index_t nr)
{
	if (r->flows->len <= nr)
		g_array_set_size(r->flows, nr + 1U);
	return &g_array_index(r->flows, struct route_flows, nr);
}

void add_flow_load(struct placer *pl, upstream_index_t nr,
		   const struct flow_load *fl)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	struct placer_route *r = find_placer_route(pl, fl->route);
	struct route_flows *rf = get_or_create_route_flows(r, nr);
	uint32_t request_weight = fl->established ? fl->weight : 0;

	ul->open_flows += fl->counted;
	ul->busy_weight += fl->weight;
	pl->busy_weight += fl->weight;
	rf->open += fl->established;
	rf->request_weight += request_weight;
	r->total.open += fl->established;
	r->total.request_weight += request_weight;
}

/* Subtracts BY from N, and the same from TOTAL, which includes N. */
static void subtract(uint32_t *n, uint32_t *total, uint32_t by)
{
	by = MIN(*n, by);
	*n -= by;
	*total -= by;
}

void remove_flow_load(struct placer *pl, upstream_index_t nr,
		      const struct flow_load *fl)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	struct placer_route *r = find_placer_route(pl, fl->route);
	struct route_flows *rf = get_or_create_route_flows(r, nr);

	/* the counts were cleared if another upstream has the index now */
	ul->open_flows -= MIN(ul->open_flows, (uint32_t)fl->counted);
	subtract(&ul->busy_weight, &pl->busy_weight, fl->weight);
	subtract(&rf->open, &r->total.open, fl->established);
	subtract(&rf->request_weight, &r->total.request_weight,
		 fl->established ? fl->weight : 0);
}

void clear_own_load(struct placer *pl, upstream_index_t nr)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);

	subtract(&ul->busy_weight, &pl->busy_weight, UINT32_MAX);
	for (guint i = 0; i < pl->routes->len; i++) {
		struct placer_route *r = g_ptr_array_index(pl->routes, i);
		struct route_flows *rf = get_or_create_route_flows(r, nr);

		subtract(&rf->open, &r->total.open, UINT32_MAX);
		subtract(&rf->request_weight, &r->total.request_weight,
			 UINT32_MAX);
	}
}

static const struct flow_load idle_flow = { .counted = true,
					    .established = true };
static const struct flow_load busy_flow = { .counted = true,
					    .established = true,
					    .weight = IN_FLIGHT_WEIGHT_ONE };

void note_flow_open(struct placer *pl, upstream_index_t nr)
{
	add_flow_load(pl, nr, &idle_flow);
}

void note_flow_end(struct placer *pl, upstream_index_t nr)
{
	remove_flow_load(pl, nr, &idle_flow);
}

void note_request_start(struct placer *pl, upstream_index_t nr)
{
	remove_flow_load(pl, nr, &idle_flow);
	add_flow_load(pl, nr, &busy_flow);
}

void note_request_end(struct placer *pl, upstream_index_t nr)
{
	remove_flow_load(pl, nr, &busy_flow);
	add_flow_load(pl, nr, &idle_flow);
}

void note_response_on_route(struct placer *pl, route_index_t route,
			    uint64_t now_ms)
{
	note_route_response(&find_placer_route(pl, route)->activity, now_ms);
}

void note_flow_end_on_route(struct placer *pl, route_index_t route,
			    uint64_t now_ms)
{
	note_route_flow_end(&find_placer_route(pl, route)->activity, now_ms);
}

void sample_routes(struct placer *pl, uint64_t now_ms)
{
	for (guint i = 0; i < pl->routes->len; i++) {
		struct placer_route *r = g_ptr_array_index(pl->routes, i);

		sample_route_activity(
			&r->activity,
			weight_as_requests(r->total.request_weight),
			r->total.open, now_ms);
	}
}

double own_expected_load(const struct placer *pl, upstream_index_t nr)
{
	const struct upstream_load *ul = find_upstream_load(pl, nr);
	double load = ul ? weight_as_requests(ul->busy_weight) : 0;

	for (guint i = 0; i < pl->routes->len; i++) {
		const struct placer_route *r =
			find_placer_route(pl, (route_index_t)i);
		const struct route_flows *rf;
		double usual;

		/* these flows become busy once, and are counted then */
		if (nr >= r->flows->len || has_flow_per_request(&r->activity))
			continue;
		rf = &g_array_index(r->flows, struct route_flows, nr);
		usual = route_busy_share(&r->activity) * rf->open;
		load += EXPECTED_ENDED_SHARE *
			(usual - weight_as_requests(rf->request_weight));
	}
	return MAX(load, 0);
}

double request_probability(struct placer *pl, upstream_index_t nr,
			   uint64_t sent_ms, uint64_t now_ms)
{
	const struct in_flight_estimator *e = find_estimator(pl, nr);

	/* a lack of packets does not show that the upstream has room */
	if (!e || !was_alive_since(pl, nr, sent_ms + 1))
		return 1;
	return pending_probability(e, now_ms - sent_ms, now_ms);
}

void note_in_flight_answer(struct placer *pl, upstream_index_t nr,
			   uint64_t took_ms, uint64_t now_ms)
{
	struct in_flight_estimator *e = find_estimator(pl, nr);

	if (e)
		note_answered(e, took_ms, now_ms);
}

void note_request_unseen(struct placer *pl, upstream_index_t nr,
			 uint64_t sent_ms, uint64_t now_ms)
{
	struct in_flight_estimator *e = find_estimator(pl, nr);

	if (e && was_alive_since(pl, nr, sent_ms + 1))
		note_unseen_end(e, now_ms);
}

void note_late_answer(struct placer *pl, upstream_index_t nr, uint64_t took_ms,
		      uint64_t now_ms)
{
	struct in_flight_estimator *e = find_estimator(pl, nr);

	if (e)
		note_late_answered(e, took_ms, now_ms);
	note_upstream_answer(pl, nr, now_ms - MIN(now_ms, took_ms), now_ms);
}
