#ifndef REQUEST_CLAIM_WIRE_H
#define REQUEST_CLAIM_WIRE_H

/* Messages between instances about idempotency keys, and their encoding. */

#include "base/wire.h"
#include "request/key-records.h"

#define STORED_ANSWER_MAX_BYTES 16384 /* bytes of one encoded answer */

enum claim_message_kind {
	CLAIM_HELLO,	 /* MEMBER, the sender, has started */
	CLAIM_HELLO_ACK, /* the sender received the hello of that incarnation */
	CLAIM_VOTE_REQUEST, /* requests a vote: may the sender run KEY? */
	CLAIM_VOTE,	    /* the answer to CLAIM_VOTE_REQUEST */
	CLAIM_RELEASE,	    /* CLAIM of KEY will never run */
	CLAIM_RESULT,	    /* CLAIM of KEY ended in STATE */
	CLAIM_FETCH,	    /* requests the state of CLAIM of KEY */
	CLAIM_FETCH_REPLY,  /* the answer to CLAIM_FETCH */
	CLAIM_MESSAGE_NR
};

enum claim_vote {
	VOTE_GRANTED,	/* recorded; no other claim in the required history */
	VOTE_UNCERTAIN, /* recorded; an earlier claim may have been forgotten */
	VOTE_HELD,	/* by another claim: HELD_BY, STATE, REQUEST_DIGEST */
	VOTE_REFUSED,	/* other replicas chosen, leaving, or table full */
	VOTE_NR
};

struct claim_message {
	enum claim_message_kind kind;
	uint64_t sender; /* member id */
	struct request_key key;
	struct claim_id claim;
	/* of CLAIM_HELLO: */
	struct member member;
	/* of CLAIM_HELLO_ACK: */
	uint64_t candidates_digest; /* of the sender's replica candidates */
	/* of CLAIM_VOTE_REQUEST: */
	struct endpoint reply_to;
	uint64_t request_digest;
	uint64_t required_history_ms;
	struct key_replica_group replicas;
	/* of CLAIM_VOTE: */
	enum claim_vote vote;
	struct claim_id held_by;
	/* of CLAIM_VOTE, CLAIM_RESULT and CLAIM_FETCH_REPLY: */
	enum key_state state;
	/* of CLAIM_FETCH_REPLY: */
	bool found;
	uint64_t body_digest;
	const void *answer; /* NULL: not stored */
	size_t answer_len;
};

void encode_claim_message(struct wire_writer *w, const struct claim_message *m);

/*
 * Fills M from R; false if it is malformed. M->answer points into the message
 * that R reads.
 */
bool decode_claim_message(struct wire_reader *r, struct claim_message *m);

#endif
