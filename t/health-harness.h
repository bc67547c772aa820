#ifndef T_HEALTH_HARNESS_H
#define T_HEALTH_HARNESS_H

/*
 * Harness for the health module of one instance: a service spread over some
 * failure domains, simulated upstreams that answer the probes, and a view in
 * which every published state takes effect at once. Time is simulated.
 */

#include "fleet/limits.h"

#define HARNESS_UPSTREAMS_MAX 64

/* A simulated upstream: its answers to probes, and counts to check. */
struct simulated_upstream {
	bool dead;
	uint64_t start_id;
	enum health_report report;
	uint32_t running;      /* busy slots that it reports, of 12 */
	size_t probe_count;    /* received */
	size_t repeated_count; /* publications of the state in force */
	size_t change_count;   /* publications of another state */
	uint64_t changed_at_ms;
	uint64_t shortest_change_gap_ms; /* between two changes */
};

struct health_harness {
	struct view *view;
	struct chart *chart;
	struct counters counters;
	struct health *health;
	struct limits *limits;
	struct snapshot *snapshot;
	uint64_t now_ms;
	size_t upstream_nr;
	size_t remote_probe_count; /* to upstreams of other failure domains */
	struct simulated_upstream upstreams[HARNESS_UPSTREAMS_MAX];
};

/*
 * DOMAINS failure domains with INSTANCES instances and UPSTREAMS upstreams of
 * 12 slots (1 when cold) each; the instance under test is one of the first
 * domain.
 */
struct health_harness *create_health_harness(size_t domains, size_t instances,
					     size_t upstreams);
void destroy_health_harness(struct health_harness *hh);

/* Advances the time by MS in ticks; the simulated upstreams answer probes. */
void run_health(struct health_harness *hh, uint64_t ms);

/* Reports the outcome KIND of a request to upstream U. */
void observe_request(struct health_harness *hh, size_t u,
		     enum health_event_kind kind, uint32_t latency_ms);

const struct upstream *nth_health_upstream(const struct health_harness *hh,
					   size_t u);
enum upstream_state effective_state(const struct health_harness *hh, size_t u);
uint32_t effective_slots(struct health_harness *hh, size_t u);

/* The N-th upstream of which the instance under test is primary prober. */
size_t nth_primary_upstream(struct health_harness *hh, size_t n);

/* An upstream of another failure domain. */
size_t find_remote_upstream(const struct health_harness *hh);

/* Marks every instance of DOMAIN as dead. */
void kill_domain_members(struct health_harness *hh, const char *domain);

#endif
