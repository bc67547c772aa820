#ifndef FLOW_PLACEMENT_LIMIT_H
#define FLOW_PLACEMENT_LIMIT_H

/*
 * Loads at which upstreams count as crowded or full. Private to
 * flow/placement*.c. No I/O.
 *
 * In large fleets peers report their loads too rarely to tell how loaded a
 * single upstream is: most of the requests that a report counts have ended when
 * it is used, and the upstream that seems the least loaded often is not. The
 * mean over all upstreams of a service is known well, so it is limited, too.
 */

#include "flow/placement-state.h"

/*
 * Limit of the mean load of all upstreams in large fleets. Around a mean of 2.5
 * requests for each slot single upstreams have up to twice as many and begin to
 * shed; at 2, slots are idle at others. See docs/design/hard-load.md.
 */
#define PLACEMENT_MEAN_LOAD_MAX 2.5

/*
 * Room that is reserved for urgent requests, relative to their share of all.
 * They use free room like others, so half of it is enough.
 */
#define PLACEMENT_RESERVED_FACTOR 0.5

/* Requests in flight for each slot. */
struct load_limits {
	double crowded;
	double full;
};

/*
 * The limits of an upstream. SLOWNESS: its response time relative to the
 * typical one of its service. URGENT_SHARE: share of more urgent requests, for
 * which room is reserved. LIMITS_MEAN: the mean of the service is limited as
 * well, so that a single upstream may use the whole target; otherwise half of
 * the responses would be late at the limit.
 */
struct load_limits get_load_limits(const struct service_stats *stats,
				   uint32_t target_ms, double slowness,
				   double urgent_share, bool limits_mean);

/* The limits of the mean over all upstreams of a service. */
struct load_limits get_mean_load_limits(const struct service_stats *stats,
					uint32_t target_ms,
					double urgent_share);

/* Sums over the upstreams of a service that may get a flow. */
struct service_load {
	double slots;
	double all; /* requests in flight, here and at peers */
	double own; /* of these, of flows that this instance forwards */
};

void add_service_load(struct service_load *sl, const struct placer *pl,
		      const struct upstream_load *ul, uint32_t slots);

/*
 * Requests for each slot, seen from one of INSTANCE_NR instances. Its own
 * requests are known at once, those of peers only when they report: an instance
 * with less than its fair share of the load counts by its own requests, so that
 * not all instances hold back, or place, at the same time.
 */
double mean_service_load(const struct service_load *sl, size_t instance_nr);

#endif
