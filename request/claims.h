#ifndef REQUEST_CLAIMS_H
#define REQUEST_CLAIMS_H

/*
 * Claims of idempotency keys: before a non-idempotent request with a key is
 * sent to an upstream, its instance claims the key at the key's replicas
 * (request/key-replicas.h). The claim is won if a majority of them knows no
 * other claim of the key and cannot have forgotten one. The owner of the
 * winning claim stores the answer; a resend finds it through any replica.
 * Events and the current time go in, actions come out; no I/O.
 *
 * Messages may be lost, duplicated or delayed. A claim without a majority is
 * released; a replica whose record is of a claim that never ran drops it when
 * the claim's owner says so.
 */

#include "base/handles.h"
#include "request/claim-wire.h"

#define CLAIM_VOTE_TIMEOUT_MS 400
#define CLAIM_RESEND_INTERVAL_MS 100 /* of vote and fetch requests */
#define CLAIM_FETCH_TIMEOUT_MS 400   /* for the state of another claim */

#define KEY_AGE_UNKNOWN UINT64_MAX
#define KEY_AGE_SLACK_MS 1000 /* added to the age that a caller states */

#define STORED_ANSWERS_MAX_BYTES (16 * 1024 * 1024) /* per instance */

enum claim_decision {
	CLAIM_WON,		/* the request may be sent, once */
	CLAIM_FAILED,		/* no majority, and no other claim is known */
	CLAIM_HELD_IN_PROGRESS, /* another send of the key is running */
	CLAIM_HELD_UNKNOWN,	/* another send of the key may have run */
	CLAIM_HELD_DONE,	/* another send of the key was answered */
	CLAIM_KEY_REUSED	/* the key belongs to a different request */
};

enum claim_action_kind {
	CLAIM_SEND,   /* send DATA, LEN to the peer at TO */
	CLAIM_DECIDED /* the claim of REQUEST ended in DECISION */
};

struct claim_action {
	enum claim_action_kind kind;
	struct endpoint to;
	void *data; /* message or stored answer, or NULL; owned by the list */
	size_t len;
	handle_t request;
	enum claim_decision decision;
	uint64_t body_digest; /* of CLAIM_HELD_DONE: of the answered send */
};

struct claim_actions {
	struct claim_action *items;
	size_t nr;
	size_t alloc;
};
void release_claim_actions(struct claim_actions *as);

struct claims;

/*
 * Claims of the instance that owns VIEW. INCARNATION is random at each start.
 * ONLY_MEMBER: no other instance is configured.
 */
struct claims *create_claims(const struct view *view, uint64_t incarnation,
			     bool only_member, uint64_t now_ms);
void destroy_claims(struct claims *cs);

struct claim_request {
	handle_t request;
	struct request_key key;
	uint64_t request_digest;
	uint64_t key_age_ms; /* since the first send; 0: this is the first */
};

/* Starts a claim; CLAIM_DECIDED follows, in OUT or in that of a later call. */
void begin_claim(struct claims *cs, const struct claim_request *cr,
		 uint64_t now_ms, struct claim_actions *out);

/* Gives up the claim of a request that never ran. */
void abandon_claim(struct claims *cs, handle_t request, uint64_t now_ms,
		   struct claim_actions *out);

/*
 * Ends the won claim of REQUEST: STATE is KEY_DONE or KEY_UNKNOWN. ANSWER, of
 * LEN bytes, is stored for resends unless it is NULL or longer than
 * STORED_ANSWER_MAX_BYTES.
 */
void finish_claim(struct claims *cs, handle_t request, enum key_state state,
		  uint64_t body_digest, const void *answer, size_t len,
		  uint64_t now_ms, struct claim_actions *out);

/* Handles a message from a peer; false if it is malformed. */
bool handle_claim_message(struct claims *cs, const void *data, size_t len,
			  uint64_t now_ms, struct claim_actions *out);

void tick_claims(struct claims *cs, uint64_t now_ms, struct claim_actions *out);

/* Starts the graceful stop of this instance: it grants no more claims. */
void leave_claims(struct claims *cs, uint64_t now_ms);

/* Number of claims that are not decided yet. */
size_t undecided_claim_count(const struct claims *cs);

/* Number of keys that this instance has records of, as a replica. */
size_t replicated_key_count(const struct claims *cs);

#endif
