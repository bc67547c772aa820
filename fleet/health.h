#ifndef FLEET_HEALTH_H
#define FLEET_HEALTH_H

/*
 * Health of upstreams, as one instance finds it. Events and the present time
 * go in, actions come out; no I/O.
 *
 * Each upstream is probed by two instances (fleet/health-probers.h). The first
 * of them publishes its judgement to the fleet. Every instance also judges
 * from its own requests, and uses an upstream for less than the fleet allows
 * when its own judgement is worse.
 *
 * The requests module calls step_health() with HEALTH_ANSWERED, HEALTH_SHED,
 * HEALTH_LOST or HEALTH_REFUSED for each offer that ended, and asks
 * fleet/limits.h how much an upstream bears.
 *
 * "Down" is held back, so that one instance's trouble does not become the
 * fleet's: it is published only after something else in the upstream's failure
 * domain answered later than the upstream failed, and only while at most half
 * of the service's upstreams would be down.
 */

#include "base/counters.h"
#include "fleet/health-judge.h"

#define HEALTH_TICK_MS 200
#define HEALTH_PROBE_MS 1000	/* shortest time between two probes of one */
#define HEALTH_PROBES_PER_S 3	/* of one instance; twice that amid sheds */
#define HEALTH_ASK_AGAIN_MS 500 /* shortest wait for one that sheds call for */
#define HEALTH_STANDBY_EACH 4	/* a standby sends one probe of so many */
#define HEALTH_LOAD_EACH 4	/* each so many-th probe asks for the load */
#define HEALTH_TIMEOUT_MS 700	/* of one probe */
#define HEALTH_PUBLISH_MS 3000	/* shortest time between two of one upstream */
#define HEALTH_RESTATE_MS 4000 /* between two of the same; see HEALTH_PUBLISH */
#define HEALTH_OWN_SUCCESS_MS 5000 /* how long an own success counts */

struct health;

enum health_action_kind {
	HEALTH_PROBE, /* ask UPSTREAM at ADDRESS within TIMEOUT_MS */
	/*
	 * Tell the fleet that UPSTREAM is in STATE. Said again now and then
	 * with nothing new, as the fleet forgets what a dead instance said;
	 * fleet/fleet.h sends nothing when it knows already.
	 */
	HEALTH_PUBLISH,
	HEALTH_CHANGED /* this instance itself judges STATE now */
};

struct health_action {
	enum health_action_kind kind;
	uint64_t service;
	uint64_t upstream;
	enum upstream_state state;
	struct endpoint address;
	uint32_t timeout_ms;
	bool ask_load; /* GET /load in place of GET /health */
};

/* A growing list of actions, cleared by the caller between events. */
struct health_actions {
	struct health_action *at;
	size_t nr;
	size_t alloc;
};
void release_health_actions(struct health_actions *as);

/*
 * CHART is that of fleet/health-chart.h; it, VIEW and COUNTERS outlive the
 * health. SEED is for the jitter of probes.
 */
struct health *create_health(const struct view *view, const struct chart *chart,
			     uint32_t seed, struct counters *counters);
void destroy_health(struct health *h);

/* Puts SN in force; the health takes a reference. */
void set_health_snapshot(struct health *h, const struct snapshot *sn,
			 uint64_t now_ms);

void step_health(struct health *h, const struct health_event *ev,
		 uint64_t now_ms, struct health_actions *out);

/*
 * The state in which this instance uses UP of SV: the fleet's, or its own
 * judgement where that is worse. An upstream that the fleet calls down is used
 * like a cold one while own requests succeed, or while more than half of SV
 * would be down and own requests say nothing against it.
 */
enum upstream_state used_state(const struct health *h, const struct service *sv,
			       const struct upstream *up, uint64_t now_ms);

/* Upstreams that this instance probes, and the time between two probes. */
size_t probed_nr(const struct health *h);
uint64_t probe_interval_ms(const struct health *h);

/*
 * True if UP of SV can be probed: it serves requests, or its file names a
 * health endpoint. Any other is taken for warm after its cold time.
 */
bool is_probed_kind(const struct service *sv, const struct upstream *up);

#endif
