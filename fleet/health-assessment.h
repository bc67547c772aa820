#ifndef FLEET_HEALTH_ASSESSMENT_H
#define FLEET_HEALTH_ASSESSMENT_H

/*
 * The health of one upstream as one instance assesses it, from probes and from
 * its own requests. Observed behaviour takes precedence over the upstream's
 * reports: an upstream that reports good health while requests fail goes down,
 * an upstream that reports cold for long while requests succeed still warms up,
 * and an upstream that slows down or fails turns cold whatever it reports.
 *
 * Shed requests (refused as not run) alone say little about a warm upstream:
 * instances borrow each other's slots, so a busy upstream sheds all the time.
 * Sheds make the primary prober probe at once. They turn an upstream cold only
 * if it keeps reporting that at least half of its slots are free.
 *
 * Times are in ms of the caller's monotonic clock.
 */

#include "fleet/health-chart.h"

#define HEALTH_FALL_FAILURES 3 /* consecutive failures that mean down */
#define HEALTH_RISE_PROBES 2   /* consecutive good probes that end down */

/* Latest requests among which sheds, losses and slow answers are counted. */
#define HEALTH_WINDOW_REQUESTS 8

#define HEALTH_COLD_LOSSES 3 /* lost requests in the window: warm to cold */
#define HEALTH_COLD_SHEDS 2  /* sheds and losses, in other states: to cold */
#define HEALTH_COLD_SLOW 4   /* slow answers in the window: warm to cold */

/* Sheds in the window for which a warm upstream is probed at once. */
#define HEALTH_EARLY_PROBE_SHEDS 3

/*
 * Consecutive load reports of at least half the slots free, each after
 * HEALTH_EARLY_PROBE_SHEDS or more sheds, that turn an upstream cold.
 */
#define HEALTH_COLD_IDLE_REPORTS 4

#define HEALTH_STEP_ANSWERS 3 /* good answers needed to leave cold or warming */
#define HEALTH_COLD_MIN_MS 5000 /* shortest stay in cold */
#define HEALTH_RAMP_MS 10000	/* shortest stay in warming */
#define HEALTH_QUIET_MS 30000 /* without a bad answer: replaces good answers */
/*
 * A report of cold is trusted this long, and twice as long while fewer than
 * HEALTH_STEP_ANSWERS requests succeed.
 */
#define HEALTH_TRUST_COLD_MS 30000
#define HEALTH_DOWN_HOLD_MS 5000 /* first stay in down; doubles on a relapse */
#define HEALTH_DOWN_HOLD_MAX_MS 60000

/* The role of this instance in assessing an upstream; see fleet/health.h. */
enum health_role {
	HEALTH_PASSIVE, /* observes its own requests only */
	HEALTH_STANDBY, /* probes less often, ready to take over */
	HEALTH_PRIMARY	/* probes and publishes */
};

enum health_event_kind {
	HEALTH_TICK,	     /* at least every HEALTH_TICK_MS */
	HEALTH_PROBE_OK,     /* it answered a probe: START_ID, AGE_MS, REPORT */
	HEALTH_PROBE_FAILED, /* a probe got no good answer in time */
	HEALTH_LOAD,	     /* it reported its load: REPORT, RUNNING, SLOTS */
	HEALTH_ANSWERED,     /* a request was answered after LATENCY_MS */
	HEALTH_SHED,	     /* a request was refused as not run */
	HEALTH_LOST,	     /* a request or flow got no complete answer */
	HEALTH_REFUSED	     /* no connection could be opened */
};

/* The state that an upstream reports of itself. */
enum health_report { REPORT_NONE, REPORT_WARM, REPORT_COLD, REPORT_DRAINING };

struct health_event {
	enum health_event_kind kind;
	uint64_t service;
	uint64_t upstream;
	uint32_t latency_ms;
	uint64_t start_id; /* hash that identifies its process; 0: unknown */
	uint64_t age_ms;   /* since its process started; 0: unknown */
	enum health_report report;
	uint32_t running; /* requests in its slots, of HEALTH_LOAD */
	uint32_t slots;	  /* of HEALTH_LOAD; 0: not reported */
};

struct health_assessment {
	uint64_t service;
	uint64_t upstream;
	enum upstream_state state;
	enum health_role role;
	/* start of STATE; in cold, last bad answer or restart if later */
	uint64_t evidence_since_ms;
	uint64_t last_success_ms; /* 0: none */
	uint64_t last_failure_ms; /* 0: none */
	/* last lost request, or while not warm the last shed one; 0: none */
	uint64_t last_bad_ms;
	uint64_t down_until_ms;		 /* earliest end of down */
	uint64_t cold_reported_since_ms; /* 0: does not report cold */
	uint64_t start_id;
	uint64_t age_ms;
	uint32_t latency_mean;	    /* moving average of the latency, 1/16 ms */
	uint32_t latency_deviation; /* average distance from mean, 1/16 ms */
	uint8_t latency_samples;    /* up to HEALTH_WINDOW_REQUESTS */
	/* one bit for each request in the window, the latest lowest */
	uint8_t shed_bits;
	uint8_t loss_bits;
	uint8_t slow_bits;
	uint8_t probe_failures;	     /* consecutive */
	uint8_t request_failures;    /* consecutive */
	uint8_t probe_successes;     /* consecutive */
	uint8_t request_successes;   /* not slow; since evidence_since_ms */
	uint8_t relapses;	     /* doublings of the stay in down */
	uint8_t sheds_since_load;    /* sheds since the last load report */
	uint8_t idle_reports;	     /* see HEALTH_COLD_IDLE_REPORTS */
	bool probes_distrusted;	     /* requests contradicted its probes */
	bool cold_report_distrusted; /* requests contradicted that report */
	bool reported_draining;
	/* probing, maintained by fleet/health*.c: */
	uint64_t next_probe_ms;
	uint64_t probed_at_ms;
	uint64_t published_at_ms; /* last publication of a changed state */
	uint64_t repeated_at_ms;  /* last publication, repetitions included */
	uint32_t probe_count;
	enum upstream_state fleet_state; /* in the view, when last compared */
	bool unprobeable;		 /* has no endpoint to probe */
	bool early_probe_sent; /* the last probe came early because of sheds */
	bool probe_in_flight;
	bool watched;	 /* handled on each tick */
	bool keeps_role; /* its role is valid for the live members */
};

/* An assessment of UPSTREAM that begins in STATE. */
void init_assessment(struct health_assessment *ha, uint64_t service,
		     uint64_t upstream, enum upstream_state state,
		     uint64_t now_ms);

/* Sets STATE as assessed by another instance. */
void adopt_state(struct health_assessment *ha, enum upstream_state state,
		 uint64_t now_ms);

/* Moves HA along the chart by event E. */
void apply_chart_event(struct health_assessment *ha, const struct chart *ch,
		       enum upstream_event e, uint64_t now_ms);

/* Updates HA from EV, any event but HEALTH_TICK. */
void assess_event(struct health_assessment *ha, const struct chart *ch,
		  const struct health_event *ev, uint64_t now_ms);

/* True if HA has shed so much that it is to be probed at once. */
bool wants_early_probe(const struct health_assessment *ha);

/* Applies the state changes that depend on time alone. */
void assess_tick(struct health_assessment *ha, const struct chart *ch,
		 uint64_t now_ms);

#endif
