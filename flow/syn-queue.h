#ifndef FLOW_SYN_QUEUE_H
#define FLOW_SYN_QUEUE_H

/*
 * SYNs that wait in an instance while all upstreams of their service are
 * crowded, until one of them has room. For loads above what the upstreams
 * bear: after a loss of upstreams, while a failure domain is out, in a burst
 * of callers, and when all callers return at once after an outage. No I/O.
 *
 * SYNs of routes with a higher priority go first. While one of them waits, no
 * SYN of a lower priority is placed, and after one was refused for lack of room
 * none is placed for SYN_PRIORITY_SPAN_MS.
 *
 * Within a priority the newest goes first, since its request can still be
 * answered in time. While the service is overloaded, a SYN whose wait reaches its limit is
 * refused, and so is the oldest one as soon as more wait than the observed rate
 * of placements lets through within the limit. Otherwise upstreams are crowded
 * only for a moment, and a SYN that reaches its limit is placed all the same,
 * unless upstreams would shed it or it must yield.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/catalog.h"
#include "flow/placement.h"

/*
 * Longest wait, as a share of the time in which the route aims to answer, so
 * that callers who are refused know it early. The rest is for the upstream's
 * own queue and the request's run.
 */
#define SYN_WAIT_SHARE 0.25
/*
 * Longest wait on a route without an aim, and right after the instance started:
 * callers have used up attempts (1.4 s each) while no instance answered, and
 * what they are behind with is served within seconds.
 */
#define SYN_WAIT_MAX_MS 600
/*
 * A SYN is not placed later than this after it was first sent: its caller
 * abandons the attempt at 1400 ms, and the handshake takes time.
 */
#define SYN_ABANDON_MS 1200
/*
 * Longest wait of SYNs that yield to recent ones of a higher priority, as a
 * share of that of others. Refused early, their callers find room at another
 * instance more often than they would get it here.
 */
#define SYN_YIELDING_WAIT_FACTOR 0.5
/*
 * No SYN is refused for lack of room if one of a lower priority was placed this
 * recently; it waits until then.
 */
#define SYN_PRIORITY_SPAN_MS 100
#define SYN_QUEUE_MIN 4	      /* SYNs of a service that may wait at any rate */
#define SYN_QUEUE_MAX 1024    /* SYNs that may wait in all */
#define SYN_RATE_SPAN_MS 1000 /* over which SYNs and placements are counted */

/*
 * A service is overloaded while at least this share of its recent SYNs, and no
 * fewer than SYN_OVERLOAD_MIN, found all upstreams crowded.
 */
#define SYN_OVERLOAD_SHARE 0.8
#define SYN_OVERLOAD_MIN 8

/* What to do with a SYN for which a placement was looked for. */
enum syn_verdict {
	SYN_PLACE,
	SYN_WAIT, /* until an upstream has room */
	SYN_REFUSE
};

/*
 * Decides about a SYN whose best placement is BEST. IS_LOWEST_PRIORITY: no
 * route to the service has a lower priority. Such SYNs wait while upstreams are
 * crowded, all SYNs while upstreams are full.
 * JUST_STARTED: this instance has started so recently that all callers come at
 * once with what they could not send before.
 */
enum syn_verdict decide_syn(const struct placement *best,
			    bool is_lowest_priority, bool just_started);

/*
 * Decides about a SYN whose wait has ended although its service is not
 * overloaded. A full upstream would shed it; right after a start it is placed
 * nevertheless, as callers have few attempts left.
 */
enum syn_verdict decide_overdue_syn(const struct placement *best,
				    bool just_started);

/* How long a SYN may wait, ms. */
struct syn_limits {
	uint32_t wait_ms;    /* until it is refused, or placed all the same */
	uint32_t abandon_ms; /* until it may not be placed any more */
};

/*
 * TARGET_MS: aim of the SYN's route for the answer, 0: none. SYN_COPY: how
 * often its caller had sent it before.
 */
struct syn_limits get_syn_limits(uint32_t target_ms, uint32_t syn_copy,
				 bool just_started);

/* Where a SYN stands among those of its service. */
struct syn_rank {
	uint32_t priority; /* of its route; lower values go first */
	bool is_lowest;	   /* no route to the service has a lower priority */
};

struct waiting_syn {
	service_index_t service;
	struct syn_rank rank;
	uint64_t queued_ms;
	uint64_t due_ms;      /* end of its wait */
	uint64_t abandon_ms;  /* its caller may have left then */
	bool limited_by_rate; /* counts against the length of the queue */
	void *owner;	      /* of the caller of queue_syn() */
};

struct syn_queue;

/* The limits of a SYN of SERVICE with RANK; the rest as for get_syn_limits(). */
struct syn_limits get_ranked_syn_limits(const struct syn_queue *q,
					service_index_t service,
					struct syn_rank rank,
					uint32_t target_ms, uint32_t syn_copy,
					bool just_started, uint64_t now_ms);

struct syn_queue *create_syn_queue(void);
void destroy_syn_queue(struct syn_queue *q);

/*
 * Queues a SYN of SERVICE. The handle is valid until remove_waiting_syn().
 * NULL if SYN_QUEUE_MAX wait already.
 */
struct waiting_syn *queue_syn(struct syn_queue *q, service_index_t service,
			      struct syn_rank rank, struct syn_limits limits,
			      bool just_started, void *owner, uint64_t now_ms);
void remove_waiting_syn(struct syn_queue *q, struct waiting_syn *w);

/*
 * The SYN to place next: of those of SERVICE with the highest priority the
 * newest. NULL: none waits.
 */
struct waiting_syn *next_waiting_syn(const struct syn_queue *q,
				     service_index_t service);

/*
 * The SYN of SERVICE that has waited longest of those with the lowest priority.
 * NULL: none waits.
 */
struct waiting_syn *oldest_waiting_syn(const struct syn_queue *q,
				       service_index_t service);

/*
 * Whether a SYN of SERVICE with PRIORITY may not be placed yet: one with a
 * higher priority waits, or was refused less than SYN_PRIORITY_SPAN_MS ago.
 */
bool must_syn_yield(const struct syn_queue *q, service_index_t service,
		    uint32_t priority, uint64_t now_ms);

/*
 * Whether a SYN of SERVICE with PRIORITY may be refused for lack of room: none
 * with a lower priority was placed within SYN_PRIORITY_SPAN_MS.
 */
bool may_refuse_syn(const struct syn_queue *q, service_index_t service,
		    uint32_t priority, uint64_t now_ms);

/*
 * The same as decide_syn() for a SYN of SERVICE with RANK, which waits also if
 * it must yield or may not be refused yet.
 */
enum syn_verdict decide_ranked_syn(const struct syn_queue *q,
				   service_index_t service,
				   struct syn_rank rank,
				   const struct placement *best,
				   bool just_started, uint64_t now_ms);

/*
 * A SYN that is to be refused now: its caller may have left, or its service is
 * overloaded and its wait has ended or more wait than can be placed in time.
 * NULL: none.
 */
struct waiting_syn *next_syn_to_refuse(const struct syn_queue *q,
				       uint64_t now_ms);

/* Notes the arrival of a SYN of SERVICE. CROWDED: it has to wait. */
void note_syn_arrival(struct syn_queue *q, service_index_t service,
		      struct syn_rank rank, bool crowded, uint64_t now_ms);

/*
 * Share of the recent SYNs of SERVICE that do not have the lowest priority. As
 * much of the room at upstreams is reserved for them.
 */
double urgent_syn_share(const struct syn_queue *q, service_index_t service,
			uint64_t now_ms);

/*
 * Whether most recent SYNs of SERVICE with the lowest priority found all
 * upstreams crowded.
 */
bool is_service_overloaded(const struct syn_queue *q, service_index_t service,
			   uint64_t now_ms);

/*
 * A SYN of SERVICE whose wait has ended although the service is not overloaded,
 * see decide_overdue_syn(). NULL: none.
 */
struct waiting_syn *next_overdue_syn(const struct syn_queue *q,
				     service_index_t service, uint64_t now_ms);

/* Notes that this instance placed a new flow of SERVICE. */
void note_syn_placed(struct syn_queue *q, service_index_t service,
		     struct syn_rank rank, uint64_t now_ms);

/* Notes that a SYN of SERVICE was refused for lack of room. */
void note_syn_refused(struct syn_queue *q, service_index_t service,
		      uint32_t priority, uint64_t now_ms);

/* Services that have waiting SYNs are below this index. */
size_t syn_queue_service_count(const struct syn_queue *q);

/* Number of waiting SYNs of all services. */
size_t waiting_syn_count(const struct syn_queue *q);

#endif
