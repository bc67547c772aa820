#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

/*
 * Shared by the files that implement request/requests.h; internal to them.
 * The state of one request and of all, and the transitions between states.
 */

#include "request/budget.h"
#include "request/queue.h"
#include "request/requests.h"

enum request_state {
	REQUEST_CLAIMING,  /* waits for the claim of its key; nothing sent */
	REQUEST_QUEUED,	   /* waits for a slot; nothing sent */
	REQUEST_IN_FLIGHT, /* some byte may have been sent */
	REQUEST_REPLAYING  /* waits for its body, to compare the digests */
};

struct request {
	handle_t handle;
	uint64_t service;
	enum request_state state;
	uint64_t upstream; /* of the current attempt */
	bool slot_is_borrowed;
	uint64_t deadline_ms;
	uint64_t attempt_started_ms; /* start of the current attempt */
	unsigned int attempts;
	bool idempotent;
	bool has_key;
	bool needs_new_connection; /* of idempotent requests: after a stall */
	bool may_have_run;	   /* in an earlier attempt */
	bool answer_started;	   /* its answer is being relayed */
	bool caller_gone;
	bool body_read;
	uint64_t key_age_ms;
	uint64_t body_digest;
	/* For a replay, of the earlier send of the key, which ran: */
	uint64_t stored_body_digest;
	void *stored_answer;
	size_t stored_answer_len;
};

/* Admission state of one service. */
struct service_admission {
	uint64_t service;
	struct queue *queue;
	struct retry_budget budget;
};

struct requests {
	const struct view *view;
	struct counters *counters;
	struct snapshot *snapshot;
	struct handles *by_handle; /* of struct request */
	GHashTable *all;	   /* set of struct request */
	GHashTable *unqueued;	   /* set of those not in a queue */
	GHashTable *admissions;	   /* service id -> struct service_admission */
	struct slots *slots;
	struct claims *claims;
	GRand *rng;
	attempt_end_fn attempt_observer;
	void *attempt_observer_data;
};

/* request/refusals.c */

/* Appends an action of KIND for request H. */
struct request_action *add_request_action(struct request_actions *as,
					  enum request_action_kind kind,
					  handle_t h);

/* The service of RQ in the snapshot in force, or NULL. */
const struct service *service_of_request(const struct requests *rs,
					 const struct request *rq);

/* The queue and retry budget of SERVICE, created on first use. */
struct service_admission *get_or_create_admission(struct requests *rs,
						  uint64_t service);

/* Frees RQ, whose slot and claim are released already. */
void free_request(struct requests *rs, struct request *rq);

/* Ends RQ, whose slot and claim are released already, with OUTCOME. */
void refuse_request(struct requests *rs, struct request *rq,
		    enum outcome outcome, uint64_t now_ms,
		    struct request_actions *out);

/*
 * Ends RQ, which is not in flight: with "not run", or "unknown" if an earlier
 * attempt may have run.
 */
void refuse_idle_request(struct requests *rs, struct request *rq,
			 uint64_t now_ms, struct request_actions *out);

/* Ends RQ, which may have run, with "unknown". */
void refuse_with_unknown_outcome(struct requests *rs, struct request *rq,
				 uint64_t now_ms, struct request_actions *out);

/* request/attempts.c */

/*
 * Sends RQ at once if a slot is free and the queue is empty; otherwise queues
 * it. IS_RETRY: RQ was admitted before, so the queue's admission check is
 * skipped.
 */
void send_or_queue_request(struct requests *rs, struct request *rq,
			   bool is_retry, uint64_t now_ms,
			   struct request_actions *out);

/* Sends requests from the queue of SA while there are slots for them. */
void dispatch_request_queue(struct requests *rs, struct service_admission *sa,
			    uint64_t now_ms, struct request_actions *out);

/* Calls the observer, if there is one, with the end of RQ's attempt. */
void report_attempt_end(struct requests *rs, const struct request *rq,
			enum request_event_kind end_kind, uint64_t now_ms);

/* Releases the slot of RQ's current attempt. */
void end_request_attempt(struct requests *rs, struct request *rq,
			 enum slot_result result, uint64_t now_ms);

/* Ends RQ, whose answer broke off while it was being relayed. */
void abort_relayed_answer(struct requests *rs, struct request *rq,
			  uint64_t now_ms, struct request_actions *out);

/* Handles an event about RQ, which is in flight. */
void step_in_flight_request(struct requests *rs, struct request *rq,
			    const struct request_event *ev, uint64_t now_ms,
			    struct request_actions *out);

/* request/keyed-requests.c */

/* Starts the claim of the key in EV for RQ. */
void start_key_claim(struct requests *rs, struct request *rq,
		     const struct request_event *ev, uint64_t now_ms,
		     struct request_actions *out);

/* Gives up the claim of RQ, of which nothing ran. */
void abandon_request_claim(struct requests *rs, const struct request *rq,
			   uint64_t now_ms, struct request_actions *out);

/* Ends the claim of RQ in STATE and stores the answer in EV, if not NULL. */
void finish_request_claim(struct requests *rs, const struct request *rq,
			  enum key_state state, const struct request_event *ev,
			  uint64_t now_ms, struct request_actions *out);

/* Refuses RQ, whose claim was not won. */
void refuse_by_claim_decision(struct requests *rs, struct request *rq,
			      enum claim_decision decision, uint64_t now_ms,
			      struct request_actions *out);

/* Replays the stored answer once RQ's body is read and matches. */
void replay_when_body_matches(struct requests *rs, struct request *rq,
			      uint64_t now_ms, struct request_actions *out);

/* Carries out the actions in AS and releases AS. */
void apply_claim_actions(struct requests *rs, struct claim_actions *as,
			 uint64_t now_ms, struct request_actions *out);

#endif
