#ifndef CONFIG_COMMIT_H
#define CONFIG_COMMIT_H

/*
 * Commits one transaction although answers may be lost. The transaction writes
 * an audit entry with a unique id, so it took effect if and only if that entry
 * is in the store. The entry is read back after a lost answer, before the
 * transaction is sent again, and after a refusal, since the HTTP library may
 * have sent a first copy that was accepted. Sending it again is safe: all
 * copies compare the same revision, so at most one takes effect.
 */

#include <glib.h>

#include "config/audit.h"
#include "config/store-call.h"

enum commit_outcome {
	COMMIT_PENDING,	    /* not decided yet */
	COMMIT_ACCEPTED,    /* took effect, once */
	COMMIT_CONFLICT,    /* had no effect and never will */
	COMMIT_UNAVAILABLE, /* had no effect: the store was not reached */
	COMMIT_UNKNOWN	    /* may have had an effect */
};

enum commit_state { COMMIT_SENT, COMMIT_READING_BACK, COMMIT_BACKOFF };

struct commit {
	struct store_txn txn;
	char audit_key[AUDIT_KEY_MAX];
	char id[PUBLISH_ID_MAX];
	enum commit_state state;
	enum commit_state state_after_wait;
	enum commit_outcome outcome;
	bool answer_lost;      /* at least one answer to TXN was lost */
	bool refused;	       /* a comparison of TXN failed */
	unsigned int failures; /* calls that failed or had no answer */
	GRand *rand;
};

/*
 * Starts to commit TXN, whose audit entry has ID and AUDIT_KEY. TXN's data must
 * outlive the commit.
 */
void start_commit(struct commit *c, const struct store_txn *txn,
		  const char *audit_key, const char *id, GRand *rand,
		  struct change_action *out);

/*
 * Processes the answer A (NULL after a wait). Sets the outcome, or leaves it at
 * COMMIT_PENDING and fills OUT with the next action.
 */
void step_commit(struct commit *c, const struct store_answer *a,
		 struct change_action *out);

#endif
