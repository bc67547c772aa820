#ifndef FLEET_LIMITS_H
#define FLEET_LIMITS_H

/*
 * The present limits of an upstream (requests in flight, flows) for all
 * instances together: the cold limit while it is cold, then steps up to the
 * full limit. Each instance uses its quota of that (fleet/quota.h).
 *
 * A ramp starts when this instance first sees the change of state, so the ramps
 * of two instances differ by the time that the change takes between them.
 */

#include "fleet/health.h"

#define LIMIT_STEPS 4 /* of a ramp, each HEALTH_RAMP_MS / LIMIT_STEPS long */

struct limits;

/* VIEW and HEALTH must outlive the result. HEALTH may be NULL: view only. */
struct limits *create_limits(const struct view *view,
			     const struct health *health);
void destroy_limits(struct limits *ls);

/* Concurrent requests that UP of SV may get at NOW_MS; 0: no new ones. */
uint32_t upstream_slots(struct limits *ls, const struct service *sv,
			const struct upstream *up, uint64_t now_ms);

/* Concurrent flows that UP of SV may get at NOW_MS; 0: no new ones. */
uint32_t upstream_connections(struct limits *ls, const struct service *sv,
			      const struct upstream *up, uint64_t now_ms);

#endif
