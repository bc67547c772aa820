#ifndef FLOW_COOKIE_STATE_H
#define FLOW_COOKIE_STATE_H

/* Private to flow/cookie*.c. */

#include "flow/cookie.h"
#include "flow/split-flows.h"
#include "flow/syn-queue.h"

enum flow_phase {
	PHASE_OPENING, /* no sign yet that the upstream answered the SYN */
	PHASE_OPEN,
	PHASE_CLOSING /* the caller has sent a FIN or RST */
};

/* A SYN that waits for room at an upstream. */
struct held_syn {
	struct cookie_packet packet;
	uint8_t datagram[COOKIE_SYN_DATAGRAM_MAX];
	struct waiting_syn *place; /* in the queue */
	uint64_t sent_ms; /* the earliest that its caller may have sent it */
};

/* The packet of a flow that its caller repeats, the first one that is missing. */
struct repeated_packet {
	uint32_t seq;
	uint32_t repeat_nr; /* repeats of it, in a row; 0: there is none */
	/*
	 * the earliest transmission of it after which its upstream showed no
	 * life, or a little later
	 */
	uint64_t sent_ms;
	uint64_t followed_ms; /* when a later one was sent; 0: none was */
	uint64_t repeated_ms; /* the last repeat */
	bool moved_on;	      /* the caller repeated earlier ones before */
};

struct cookie_flow {
	struct flow_key key;
	struct held_syn *held_syn;	   /* NULL: its SYN does not wait */
	struct cookie_flow *upstream_next; /* flows of the same upstream */
	struct cookie_flow *upstream_prev;
	struct cookie_flow *caller_next; /* flows of the same caller */
	struct cookie_flow *caller_prev;
	upstream_index_t upstream;
	upstream_index_t syn_upstreams[COOKIE_SYN_UPSTREAMS_MAX];
	uint8_t syn_upstream_nr; /* upstreams that the SYN was sent to */
	enum flow_phase phase;
	bool upstream_known;	  /* the flow is open at its upstream */
	bool may_be_split;	  /* others may have got its SYN */
	bool route_known;	  /* its route was in force here at a time */
	bool saw_syn;		  /* FIRST_SEQ is that of the first byte */
	uint32_t first_seq;	  /* of the first byte that was seen of it */
	uint32_t first_cookie;	  /* of its first packet that is no SYN */
	bool request_pending;	  /* a request was sent and not answered yet */
	bool request_unseen;	  /* its end was not seen in time */
	struct flow_load load;	  /* counted at the upstream */
	guint pending_at;	  /* index in pending_flows, if it is listed */
	bool is_listed;		  /* in pending_flows */
	uint32_t caller_next_seq; /* follows the last byte sent by the caller */
	uint32_t caller_ack;	  /* last acknowledgment number of the caller */
	struct repeated_packet repeated;
	uint32_t deadline_ms;	  /* longest time that a request may take */
	uint64_t added_ms;	  /* when its first packet came here */
	uint64_t syn_ms;	  /* when the SYN was sent to the upstream */
	uint64_t request_sent_ms; /* of its first transmission */
	uint32_t request_ack;	  /* caller_ack then */
	/* from the request to the response; 0: none, or its size is noted */
	uint64_t response_ms;
	double request_load; /* of its upstream then, for each slot */
	uint64_t last_packet_ms;
};

/* A SYN that was forwarded and whose handshake is not known complete. */
struct pending_handshake {
	struct flow_key key;
	uint64_t syn_ms;
};

struct cookie_steering {
	const struct catalog *catalog;
	struct placer *placer;
	struct counters *counters;
	GHashTable *flows;	      /* flow key -> struct cookie_flow */
	GPtrArray *flows_by_upstream; /* list heads, indexed by upstream */
	GHashTable *flows_by_caller;  /* caller's IP address -> list head */
	GArray *pending_handshakes;   /* oldest first */
	GPtrArray *pending_flows;     /* struct cookie_flow that open or wait */
	uint64_t weights_updated_ms;
	struct syn_queue *syn_queue; /* owners: struct cookie_flow */
	struct split_flows *split_flows;
	bool isolated;		    /* see set_cookie_isolated() */
	bool routes_behind;	    /* see set_cookie_routes_behind() */
	bool splits_known;	    /* see set_cookie_splits_known() */
	bool marks_cookies;	    /* see set_cookie_marks() */
	uint64_t routes_current_ms; /* see note_routes_current() */
	/* when the first flow came whose route is unknown; 0: there is none */
	uint64_t unknown_route_ms;
	uint64_t first_packet_ms; /* 0: no packet was received yet */
	uint64_t last_sweep_ms;
	uint64_t last_tick_ms;
	/* from a forwarded SYN to the caller's next packet */
	struct histogram handshake_histogram; /* ms */
	double mean_handshake_ms;	      /* running mean */
};

/* Makes F a flow of upstream NR, also in the load of NR. */
void assign_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f,
			upstream_index_t nr);

/* Removes F from its upstream, if it has one. */
void unassign_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f);
struct cookie_flow *find_cookie_flow(const struct cookie_steering *cs,
				     const struct flow_key *key);

/* Head of the list of the caller's flows (caller_next); NULL if empty. */
struct cookie_flow *first_flow_of_caller(const struct cookie_steering *cs,
					 uint32_t ip);

/*
 * Adds the flow that P belongs to, without an upstream. NULL if there are
 * COOKIE_FLOWS_MAX flows already.
 */
struct cookie_flow *add_cookie_flow(struct cookie_steering *cs,
				    const struct cookie_packet *p,
				    const struct catalog_route *route,
				    uint64_t now_ms);
void remove_cookie_flow(struct cookie_steering *cs, struct cookie_flow *f);

/* Removes the SYN of F from the queue, if it waits. */
void cancel_held_syn(struct cookie_steering *cs, struct cookie_flow *f);

/*
 * True if the upstream NR of flow KEY is behind a cut link, and a request on
 * the flow may be repeated and placed elsewhere.
 */
bool is_better_repeated(const struct cookie_steering *cs,
			const struct flow_key *key, upstream_index_t nr,
			uint64_t now_ms);

/* Longest handshake that does not make its upstream suspect. */
uint64_t handshake_limit_ms(const struct cookie_steering *cs);

/* The SYN of F was sent to its upstream. */
void start_flow_load(struct cookie_steering *cs, struct cookie_flow *f);

/* F, whose upstream is known, sends a request at NOW_MS. */
void start_request(struct cookie_steering *cs, struct cookie_flow *f,
		   uint64_t now_ms);

/* The upstream of F sent data that P acknowledges. */
void observe_answer(struct cookie_steering *cs, struct cookie_flow *f,
		    const struct cookie_packet *p, uint64_t now_ms);

/* F is idle, or its caller has ended it. */
void end_flow_load(struct cookie_steering *cs, struct cookie_flow *f);

/* P repeats data of F, which is open. */
void observe_repeat(struct cookie_steering *cs, struct cookie_flow *f,
		    const struct cookie_packet *p, uint64_t now_ms);

/* The caller of F sends data for the first time. */
void observe_new_data(struct cookie_flow *f, uint64_t now_ms);

/* The upstream of F has answered. */
void forget_repeats(struct cookie_flow *f);

/* Appends the reset of F to RESETS, unless its caller has ended it. */
void add_cookie_reset(struct cookie_flow *f, enum cookie_reason reason,
		      uint64_t now_ms, GArray *resets);

/* Updates the weights of all pending requests and of opening flows. */
void update_flow_loads(struct cookie_steering *cs, uint64_t now_ms);

/* Identifies the route of a flow for comparing responses. */
uint64_t route_key(const struct flow_key *key);

/*
 * Notes the size of the last response of F if it has ended: with the next
 * request, the caller's FIN, or a pause.
 */
void note_response_end(struct cookie_steering *cs, struct cookie_flow *f,
		       uint64_t now_ms);

#endif
