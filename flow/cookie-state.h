#ifndef FLOW_COOKIE_STATE_H
#define FLOW_COOKIE_STATE_H

/* What flow/cookie.c and flow/cookie-flows.c share; for no one else. */

#include "flow/cookie.h"

enum flow_phase {
	PHASE_OPENING, /* no answer of the upstream was seen */
	PHASE_OPEN,
	PHASE_CLOSING /* the caller has sent its last byte */
};

struct flow {
	struct flow_key key;
	struct flow *next; /* flows of the same upstream */
	struct flow *prev;
	struct flow *caller_next; /* flows of the same caller */
	struct flow *caller_prev;
	upstream_nr_t upstream;
	upstream_nr_t tried[COOKIE_TRIED_MAX]; /* got the SYN */
	uint8_t tried_nr;
	enum flow_phase phase;
	bool waiting;	      /* a request has no answer yet */
	uint32_t seq_end;     /* behind the last byte that the caller sent */
	uint32_t ack;	      /* last acknowledgement of the caller */
	uint32_t deadline_ms; /* longest a request may take */
	uint64_t syn_ms;      /* when the upstream got the SYN */
	uint64_t sent_ms;     /* when the request was sent first */
	uint64_t seen_ms;
};

/* A SYN that was passed on; its handshake should end soon. */
struct opening {
	struct flow_key key;
	uint64_t syn_ms;
};

struct cookie_steering {
	const struct catalog *cat;
	struct placing *placing;
	struct counters *counters;
	GHashTable *flows;	/* of struct flow */
	GPtrArray *of_upstream; /* first struct flow, by handle */
	GHashTable *of_caller;	/* caller's address -> first struct flow */
	GArray *opening;	/* of struct opening, oldest first */
	uint64_t first_ms;	/* when the first packet came; 0: none has */
	uint64_t swept_ms;
	uint64_t ticked_ms;
	struct histogram handshakes; /* ms */
	double handshake_ms;	     /* mean from SYN to the next packet */
};

/* Counts F as a flow of upstream NR. */
void link_cookie_flow(struct cookie_steering *cs, struct flow *f,
		      upstream_nr_t nr);

/* Takes F from its upstream, if it has one. */
void unlink_cookie_flow(struct cookie_steering *cs, struct flow *f);
struct flow *find_cookie_flow(const struct cookie_steering *cs,
			      const struct flow_key *key);

/* The caller's flows, by caller_next; NULL if there is none. */
struct flow *first_flow_of_caller(const struct cookie_steering *cs,
				  uint32_t ip);

/* A new flow of P, without upstream; NULL if there are too many. */
struct flow *add_cookie_flow(struct cookie_steering *cs,
			     const struct cookie_packet *p,
			     const struct catalog_route *route,
			     uint64_t now_ms);
void remove_cookie_flow(struct cookie_steering *cs, struct flow *f);

/* The request of F, if one waits, is over. */
void end_cookie_request(struct cookie_steering *cs, struct flow *f);

#endif
