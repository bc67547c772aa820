#ifndef REQUEST_REQUESTS_H
#define REQUEST_REQUESTS_H

/*
 * The life of requests at one instance: events and the present time go in,
 * actions come out. No I/O; bodies stay with the adapter, which knows each
 * request by its handle.
 *
 * A request is queued (nothing sent), offered (some byte may have been sent)
 * or answered. Only from queued, or when the upstream itself says so, may it
 * be called "not run". A non-idempotent request is offered again only after
 * the upstream shed it or no byte was sent; with an idempotency key it is
 * offered only once its claim (request/claims.h) is won, and then also runs
 * on when its caller leaves, so that a resend finds its answer.
 */

#include "base/counters.h"
#include "base/handles.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "request/claims.h"
#include "request/outcome.h"
#include "request/slots.h"

#define REQUESTS_OPEN_MAX 8192 /* without an answer, at one instance */
#define OFFERS_MAX 16	       /* of one request */
#define HOP_MS 10 /* of the deadline, kept for the way back to the caller */
#define CANCEL_SEEN_MS 1000 /* by when an upstream notices a cancellation */
#define CANCEL_SLACK_MS 50  /* the same, after the deadline that it knows */
#define REQUEST_TICK_BUSY_MS 10
#define REQUEST_TICK_IDLE_MS 200

struct requests;

enum request_event_kind {
	REQUEST_ARRIVED,     /* it may be offered as soon as a slot is free */
	REQUEST_BODY_READ,   /* the caller has sent its whole body */
	REQUEST_CALLER_LEFT, /* the caller closed before its answer */
	REQUEST_ANSWERED,    /* the upstream's whole answer is there */
	REQUEST_BEGUN,	     /* a long answer is there in part; relay it */
	REQUEST_ENDED,	     /* a begun answer is whole */
	REQUEST_SHED,	     /* the upstream says that it did not run it */
	REQUEST_NOT_SENT,    /* offering failed before a byte was sent */
	REQUEST_LOST,	     /* offering failed after a byte may have left */
	REQUEST_SILENT,	     /* a reused connection makes no progress */
	REQUEST_LOAD,	     /* an upstream reported its load */
	REQUEST_PEER,	     /* a message from a peer */
	REQUEST_TICK,	     /* at least every next_request_tick() */
	REQUEST_LEAVE	     /* this instance begins its graceful stop */
};

struct request_event {
	enum request_event_kind kind;
	handle_t request; /* of those about one request */
	/* of REQUEST_ARRIVED: */
	uint64_t service;
	bool idempotent;      /* may be offered again */
	bool has_key;	      /* KEY, AGE_MS and DIGEST are set */
	uint32_t deadline_ms; /* from now; 0: the service's own */
	struct request_key key;
	uint64_t age_ms; /* of the key, KEY_AGE_UNKNOWN if not stated */
	uint64_t digest; /* of the head and what was read of the body */
	/* of REQUEST_BODY_READ: hash of the body */
	uint64_t body_digest;
	/* of events that end an offer: the body can be sent again */
	bool repeatable;
	bool reused; /* of REQUEST_LOST: on a connection used before */
	/* of REQUEST_ANSWERED and REQUEST_PEER: the answer as the adapter
	 * encodes it to be kept, or the message */
	const void *data;
	size_t len;
	/* of REQUEST_LOAD: */
	uint64_t upstream;
	uint32_t running;
	uint32_t slots;
};

enum request_action_kind {
	REQUEST_OFFER, /* send it to UPSTREAM at ADDRESS; FRESH: on a connection
			* not used before; ends an offer that still runs */
	REQUEST_RELAY, /* pass the upstream's answer on */
	REQUEST_REPLAY,	  /* answer with DATA, kept from the first send */
	REQUEST_REFUSE,	  /* answer OUTCOME; drop the offer if there is one */
	REQUEST_READ_ON,  /* read the body to its end without keeping it */
	REQUEST_CUT,	  /* a begun answer broke off: close to the caller */
	REQUEST_CANCEL,	  /* the caller is gone: drop the offer */
	REQUEST_SEND_PEER /* send DATA, LEN to the peer at ADDRESS */
};

struct request_action {
	enum request_action_kind kind;
	handle_t request;
	uint64_t upstream;
	struct endpoint address;
	uint32_t timeout_ms; /* of an offer: the deadline for the upstream */
	bool fresh;
	bool ends; /* the request has its final answer after this */
	enum outcome outcome;
	uint32_t retry_after_ms; /* of a refusal: when to come back */
	void *data;		 /* owned by the list */
	size_t len;
};

/* A growing list of actions, cleared by the caller between events. */
struct request_actions {
	struct request_action *at;
	size_t nr;
	size_t alloc;
};
void release_request_actions(struct request_actions *as);

struct request_options {
	uint32_t seed;	      /* of random choices */
	uint64_t incarnation; /* random at each start */
	bool alone;	      /* no other instance was named to this one */
	enum slot_policy policy;
};

/* COUNTERS and VIEW outlive the requests. */
struct requests *create_requests(const struct view *view,
				 struct counters *counters,
				 const struct request_options *options,
				 uint64_t now_ms);
void destroy_requests(struct requests *rs);

/* Puts SN in force; the requests take a reference. */
void set_request_snapshot(struct requests *rs, const struct snapshot *sn,
			  uint64_t now_ms);

/* Asks FN what upstreams bear, in place of the states in the view. */
void set_request_limit(struct requests *rs, slot_limit_fn fn, void *data);

/*
 * Calls FN with each offer that ended: the upstream, how, and the time it
 * took. Offers given up for reasons of the caller or of a connection are left
 * out, since they say nothing about the upstream.
 */
typedef void (*offer_end_fn)(uint64_t service, uint64_t upstream,
			     enum request_event_kind how, uint64_t took_ms,
			     uint64_t now_ms, void *data);
void set_offer_observer(struct requests *rs, offer_end_fn fn, void *data);

/*
 * Takes EV at NOW_MS and appends what to do to OUT. Returns the handle of a
 * request that arrived, 0 for other events and when no more can be open.
 */
handle_t step_requests(struct requests *rs, const struct request_event *ev,
		       uint64_t now_ms, struct request_actions *out);

/* Longest time until the next REQUEST_TICK. */
uint64_t next_request_tick(const struct requests *rs);

/* Requests that have no final answer yet. */
size_t open_request_nr(const struct requests *rs);

#endif
