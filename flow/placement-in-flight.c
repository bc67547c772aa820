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

void change_request_weight(struct placer *pl, upstream_index_t nr, uint8_t from,
			   uint8_t to)
{
	struct upstream_load *ul = get_or_create_upstream_load(pl, nr);
	uint32_t removed = MIN(ul->busy_weight, from);

	ul->busy_weight += to - removed;
	pl->busy_weight += to - removed;
}

void note_request_start(struct placer *pl, upstream_index_t nr)
{
	change_request_weight(pl, nr, 0, IN_FLIGHT_WEIGHT_ONE);
}

void note_request_end(struct placer *pl, upstream_index_t nr)
{
	change_request_weight(pl, nr, IN_FLIGHT_WEIGHT_ONE, 0);
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
	note_upstream_alive(pl, nr, now_ms);
}
