#ifndef FLEET_HEALTH_PROBERS_H
#define FLEET_HEALTH_PROBERS_H

/*
 * Who probes an upstream: the two live instances of its own failure domain
 * with the highest rendezvous weights. When that domain has no live instance,
 * the two of all other domains. Every instance computes the same from the
 * same view, and for its own part only, so that the cost of a change in the
 * fleet does not grow with the number of instances.
 */

#include "fleet/health-judge.h"

#define HEALTH_PROBERS 2 /* instances that probe one upstream */

struct probers;

struct probers *create_probers(const struct view *view);
void destroy_probers(struct probers *ps);

/*
 * Reads the live members from the view again. Returns true if the answer of
 * prober_role() may have changed since the last call.
 */
bool update_probers(struct probers *ps);

/* The role of this instance towards UP. */
enum health_role prober_role(const struct probers *ps,
			     const struct upstream *up);

/* True if DOMAIN is that of this instance. */
bool is_own_domain(const struct probers *ps, const char *domain);

#endif
