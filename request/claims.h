#ifndef REQUEST_CLAIMS_H
#define REQUEST_CLAIMS_H

/*
 * Claims of idempotency keys: before a non-idempotent request with a key is
 * offered to an upstream, its instance claims the key at the key's keepers
 * (request/key-keepers.h) and needs a majority that neither knows another claim
 * nor may have forgotten one. The instance that won keeps the answer; a
 * resend finds it through any keeper. Events and the present time go in,
 * actions come out.
 *
 * Everything may be lost, doubled or late; a claim that got no majority is
 * released, and a keeper that knows of one which never ran learns so from its
 * owner.
 */

#include "base/handles.h"
#include "request/claim-wire.h"

#define CLAIM_WAIT_MS 400   /* for the votes */
#define CLAIM_RESEND_MS 100 /* to keepers that have not voted */
#define FETCH_WAIT_MS 400   /* for the owner of a claim to tell its end */

#define KEY_AGE_UNKNOWN UINT64_MAX
#define KEY_AGE_SLACK_MS 1000 /* added to the age that a caller states */

#define KEPT_ANSWERS_MAX (16 * 1024 * 1024) /* bytes, of one instance */

enum claim_end {
	CLAIM_WON,	    /* the request may be offered, once */
	CLAIM_FAILED,	    /* no majority; nothing is known of the key */
	CLAIM_HELD_OPEN,    /* another send of it runs */
	CLAIM_HELD_UNKNOWN, /* another send of it may have run */
	CLAIM_HELD_DONE,    /* another send of it was answered */
	CLAIM_KEY_REUSED    /* another request holds the key */
};

enum claim_action_kind {
	CLAIM_SEND,   /* send DATA, LEN to the peer at TO */
	CLAIM_DECIDED /* the claim of REQUEST ended in END */
};

struct claim_action {
	enum claim_action_kind kind;
	struct endpoint to;
	void *data; /* to send, or the kept answer, or NULL; owned by the list */
	size_t len;
	handle_t request;
	enum claim_end end;
	uint64_t body_digest; /* of CLAIM_HELD_DONE */
};

struct claim_actions {
	struct claim_action *at;
	size_t nr;
	size_t alloc;
};
void release_claim_actions(struct claim_actions *as);

struct claims;

/*
 * Claims of the instance that owns VIEW. INCARNATION is random at each start.
 * ALONE: no other instance was ever named to it.
 */
struct claims *create_claims(const struct view *view, uint64_t incarnation,
			     bool alone, uint64_t now_ms);
void destroy_claims(struct claims *cs);

struct claim_request {
	handle_t request;
	struct request_key key;
	uint64_t digest; /* of the request */
	uint64_t age_ms; /* since the caller's first send, 0 for the first */
};

/* Begins to claim; CLAIM_DECIDED follows, perhaps in OUT at once. */
void begin_claim(struct claims *cs, const struct claim_request *cr,
		 uint64_t now_ms, struct claim_actions *out);

/* The request, never offered or never run, gives its claim up. */
void drop_claim(struct claims *cs, handle_t request, uint64_t now_ms,
		struct claim_actions *out);

/*
 * The request that won ended: STATE is KEY_DONE or KEY_UNKNOWN. ANSWER, of
 * LEN bytes, is kept if it is not over KEPT_ANSWER_MAX.
 */
void end_claim(struct claims *cs, handle_t request, enum key_state state,
	       uint64_t body_digest, const void *answer, size_t len,
	       uint64_t now_ms, struct claim_actions *out);

/* A message from a peer; false if it is malformed. */
bool take_claim_message(struct claims *cs, const void *data, size_t len,
			uint64_t now_ms, struct claim_actions *out);

void tick_claims(struct claims *cs, uint64_t now_ms, struct claim_actions *out);

/* This instance stops; it grants nothing more. */
void leave_claims(struct claims *cs, uint64_t now_ms);

/* Claims that are not decided yet. */
size_t undecided_claim_nr(const struct claims *cs);

/* Keys that this instance keeps for the fleet. */
size_t kept_key_nr(const struct claims *cs);

#endif
