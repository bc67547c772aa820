#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

/*
 * What the files behind request/requests.h share: the state of one request
 * and of all, and the steps that lead from one state to another.
 */

#include "request/budget.h"
#include "request/queue.h"
#include "request/requests.h"

enum request_state {
	REQUEST_CLAIMING, /* waits for its key; nothing sent */
	REQUEST_QUEUED,	  /* waits for a slot; nothing sent */
	REQUEST_OFFERED,  /* some byte may have been sent */
	REQUEST_REPLAYING /* waits for its body, to compare it with the first */
};

struct request {
	handle_t handle;
	uint64_t service;
	enum request_state state;
	uint64_t upstream; /* offered to */
	bool loan;	   /* in a slot that was borrowed */
	uint64_t deadline; /* ms */
	uint64_t offered;  /* ms, of the present offer */
	unsigned int offers;
	bool idempotent;
	bool has_key;
	bool fresh;	   /* only on a connection not used before */
	bool may_have_run; /* in an earlier offer */
	bool begun;	   /* its answer is being relayed */
	bool caller_gone;
	bool body_read;
	uint64_t age_ms;
	uint64_t body_digest;
	uint64_t first_digest; /* of the body of the send that ran */
	void *kept;	       /* the answer that it got */
	size_t kept_len;
};

/* What is kept for each service. */
struct service_load {
	uint64_t id;
	struct queue *queue;
	struct retry_budget budget;
};

struct requests {
	const struct view *view;
	struct counters *counters;
	struct snapshot *snapshot;
	struct handles *open; /* of struct request */
	GHashTable *all;      /* the same, as a set */
	GHashTable *timed;    /* those that wait, but not in a queue */
	GHashTable *loads;    /* service id -> struct service_load */
	struct slots *slots;
	struct claims *claims;
	GRand *rng;
	offer_end_fn observe;
	void *observe_data;
};

/* request/ending.c */

/* Appends an action of KIND for request H. */
struct request_action *add_request_action(struct request_actions *as,
					  enum request_action_kind kind,
					  handle_t h);

/* The service of RQ in the snapshot in force, or NULL. */
const struct service *service_of_request(const struct requests *rs,
					 const struct request *rq);

/* The queue and retry budget of SERVICE, made on first use. */
struct service_load *service_load_of(struct requests *rs, uint64_t service);

/* Forgets RQ; its slot and its claim are settled already. */
void free_request(struct requests *rs, struct request *rq);

/* Ends RQ with OUTCOME. Its slot and its claim are settled already. */
void refuse_request(struct requests *rs, struct request *rq,
		    enum outcome outcome, uint64_t now_ms,
		    struct request_actions *out);

/* Ends RQ, which is not offered now. */
void refuse_unsent(struct requests *rs, struct request *rq, uint64_t now_ms,
		   struct request_actions *out);

/* Ends RQ, which may have run. */
void refuse_unknown(struct requests *rs, struct request *rq, uint64_t now_ms,
		    struct request_actions *out);

/* request/offers.c */

/*
 * Offers RQ at once if a slot is free and nobody waits; queues it else. AGAIN:
 * it was offered before, so that it is not judged as a newcomer.
 */
void enter_request(struct requests *rs, struct request *rq, bool again,
		   uint64_t now_ms, struct request_actions *out);

/* Offers what the queue of L holds, as long as there are slots for it. */
void pump_request_queue(struct requests *rs, struct service_load *l,
			uint64_t now_ms, struct request_actions *out);

/* Tells the observer, if there is one, how the offer of RQ ended. */
void observe_offer_end(struct requests *rs, const struct request *rq,
		       enum request_event_kind how, uint64_t now_ms);

/* Gives the slot of RQ's present offer back. */
void end_request_offer(struct requests *rs, struct request *rq,
		       enum slot_end end, uint64_t now_ms);

/* Ends RQ, whose answer broke off while it was relayed. */
void cut_request_answer(struct requests *rs, struct request *rq,
			uint64_t now_ms, struct request_actions *out);

/* Takes an event about RQ, which is offered. */
void step_offered_request(struct requests *rs, struct request *rq,
			  const struct request_event *ev, uint64_t now_ms,
			  struct request_actions *out);

/* request/keyed.c */

/* Asks the keepers of the key in EV for RQ. */
void claim_key(struct requests *rs, struct request *rq,
	       const struct request_event *ev, uint64_t now_ms,
	       struct request_actions *out);

/* The claim of RQ will not be used: nothing of it ran. */
void give_claim_up(struct requests *rs, const struct request *rq,
		   uint64_t now_ms, struct request_actions *out);

/* The claim of RQ ended in STATE, with the answer in EV if there is one. */
void settle_claim(struct requests *rs, const struct request *rq,
		  enum key_state state, const struct request_event *ev,
		  uint64_t now_ms, struct request_actions *out);

/* The key of RQ is held, or nothing can be learnt of it. */
void refuse_claim(struct requests *rs, struct request *rq, enum claim_end end,
		  uint64_t now_ms, struct request_actions *out);

/* Gives RQ the first send's answer, once its body is known to be the same. */
void try_request_replay(struct requests *rs, struct request *rq,
			uint64_t now_ms, struct request_actions *out);

/* Carries out what the claims ask for, and releases AS. */
void take_claim_actions(struct requests *rs, struct claim_actions *as,
			uint64_t now_ms, struct request_actions *out);

#endif
