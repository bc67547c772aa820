#ifndef FLEET_HEALTH_STATE_H
#define FLEET_HEALTH_STATE_H

/* What the files behind fleet/health.h share; for no one else. */

#include <glib.h>

#include "fleet/health-probers.h"
#include "fleet/health.h"

#define MEMBERS_MS 1000 /* between two looks at the members */
#define JITTER 0.2	/* share of the interval, to either side */
#define PURGE_MS 600000 /* between two removals of unpublished ones */
#define PANIC_DIVISOR 2 /* more than 1 / this of a service down */

struct health {
	const struct view *view;
	const struct chart *chart;
	struct counters *counters;
	struct snapshot *snapshot;
	struct snapshot *assigned_of; /* whose probes are assigned; or NULL */
	struct probers *probers;
	GRand *rand;
	GHashTable *judges; /* upstream id -> struct judge */
	GHashTable *reach;  /* domain -> uint64_t ms of the last success */
	GPtrArray *judged;  /* of struct judge, not passive */
	GPtrArray *watched; /* of struct judge, not simply warm */
	GPtrArray *dropped; /* of struct judge, while assigning */
	size_t probed_nr;   /* of them, those that can be probed */
	uint64_t interval;  /* ms between two probes of one upstream */
	uint64_t members_at;
	uint64_t purged_at;
};

/* fleet/health.c */

/* Appends an action of KIND about the upstream of J. */
struct health_action *add_health_action(struct health_actions *as,
					enum health_action_kind kind,
					const struct judge *j);

/* The service with ID in the snapshot in force, or NULL. */
const struct service *service_of_id(const struct health *h, uint64_t id);

/* The upstream of J, or NULL if it is no longer published. */
const struct upstream *upstream_of_judge(const struct health *h,
					 const struct judge *j);

/* The judge of UP; a new one has nothing to say against it. */
struct judge *need_health_judge(struct health *h, const struct service *sv,
				const struct upstream *up, uint64_t now_ms);

/* True if the health state A lets an upstream do less than B. */
bool is_worse_state(enum upstream_state a, enum upstream_state b);

/* Has J looked at with each tick. */
void watch_judge(struct health *h, struct judge *j);

/* fleet/health-roles.c */

/* MS, up to a fifth more or less. */
uint64_t jitter_probe(struct health *h, uint64_t ms);

/* Finds the probers again if members have changed. */
void look_at_health_members(struct health *h, uint64_t now_ms);

/* fleet/health-publish.c */

/* Notes that something in DOMAIN answered. */
void note_domain_reach(struct health *h, const char *domain, uint64_t now_ms);

/* True if SV has more than its half down, PLUS further ones counted in. */
bool is_service_in_panic(const struct health *h, const struct service *sv,
			 size_t plus);

/*
 * When somebody else found UP worse than J does, J starts again from there:
 * two instances that both take themselves for the first prober must not
 * contradict each other in turns.
 */
void heed_fleet_state(const struct health *h, struct judge *j,
		      const struct upstream *up, uint64_t now_ms);

/* Tells the fleet the state of J if it is this instance that does, and may. */
void publish_health(struct health *h, struct judge *j, uint64_t now_ms,
		    struct health_actions *out);

/* Applies what operators said about UP to the chart. */
void apply_health_orders(struct health *h, struct judge *j,
			 const struct upstream *up, uint64_t now_ms);

/* Appends what changed of J, whose state was BEFORE. */
void report_health_change(struct health *h, const struct judge *j,
			  enum upstream_state before,
			  struct health_actions *out);

#endif
