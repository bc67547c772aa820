#ifndef REQUEST_REQUESTS_H
#define REQUEST_REQUESTS_H

/*
 * State machine of the requests at one instance: events and the current time
 * go in, actions come out. No I/O; bodies stay with the adapter, which
 * identifies each request by its handle.
 *
 * A request is queued (nothing sent), in flight (some byte may have been sent)
 * or answered. The outcome "not run" is given only to a request that was still
 * queued, or that the upstream itself refused to run. A non-idempotent request
 * is sent again only if the upstream shed it or no byte was sent. One with an
 * idempotency key is sent only after its claim (request/claims.h) is won, and
 * then keeps running if its caller disconnects, so that a resend can get its
 * answer.
 */

#include "base/counters.h"
#include "base/handles.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "request/claims.h"
#include "request/outcome.h"
#include "request/slots.h"

#define REQUESTS_OPEN_MAX 8192	/* without an answer, per instance */
#define REQUEST_ATTEMPTS_MAX 16 /* per request */
#define RELAY_RESERVE_MS 10	/* of the deadline, for relaying the answer */

/*
 * A cancelled request occupies its upstream until the upstream notices: at most
 * for CANCEL_NOTICE_MAX_MS, and at most CANCEL_DEADLINE_SLACK_MS after the
 * request's deadline.
 */
#define CANCEL_NOTICE_MAX_MS 1000
#define CANCEL_DEADLINE_SLACK_MS 50

#define REQUEST_TICK_BUSY_MS 10
#define REQUEST_TICK_IDLE_MS 200

struct requests;

enum request_event_kind {
	REQUEST_ARRIVED,	/* complete enough to be sent to an upstream */
	REQUEST_BODY_READ,	/* its whole body has been received */
	REQUEST_CALLER_LEFT,	/* the caller disconnected before its answer */
	REQUEST_ANSWERED,	/* the upstream's whole answer was received */
	REQUEST_ANSWER_STARTED, /* part of a long answer: relay it */
	REQUEST_ANSWER_ENDED,	/* the rest of a started answer was received */
	REQUEST_SHED,		/* the upstream refused it without running it */
	REQUEST_NOT_SENT,	/* the attempt failed before a byte was sent */
	REQUEST_LOST,	     /* the attempt failed; a byte may have been sent */
	REQUEST_SILENT,	     /* a reused connection makes no progress */
	REQUEST_LOAD_REPORT, /* an upstream reported its load */
	REQUEST_PEER_MESSAGE, /* a message from a peer */
	REQUEST_TICK,	      /* at the latest after next_request_tick() */
	REQUEST_LEAVE	      /* this instance begins its graceful stop */
};

struct request_event {
	enum request_event_kind kind;
	handle_t request; /* of events about one request */
	/* of REQUEST_ARRIVED: */
	uint64_t service;
	bool idempotent;      /* may run more than once */
	bool has_key;	      /* the fields about the key are set */
	uint32_t deadline_ms; /* from now; 0: the service's; never longer */
	struct request_key key;
	uint64_t key_age_ms;	 /* since first sent; or KEY_AGE_UNKNOWN */
	uint64_t request_digest; /* of the head and the body received so far */
	/* of REQUEST_BODY_READ: hash of the whole body */
	uint64_t body_digest;
	/* of events that end an attempt: the body can be sent again */
	bool body_repeatable;
	bool connection_reused; /* of REQUEST_LOST: the connection was reused */
	/* of REQUEST_ANSWERED: the answer, encoded by the adapter for storing;
	 * of REQUEST_PEER_MESSAGE: the message */
	const void *data;
	size_t len;
	/* of REQUEST_LOAD_REPORT: */
	uint64_t upstream;
	uint32_t running;
	uint32_t slots;
};

enum request_action_kind {
	/* send it to UPSTREAM at ADDRESS; ends an attempt that is still
	 * running */
	REQUEST_ATTEMPT,
	REQUEST_RELAY,	/* pass the upstream's answer on */
	REQUEST_REPLAY, /* answer with DATA, stored from the first send */
	REQUEST_REFUSE, /* answer OUTCOME; end the attempt if there is one */
	REQUEST_DISCARD_BODY, /* read the rest of the body and discard it */
	REQUEST_CUT,	/* a relayed answer broke off: disconnect the caller */
	REQUEST_CANCEL, /* the caller disconnected: end the attempt */
	REQUEST_SEND_PEER /* send DATA, LEN to the peer at ADDRESS */
};

struct request_action {
	enum request_action_kind kind;
	handle_t request;
	uint64_t upstream;
	struct endpoint address;
	uint32_t timeout_ms; /* of REQUEST_ATTEMPT: deadline for the upstream */
	bool needs_new_connection; /* on a new connection only */
	bool is_final; /* the request is over; its handle is invalid */
	enum outcome outcome;
	uint32_t retry_after_ms; /* of a refusal */
	void *data;		 /* owned by the list */
	size_t len;
};

/* A growing list of actions; release it between events. */
struct request_actions {
	struct request_action *items;
	size_t nr;
	size_t alloc;
};
void release_request_actions(struct request_actions *as);

struct request_options {
	uint32_t seed;	      /* of the random generator */
	uint64_t incarnation; /* random at each start */
	bool only_member;     /* no other instance is configured */
	enum slot_policy policy;
};

/* COUNTERS and VIEW outlive the requests. */
struct requests *create_requests(const struct view *view,
				 struct counters *counters,
				 const struct request_options *options,
				 uint64_t now_ms);
void destroy_requests(struct requests *rs);

/* Puts SN in force and takes a reference to it. */
void set_request_snapshot(struct requests *rs, const struct snapshot *sn,
			  uint64_t now_ms);

/* Takes the upstreams' limits from FN instead of their states in the view. */
void set_request_slot_limit(struct requests *rs, slot_limit_fn fn, void *data);

/*
 * Calls FN at the end of each attempt with the upstream, the event that ended
 * it, and its duration. Attempts ended because of the caller or of a reused
 * connection are not reported, since they say nothing about the upstream.
 */
typedef void (*attempt_end_fn)(uint64_t service, uint64_t upstream,
			       enum request_event_kind how, uint64_t took_ms,
			       uint64_t now_ms, void *data);
void set_attempt_observer(struct requests *rs, attempt_end_fn fn, void *data);

/*
 * Handles EV at NOW_MS and appends the resulting actions to OUT. Returns the
 * handle of a request that arrived; 0 for other events, and if
 * REQUESTS_OPEN_MAX are open already.
 */
handle_t step_requests(struct requests *rs, const struct request_event *ev,
		       uint64_t now_ms, struct request_actions *out);

/* Longest time until the next REQUEST_TICK, in ms. */
uint64_t next_request_tick(const struct requests *rs);

/* Number of requests that have no final answer yet. */
size_t open_request_count(const struct requests *rs);

#endif
