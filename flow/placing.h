#ifndef FLOW_PLACING_H
#define FLOW_PLACING_H

/*
 * Which upstream a new flow goes to, from what the instances have seen of the
 * flows themselves: requests in flight, flows open, signs of life and of
 * silence. Answers the load of many short flows beside long ones with pauses
 * between their requests. No I/O.
 *
 * Rules, in this order:
 *  - only upstreams that the catalog lets take flows, are not known dead and
 *    were not tried for this flow before;
 *  - a cold upstream gets at most this instance's share of what it bears;
 *  - those without an open doubt go before those with one;
 *  - the least expected load for its slots, the own failure domain ahead by
 *    PLACING_FAR_COST.
 */

#include "base/counters.h"
#include "base/histogram.h"
#include "config/catalog.h"
#include "fleet/load.h"
#include "fleet/share.h"
#include "fleet/view.h"

/*
 * What the way to another failure domain costs, in requests in flight for
 * each slot: two more messages between domains, and priced bytes.
 */
#define PLACING_FAR_COST 0.7

/* A peer's sums are used so long; in large fleets they come every 2 s. */
#define PLACING_PEER_MS 2500

/*
 * Requests in flight for each slot at which an upstream counts as full: it
 * runs one and keeps some four more (12 for 3 slots, 8 for 2), and sheds what
 * comes then, which costs callers one of few tries.
 */
#define PLACING_FULL_LOAD 4.0

/*
 * An upstream counts as crowded where a request is expected to be answered
 * later than its route aims at: at so many requests a slot that take the usual
 * time one after the other, though not at fewer than this, which would leave
 * slots idle.
 */
#define PLACING_CROWDED_MIN 2.0

/*
 * A change of the own requests in flight that is worth telling peers at once:
 * after an outage all callers come back within the time between two beacons.
 */
#define PLACING_TELL_LEAST 6
#define PLACING_MEANS_MS 100 /* between two updates of the running means */

/*
 * A cold upstream's bound holds for any second; arrivals may be closer
 * together than departures by the jitter of the way.
 */
#define PLACING_COLD_WINDOW_MS 1150
#define PLACING_COLD_MAX 64 /* flows a second to one cold upstream, at most */

/*
 * Waiting between a doubt and the check that settles it: peers' signs of life
 * come within a beacon's interval and clear most doubts, which begin with a
 * lost datagram. Several signs of silence shorten it.
 */
#define PLACING_DOUBT_MS 200
#define PLACING_DOUBT_SOON_MS 40
#define PLACING_DOUBT_SOON_NR 3
/*
 * An upstream that showed no life for so long is suspect if a peer found it
 * dead or out of reach, or a flow comes here that another instance carried:
 * busy upstreams acknowledge something every few ms.
 */
#define PLACING_QUIET_MS 300
#define PLACING_TOLD_AGAIN_MS 2000 /* between checks on the word of peers */
#define PLACING_CHECK_AGAIN_MS 500 /* after a check without a verdict */
#define PLACING_DEAD_AGAIN_MS 2000 /* after one that found it dead */
#define PLACING_UNREACHABLE_NR 2   /* checks in vain before it counts as dead */

/* What a check of an upstream found. */
enum check_result {
	CHECK_GOOD,	   /* it answered that it is well */
	CHECK_BAD,	   /* it answered that it is not */
	CHECK_SILENT,	   /* it took the question and did not answer */
	CHECK_REFUSED,	   /* nothing listens there */
	CHECK_REPLACED,	   /* another upstream answered at its address */
	CHECK_UNREACHABLE, /* no connection in time */
	CHECK_RESULT_NR
};

struct placing;

struct placing *create_placing(const struct catalog *cat,
			       const struct view *view, struct shares *shares,
			       const char *domain, uint32_t seed);
void destroy_placing(struct placing *pl);

/*
 * A cold upstream that bears B new flows a second may get B * FACTOR + SLACK.
 * Instances use no more than half of that together, so that two sides of a
 * cut which do not know of each other stay within it.
 */
void set_cold_bounds(struct placing *pl, double factor, double slack);

/* Replaces PLACING_FAR_COST, to compare. */
void set_far_cost(struct placing *pl, double cost);

/* Takes in the catalog's news about upstream NR. */
void update_placing(struct placing *pl, upstream_nr_t nr, uint64_t now_ms);

/* Why place_flow() chose as it did. */
enum place_reason {
	PLACE_LEAST_LOADED,
	PLACE_COLD,	   /* a cold one, within this instance's share */
	PLACE_DOUBTED,	   /* all others are worse */
	PLACE_NONE_LISTED, /* the service has no upstream that takes flows */
	PLACE_ALL_DEAD,	   /* none of them can be reached */
	PLACE_ALL_COLD,	   /* all are cold and this instance's share is used */
	PLACE_CROWDED, /* its answer is expected late, all others are worse */
	PLACE_FULL,    /* all are full now, though not for long */
	PLACE_OVERLOADED, /* no one could answer before the deadline */
	PLACE_REASON_NR
};

struct placement {
	upstream_nr_t upstream; /* CATALOG_NONE: refuse the flow */
	enum place_reason reason;
	double load; /* expected requests in flight for each of its slots */
};

/* A flow that is to be placed. */
struct place_wish {
	service_nr_t service;
	uint32_t deadline_ms;	    /* a request must be answered within */
	uint32_t aim_ms;	    /* it should be; 0: no aim is known */
	const upstream_nr_t *tried; /* upstreams that did not answer it */
	size_t tried_nr;
};

struct placement place_new_flow(struct placing *pl,
				const struct place_wish *wish, uint64_t now_ms);

/* What the flows that this instance carries show. */
void note_flow_open(struct placing *pl, upstream_nr_t nr);
void note_flow_end(struct placing *pl, upstream_nr_t nr);
void note_request(struct placing *pl, upstream_nr_t nr);
void note_request_end(struct placing *pl, upstream_nr_t nr);

/* An answer to something came TOOK_MS after it was sent. */
void note_answer(struct placing *pl, upstream_nr_t nr, uint64_t took_ms,
		 uint64_t now_ms);
void note_life(struct placing *pl, upstream_nr_t nr, uint64_t now_ms);

/* What was first sent at SENT_MS has no answer, though one was due. */
void note_silence(struct placing *pl, upstream_nr_t nr, uint64_t sent_ms,
		  uint64_t now_ms);

/*
 * A flow of NR comes here that another instance carried, with data: its caller
 * may be sending again what the upstream did not acknowledge.
 */
void note_moved_flow(struct placing *pl, upstream_nr_t nr, uint64_t now_ms);

/* True if NR has shown life since SINCE_MS, here or at a peer. */
bool has_lived_since(const struct placing *pl, upstream_nr_t nr,
		     uint64_t since_ms);

/* Replaces what instance MEMBER said before. */
void take_peer_loads(struct placing *pl, uint64_t member,
		     const struct load_row *rows, size_t nr, uint64_t now_ms);

/* Appends rows (struct load_row) for the peers, which are then told. */
void list_own_loads(struct placing *pl, uint64_t now_ms, GArray *rows);

/* Requests in flight on flows that this instance carries. */
uint32_t busy_request_nr(const struct placing *pl);

/* Whether the own load has changed much since the peers were told. */
bool has_load_moved(const struct placing *pl);

/*
 * Forgets peers that are silent. Upstreams that are to be checked now are
 * appended to CHECKS (of upstream_nr_t).
 */
void tick_placing(struct placing *pl, uint64_t now_ms, GArray *checks);

/* A change of an upstream's health as judged here. */
struct health_change {
	upstream_nr_t upstream;
	enum upstream_health from;
	enum upstream_health to;
	uint32_t signs;	    /* of silence since its last sign of life */
	uint64_t silent_ms; /* since that; 0: none was seen */
};

/* Moves the changes since the last call to the end of CHANGES. */
void take_health_changes(struct placing *pl, GArray *changes);

/* The check that tick_placing() asked for has ended. */
void note_check(struct placing *pl, upstream_nr_t nr, enum check_result result,
		uint64_t now_ms);

/* Times to answer of SERVICE, ms; NULL if none was seen. */
const struct histogram *answer_times(const struct placing *pl,
				     service_nr_t service);

enum upstream_health placing_health(const struct placing *pl, upstream_nr_t nr);
const char *place_reason_name(enum place_reason r);
const char *check_result_name(enum check_result r);

#endif
