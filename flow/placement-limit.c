#include "flow/placement-limit.h"

/* Load that SHARE of the target allows at an upstream with SLOWNESS. */
static double target_load(const struct service_stats *stats, uint32_t target_ms,
			  double slowness, double share)
{
	if (!target_ms)
		return PLACEMENT_FULL_LOAD;
	return CLAMP(share * target_ms / (stats->mean_unqueued_ms * slowness),
		     MAX(1, PLACEMENT_CROWDED_LOAD_MIN / slowness),
		     PLACEMENT_FULL_LOAD);
}

/* What is left of LIMIT; reserving more would leave slots idle. */
static double reserve_room(double limit, double urgent_share)
{
	return MAX(limit * (1 - PLACEMENT_RESERVED_FACTOR * urgent_share),
		   MIN(limit, PLACEMENT_CROWDED_LOAD_MIN));
}

struct load_limits get_load_limits(const struct service_stats *stats,
				   uint32_t target_ms, double slowness,
				   double urgent_share, bool limits_mean)
{
	double whole = target_load(stats, target_ms, slowness, 1);
	double share = limits_mean ? 1 : PLACEMENT_CROWDED_TARGET_SHARE;
	double limit = target_load(stats, target_ms, slowness, share);

	return (struct load_limits){
		.crowded = reserve_room(limit, urgent_share),
		.full = MIN(whole + 1, PLACEMENT_FULL_LOAD),
	};
}

struct load_limits get_mean_load_limits(const struct service_stats *stats,
					uint32_t target_ms, double urgent_share)
{
	double limit = MIN(target_load(stats, target_ms, 1, 1),
			   PLACEMENT_MEAN_LOAD_MAX);

	return (struct load_limits){
		.crowded = reserve_room(limit, urgent_share),
		.full = limit,
	};
}

void add_service_load(struct service_load *sl, const struct placer *pl,
		      const struct upstream_load *ul, uint32_t slots)
{
	double own = weight_as_requests(ul->busy_weight);

	sl->slots += slots;
	sl->own += own;
	sl->all += own + estimate_peer_load(pl, ul->mean_peer_busy,
					    ul->peer_busy_weight);
}

double mean_service_load(const struct service_load *sl, size_t instance_nr)
{
	return sl->slots > 0
		       ? MIN(sl->own * (double)instance_nr, sl->all) / sl->slots
		       : 0;
}
