#ifndef FLEET_HEALTH_H
#define FLEET_HEALTH_H

/*
 * Health of upstreams as one instance assesses it. Takes events and the present
 * time, returns actions; no I/O. Times are in ms of a monotonic clock.
 *
 * Each upstream is probed by two instances, the primary and a standby
 * (fleet/health-probers.h). The primary publishes its assessment to the fleet.
 * Every instance also assesses upstreams by its own requests. If its own
 * assessment is worse than the fleet's state, it gives the upstream less load
 * than that state allows.
 *
 * The request module calls step_health() with HEALTH_ANSWERED, HEALTH_SHED,
 * HEALTH_LOST or HEALTH_REFUSED for each attempt that ended, and takes the
 * limits of an upstream from fleet/limits.h.
 *
 * "Down" is held back so that the network failure of one instance does not
 * take upstreams from the whole fleet: it is published only after something
 * else in the upstream's failure domain answered later than the upstream
 * failed, and only while at most half of the service's upstreams would be down.
 */

#include "base/counters.h"
#include "fleet/health-assessment.h"

#define HEALTH_TICK_MS 200
#define HEALTH_PROBE_INTERVAL_MS 1000 /* shortest, for one upstream */
#define HEALTH_PROBES_PER_S 3 /* by one instance; up to 6 when sheds occur */
#define HEALTH_EARLY_PROBE_MS 500 /* from a probe to an early one after sheds */
#define HEALTH_STANDBY_FACTOR 4	  /* multiplies a standby's interval */
#define HEALTH_LOAD_EVERY 4	  /* every fourth probe requests the load */
#define HEALTH_PROBE_TIMEOUT_MS 700
#define HEALTH_PUBLISH_INTERVAL_MS 3000 /* shortest, for one upstream */
#define HEALTH_REPUBLISH_MS 4000	/* between two repetitions of a state */

/*
 * Time after its own last success for which an instance still uses an upstream
 * that the fleet calls down.
 */
#define HEALTH_OWN_SUCCESS_MS 5000

struct health;

enum health_action_kind {
	HEALTH_PROBE, /* probe UPSTREAM at ADDRESS within TIMEOUT_MS */
	/*
	 * Publish to the fleet that UPSTREAM is in STATE. Repeated without a
	 * change, since the fleet forgets the publications of dead instances;
	 * nothing is sent if a live instance has published that state.
	 */
	HEALTH_PUBLISH,
	HEALTH_CHANGED /* this instance now assesses UPSTREAM as STATE */
};

struct health_action {
	enum health_action_kind kind;
	uint64_t service;
	uint64_t upstream;
	enum upstream_state state;
	struct endpoint address;
	uint32_t timeout_ms;
	bool query_load; /* GET /load in place of GET /health */
};

/* A growing list of actions; the caller releases it between events. */
struct health_actions {
	struct health_action *items;
	size_t nr;
	size_t alloc;
};
void release_health_actions(struct health_actions *as);

/*
 * CHART comes from create_upstream_chart(). It, VIEW and COUNTERS must outlive
 * the result. SEED is for the jitter of probes.
 */
struct health *create_health(const struct view *view, const struct chart *chart,
			     uint32_t seed, struct counters *counters);
void destroy_health(struct health *h);

/* Puts SN in force; H takes a reference. */
void set_health_snapshot(struct health *h, const struct snapshot *sn,
			 uint64_t now_ms);

/* Handles EV at NOW_MS and appends the actions that follow to OUT. */
void step_health(struct health *h, const struct health_event *ev,
		 uint64_t now_ms, struct health_actions *out);

/*
 * The state by which this instance uses UP of SV: the fleet's, or its own
 * assessment if that is worse. An upstream that the fleet calls down is used
 * as a cold one while own requests succeed, or while more than half of SV is
 * down and this instance's own assessment is not down.
 */
enum upstream_state effective_upstream_state(const struct health *h,
					     const struct service *sv,
					     const struct upstream *up,
					     uint64_t now_ms);

/* Number of upstreams that this instance probes, and its probe interval. */
size_t probed_upstream_count(const struct health *h);
uint64_t probe_interval_ms(const struct health *h);

/*
 * True if UP of SV can be probed: it serves requests, or its service file names
 * a health endpoint. Others become warm by time alone.
 */
bool is_probeable(const struct service *sv, const struct upstream *up);

#endif
