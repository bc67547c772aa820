#ifndef FLEET_HEALTH_PROBERS_H
#define FLEET_HEALTH_PROBERS_H

/*
 * Assigns probers to upstreams: the two live instances of the upstream's own
 * failure domain with the highest rendezvous weights or, if that domain has no
 * live instance, the two of the whole fleet. Every instance derives the same
 * assignment from the same view. It computes only its own roles, so that the
 * cost of a membership change does not grow with the number of instances.
 */

#include "fleet/health-assessment.h"

#define HEALTH_PROBERS 2 /* instances that probe one upstream */

struct probers;

struct probers *create_probers(const struct view *view);
void destroy_probers(struct probers *ps);

/*
 * Reads the live members from the view again. Returns true if the result of
 * prober_role() may have changed since the last call.
 */
bool update_probers(struct probers *ps);

/* The role of this instance in probing UP. */
enum health_role prober_role(const struct probers *ps,
			     const struct upstream *up);

/* True if DOMAIN is that of this instance. */
bool is_self_domain(const struct probers *ps, const char *domain);

#endif
