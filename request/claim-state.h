#ifndef REQUEST_CLAIM_STATE_H
#define REQUEST_CLAIM_STATE_H

/* What the files behind request/claims.h share; for no one else. */

#include <glib.h>

#include "request/claim-wire.h"
#include "request/claims.h"
#include "request/key-keepers.h"
#include "request/key-records.h"

/* Time between two greetings of members that have not acknowledged one. */
#define HELLO_MIN_MS 250
#define HELLO_MAX_MS 32000

/* An ended claim is remembered for longer than any keeper remembers it. */
#define ENDED_LIFE_MS (3 * KEY_LIFE_MS)

/* How far a claim that this instance made has come. */
enum claim_phase {
	CLAIM_ASKING,	/* for votes */
	CLAIM_FETCHING, /* the end of the claim that holds the key */
	CLAIM_RUNNING,	/* won; its request may be offered */
	CLAIM_ENDED	/* done or unknown */
};

/* What one keeper said of a claim. */
struct ballot {
	bool voted;
	enum claim_vote vote;
	struct claim_id held;
	enum key_state state;
	uint64_t digest;
};

/* One claim that this instance made, kept on after its end for resends. */
struct claim {
	struct claim_id id;
	struct claim_request request;
	enum claim_phase phase;
	struct keeper_group group;
	struct ballot ballots[KEEPERS_MAX];
	struct claim_id holder; /* asked while fetching */
	uint64_t begun;		/* ms, of the phase */
	uint64_t sent;
	uint64_t first_begun;
	/* once ended: */
	enum key_state state;
	uint64_t body_digest;
	GBytes *answer;
	uint64_t expires;
};

/* All of them, and what this instance records as a keeper. */
struct claims {
	const struct view *view;
	struct key_keepers *keepers;
	struct key_records *records;
	uint64_t incarnation;
	uint64_t next_number;
	bool leaving;
	GHashTable *claims;	/* number -> struct claim */
	GHashTable *by_request; /* handle -> struct claim, until ended */
	GQueue ended;		/* struct claim, by expiry */
	size_t answer_bytes;
	GQueue with_answer; /* struct claim, the oldest first */
	uint64_t hello_sent;
	uint64_t hello_gap;
	uint64_t hello_members; /* key_keepers_digest() at the last hello */
};

/* request/claims.c */

/* Sends M to the instance at TO. */
void send_claim_message(struct claim_actions *out, const struct endpoint *to,
			const struct claim_message *m);

/* Member id of this instance. */
uint64_t claims_self(const struct claims *cs);

/* Where peers reach this instance. */
struct endpoint claims_endpoint(const struct claims *cs);

/* The claim with ID that this instance made, or NULL. */
struct claim *find_claim(const struct claims *cs, const struct claim_id *id);

/* Takes back what the keepers recorded of C, which never runs. */
void release_claim(struct claims *cs, const struct claim *c,
		   struct claim_actions *out);

/* Tells that C ended so. */
struct claim_action *decide_claim(struct claims *cs, struct claim *c,
				  enum claim_end end,
				  struct claim_actions *out);

/* request/claim-votes.c */

/* Fills M with what this instance knows of its claim ID. */
void tell_claim_end(const struct claims *cs, const struct claim_id *id,
		    struct claim_message *m);

/* Decides C if its votes allow it; FINAL: no more are waited for. */
void count_claim_votes(struct claims *cs, struct claim *c, bool final,
		       uint64_t now_ms, struct claim_actions *out);

/* Notes what keeper VOTER said of C. */
void take_claim_vote(struct claim *c, uint64_t voter,
		     const struct claim_message *m);

/* Fills M with the question to a keeper about C. */
void fill_claim_ask(const struct claims *cs, const struct claim *c,
		    struct claim_message *m, uint64_t now_ms);

/* Asks the keepers that have not voted. */
void ask_key_keepers(struct claims *cs, struct claim *c, uint64_t now_ms,
		     struct claim_actions *out);

/* Takes a keeper's vote in M. */
void take_peer_vote(struct claims *cs, const struct claim_message *m,
		    uint64_t now_ms, struct claim_actions *out);

/* Takes a holder's answer in M. */
void take_fetched_answer(struct claims *cs, const struct claim_message *m,
			 struct claim_actions *out);

/* Asks again for C, or gives it up. */
void tick_one_claim(struct claims *cs, struct claim *c, uint64_t now_ms,
		    struct claim_actions *out);

/* request/claim-keeper.c */

/* Fills M with this instance's vote on the claim that M asks for. */
void vote_on_claim(struct claims *cs, struct claim_message *m, uint64_t now_ms);

/* Keeps the answer of C for resends. */
void keep_key_answer(struct claims *cs, struct claim *c, const void *answer,
		     size_t len);

/* Notes at this keeper what became of the claim in M. */
void record_key_result(struct claims *cs, const struct request_key *key,
		       const struct claim_id *id, uint64_t digest,
		       enum key_state state, uint64_t now_ms);

/* Votes on the claim in M and answers. */
void answer_claim_ask(struct claims *cs, struct claim_message *m,
		      uint64_t now_ms, struct claim_actions *out);

/* Tells what became of the claim that M asks for. */
void answer_claim_fetch(const struct claims *cs, struct claim_message *m,
			struct claim_actions *out);

/* Forgets claims whose keys have expired. */
void forget_ended_claims(struct claims *cs, uint64_t now_ms);

#endif
