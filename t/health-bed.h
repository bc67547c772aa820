#ifndef T_HEALTH_BED_H
#define T_HEALTH_BED_H

/*
 * One instance's health under test: a service over some failure domains, made
 * up upstreams that answer its probes, and a view in which what it publishes
 * is in force at once.
 */

#include "fleet/limits.h"

#define BED_TARGETS_MAX 64

/* How upstream U behaves towards probes. */
struct bed_target {
	bool dead;
	uint64_t start_id;
	enum health_report report;
	uint32_t running; /* of its 12 slots, as it reports */
	size_t probes;	  /* received */
	size_t restated;  /* times that its state was told again */
	size_t published; /* times that a new state was told */
	uint64_t published_at;
	uint64_t shortest_gap; /* ms between two publications */
};

struct health_bed {
	struct view *view;
	struct chart *chart;
	struct counters counters;
	struct health *health;
	struct limits *limits;
	struct snapshot *snapshot;
	uint64_t now; /* ms */
	size_t upstream_nr;
	size_t probed_elsewhere; /* probes to other failure domains */
	struct bed_target target[BED_TARGETS_MAX];
};

/*
 * DOMAINS failure domains with INSTANCES instances and UPSTREAMS upstreams of
 * 12 slots (1 when cold) each; the instance under test is one of the first
 * domain.
 */
struct health_bed *create_health_bed(size_t domains, size_t instances,
				     size_t upstreams);
void destroy_health_bed(struct health_bed *b);

/* Lets MS pass, tick by tick, with probes answered as the targets say. */
void run_bed(struct health_bed *b, uint64_t ms);

/* Tells the health that a request to upstream U ended so. */
void bed_observe(struct health_bed *b, size_t u, enum health_event_kind kind,
		 uint32_t latency_ms);

const struct upstream *bed_upstream(const struct health_bed *b, size_t u);
enum upstream_state bed_used(const struct health_bed *b, size_t u);
uint32_t bed_slots(struct health_bed *b, size_t u);

/* The N-th upstream that the instance under test is first to probe. */
size_t bed_primary(struct health_bed *b, size_t n);

/* An upstream of another failure domain. */
size_t bed_elsewhere(const struct health_bed *b);

/* Marks every instance of DOMAIN as dead. */
void kill_bed_domain(struct health_bed *b, const char *domain);

#endif
