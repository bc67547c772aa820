#ifndef FLOW_PLACEMENT_H
#define FLOW_PLACEMENT_H

/*
 * Chooses the upstream of each new flow, and assesses the health of upstreams,
 * from what this instance and its peers observe of the flows: requests in
 * flight, open flows, signs of life and of silence. Suits many short flows
 * beside long ones that pause between requests. No I/O.
 *
 * Rules, in this order:
 *  - only upstreams that take flows according to the catalog, are neither dead
 *    nor cut off nor behind a lost link (flow/domain-link), and are not excluded
 *    by the caller of place_new_flow();
 *  - a cold upstream gets at most this instance's quota of its cold limit;
 *  - upstreams that are not suspect go before suspect ones, and those that are
 *    not failing before failing ones, if upstreams are compared;
 *  - the least expected load for each slot, where an upstream of another
 *    failure domain counts PLACEMENT_REMOTE_DOMAIN_COST more.
 */

#include "base/counters.h"
#include "base/histogram.h"
#include "config/catalog.h"
#include "fleet/health-notice.h"
#include "fleet/load.h"
#include "fleet/quota.h"
#include "fleet/view.h"
#include "flow/domain-link.h"

/*
 * Cost of choosing an upstream of another failure domain, in requests in flight
 * for each slot: two more messages between domains, and traffic that is billed.
 */
#define PLACEMENT_REMOTE_DOMAIN_COST 0.7

/*
 * Loads of a peer that sent none for this long are dropped; in large fleets
 * they are sent every 2 s.
 */
#define PLACEMENT_PEER_TIMEOUT_MS 2500

/*
 * Requests in flight for each slot at which an upstream counts as full: it
 * runs one and queues some four more (12 for 3 slots, 8 for 2). It sheds
 * further requests, and each shed uses up one of the caller's few attempts.
 */
#define PLACEMENT_FULL_LOAD 4.0

/*
 * An upstream counts as crowded if requests in flight for each slot, times the
 * usual answer time, exceed this share of the route's target. With the whole
 * target every second answer would be late, as run times vary. Never below the
 * least load, which would leave slots idle.
 */
#define PLACEMENT_CROWDED_TARGET_SHARE 0.4
#define PLACEMENT_CROWDED_LOAD_MIN 2.0

/*
 * Least change of the own requests in flight that is sent to peers at once:
 * after an outage all callers return within one heartbeat interval.
 */
#define PLACEMENT_URGENT_CHANGE_MIN 6
#define PLACEMENT_MEANS_INTERVAL_MS 100 /* between updates of running means */

/*
 * A cold upstream's limit holds for any second. The window is longer, since
 * network jitter may bring arrivals closer together than departures.
 */
#define PLACEMENT_COLD_WINDOW_MS 1150
#define PLACEMENT_COLD_FLOWS_MAX 64 /* in a window, to one cold upstream */

/*
 * Delay between an upstream becoming suspect and the check of it. Most
 * suspicions are due to a lost datagram and are cleared by signs of life that
 * peers report within a heartbeat interval. Several silences shorten the delay.
 */
#define PLACEMENT_CHECK_DELAY_MS 200
#define PLACEMENT_SHORT_CHECK_DELAY_MS 40
#define PLACEMENT_SHORT_DELAY_SILENCES 3
/*
 * An upstream that showed no life for this long becomes suspect if a peer found
 * it dead or cut off, or if a flow of it moves here from another instance.
 * Busy upstreams acknowledge something every few ms.
 */
#define PLACEMENT_QUIET_MS 300
#define PLACEMENT_PEER_RECHECK_MS 2000 /* between checks after peer reports */
#define PLACEMENT_RECHECK_MS 500       /* after a check without a verdict */
#define PLACEMENT_DEAD_RECHECK_MS 2000 /* after finding it dead or cut off */
/*
 * After adopting a peer's verdict. The peer checks again sooner and tells; this
 * is for the case that it is gone or its notice was lost.
 */
#define PLACEMENT_ADOPTED_RECHECK_MS 8000
#define PLACEMENT_UNREACHABLE_CHECKS 2 /* in a row make it cut off */
/*
 * A verdict that was not proved again for this long ends no more open flows.
 * Whoever found it checks every PLACEMENT_DEAD_RECHECK_MS.
 */
#define PLACEMENT_VERDICT_MAX_AGE_MS 3000

/*
 * An upstream that drains stops listening before it exits, and serves its open
 * flows meanwhile. A flow of it has ended if it has not answered anything since
 * a packet that the caller of the flow then repeated 200, 600, 1,400 and 3,000
 * ms later, the whole series up to the longest interval, and the time in which
 * requests should be answered. Callers that send a packet every second or two
 * repeat each one three times, as only every second one is acknowledged. The
 * last repeat may come some ms early; repeats that are further apart than GAP
 * are of different packets.
 */
#define PLACEMENT_REPEATS_MS 3000
#define PLACEMENT_LAST_REPEAT_MS 2900
#define PLACEMENT_REPEAT_GAP_MS 1700

/* Result of a check of an upstream. */
enum check_result {
	CHECK_GOOD,	   /* it answered that it is healthy */
	CHECK_BAD,	   /* it answered that it is not */
	CHECK_SILENT,	   /* it accepted the connection and did not answer */
	CHECK_REFUSED,	   /* nothing listens there */
	CHECK_REPLACED,	   /* another upstream answered at its address */
	CHECK_UNREACHABLE, /* no connection before the timeout */
	CHECK_NOT_MADE,	   /* for a fault of this process or its machine */
	CHECK_RESULT_NR
};

struct placer;

struct placer *create_placer(const struct catalog *cat, const struct view *view,
			     struct quotas *quotas, const char *domain,
			     uint32_t seed);
void destroy_placer(struct placer *pl);

/*
 * A cold upstream with a cold limit of B new flows a second may get
 * B * FACTOR + SLACK. All instances together use at most half of that, so that
 * two partitions that do not know of each other stay within it.
 */
void set_cold_bounds(struct placer *pl, double factor, double slack);

/*
 * Links to other failure domains, which the placer updates on each tick. They
 * must outlive it. Without this call all domains count as reached.
 */
void set_placer_links(struct placer *pl, struct domain_links *links);

/*
 * Makes PL share its verdicts through HN, which outlives it. Without this each
 * instance finds out alone, and through heartbeats.
 */
void set_placer_notices(struct placer *pl, struct health_notices *hn);

/*
 * Whether upstreams are compared by the responses that instances observe. A
 * slow upstream then counts as more loaded than it is. Off at first.
 */
void set_placer_quality(struct placer *pl, bool enabled);

/*
 * An upstream listens for DRAIN_MS or longer after the store has its report that
 * it drains. By default, or if DRAIN_MS is 0, no report counts as late.
 */
void set_placer_drain_time(struct placer *pl, uint64_t drain_ms);

/* The entries that are known here were those in the store at AT_MS. */
void note_store_current(struct placer *pl, uint64_t at_ms);

/* The latest such time; 0: none is known. */
uint64_t store_current_ms(const struct placer *pl);

/* Replaces PLACEMENT_REMOTE_DOMAIN_COST; for tests and benchmarks. */
void set_remote_domain_cost(struct placer *pl, double cost);

/* Applies a change of the catalog's entry of upstream NR. */
void update_placer_upstream(struct placer *pl, upstream_index_t nr,
			    uint64_t now_ms);

/* Why place_new_flow() chose as it did. */
enum place_reason {
	PLACE_LEAST_LOADED,
	PLACE_COLD,	   /* a cold upstream, within this instance's quota */
	PLACE_SUSPECT,	   /* a suspect upstream: all others are worse */
	PLACE_NONE_LISTED, /* the service has no upstream that takes flows */
	PLACE_ALL_DEAD,	   /* all are dead, cut off or excluded */
	PLACE_ALL_COLD,	   /* all are cold and this instance's quota is used */
	PLACE_CROWDED,	   /* answers after the target, and others are worse */
	PLACE_FULL, /* at the limit of its load now; all others are worse */
	PLACE_OVERLOADED, /* none could answer before the deadline */
	PLACE_REASON_NR
};

struct placement {
	upstream_index_t upstream; /* CATALOG_NONE: refuse the flow */
	enum place_reason reason;
	double load; /* requests in flight for each slot */
};

/* A flow for which place_new_flow() chooses an upstream. */
struct placement_request {
	service_index_t service;
	uint32_t deadline_ms; /* by which a request must be answered */
	uint32_t target_ms;   /* target for the answer; 0: none */
	double urgent_share;  /* of requests that go before this one */
	bool repeatable;      /* its caller resends requests that failed */
	const upstream_index_t *excluded; /* upstreams not to choose */
	size_t excluded_nr;
};

struct placement place_new_flow(struct placer *pl,
				const struct placement_request *request,
				uint64_t now_ms);

/* Events of flows of no known route that this instance forwards. */
void note_flow_open(struct placer *pl, upstream_index_t nr);
void note_flow_end(struct placer *pl, upstream_index_t nr);
void note_request_start(struct placer *pl, upstream_index_t nr);
void note_request_end(struct placer *pl, upstream_index_t nr);

/* A route of a placer, of which it learns how busy flows are; 0: unknown. */
typedef uint16_t route_index_t;

/* Index of the route to IP and PORT, added on first use. */
route_index_t get_placer_route(struct placer *pl, uint32_t ip, uint16_t port);

/* What one flow counts at its upstream. */
struct flow_load {
	route_index_t route;
	bool counted;	  /* its caller has not ended it */
	bool established; /* past its first request: it may pause for long */
	uint8_t weight;	  /* of its opening or its request, sixteenths */
};

void add_flow_load(struct placer *pl, upstream_index_t nr,
		   const struct flow_load *fl);
void remove_flow_load(struct placer *pl, upstream_index_t nr,
		      const struct flow_load *fl);

/* A response was seen on a flow of ROUTE; the caller ended one. */
void note_response_on_route(struct placer *pl, route_index_t route,
			    uint64_t now_ms);
void note_flow_end_on_route(struct placer *pl, route_index_t route,
			    uint64_t now_ms);

/*
 * Probability that a request sent to NR at SENT_MS, whose end was not seen,
 * still runs. 1 while NR has shown no life since.
 */
double request_probability(struct placer *pl, upstream_index_t nr,
			   uint64_t sent_ms, uint64_t now_ms);

/* The end of such a request is not waited for any longer. */
void note_request_unseen(struct placer *pl, upstream_index_t nr,
			 uint64_t sent_ms, uint64_t now_ms);

/* A request was answered TOOK_MS after it was sent, after note_request_unseen(). */
void note_late_answer(struct placer *pl, upstream_index_t nr, uint64_t took_ms,
		      uint64_t now_ms);

/* A request was answered TOOK_MS after it was sent. */
void note_answer(struct placer *pl, upstream_index_t nr, uint64_t took_ms,
		 uint64_t now_ms);
void note_upstream_alive(struct placer *pl, upstream_index_t nr,
			 uint64_t now_ms);

/* As above; NR has answered a packet that was sent at SENT_MS. */
void note_upstream_answer(struct placer *pl, upstream_index_t nr,
			  uint64_t sent_ms, uint64_t now_ms);

/* Requests in flight for each slot of NR, by the last reports of peers. */
double current_load(const struct placer *pl, upstream_index_t nr);

/*
 * NR began a response TOOK_MS after the request was sent, when current_load()
 * was LOAD. ROUTE is a key of the request's route. The request still counts as
 * in flight.
 */
void note_response_time(struct placer *pl, upstream_index_t nr, uint64_t route,
			double load, uint64_t took_ms, uint64_t now_ms);

/*
 * A response of NR, which began TOOK_MS after its request, has ended after
 * BYTES. Of a response whose end was not seen here, this is not called.
 */
void note_response_size(struct placer *pl, upstream_index_t nr, uint64_t route,
			uint64_t took_ms, uint32_t bytes, uint64_t now_ms);

/* Response times of NR in relation to typical ones; 1: typical. */
double upstream_slowness(const struct placer *pl, upstream_index_t nr);

/* Moves the changes since the last call (struct quality_change) to CHANGES. */
void pop_placer_quality_changes(struct placer *pl, GArray *changes);

/*
 * The answer to a packet sent to NR at SENT_MS is overdue. Ignored if NR showed
 * life since then.
 */
void note_upstream_silent(struct placer *pl, upstream_index_t nr,
			  uint64_t sent_ms, uint64_t now_ms);

/*
 * The same for what is a reason to check NR, but no evidence against it: peers
 * are not told.
 */
void note_silence(struct placer *pl, upstream_index_t nr, uint64_t sent_ms,
		  uint64_t now_ms);

/*
 * NR showed life at ALIVE_MS or later, as was learned at NOW_MS from a packet
 * that acknowledges nothing itself.
 */
void note_upstream_alive_at(struct placer *pl, upstream_index_t nr,
			    uint64_t alive_ms, uint64_t now_ms);

/* True if NR refused a check and may serve its open flows. */
bool is_unlistening(const struct placer *pl, upstream_index_t nr);
bool has_unlistening_upstream(const struct placer *pl);

/*
 * True if NR is such an upstream and has answered nothing since SINCE_MS, for
 * as long as callers repeat a packet and requests should take.
 */
bool is_unlistening_silent(const struct placer *pl, upstream_index_t nr,
			   uint64_t since_ms, uint64_t now_ms);

/*
 * A flow of NR that another instance forwarded before sends data here. Its
 * caller may be retransmitting data that the upstream did not acknowledge.
 */
void note_moved_flow(struct placer *pl, upstream_index_t nr, uint64_t now_ms);

/* True if NR showed life at or after SINCE_MS, here or at a peer. */
bool was_alive_since(const struct placer *pl, upstream_index_t nr,
		     uint64_t since_ms);

/* Replaces the loads that instance MEMBER sent before by ROWS (NR of them). */
void handle_peer_loads(struct placer *pl, uint64_t member,
		       const struct upstream_load_row *rows, size_t nr,
		       uint64_t now_ms);

/* What became of a peer's notice. */
enum verdict_outcome {
	VERDICT_NONE,	 /* it had no verdict that an upstream is lost */
	VERDICT_ADOPTED, /* the flows of its upstream have to be reset */
	/* not adopted: */
	VERDICT_KNOWN,	     /* the upstream is dead or cut off here already */
	VERDICT_NO_UPSTREAM, /* no upstream here has its id and cookie */
	VERDICT_STALE,	     /* it is too old, or waited unread */
	VERDICT_LINK_DOUBTFUL, /* the link to the upstream's domain is */
	VERDICT_DISPROVED,     /* there is a later sign of life */
	VERDICT_OTHER_DOMAIN,  /* it holds only in the sender's domain */
	VERDICT_PAUSED,	   /* signs of life may be unread, since a pause here */
	VERDICT_RESTARTED, /* the sender may not know of the last start yet */
	VERDICT_ALIVE_LATELY, /* there was a sign of life shortly before */
	VERDICT_CONTESTED, /* it may be about another entry with that cookie */
	VERDICT_LEAVING,   /* it may serve open flows without listening */
	VERDICT_OUTCOME_NR
};

enum verdict_outcome handle_health_notice(struct placer *pl,
					  const struct health_notice *n,
					  uint64_t now_ms);
const char *verdict_outcome_name(enum verdict_outcome o);

/* Appends to ROWS the own loads (struct upstream_load_row) to send to peers. */
void list_own_loads(struct placer *pl, uint64_t now_ms, GArray *rows);

/* Requests in flight on flows that this instance forwards. */
uint32_t busy_request_count(const struct placer *pl);

/* Whether the own load changed much since it was last sent to peers. */
bool has_load_changed(const struct placer *pl);

/*
 * Drops the loads of peers that timed out and updates the running means.
 * Appends the upstreams to check now to CHECKS (of upstream_index_t).
 */
void tick_placer(struct placer *pl, uint64_t now_ms, GArray *checks);

/* What the verdict that an upstream is dead or cut off rests on. */
enum evidence_kind {
	EVIDENCE_NONE,	      /* there is no such verdict */
	EVIDENCE_REFUSED,     /* a check of this instance was refused */
	EVIDENCE_REPLACED,    /* another upstream answered a check */
	EVIDENCE_UNREACHABLE, /* checks found no connection */
	EVIDENCE_UNANSWERED,  /* a check, and packets without an answer */
	EVIDENCE_ADOPTED,     /* the verdict of a peer */
	EVIDENCE_KIND_NR
};

/* All times are ages in ms. */
struct health_evidence {
	enum evidence_kind kind;
	enum upstream_health health;
	uint64_t verdict_age_ms; /* since it became dead or cut off */
	/* since the check began that led to the verdict, or last to the same */
	uint64_t check_age_ms;
	uint64_t own_alive_ms;	/* since its last sign of life here */
	uint64_t peer_alive_ms; /* since the last one that peers reported */
	/*
	 * since a check of it by a member of this domain failed while the link
	 * to its own was not up
	 */
	uint64_t link_check_ms;
	union {
		/* all other kinds: */
		struct {
			/* since the check ended; it may run on */
			uint64_t check_ended_ms;
			uint32_t unreachable_checks; /* in a row */
			/* instances with a packet that was not answered */
			uint32_t unanswered;
		} own;
		/* EVIDENCE_ADOPTED: */
		struct {
			uint64_t member_id; /* whose verdict it is */
		} peer;
	};
};

#define EVIDENCE_NEVER_MS UINT64_MAX /* as an age: it has not happened */

/* Evidence of the present health of NR. */
struct health_evidence describe_health(const struct placer *pl,
				       upstream_index_t nr, uint64_t now_ms);
const char *evidence_kind_name(enum evidence_kind k);

/* Evidence that the link to NR's domain is cut, see is_behind_cut_link(). */
struct link_evidence describe_upstream_link(const struct placer *pl,
					    upstream_index_t nr,
					    uint64_t now_ms);

/* A change of an upstream's health as assessed by this instance. */
struct health_change {
	upstream_index_t upstream;
	enum upstream_health from;
	enum upstream_health to;
	uint32_t silence_count; /* silences noted since its last sign of life */
	uint64_t silent_ms; /* since its last sign of life; 0: none was seen */
	struct health_evidence evidence; /* as of the change */
};

/* Moves the changes since the last call to the end of CHANGES. */
void pop_health_changes(struct placer *pl, GArray *changes);

/*
 * The running check of NR has a connection. NR is reachable then, though it may
 * answer late: a check waits for a slot like any request, and an upstream that
 * is full does not answer SYNs.
 */
void note_check_connected(struct placer *pl, upstream_index_t nr);

/* Notes the result of a check that tick_placer() requested. */
void note_check_result(struct placer *pl, upstream_index_t nr,
		       enum check_result result, uint64_t now_ms);

/*
 * True if upstreams accept flows, but this instance found all of them dead or
 * cut off, or behind lost links.
 */
bool reaches_no_upstream(const struct placer *pl);

/* True if NR is not reached because the link to its domain is lost. */
bool is_behind_lost_link(const struct placer *pl, upstream_index_t nr);

/* True if that is proved by a failed control check, see is_domain_link_cut(). */
bool is_behind_cut_link(const struct placer *pl, upstream_index_t nr,
			uint64_t now_ms);

/* True if the link to any failure domain is lost. */
bool has_lost_link(const struct placer *pl);

/* Answer times of SERVICE, ms; NULL if none was observed. */
const struct histogram *answer_times(const struct placer *pl,
				     service_index_t service);

enum upstream_health assessed_health(const struct placer *pl,
				     upstream_index_t nr);

/*
 * True if NR is dead or cut off by a recent verdict, so that its open flows are
 * to be reset. An older one only keeps new flows away.
 */
bool may_end_flows(const struct placer *pl, upstream_index_t nr,
		   uint64_t now_ms);

/*
 * A packet was sent to NR, which an old verdict calls dead or cut off. It is
 * checked soon, also if it is not listed any more.
 */
void note_flow_in_doubt(struct placer *pl, upstream_index_t nr,
			uint64_t now_ms);
/* As above, but HEALTH_UNREACHABLE if the link to NR's domain is lost. */
enum upstream_health reached_health(const struct placer *pl,
				    upstream_index_t nr);
const char *place_reason_name(enum place_reason r);
const char *check_result_name(enum check_result r);

#endif
