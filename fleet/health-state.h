#ifndef FLEET_HEALTH_STATE_H
#define FLEET_HEALTH_STATE_H

/* Internals shared by fleet/health*.c; not included anywhere else. */

#include <glib.h>

#include "fleet/health-probers.h"
#include "fleet/health.h"

#define MEMBERS_CHECK_MS 1000 /* between two checks for changed members */
#define PROBE_JITTER 0.2 /* fraction of the probe interval, to either side */
#define PURGE_INTERVAL_MS 600000 /* drops upstreams no longer published */
#define PANIC_DIVISOR 2 /* panic: more than half of the upstreams are down */

struct health {
	const struct view *view;
	const struct chart *chart;
	struct counters *counters;
	struct snapshot *snapshot;
	struct snapshot *assigned_snapshot; /* roles were assigned for it */
	struct probers *probers;
	GRand *rand;
	GHashTable *assessments; /* upstream id -> struct health_assessment */
	GHashTable *domain_success_ms; /* domain -> uint64_t, last success */
	/* of struct health_assessment: */
	GPtrArray *assigned;   /* whose role is not passive */
	GPtrArray *watched;    /* on each tick: not passive, or not warm */
	GPtrArray *unassigned; /* while assigning: roles possibly lost */
	size_t probed_count; /* assigned ones that have an endpoint to probe */
	uint64_t probe_interval_ms; /* between two probes of one upstream */
	uint64_t members_checked_at_ms;
	uint64_t purged_at_ms;
};

/* fleet/health.c */

/* Appends an action of KIND about the upstream of HA. */
struct health_action *add_health_action(struct health_actions *as,
					enum health_action_kind kind,
					const struct health_assessment *ha);

/* The service with ID in the snapshot in force, or NULL. */
const struct service *service_of_id(const struct health *h, uint64_t id);

/* The upstream of HA, or NULL if it is no longer published. */
const struct upstream *
upstream_of_assessment(const struct health *h,
		       const struct health_assessment *ha);

/* The assessment of UP; a new one begins as warm. */
struct health_assessment *get_or_create_assessment(struct health *h,
						   const struct service *sv,
						   const struct upstream *up,
						   uint64_t now_ms);

/* True if state A allows an upstream less load than B. */
bool is_worse_state(enum upstream_state a, enum upstream_state b);

/* Adds HA to those that are handled on each tick. */
void watch_assessment(struct health *h, struct health_assessment *ha);

/* fleet/health-roles.c */

/* MS, randomly up to PROBE_JITTER of it more or less. */
uint64_t jitter_probe(struct health *h, uint64_t ms);

/* Reassigns roles if the snapshot or the members have changed. */
void update_health_roles(struct health *h, uint64_t now_ms);

/* fleet/health-publish.c */

/* Notes that something in DOMAIN answered. */
void record_domain_success(struct health *h, const char *domain,
			   uint64_t now_ms);

/* True if more than half of SV is down, counting PLUS further upstreams. */
bool is_service_in_panic(const struct health *h, const struct service *sv,
			 size_t plus);

/*
 * Sets HA to the fleet's state of UP when that changed to a worse one. While
 * views differ, two instances may both act as primary; without this they
 * would overwrite each other's publications in turns.
 */
void adopt_worse_fleet_state(const struct health *h,
			     struct health_assessment *ha,
			     const struct upstream *up, uint64_t now_ms);

/*
 * Publishes the state of HA to the fleet if this instance is primary and
 * nothing holds the publication back.
 */
void publish_health(struct health *h, struct health_assessment *ha,
		    uint64_t now_ms, struct health_actions *out);

/* Applies the domain and drain orders of operators for UP to HA. */
void apply_operator_orders(struct health *h, struct health_assessment *ha,
			   const struct upstream *up, uint64_t now_ms);

/* Appends an action and counts if HA has left state BEFORE. */
void report_state_change(struct health *h, const struct health_assessment *ha,
			 enum upstream_state before,
			 struct health_actions *out);

#endif
