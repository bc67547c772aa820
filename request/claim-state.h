#ifndef REQUEST_CLAIM_STATE_H
#define REQUEST_CLAIM_STATE_H

/* Shared by the files that implement request/claims.h; internal to them. */

#include <glib.h>

#include "request/claim-wire.h"
#include "request/claims.h"
#include "request/key-replicas.h"
#include "request/key-records.h"

/*
 * Interval between two CLAIM_HELLO messages. It doubles with each message and
 * returns to the minimum when the set of candidates changes.
 */
#define HELLO_INTERVAL_MIN_MS 250
#define HELLO_INTERVAL_MAX_MS 32000

/*
 * Longer than the lifetime of a replica's record, so that the owner can answer
 * a CLAIM_FETCH while a replica still names the claim.
 */
#define ENDED_CLAIM_LIFETIME_MS (3 * KEY_LIFETIME_MS)

/* Progress of a claim that this instance made. */
enum claim_phase {
	CLAIM_VOTING,	/* waits for the replicas' votes */
	CLAIM_FETCHING, /* waits for the state of the key's holder */
	CLAIM_RUNNING,	/* won; its request may be sent */
	CLAIM_ENDED	/* its request is done or of unknown outcome */
};

/* One replica's vote on a claim. */
struct ballot {
	bool voted;
	enum claim_vote vote;
	struct claim_id held_by;
	enum key_state state;
	uint64_t request_digest;
};

/* A claim that this instance made; retained after its end for resends. */
struct claim {
	struct claim_id id;
	struct claim_request request;
	enum claim_phase phase;
	struct key_replica_group replicas;
	struct ballot ballots[KEY_REPLICAS_MAX];
	struct claim_id holder; /* of the key, while fetching */
	uint64_t phase_started_ms;
	uint64_t last_sent_ms;
	uint64_t started_ms;
	/* Valid once ended: */
	enum key_state state;
	uint64_t body_digest;
	GBytes *answer;
	uint64_t expires_ms;
};

/* All claims, and the records that this instance has as a replica. */
struct claims {
	const struct view *view;
	struct key_replicas *replicas;
	struct key_records *records;
	uint64_t incarnation;
	uint64_t next_number;
	bool leaving;
	GHashTable *claims;	/* number -> struct claim */
	GHashTable *by_request; /* handle -> struct claim, until ended */
	GQueue ended;		/* struct claim, by expiry */
	size_t stored_answer_bytes;
	GQueue with_stored_answer; /* struct claim, the oldest first */
	uint64_t hello_sent_ms;
	uint64_t hello_interval_ms;
	/* key_replica_candidates_digest() at the last hello */
	uint64_t hello_candidates_digest;
};

/* request/claims.c */

/* Sends M to the instance at TO. */
void send_claim_message(struct claim_actions *out, const struct endpoint *to,
			const struct claim_message *m);

/* Member id of this instance. */
uint64_t claims_self_id(const struct claims *cs);

/* Where peers reach this instance. */
struct endpoint claims_self_endpoint(const struct claims *cs);

/* The claim with ID that this instance made, or NULL. */
struct claim *find_claim(const struct claims *cs, const struct claim_id *id);

/* Removes the replicas' records of C, which never runs. */
void release_claim(struct claims *cs, const struct claim *c,
		   struct claim_actions *out);

/* Appends the decision on C to OUT; removes C unless it won. */
struct claim_action *decide_claim(struct claims *cs, struct claim *c,
				  enum claim_decision decision,
				  struct claim_actions *out);

/* request/claim-votes.c */

/*
 * Fills M with the state and stored answer of this instance's claim ID;
 * KEY_UNKNOWN for a claim made before this instance restarted.
 */
void fill_claim_state(const struct claims *cs, const struct claim_id *id,
		      struct claim_message *m);

/* Decides C if its votes suffice; FINAL: do not wait for missing votes. */
void tally_claim_votes(struct claims *cs, struct claim *c, bool final,
		       uint64_t now_ms, struct claim_actions *out);

/* Records the vote in M of replica VOTER on C. */
void record_claim_vote(struct claim *c, uint64_t voter,
		       const struct claim_message *m);

/* Fills M with the request for a vote on C. */
void fill_vote_request(const struct claims *cs, const struct claim *c,
		       struct claim_message *m, uint64_t now_ms);

/* Sends a vote request to each replica that has not voted. */
void request_missing_votes(struct claims *cs, struct claim *c, uint64_t now_ms,
			   struct claim_actions *out);

/* Handles the vote of a peer in M. */
void handle_peer_vote(struct claims *cs, const struct claim_message *m,
		      uint64_t now_ms, struct claim_actions *out);

/* Handles M, which reports the state of a claim that holds a key. */
void handle_fetch_reply(struct claims *cs, const struct claim_message *m,
			struct claim_actions *out);

/* Resends C's vote or fetch requests, or decides C after the timeout. */
void tick_one_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		    struct claim_actions *out);

/* request/claim-replica.c */

/* Fills M with this instance's vote on the claim that M describes. */
void vote_on_claim(struct claims *cs, struct claim_message *m, uint64_t now_ms);

/* Stores the answer of C for resends. */
void store_key_answer(struct claims *cs, struct claim *c, const void *answer,
		      size_t len);

/* Records the result of claim ID at this replica. */
void record_key_result(struct claims *cs, const struct request_key *key,
		       const struct claim_id *id, uint64_t digest,
		       enum key_state state, uint64_t now_ms);

/* Votes on the claim in M and sends the vote. */
void handle_vote_request(struct claims *cs, struct claim_message *m,
			 uint64_t now_ms, struct claim_actions *out);

/* Replies with the state of the claim in M. */
void handle_claim_fetch(const struct claims *cs, struct claim_message *m,
			struct claim_actions *out);

/* Frees ended claims after ENDED_CLAIM_LIFETIME_MS. */
void expire_ended_claims(struct claims *cs, uint64_t now_ms);

#endif
