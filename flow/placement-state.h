#ifndef FLOW_PLACEMENT_STATE_H
#define FLOW_PLACEMENT_STATE_H

/* Private to flow/placement*.c. */

#include "fleet/heartbeat.h"
#include "flow/in-flight.h"
#include "flow/placement.h"
#include "flow/upstream-quality.h"

/* The loads that one peer sent last. */
struct peer_load {
	uint64_t member_id;
	uint64_t received_ms;
	GArray *loads; /* of struct peer_upstream_load */
};

struct peer_upstream_load {
	upstream_index_t upstream;
	uint16_t busy_weight;
	uint16_t expected_weight;
	bool dead;
	bool dead_or_cut_off;
};

/* What a verdict rests on; see struct health_evidence. */
struct verdict {
	enum evidence_kind kind;
	uint64_t lost_since_ms;	 /* when the upstream became dead or cut off */
	uint64_t check_began_ms; /* of this instance's or the peer's check */
	uint64_t check_ended_ms; /* 0: it had not */
	uint32_t unreachable_checks;
	uint32_t unanswered;
	uint64_t member_id; /* whose verdict was adopted */
};

/* Load and health of one upstream, seen here and by peers. */
struct upstream_load {
	uint64_t upstream_id; /* of the upstream that has this handle */
	uint32_t starts;      /* of its process; a new start clears suspicion */
	uint64_t restarted_ms; /* when the last one was heard of; 0: none */
	uint32_t busy_weight;  /* of own requests in flight, sixteenths */
	uint32_t open_flows;
	uint32_t peer_busy_weight;     /* sixteenths */
	uint32_t peer_expected_weight; /* sixteenths */
	/* running means, in requests: the sums are outdated after one request */
	double mean_peer_busy;
	double mean_peer_expected;
	uint32_t peers_dead;		/* number of peers that found it dead */
	uint32_t peers_dead_or_cut_off; /* that found it dead or cut off */
	uint64_t last_alive_ms;		/* here or at a peer */
	uint64_t own_alive_ms;		/* here */
	uint64_t peer_alive_ms;		/* at a peer */
	uint64_t suspect_since_ms;	/* 0: it is not suspect */
	uint32_t silence_count;		/* silences noted since then */
	enum upstream_health health;
	/* when the oldest packet that it did not answer here was sent; 0 */
	uint64_t unanswered_since_ms;
	bool adopted;		/* HEALTH is a peer's verdict */
	struct verdict verdict; /* the last one that it is dead or cut off */
	uint64_t proved_ms;	/* when HEALTH was last proved, here or there */
	bool flow_in_doubt; /* check it at once, listed or not, assessor or not */
	bool check_running;
	bool check_connected; /* the running check */
	bool check_unproved; /* the last one had no connection, proving nothing */
	uint32_t unreachable_checks; /* in a row */
	uint64_t next_check_ms;	     /* earliest time of the next check */
	uint64_t peer_check_ms; /* of the last check due to a peer's report */
	uint64_t check_started_ms; /* start of the running check */
	bool is_control; /* the running check is to probe the domain's link */
	/* last failed check of this domain while the link was not up; 0: none */
	uint64_t link_failed_ms;
	uint64_t surveyed_ms; /* when a survey of its domain last came to it */
	/* first refused check that waits for a confirming one; 0: none */
	uint64_t refused_ms;
	bool unlistening; /* it refused a check, but may serve open flows */
	/* ring buffer: when it got flows while cold */
	uint64_t cold_flow_ms[PLACEMENT_COLD_FLOWS_MAX];
	uint32_t cold_flow_next;
};

/* Running means over all upstreams of one service. */
struct service_stats {
	double mean_answer_ms;
	double mean_unqueued_ms;	   /* of upstreams with a free slot */
	struct histogram answer_histogram; /* ms */
	struct in_flight_estimator *in_flight; /* NULL: no request yet */
};

/* What the upstreams of one domain show about its link. */
struct domain_upstreams {
	size_t accepting; /* that are not known to be dead */
	size_t suspect;
	bool refusal_waits; /* for confirmation */
};

/* Control checks of the upstreams of one domain. */
struct domain_control {
	struct domain_upstreams upstreams; /* as of the last tick */
	uint64_t checked_ms;		   /* when the last one started */
	bool lost;			   /* the link, after the last tick */
};

/* Flows of one route at one upstream. */
struct route_flows {
	uint32_t open;
	uint32_t request_weight; /* sixteenths */
};

/* What this instance knows of the flows of one route. */
struct placer_route {
	uint32_t ip;
	uint16_t port;
	struct route_activity activity;
	struct route_flows total; /* of all upstreams */
	GArray *flows;		  /* struct route_flows by upstream */
};

struct placer {
	const struct catalog *catalog;
	const struct view *view;
	struct quotas *quotas;
	char *domain;
	double remote_domain_cost;
	GRand *rand;
	GPtrArray *upstream_loads; /* struct upstream_load by handle */
	GArray *service_stats;	   /* struct service_stats by handle */
	GPtrArray *routes;	   /* struct placer_route by index */
	GArray *peer_loads;	   /* of struct peer_load */
	uint64_t means_updated_ms;
	bool has_unhealthy; /* an upstream is not HEALTH_GOOD */
	/* when the latest packet or check that any upstream answered was sent */
	uint64_t answered_sent_ms;
	uint32_t busy_weight;	     /* of own requests in flight, sixteenths */
	uint32_t sent_busy_requests; /* when last sent to peers */
	struct health_notices *notices; /* NULL: none are sent or handled */
	GArray *health_changes; /* struct health_change, not retrieved yet */
	struct domain_links *links; /* NULL: failure domains have none */
	GArray *domain_controls;    /* struct domain_control by domain */
	double cold_factor;
	double cold_slack;
	struct upstream_quality *quality; /* NULL: not enabled */
	uint64_t drain_ms;	   /* 0: reports of draining are never late */
	uint64_t store_current_ms; /* see note_store_current() */
};

/* The load of NR; NULL if there is none yet. */
struct upstream_load *find_upstream_load(const struct placer *pl,
					 upstream_index_t nr);

/* The load of NR, created if there is none. */
struct upstream_load *get_or_create_upstream_load(struct placer *pl,
						  upstream_index_t nr);

struct service_stats *get_or_create_service_stats(struct placer *pl,
						  service_index_t sv);

/* WEIGHT, in sixteenths, as a number of requests. */
static inline double weight_as_requests(uint32_t weight)
{
	return (double)weight / IN_FLIGHT_WEIGHT_ONE;
}

/* Whether peers report less often than an upstream's load changes. */
static inline bool is_large_fleet(const struct placer *pl)
{
	return pl->peer_loads->len + 1 > HEARTBEAT_REMOTE_FLEET_MEMBERS;
}

/*
 * Requests of peers, whose running mean is MEAN and whose last reports add up
 * to WEIGHT. The mean follows a rise a second late; in a large fleet many
 * instances choose an upstream that filled up in that time.
 */
static inline double estimate_peer_load(const struct placer *pl, double mean,
					uint32_t weight)
{
	return is_large_fleet(pl) ? MAX(mean, weight_as_requests(weight))
				  : mean;
}

/* Notes a response for the probabilities of NR's other requests. */
void note_in_flight_answer(struct placer *pl, upstream_index_t nr,
			   uint64_t took_ms, uint64_t now_ms);

/*
 * Requests in flight to expect at NR, of the own flows, when a request that is
 * sent to it now gets its turn.
 */
double own_expected_load(const struct placer *pl, upstream_index_t nr);

/* Forgets the own flows of NR. */
void clear_own_load(struct placer *pl, upstream_index_t nr);

/* Samples how busy the flows of each route are. */
void sample_routes(struct placer *pl, uint64_t now_ms);
void destroy_placer_route(gpointer data);

/*
 * Whether a new flow should not be placed on NR because it is failing; of
 * REPEATABLE flows a few are.
 */
bool avoids_failing(struct placer *pl, upstream_index_t nr, bool repeatable);

/* LOAD of NR, or what it is worth if NR does not respond as usual. */
double completion_score(struct placer *pl, upstream_index_t nr, double load);

/* Updates the assessed quality of all upstreams. */
void assess_upstreams(struct placer *pl, uint64_t now_ms);

/* Makes NR HEALTH_GOOD and ends its suspicion. */
void clear_suspicion(struct placer *pl, upstream_index_t nr,
		     struct upstream_load *ul, uint64_t now_ms);

/* Sets the health of NR and notes the change. */
void set_upstream_health(struct placer *pl, upstream_index_t nr,
			 struct upstream_load *ul, enum upstream_health to,
			 uint64_t now_ms);

/*
 * Notes what the verdict rests on that an upstream is dead or cut off, before
 * its health is set, or that confirms the one in force.
 */
void note_verdict(struct upstream_load *ul, struct verdict v, uint64_t now_ms);

/* Attempts of others, and with them those of this instance, that failed. */
unsigned int unanswered_attempts(const struct placer *pl, upstream_index_t nr,
				 const struct upstream_load *ul,
				 uint64_t now_ms);

/* Sends peers the health of NR, which a check of this instance has shown. */
void post_verdict(struct placer *pl, upstream_index_t nr,
		  const struct upstream_load *ul, uint64_t now_ms);

/* Tells NR's assessors that a packet sent at SENT_MS was not answered. */
void note_unanswered_packet(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t sent_ms,
			    uint64_t now_ms);

/* Tells NR's assessors when it showed life here last. */
void post_sign_of_life(struct placer *pl, upstream_index_t nr, uint64_t now_ms);

/* Ends what was told and heard of packets without an answer. */
void withdraw_suspicion(struct placer *pl, upstream_index_t nr,
			struct upstream_load *ul, uint64_t now_ms);
void forget_unanswered_packets(struct placer *pl);

/* Notes that a peer saw a sign of life of NR at ALIVE_MS. */
void note_peer_sign_of_life(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t alive_ms,
			    uint64_t now_ms);

/*
 * Whether an upstream answered what was sent after SINCE_MS: then packets of
 * this instance leave its link, and answers arrive.
 */
bool was_answered_since(const struct placer *pl, uint64_t since_ms);

/*
 * Whether the last check of an upstream, which may still run, began before its
 * last start was heard of, so that it may be about the start before.
 */
bool is_check_outdated(const struct upstream_load *ul);

/*
 * Whether enough attempts to reach NR failed: checks of this instance, and
 * packets that it and others have waited for.
 */
bool is_proved_unreachable(const struct placer *pl, upstream_index_t nr,
			   const struct upstream_load *ul, uint64_t now_ms);
void note_unreachable(struct placer *pl, upstream_index_t nr,
		      struct upstream_load *ul, uint64_t now_ms);

/* Repeats the suspicion of NR to its assessors, or ends it with a verdict. */
void advance_suspicion(struct placer *pl, upstream_index_t nr,
		       struct upstream_load *ul, uint64_t now_ms);

/* Whether NR's assessor is given time to check it first. */
bool is_own_check_deferred(const struct placer *pl, upstream_index_t nr,
			   const struct upstream_load *ul, uint64_t now_ms);

/* Checks NR at once, as a peer that cannot speak for this domain lost it. */
void check_for_peer(struct placer *pl, upstream_index_t nr,
		    struct upstream_load *ul, uint64_t now_ms);

/* Notes that a peer found NR dead or cut off. */
void note_peer_assessment(struct placer *pl, upstream_index_t nr,
			  struct upstream_load *ul, uint64_t now_ms);

/* True if the upstream is dead or cut off: it gets no new flows. */
bool is_dead_or_cut_off(const struct upstream_load *ul);

/* Makes NR dead or cut off, as this instance has found or as it ADOPTED. */
void set_verdict(struct placer *pl, upstream_index_t nr,
		 struct upstream_load *ul, enum upstream_health health,
		 bool adopted, uint64_t now_ms);

/* Appends the upstreams whose check is due to CHECKS, marked as running. */
void list_due_checks(struct placer *pl, uint64_t now_ms, GArray *checks);

/* placement-leaving.c: upstreams that stop listening before they exit */

/*
 * Whether NR may serve open flows without listening: it drains, or may have
 * reported so in an entry that this instance has not read yet.
 */
bool may_serve_unlistening(const struct placer *pl, upstream_index_t nr,
			   uint64_t now_ms);

/* A check of NR was refused, which does not show that it is gone. */
void note_unproved_refusal(struct placer *pl, upstream_index_t nr,
			   struct upstream_load *ul, uint64_t now_ms);

/* Whether a check of NR would only be refused again, proving nothing. */
bool is_check_pointless(const struct placer *pl, upstream_index_t nr,
			const struct upstream_load *ul, uint64_t now_ms);

/* placement-links.c: links between failure domains */

/* A flow to NR made progress. */
void note_progress_on_link(struct placer *pl, upstream_index_t nr,
			   uint64_t now_ms);
void note_check_on_link(struct placer *pl, upstream_index_t nr,
			enum check_result result, uint64_t now_ms);

/*
 * Lists a check of NR, which is a control check if nothing speaks against NR.
 */
void start_control_check(struct placer *pl, upstream_index_t nr,
			 uint64_t now_ms, GArray *checks);

/*
 * Ends a control check of NR, which was not suspect then and becomes so if the
 * check failed. False if the result is to be used like that of another check.
 */
bool end_control_check(struct placer *pl, upstream_index_t nr,
		       struct upstream_load *ul, enum check_result result,
		       uint64_t now_ms);

/*
 * Whether a refused check of NR proves it dead. In another domain that takes a
 * second refusal after a sign that the link was open in between.
 */
bool is_refusal_confirmed(struct placer *pl, upstream_index_t nr,
			  struct upstream_load *ul, uint64_t now_ms);

/* True if the link to NR's domain was open after SINCE_MS, or NR has none. */
bool was_link_open_since(const struct placer *pl, upstream_index_t nr,
			 uint64_t since_ms);

/* A member of this domain found no connection to NR while the link was not up. */
void note_failed_link_check(struct placer *pl, upstream_index_t nr,
			    struct upstream_load *ul, uint64_t now_ms);

/* Tells the members of this domain of such a check of this instance. */
void post_failed_link_check(struct placer *pl, upstream_index_t nr,
			    const struct upstream_load *ul, uint64_t now_ms);

/* True if this instance checks NR for its domain. */
bool is_checked_here(const struct placer *pl, upstream_index_t nr);

/* Makes the second check due, if it can confirm a refusal now. */
void hasten_confirming_check(const struct placer *pl, upstream_index_t nr,
			     struct upstream_load *ul, uint64_t now_ms);

/* Updates the links, and lists checks that tell their state. */
void tick_placer_links(struct placer *pl, uint64_t now_ms, GArray *checks);

#endif
