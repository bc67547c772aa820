#ifndef FLEET_LIMITS_H
#define FLEET_LIMITS_H

/*
 * How much an upstream bears now, over all instances together: its cold limit
 * when cold, then growing in steps up to its full limit. What one instance may
 * use of it is a share (fleet/share.h).
 *
 * A ramp starts when this instance first sees the change of state, so
 * instances differ by no more than the news takes.
 */

#include "fleet/health.h"

#define LIMIT_STEPS 4 /* of a ramp, each HEALTH_RAMP_MS / LIMIT_STEPS long */

struct limits;

/* VIEW and HEALTH outlive the limits; HEALTH may be NULL. */
struct limits *create_limits(const struct view *view,
			     const struct health *health);
void destroy_limits(struct limits *ls);

/* Requests that UP of SV runs at once at NOW_MS; 0: give it nothing new. */
uint32_t upstream_slots(struct limits *ls, const struct service *sv,
			const struct upstream *up, uint64_t now_ms);

/* Flows that UP of SV holds at NOW_MS; 0: give it nothing new. */
uint32_t upstream_connections(struct limits *ls, const struct service *sv,
			      const struct upstream *up, uint64_t now_ms);

#endif
