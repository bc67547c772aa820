#ifndef FLOW_COOKIE_H
#define FLOW_COOKIE_H

/*
 * Cookie steering: each packet carries a cookie that identifies the flow's
 * upstream and that both ends copy, so any instance can forward any packet.
 * The flow table kept here is not needed for that. It serves to place new
 * flows by load, to detect upstreams that no longer answer, and to reset flows
 * whose upstream is lost. An instance that restarts loses no flow.
 *
 * Until a flow is open, its caller returns the cookie of a SYN+ACK, and a late
 * one of another upstream may replace it later. So SYNs carry marked cookies,
 * and all later packets plain ones: a plain cookie is that of the upstream where
 * the flow is open. A marked one may be that of another upstream, if the SYN
 * went to several. An instance that knows nothing else of the flow goes by it
 * only if it would know of such SYNs, see set_cookie_splits_known().
 *
 * An open flow is reset only if its route is gone, or its upstream is known to
 * be dead or cut off, or silent on that flow. A flow that cannot be placed is
 * refused at its SYN.
 */

#include "base/counters.h"
#include "config/catalog.h"
#include "flow/cookie-packet.h"
#include "flow/placement.h"
#include "flow/split-flows.h"

/* A longer gap between two ticks means that this process was delayed. */
#define COOKIE_LATE_TICK_MS 100
#define COOKIE_TICK_MS 10	   /* short, to detect dead upstreams early */
#define COOKIE_SYN_UPSTREAMS_MAX 3 /* for a SYN and its two copies */
/*
 * Consecutive packets of a flow at one instance differ by less than this in
 * their sequence numbers, in bytes. One that is further away belongs to a later
 * flow of the same key, or others had the packets between: it is treated like
 * the first packet of a flow.
 */
#define COOKIE_SEQ_WINDOW 76800
#define COOKIE_SYN_LAST_COPY 2 /* callers send no further copy */
/*
 * From a SYN that was sent N times before to its next copy, or for the last one
 * to the end of the attempt.
 */
#define COOKIE_SYN_INTERVAL_MS(n)                                              \
	(UINT64_C(200) << MIN(n, COOKIE_SYN_LAST_COPY))
/* Of the bits of a cookie, those that its marked form has inverted. */
#define COOKIE_MARK UINT32_C(0x5bd1e995)
#define COOKIE_FLOWS_MAX 200000	       /* tracked at once */
#define COOKIE_CLOSING_TIMEOUT_MS 3000 /* packets may follow the last FIN */
#define COOKIE_OPENING_TIMEOUT_MS 1400 /* callers abandon their SYN then */

/*
 * A handshake that takes longer than LIMIT_FACTOR times the mean, and longer
 * than LIMIT_MIN_MS, was reset by the upstream or got no answer; callers
 * retransmit their SYN only after 200 ms. LIMIT_MIN_MS allows for delay by a
 * busy processor.
 */
#define COOKIE_HANDSHAKE_LIMIT_FACTOR 4
#define COOKIE_HANDSHAKE_LIMIT_MIN_MS 25
#define COOKIE_HANDSHAKE_INITIAL_MS 10	   /* mean until one was observed */
#define COOKIE_HANDSHAKE_SAMPLE_MAX_MS 100 /* a longer sample counts as this */

/*
 * For this long after a flow was opened, or sent its request, and has got no
 * answer, new flows of its caller are not placed on its upstream.
 */
#define COOKIE_AVOID_MS 1000

/*
 * For this long after its start an instance lets SYNs wait longer, and only
 * while upstreams would shed; see SYN_WAIT_MAX_MS.
 */
#define COOKIE_STARTUP_MS 3000
#define COOKIE_AVOIDED_MAX 8	   /* upstreams excluded for one flow */
#define COOKIE_SYN_DATAGRAM_MAX 64 /* bytes; longer SYNs do not wait */

/*
 * A copy of a SYN that comes later than this after it was due went to another
 * instance, or was lost.
 */
#define COOKIE_SYN_COPY_SLACK_MS 100

enum cookie_verdict {
	COOKIE_TO_UPSTREAM, /* send the packet, with COOKIE, to UPSTREAM */
	COOKIE_TO_PEER, /* relay it to an instance that may know the upstream */
	COOKIE_RESET,	/* send the caller a TCP reset with RESET_SEQ */
	COOKIE_WAIT,	/* a SYN; release_waiting_syns() decides about it */
	COOKIE_DROP
};

enum cookie_reason {
	COOKIE_OPENED,	   /* a new flow was placed */
	COOKIE_REOPENED,   /* a retransmitted SYN was forwarded */
	COOKIE_STEERED,	   /* a later packet was forwarded */
	COOKIE_NO_ROUTE,   /* no route has the destination address and port */
	COOKIE_ROUTE_GONE, /* the flow's route was removed */
	COOKIE_CROWDED,	   /* all upstreams are crowded: it waits */
	COOKIE_REFUSED,	   /* no upstream can take the flow */
	COOKIE_UPSTREAM_DEAD,	/* or cut off */
	COOKIE_UPSTREAM_SILENT, /* it answers nothing on this flow any more */
	COOKIE_LINK_LOST,	/* the link to the upstream's domain is cut */
	COOKIE_UNKNOWN,		/* the cookie is of no upstream known here */
	COOKIE_NOT_READY,	/* no configuration yet, or an older one */
	COOKIE_ISOLATED,	/* no upstream can be reached from here */
	COOKIE_LATE_COPY,	/* of the SYN of a flow that is open */
	COOKIE_STALE_SYN,	/* its caller has sent a copy since, or left */
	COOKIE_REASON_NR
};

struct cookie_decision {
	enum cookie_verdict verdict;
	enum cookie_reason reason;
	upstream_index_t upstream;
	uint32_t cookie;
	uint32_t reset_seq;
	bool moved_in; /* the flow's earlier packets did not come here */
	bool settled;  /* it became known where a split flow is open */
	struct placement placement; /* of a SYN, by place_new_flow() */
};

/* A reset to send to a caller on its own, not as the answer to a packet. */
struct cookie_reset {
	struct flow_key key;
	uint32_t seq;
	enum cookie_reason reason;
	upstream_index_t upstream;
	uint64_t waited_ms; /* since the pending request was sent; 0: none */
};

/* A SYN that waited, and what to do with it now. */
struct released_syn {
	struct cookie_packet packet;
	struct cookie_decision decision;
	uint64_t waited_ms;
	uint8_t datagram[COOKIE_SYN_DATAGRAM_MAX];
};

struct cookie_steering;

struct cookie_steering *create_cookie_steering(const struct catalog *cat,
					       struct placer *pl,
					       struct counters *counters);
void destroy_cookie_steering(struct cookie_steering *cs);

/*
 * While this instance is isolated (flow/isolation), a SYN that cannot be placed
 * is dropped instead of refused, except for its last copy: routers send the
 * copies to other instances soon, while a caller that is refused uses up its
 * attempts before that.
 */
void set_cookie_isolated(struct cookie_steering *cs, bool isolated);

/*
 * Whether cookies are marked, which earlier builds do not understand: all
 * members do. Off at first.
 */
void set_cookie_marks(struct cookie_steering *cs, bool enabled);

/*
 * Whether this instance knows of all flows that their callers may still use and
 * whose SYNs went to several upstreams, see flow/split-flows.h. Off at first.
 */
void set_cookie_splits_known(struct cookie_steering *cs, bool known);

/*
 * Whether members have a later configuration. Then a SYN whose route is not
 * known here is for one of them.
 */
void set_cookie_routes_behind(struct cookie_steering *cs, bool behind);

/*
 * Whether P, a SYN, waited unread until its caller sent the next copy, or gave
 * up. The copy may have come to another instance and opened the flow elsewhere.
 */
bool is_stale_syn(const struct cookie_packet *p);

/*
 * Whether this instance knows more about the upstream of P, which is no SYN,
 * than its cookie says: it placed the flow, saw where it is open, or was told.
 */
bool knows_packet_upstream(const struct cookie_steering *cs,
			   const struct cookie_packet *p, uint64_t now_ms);

/* Decides about P. RELAYED: by an instance that does not know P's cookie. */
struct cookie_decision steer_cookie_packet(struct cookie_steering *cs,
					   const struct cookie_packet *p,
					   bool relayed, uint64_t now_ms);

/*
 * Places waiting SYNs whose upstreams have room again, and refuses those that
 * have waited too long. Appends both to RELEASED (of struct released_syn).
 */
void release_waiting_syns(struct cookie_steering *cs, uint64_t now_ms,
			  GArray *released);

/* Number of SYNs that wait. */
size_t cookie_waiting_syn_count(const struct cookie_steering *cs);

/*
 * Ends the flows of upstream NR, which is dead or cut off, and appends the
 * resets to send to RESETS (of struct cookie_reset).
 */
void end_upstream_flows(struct cookie_steering *cs, upstream_index_t nr,
			uint64_t now_ms, GArray *resets);

/*
 * Ends flows of upstreams that serve without listening, if they do: those whose
 * callers repeat the same packet for longer than an upstream takes that lives;
 * RESETS as above. Other flows of the same upstream may be served.
 */
void end_silent_flows(struct cookie_steering *cs, uint64_t now_ms,
		      GArray *resets);

/*
 * Ends flows behind cut links on which a request waits that its caller may
 * repeat, if it can be placed elsewhere; RESETS as above. A request that may
 * not be repeated is left alone: the upstream answers callers directly, so the
 * response may still arrive.
 */
void end_flows_behind_cut_links(struct cookie_steering *cs, uint64_t now_ms,
				GArray *resets);

/*
 * Ends the record of flows whose upstreams expire_catalog() has dropped. To be
 * called before an upstream is added, which may get the index of a dropped one.
 */
void forget_expired_upstreams(struct cookie_steering *cs);

/*
 * Ends flows whose route is no longer configured; RESETS as above. A flow that
 * came from another instance may have a route that is not known here yet. So it
 * ends only if its route was known here before, or if note_routes_current()
 * shows that it was dropped meanwhile. To be called for each configuration,
 * after the last one of those that are learned at once.
 */
void end_flows_without_route(struct cookie_steering *cs, uint64_t now_ms,
			     GArray *resets);

/* The routes of the catalog are at least those that were in force at AT_MS. */
void note_routes_current(struct cookie_steering *cs, uint64_t at_ms);

/*
 * Whether the routes are current enough to end flows whose route has not been
 * known here, if there are such flows.
 */
bool may_end_unknown_routes(const struct cookie_steering *cs);

/*
 * The flow KEY now sends its packets to another instance, see
 * flow/moved-flows.h: it is not tracked here any more. False if it was not.
 */
bool release_moved_flow(struct cookie_steering *cs, const struct flow_key *key);

/* What is known of split flows, see flow/split-flows.h. */
struct split_flows *cookie_split_flows(struct cookie_steering *cs);

/*
 * Another member has told FLOW. If this instance knows where it is open and the
 * other one did not, members are told.
 */
void learn_cookie_split_flow(struct cookie_steering *cs,
			     const struct split_flow *flow, uint64_t now_ms);

/* Detects overdue handshakes and removes flows that have timed out. */
void tick_cookie_steering(struct cookie_steering *cs, uint64_t now_ms);

/* Number of tracked flows. */
size_t cookie_flow_count(const struct cookie_steering *cs);

/* Times from a forwarded SYN to the caller's next packet, ms. */
const struct histogram *handshake_times(const struct cookie_steering *cs);

const char *cookie_reason_name(enum cookie_reason r);

#endif
