#ifndef REQUEST_CLAIM_WIRE_H
#define REQUEST_CLAIM_WIRE_H

/* Messages about idempotency keys between instances, and their encoding. */

#include "base/wire.h"
#include "request/key-records.h"

#define KEPT_ANSWER_MAX 16384 /* bytes of one encoded answer */

enum claim_message_kind {
	CLAIM_HELLO,	 /* the sender started: member */
	CLAIM_HELLO_ACK, /* the sender knows of that: members, incarnation */
	CLAIM_ASK,	 /* may the sender run key? */
	CLAIM_VOTE,	 /* the answer to CLAIM_ASK */
	CLAIM_RELEASE,	 /* claim of key will never run */
	CLAIM_RESULT,	 /* claim of key ended in state */
	CLAIM_FETCH,	 /* how did claim of key end? */
	CLAIM_FETCHED,	 /* the answer to CLAIM_FETCH */
	CLAIM_MESSAGE_NR
};

enum claim_vote {
	VOTE_GRANTED,  /* recorded; no earlier claim in the age asked for */
	VOTE_DOUBTFUL, /* recorded; an earlier claim may be forgotten */
	VOTE_HELD,     /* another claim has it: held, state, digest */
	VOTE_REFUSED,  /* other keepers in mind, leaving, or full */
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
	uint64_t members; /* key_keepers_digest() of the sender */
	/* of CLAIM_ASK: */
	struct endpoint reply_to;
	uint64_t digest;
	uint64_t age_ms;
	struct keeper_group group;
	/* of CLAIM_VOTE: */
	enum claim_vote vote;
	struct claim_id held;
	/* of CLAIM_VOTE, CLAIM_RESULT and CLAIM_FETCHED: */
	enum key_state state;
	/* of CLAIM_FETCHED: */
	bool found;
	uint64_t body_digest;
	const void *answer; /* NULL: not kept */
	size_t answer_len;
};

void encode_claim_message(struct wire_writer *w, const struct claim_message *m);

/*
 * Fills M from R; false if it is malformed. M->answer lives as long as the
 * message behind R.
 */
bool decode_claim_message(struct wire_reader *r, struct claim_message *m);

#endif
