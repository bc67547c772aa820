#ifndef FLOW_COOKIE_H
#define FLOW_COOKIE_H

/*
 * Steering by cookie: a field of each packet, which both ends of a flow copy,
 * names the flow's upstream, so that any instance can steer any packet. What
 * is kept here about flows serves other ends: to place new ones by load, to
 * notice upstreams that no longer answer, and to tell callers whose flow is
 * lost. An instance that restarts loses nothing that flows depend on.
 *
 * An open flow is reset only if its route is gone or its upstream is known to
 * be dead. A flow that cannot be placed is refused at its SYN.
 */

#include "base/counters.h"
#include "config/catalog.h"
#include "flow/cookie-packet.h"
#include "flow/placing.h"

#define COOKIE_LATE_MS 100 /* a tick so late says that this process was slow */
#define COOKIE_TICK_MS 10  /* a dead upstream is to be noticed soon */
#define COOKIE_TRIED_MAX 3 /* a SYN and its two copies */
#define COOKIE_FLOWS_MAX 200000 /* flows followed at once */
#define COOKIE_CLOSING_MS 3000	/* packets may follow the last FIN */
#define COOKIE_OPENING_MS 1400	/* callers give up a SYN after that */

/*
 * A handshake that takes so many times the usual, and no less than the least,
 * was answered with a reset or not at all; callers send their SYN again only
 * after 200 ms. The least covers a busy processor on the way.
 */
#define COOKIE_HANDSHAKE_FACTOR 4
#define COOKIE_HANDSHAKE_MIN_MS 25
#define COOKIE_HANDSHAKE_MS 10	    /* the usual, until some were seen */
#define COOKIE_HANDSHAKE_MAX_MS 100 /* longer ones count as this */

/*
 * A caller that comes again within this time of a flow that got nowhere is
 * kept away from that flow's upstream.
 */
#define COOKIE_AGAIN_MS 1000

/*
 * While all upstreams are crowded, a SYN waits for its next copy, of which
 * there are so many (after 200 and 600 ms); that uses up none of the caller's
 * tries. The last one is refused: those that are served are then served in
 * time, and the caller is told. An instance that has just started lets it pass,
 * since callers have used up tries while no instance answered (1.4 s each), and
 * what they are behind with is soon served.
 */
#define COOKIE_STARTED_MS 3000
#define COOKIE_COPIES 2
#define COOKIE_AVOID_MAX 8 /* upstreams kept away from one flow */

enum cookie_verdict {
	COOKIE_TO_UPSTREAM, /* send the packet, with COOKIE, to UPSTREAM */
	COOKIE_TO_PEER,	    /* another instance may know: ask one */
	COOKIE_RESET,	    /* tell the caller, with RESET_SEQ */
	COOKIE_DROP
};

enum cookie_reason {
	COOKIE_OPENED,	      /* placed a new flow */
	COOKIE_REOPENED,      /* placed a copy of a SYN */
	COOKIE_STEERED,	      /* by the flow's cookie */
	COOKIE_NO_ROUTE,      /* callers' address is in no route */
	COOKIE_ROUTE_GONE,    /* the flow's route was dropped */
	COOKIE_DEFERRED,      /* all are full: the caller's next copy may fit */
	COOKIE_REFUSED,	      /* no upstream can take the flow */
	COOKIE_UPSTREAM_DEAD, /* the flow's upstream is dead */
	COOKIE_UNKNOWN,	      /* names no upstream known here */
	COOKIE_NOT_READY,     /* no configuration yet */
	COOKIE_REASON_NR
};

struct cookie_decision {
	enum cookie_verdict verdict;
	enum cookie_reason reason;
	upstream_nr_t upstream;
	uint32_t cookie;
	uint32_t reset_seq;
	struct placement placement; /* of COOKIE_OPENED, _REOPENED, _REFUSED */
};

/* A reset that no packet asked for. */
struct cookie_reset {
	struct flow_key key;
	uint32_t seq;
	enum cookie_reason reason;
	upstream_nr_t upstream;
	uint64_t waited_ms; /* since the request was sent; 0: none waits */
};

/* What becomes of a SYN for which there is a place. */
enum syn_verdict {
	SYN_PLACE,
	SYN_LEAVE, /* to its next copy */
	SYN_REFUSE
};

/*
 * Judges copy number COPY (0: the first) of a SYN whose best place is AT.
 * GIVES_WAY: others are more urgent; JUST_STARTED: this instance is.
 */
enum syn_verdict judge_syn(const struct placement *at, uint32_t copy,
			   bool gives_way, bool just_started);

struct cookie_steering;

struct cookie_steering *create_cookie_steering(const struct catalog *cat,
					       struct placing *pl,
					       struct counters *counters);
void destroy_cookie_steering(struct cookie_steering *cs);

/* Decides about a packet. RELAYED: another instance did not know. */
struct cookie_decision steer_cookie(struct cookie_steering *cs,
				    const struct cookie_packet *p, bool relayed,
				    uint64_t now_ms);

/*
 * Upstream NR is known to be dead: its flows end. What callers are to be told
 * is appended to RESETS (of struct cookie_reset).
 */
void end_flows_of(struct cookie_steering *cs, upstream_nr_t nr, uint64_t now_ms,
		  GArray *resets);

/* New routes are in force: flows of those that are gone end. */
void end_routeless_flows(struct cookie_steering *cs, uint64_t now_ms,
			 GArray *resets);

/* Notes overdue handshakes and forgets flows that have ended. */
void tick_cookie(struct cookie_steering *cs, uint64_t now_ms);

/* Flows followed. */
size_t cookie_flow_nr(const struct cookie_steering *cs);

/* Times from a SYN that was passed on to the caller's next packet, ms. */
const struct histogram *handshake_times(const struct cookie_steering *cs);

const char *cookie_reason_name(enum cookie_reason r);

#endif
