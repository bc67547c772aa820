#ifndef FLEET_HEALTH_JUDGE_H
#define FLEET_HEALTH_JUDGE_H

/*
 * What one instance thinks of one upstream, from probes and from its own
 * requests. Behaviour outweighs reports: an upstream that says it is well
 * while requests fail goes down, one whose report says cold for long while
 * requests succeed warms, and one that slows or fails is cold whatever it says.
 *
 * Sheds alone mean little while an upstream is warm: instances that borrow
 * each other's slots are shed all the time when it is busy. They make the
 * first prober ask at once, and they make cold what goes on to report that
 * half of its slots are free.
 */

#include "fleet/health-chart.h"

#define HEALTH_FALL 3	       /* failures in a row that mean down */
#define HEALTH_RISE 2	       /* good probes in a row that end down */
#define HEALTH_LOSSES 3	       /* failures in the window: cold again */
#define HEALTH_SHEDS_WARM 3    /* sheds in the window: ask at once */
#define HEALTH_EMPTY_REPORTS 4 /* in a row, with as many sheds before each */
#define HEALTH_SHEDS_RAMP 2    /* the same while warming: cold again */
#define HEALTH_SLOW 4	      /* slow ones among the last answers: cold again */
#define HEALTH_WINDOW 8	      /* answers that sheds and slow are counted in */
#define HEALTH_GOOD 3	      /* good answers needed for each warming step */
#define HEALTH_COLD_MS 5000   /* shortest stay in cold */
#define HEALTH_RAMP_MS 10000  /* shortest stay in warming */
#define HEALTH_QUIET_MS 30000 /* without a bad answer: as good as answers */
#define HEALTH_CLAIM_MS 30000 /* how long a report of cold is believed */
#define HEALTH_HOLD_MS 5000   /* first stay in down; doubles on a relapse */
#define HEALTH_HOLD_MAX_MS 60000

/* Who judges an upstream for the fleet; see fleet/health.h. */
enum health_role {
	HEALTH_PASSIVE, /* sees only its own requests */
	HEALTH_STANDBY, /* probes now and then, ready to take over */
	HEALTH_PRIMARY	/* probes and publishes */
};

enum health_event_kind {
	HEALTH_TICK,	     /* at least every HEALTH_TICK_MS */
	HEALTH_PROBE_OK,     /* it answered a probe: START_ID, REPORT */
	HEALTH_PROBE_FAILED, /* a probe got no good answer in time */
	HEALTH_LOAD,	     /* it reported its load: REPORT */
	HEALTH_ANSWERED,     /* a request was answered after LATENCY_MS */
	HEALTH_SHED,	     /* a request was refused as not run */
	HEALTH_LOST,	     /* a request or flow got no whole answer */
	HEALTH_REFUSED	     /* no connection could be made */
};

/* What an upstream says about itself. */
enum health_report { REPORT_NONE, REPORT_WARM, REPORT_COLD, REPORT_DRAINING };

struct health_event {
	enum health_event_kind kind;
	uint64_t service;
	uint64_t upstream;
	uint32_t latency_ms;
	uint64_t start_id; /* hash of what names its process; 0: unknown */
	uint64_t age_ms;   /* since its process started; 0: unknown */
	enum health_report report;
	uint32_t running; /* of HEALTH_LOAD; SLOTS is 0 if not reported */
	uint32_t slots;
};

struct judge {
	uint64_t service;
	uint64_t upstream;
	enum upstream_state state;
	enum health_role role;
	uint64_t since;		 /* ms of the state or the last bad answer */
	uint64_t last_success;	 /* ms; 0: none */
	uint64_t last_failure;	 /* ms; 0: none */
	uint64_t last_bad;	 /* ms of the last failed or shed request */
	uint64_t down_until;	 /* ms */
	uint64_t reported_since; /* ms since which it reports cold; 0: not */
	uint64_t start_id;
	uint64_t age_ms;
	uint32_t mean;		/* latency, 1/16 ms */
	uint32_t deviate;	/* mean distance from the mean, 1/16 ms */
	uint8_t answers;	/* latencies taken, up to HEALTH_WINDOW */
	uint8_t sheds;		/* one bit for each of the last answers */
	uint8_t losses;		/* the same */
	uint8_t slow;		/* the same */
	uint8_t probe_failures; /* in a row */
	uint8_t use_failures;	/* requests, in a row */
	uint8_t probe_good;	/* in a row */
	uint8_t use_good;	/* requests, since SINCE */
	uint8_t relapses;
	uint8_t sheds_since;   /* the last load report */
	uint8_t empty_reports; /* in a row, against sheds */
	bool distrusted;       /* requests contradicted its probes */
	bool discounted;       /* requests contradicted its report of cold */
	bool reported_draining;
	/* probing, kept by fleet/health.c: */
	uint64_t next_probe;   /* ms */
	uint64_t probed_at;    /* ms */
	uint64_t published_at; /* ms of the last news to the fleet */
	uint64_t stated_at;    /* the same, or of a repetition */
	uint32_t probe_nr;
	enum upstream_state seen; /* what the fleet said last */
	bool unprobed;		  /* gives nothing to probe */
	bool asked;		  /* the last probe was brought forward */
	bool in_flight;
	bool watched; /* looked at on each tick */
	bool kept;    /* still probed after a change of members */
};

/* A judgement of UPSTREAM that begins in STATE. */
void init_judge(struct judge *j, uint64_t service, uint64_t upstream,
		enum upstream_state state, uint64_t now_ms);

/* Takes over STATE, which others found. */
void adopt_state(struct judge *j, enum upstream_state state, uint64_t now_ms);

/* Puts chart event E to J. */
void move_judge(struct judge *j, const struct chart *ch, enum upstream_event e,
		uint64_t now_ms);

/* Takes any event but HEALTH_TICK. */
void judge_event(struct judge *j, const struct chart *ch,
		 const struct health_event *ev, uint64_t now_ms);

/* True if sheds call for a probe at once. */
bool wants_probe(const struct judge *j);

/* Takes the steps that time alone brings. */
void judge_tick(struct judge *j, const struct chart *ch, uint64_t now_ms);

#endif
